package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonypulley/attempt"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

// plainWorker gates a plain service: a call is offered, admitted, and only
// then started, once.
type plainWorker struct {
	a       *Agent
	service service
	table   *attempt.Table
	members uint64
	jobs    map[wire.ID]*callJob
}

// callJob is an admitted or waiting call.
type callJob struct {
	id       wire.ID
	offer    *wire.Offer
	sess     *session
	holder   wire.Incarnation
	deadline time.Time
	cancel   context.CancelFunc // nil before the start
	ended    bool
}

func newPlainWorker(a *Agent, url string, doc *config.Document) *plainWorker {
	return &plainWorker{
		a:       a,
		service: newService(url, a.dial),
		table:   attempt.NewTable(time.Now(), keyLimits(doc)),
		members: doc.MembersHash(a.pool.Service),
		jobs:    make(map[wire.ID]*callJob),
	}
}

// configure notes a change of the declared owners of Idempotency-Keys.
func (w *plainWorker) configure(doc *config.Document) {
	w.table.Configure(keyLimits(doc))
	members := doc.MembersHash(w.a.pool.Service)
	if members != w.members {
		w.members = members
		w.table.MembersChanged(time.Now())
	}
}

func (w *plainWorker) handle(s *session, m wire.Attempted) {
	switch m := m.(type) {
	case *wire.Offer:
		w.offer(s, m)
	case *wire.Start:
		w.start(s, m)
	case *wire.Withdraw:
		w.withdraw(s, m.ID)
	case *wire.Cancel:
		w.cancel(s, m.ID)
	default:
		w.a.refuse(s, m.Attempt(), wire.WrongRole, 0)
	}
}

func (w *plainWorker) offer(s *session, m *wire.Offer) {
	if job, ok := w.jobs[m.ID]; ok {
		job.sess = s
		if w.a.gate.Holds(m.ID) {
			s.send(&wire.Granted{ID: m.ID, Load: w.a.load()})
		}
		return
	}
	if reason := w.refusal(m); reason != "" {
		w.a.refuse(s, m.ID, reason, 0)
		return
	}
	now := time.Now()
	deadline := now.Add(m.Deadline)
	v := w.table.Offer(now, m.ID, deadline, keyOf(m))
	if v.Replay != nil {
		w.replay(s, m.ID, v.Replay)
		return
	}
	if !v.Admit {
		w.a.refuse(s, m.ID, v.Reason, 0)
		return
	}
	w.admit(s, m, now, deadline)
}

// refusal tells why an offer can't be taken. A route that this agent's newer
// document declares non-idempotent must not be run as an idempotent one, and
// a key only has one owner among entries and agents that agree on the
// declared endpoints.
func (w *plainWorker) refusal(m *wire.Offer) wire.Reason {
	if reason := w.a.refusal(); reason != "" {
		return reason
	}
	if m.Service != w.a.pool.Service {
		return wire.WrongRole
	}
	if m.Key != "" && m.Members != w.members {
		return wire.StaleConfig
	}
	route := w.a.store.Current().Document.Route(m.Route)
	if route == nil {
		return wire.StaleConfig
	}
	call := route.Call(m.Method, m.Path)
	if call == nil || m.Idempotent && !call.Idempotent {
		return wire.StaleConfig
	}
	return ""
}

func keyOf(m *wire.Offer) *attempt.Key {
	if m.Key == "" {
		return nil
	}
	return &attempt.Key{Workspace: m.Workspace, Value: m.Key, Fingerprint: m.Fingerprint}
}

func (w *plainWorker) admit(s *session, m *wire.Offer, now, deadline time.Time) {
	d := w.a.gate.Reserve(now, lease.Request{
		ID:        m.ID,
		Holder:    s.holder,
		Priority:  m.Priority,
		Spare:     m.Spare,
		WaitUntil: now.Add(m.Wait),
		Deadline:  deadline,
	})
	if !d.Granted && !d.Queued {
		w.table.Withdraw(now, m.ID)
		w.a.refuse(s, m.ID, d.Reason, d.RetryAfter)
		return
	}
	w.jobs[m.ID] = &callJob{id: m.ID, offer: m, sess: s, holder: s.holder, deadline: deadline}
	if d.Granted {
		w.granted(m.ID)
	}
}

func (w *plainWorker) granted(id wire.ID) {
	if job, ok := w.jobs[id]; ok {
		job.sess.send(&wire.Granted{ID: id, Load: w.a.load()})
	}
}

func (w *plainWorker) dropped(id wire.ID, reason wire.Reason) {
	job, ok := w.jobs[id]
	if !ok {
		return
	}
	w.table.Withdraw(time.Now(), id)
	delete(w.jobs, id)
	w.a.refuse(job.sess, id, reason, 0)
}

// start runs an admitted call; a repeated Start only asks for its outcome.
// A Start for another incarnation is refused: what that one did with an
// earlier copy is not known here, and the entry must not take this word for
// more than it is.
func (w *plainWorker) start(s *session, m *wire.Start) {
	now := time.Now()
	job, ok := w.jobs[m.ID]
	if ok {
		job.sess = s
	}
	if m.Incarnation != w.a.inc || !ok || !job.ended && !w.a.gate.Holds(m.ID) {
		w.withdraw(s, m.ID)
		return
	}
	run, _ := w.table.Start(now, m.ID)
	if !run {
		w.report(s, m.ID)
		return
	}
	ctx, cancel := context.WithDeadline(w.a.group.Context(), job.deadline)
	job.cancel = cancel
	w.a.spawn(func() { w.run(ctx, job, m) })
}

func (w *plainWorker) run(ctx context.Context, job *callJob, m *wire.Start) {
	answer, sent, err := w.service.call(ctx, job.offer, m)
	job.cancel()
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	job.ended = true
	if err != nil {
		w.a.log.Emit(event.AttemptLost, zap.Stringer("attempt", job.id), zap.Error(err))
		w.table.Fail(job.id, !sent)
	} else {
		w.table.Finish(job.id, answer)
	}
	w.a.release(job.id)
	w.report(job.sess, job.id)
}

// report sends the state of an attempt; Running is sent as well, so that the
// entry knows it was heard.
func (w *plainWorker) report(s *session, id wire.ID) {
	state, answer, _ := w.table.State(id)
	s.send(w.outcome(id, state, answer))
}

func (w *plainWorker) outcome(id wire.ID, state wire.State, answer *attempt.Answer) *wire.Outcome {
	out := &wire.Outcome{ID: id, State: state, Load: w.a.load()}
	if answer != nil {
		out.Status = answer.Status
		out.Headers = answer.Headers
		out.Body = answer.Body
	}
	return out
}

func (w *plainWorker) replay(s *session, id wire.ID, answer *attempt.Answer) {
	out := w.outcome(id, wire.Done, answer)
	out.Replayed = true
	s.send(out)
}

// withdraw gives the final word; a call that did not start never will.
func (w *plainWorker) withdraw(s *session, id wire.ID) {
	now := time.Now()
	state, answer := w.table.Withdraw(now, id)
	if job, ok := w.jobs[id]; ok {
		job.sess = s
	}
	if state == wire.NotRun {
		w.drop(now, id)
	}
	s.send(w.outcome(id, state, answer))
}

func (w *plainWorker) drop(now time.Time, id wire.ID) {
	w.a.gate.Withdraw(now, id)
	delete(w.jobs, id)
	w.a.release(id)
}

// cancel tells that the caller is gone. A call that did not start never
// will; an idempotent one is cut off; a non-idempotent one runs to its end,
// because half a booking helps nobody.
func (w *plainWorker) cancel(s *session, id wire.ID) {
	now := time.Now()
	state, _ := w.table.Withdraw(now, id)
	job, ok := w.jobs[id]
	switch {
	case ok && state == wire.Running:
		if job.offer.Idempotent {
			job.cancel()
		}
		return // the entry repeats; the answer comes when the call ended
	case state == wire.NotRun:
		w.drop(now, id)
	default:
		delete(w.jobs, id)
		w.table.Forget(id)
	}
	s.send(&wire.Cancelled{ID: id})
}

// expired: the entry is gone. A started call ends by itself and releases.
func (w *plainWorker) expired(id wire.ID) {
	now := time.Now()
	state, _ := w.table.Withdraw(now, id)
	if state == wire.NotRun {
		w.drop(now, id)
	}
}

func (w *plainWorker) tick(now time.Time) {
	w.table.Tick(now)
	for id, job := range w.jobs {
		if job.ended && (now.After(job.deadline) || !w.a.gate.Heard(now, job.holder)) {
			delete(w.jobs, id)
		}
	}
}

func (w *plainWorker) backlog() int { return 0 }

// idle reports whether all answers have been delivered.
func (w *plainWorker) idle() bool { return len(w.jobs) == 0 }
