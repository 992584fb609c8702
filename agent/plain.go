package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonypulley/attempt"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/wire"
)

// plainWorker connects the state machine of plain calls to the service and to
// the entries.
type plainWorker struct {
	a           *Agent
	service     service
	server      *attempt.Server
	membersHash uint64
	running     map[wire.ID]context.CancelFunc
}

var _ attempt.Effects = (*plainWorker)(nil)

func newPlainWorker(a *Agent, url string, doc *config.Document) *plainWorker {
	w := &plainWorker{
		a:           a,
		service:     newService(url, a.dial),
		membersHash: doc.ServiceEndpointsHash(a.pool.Service),
		running:     make(map[wire.ID]context.CancelFunc),
	}
	w.server = attempt.NewServer(time.Now(), a.incarnation, a.leases, keyLimits(doc), w)
	return w
}

// configure applies new limits on Idempotency-Keys and reports a change of the
// declared members, which own the keys, to the attempt table.
func (w *plainWorker) configure(doc *config.Document) {
	w.server.Table().Configure(keyLimits(doc))
	members := doc.ServiceEndpointsHash(w.a.pool.Service)
	if members != w.membersHash {
		w.membersHash = members
		w.server.Table().KeyOwnersChanged(time.Now())
	}
}

func (w *plainWorker) handle(s *session, m wire.AttemptMessage) {
	now := time.Now()
	switch m := m.(type) {
	case *wire.Offer:
		w.offer(now, s, m)
	case *wire.Start:
		w.server.Start(now, s.holder, m)
	case *wire.Withdraw:
		w.server.Withdraw(now, s.holder, m.ID)
	case *wire.Cancel:
		w.server.Cancel(now, s.holder, m.ID)
	default:
		w.a.refuse(s, m.AttemptID(), wire.ReasonWrongRole, 0)
	}
}

func (w *plainWorker) offer(now time.Time, s *session, m *wire.Offer) {
	if reason := w.refusalReason(m); reason != "" && !w.server.Tracks(m.ID) {
		w.a.refuse(s, m.ID, reason, 0)
		return
	}
	w.server.Offer(now, s.holder, m)
}

// refusalReason returns why an offer can't be taken, or "". A call that this
// agent's newer configuration document declares non-idempotent must not run as
// an idempotent one, and an Idempotency-Key has a single owner only if the
// entry and the agent agree on the declared members.
func (w *plainWorker) refusalReason(m *wire.Offer) wire.Reason {
	if reason := w.a.refusalReason(); reason != "" {
		return reason
	}
	if m.Service != w.a.pool.Service {
		return wire.ReasonWrongRole
	}
	if m.Key != "" && m.Members != w.membersHash {
		return wire.ReasonStaleConfig
	}
	route := w.a.store.Current().Document.Route(m.Route)
	if route == nil {
		return wire.ReasonStaleConfig
	}
	call := route.Call(m.Method, m.Path)
	if call == nil || m.Idempotent && !call.Idempotent {
		return wire.ReasonStaleConfig
	}
	return ""
}

func (w *plainWorker) granted(id wire.ID) { w.server.Granted(id) }
func (w *plainWorker) waitEnded(id wire.ID, reason wire.Reason) {
	w.server.WaitEnded(time.Now(), id, reason)
}
func (w *plainWorker) expired(id wire.ID) { w.server.LeaseExpired(time.Now(), id) }
func (w *plainWorker) tick(now time.Time) { w.server.Tick(now) }
func (w *plainWorker) backlog() int       { return 0 }
func (w *plainWorker) pending() string    { return w.server.Summary() }
func (w *plainWorker) idle() bool         { return w.server.Idle() }

// Reply implements attempt.Effects.
func (w *plainWorker) Reply(holder wire.Incarnation, m wire.Message) {
	load := w.a.load()
	switch m := m.(type) {
	case *wire.Granted:
		m.Load = load
	case *wire.Refused:
		m.Load = load
	case *wire.Outcome:
		m.Load = load
	}
	w.a.reply(holder, m)
}

// Run implements attempt.Effects.
func (w *plainWorker) Run(offer *wire.Offer, start *wire.Start, deadline time.Time) {
	ctx, cancel := context.WithDeadline(w.a.group.Context(), deadline)
	w.running[offer.ID] = cancel
	w.a.spawn(func() { w.call(ctx, offer, start) })
}

func (w *plainWorker) call(ctx context.Context, offer *wire.Offer, start *wire.Start) {
	answer, sent, err := w.service.call(ctx, offer, start)
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	w.running[offer.ID]()
	delete(w.running, offer.ID)
	if err != nil {
		w.a.log.Emit(event.AttemptLost, zap.Stringer("attempt", offer.ID), event.Err(err))
		w.server.Ended(offer.ID, nil, sent)
		return
	}
	w.server.Ended(offer.ID, &answer, true)
}

// Abort implements attempt.Effects.
func (w *plainWorker) Abort(id wire.ID) {
	if cancel, ok := w.running[id]; ok {
		cancel()
	}
}

// Release implements attempt.Effects.
func (w *plainWorker) Release(id wire.ID) { w.a.release(id) }
