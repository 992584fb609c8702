package entry

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/attempt"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/invariant"
	"ebonypulley/peer"
	"ebonypulley/wire"
)

// plainCall serves one call to a plain service.
func (q *request) plainCall() {
	c, f := q.newCall()
	if f != nil {
		q.fail(f)
		return
	}
	ctx, cancel := q.context()
	defer cancel()
	c.run(ctx)
}

// call is one caller's call, over as many attempts as are safe.
type call struct {
	q     *request
	route *config.Route
	decl  *config.Call
	path  string
	body  []byte
	key   string
	tried map[string]bool
}

// maxKey bounds an Idempotency-Key in bytes.
const maxKey = 255

func (q *request) newCall() (*call, *failure) {
	name := mux.Vars(q.r)["route"]
	route := q.snapshot.Document.Route(name)
	if route == nil {
		return nil, notFound("unknown_route", "there is no route %q", name)
	}
	path, err := url.PathUnescape(strings.TrimPrefix(q.r.URL.EscapedPath(), "/app/"+name))
	if err != nil {
		return nil, badRequest("", "the path is not valid")
	}
	decl := route.Call(q.r.Method, path)
	if decl == nil {
		return nil, notFound("unknown_call", "route %q has no call %s %s", name, q.r.Method, path)
	}
	key := q.r.Header.Get(HeaderKey)
	if len(key) > maxKey {
		return nil, badRequest(HeaderKey, "%s is longer than %d bytes", HeaderKey, maxKey)
	}
	body, f := q.readBody()
	if f != nil {
		return nil, f
	}
	c := &call{q: q, route: route, decl: decl, path: path, body: body, key: key, tried: make(map[string]bool)}
	if decl.Idempotent {
		c.key = "" // repeating is harmless, no owner is needed
	}
	return c, nil
}

// run makes attempts while each is safe: an earlier one provably did not run,
// or the call is idempotent and the retry budget allows it.
func (c *call) run(ctx context.Context) {
	c.q.e.retries.First()
	for refusals := 1; ; refusals++ {
		end := c.attempt(ctx)
		switch {
		case end.outcome != nil:
			c.answer(end.outcome)
			return
		case c.q.gone():
			c.q.callerGone()
			return
		case ctx.Err() != nil || !c.again(ctx, end, refusals):
			c.q.fail(end.failure)
			return
		}
	}
}

const (
	// ownerWait is how long a call waits for the owner of its
	// Idempotency-Key: as long as a replaced process takes to come back.
	ownerWait  = 5 * time.Second
	ownerPause = 100 * time.Millisecond
)

// ending is how one attempt ended: with an outcome for the caller, or with a
// failure.
type ending struct {
	outcome *wire.Outcome
	failure *failure
	// ran: the call may have run.
	ran bool
	// final: asking elsewhere can't help.
	final bool
}

func (c *call) again(ctx context.Context, end ending, refusals int) bool {
	switch {
	case end.final:
		return false
	case end.ran:
		return c.decl.Idempotent && c.q.e.retries.Retry()
	case c.key != "":
		// There is one owner only: nobody else may run the call.
		soon := time.Since(c.q.began) < min(ownerWait, c.q.tier.MaxWait.D())
		return soon && ebonypulley.Sleep(ctx, ownerPause)
	default:
		return refusals < maxRefusals
	}
}

// attempt makes one try at one endpoint; attempt.Client decides.
func (c *call) attempt(ctx context.Context) ending {
	p, err := c.choose(ctx)
	if err != nil {
		return ending{failure: unavailable("no endpoint can take the call now", minRetry), final: true}
	}
	id := wire.NewID()
	x, err := open(p, id)
	if err != nil {
		return c.notRun("the endpoint can't be reached", minRetry)
	}
	defer x.close()
	c.tried[x.endpoint()] = true
	machine := attempt.NewClient(x.inc, c.offer(id), &wire.Start{
		Query:   c.q.r.URL.RawQuery,
		Headers: forwarded(c.q.r.Header),
		Body:    c.body,
	})
	return c.ended(c.drive(ctx, x, machine))
}

// settleTime is how long a call at its deadline waits for the agent's last
// word.
const settleTime = 200 * time.Millisecond

// drive carries messages between the machine and the agent.
func (c *call) drive(ctx context.Context, x *exchange, machine *attempt.Client) attempt.End {
	step := machine.Begin()
	settling := false
	for step.End == nil {
		if step.Send != nil {
			_ = x.stream.Send(step.Send)
		}
		e, err := x.event(ctx)
		switch {
		case err == nil && e.Link != nil:
			step = machine.Connected(e.Link.Incarnation)
		case err == nil:
			step = machine.Receive(e.Message)
		case errorx.IsOfType(err, errLost):
			step = machine.Lost()
		case settling || c.q.gone():
			step = machine.Settled()
		default:
			settling = true
			step = machine.Expire()
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), settleTime)
			defer cancel()
		}
	}
	return *step.End
}

// ended turns the machine's end into that of the attempt.
func (c *call) ended(end attempt.End) ending {
	switch end.Fate {
	case attempt.Answered:
		return ending{outcome: end.Outcome}
	case attempt.Refused:
		return c.refused(end.Refusal)
	case attempt.NotRun:
		return c.notRun("the endpoint did not run the call", minRetry)
	default:
		return ending{failure: unknownOutcome("the call was started; its outcome is not known"), ran: true}
	}
}

func (c *call) notRun(message string, after time.Duration) ending {
	return ending{failure: unavailable(message, after)}
}

// refused turns an agent's refusal into the caller's answer.
func (c *call) refused(m *wire.Refused) ending {
	switch m.Reason {
	case wire.KeyReused:
		return ending{failure: conflict(m.Reason, "the Idempotency-Key belongs to another call"), final: true}
	case wire.KeyRunning:
		f := conflict(m.Reason, "the first call with this Idempotency-Key is still running")
		f.retryAfter = minRetry
		return ending{failure: f, final: true}
	case wire.KeyDone:
		return ending{failure: conflict(m.Reason, "a call with this Idempotency-Key ran; its answer is not kept any more"), final: true}
	case wire.KeyUnknown:
		return ending{failure: conflict(m.Reason, "whether a call with this Idempotency-Key ran is not known; check before booking again with a new key"), final: true}
	case wire.WaitedOut:
		end := c.notRun("the call waited too long", m.RetryAfter)
		end.final = true
		return end
	default:
		return c.notRun("no endpoint can take the call now", m.RetryAfter)
	}
}

// choose picks the endpoint. A call with an Idempotency-Key has exactly one:
// the key's owner among the declared endpoints, whoever is alive, so that two
// entries with different views never use two owners.
func (c *call) choose(ctx context.Context) (*peer.Peer, error) {
	if c.key == "" {
		return c.q.chooseSoon(ctx, selection{service: c.route.Service, role: config.Plain, tried: c.tried})
	}
	doc := c.q.e.store.Current().Document
	owner := keyOwner(doc.Members(c.route.Service, config.Plain), c.q.workspace.Name, c.key)
	if p := c.q.e.peers.Peer(owner); p != nil {
		return p, nil
	}
	return nil, peer.ErrDown.New("owner %q of the key is not known", owner)
}

// keyOwner returns the member with the highest hash for a key (rendezvous
// hashing): a changed member moves only its own keys.
func keyOwner(members []config.Endpoint, workspace, key string) string {
	owner, best := "", uint64(0)
	for _, m := range members {
		h := xxhash.New()
		for _, part := range []string{m.Name, workspace, key} {
			_, _ = h.WriteString(part)
			_, _ = h.WriteString("\x00")
		}
		if sum := h.Sum64(); owner == "" || sum > best {
			owner, best = m.Name, sum
		}
	}
	return owner
}

func (c *call) offer(id wire.ID) *wire.Offer {
	doc := c.q.e.store.Current().Document
	h := xxhash.New()
	_, _ = h.WriteString(c.q.r.Method + " " + c.path + "?" + c.q.r.URL.RawQuery + "\n")
	_, _ = h.Write(c.body)
	return &wire.Offer{
		ID:          id,
		Service:     c.route.Service,
		Route:       c.route.Name,
		Method:      c.q.r.Method,
		Path:        c.path,
		Idempotent:  c.decl.Idempotent,
		Priority:    c.q.tier.Priority,
		Spare:       c.q.tier.Spare,
		Wait:        c.q.wait(),
		Deadline:    c.q.left(),
		Workspace:   c.q.workspace.Name,
		Key:         c.key,
		Members:     doc.MembersHash(c.route.Service),
		Fingerprint: h.Sum64(),
	}
}

// forwarded returns the headers that the service gets: all but those of the
// connection and the workspace's key.
func forwarded(h http.Header) []wire.Header {
	h = h.Clone()
	h.Del("Authorization")
	h.Del(HeaderDeadline)
	h.Del("Content-Length")
	return wire.Headers(h)
}

func (c *call) answer(out *wire.Outcome) {
	q := c.q
	invariant.Check(out.State == wire.Done, invariant.SingleAnswer, "request %s answered from state %s", q.id, out.State)
	h := q.w.Header()
	for _, line := range out.Headers {
		if line.Name != HeaderOutcome && line.Name != HeaderRequestID {
			h.Add(line.Name, line.Value)
		}
	}
	if out.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	q.answering(Answered)
	ctl := http.NewResponseController(q.w)
	_ = ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	q.w.WriteHeader(out.Status)
	if _, err := q.w.Write(out.Body); err != nil {
		q.e.log.Emit(event.CallerGone, zap.Stringer("request", q.id))
	}
	q.e.metrics.Histogram("whole." + q.class(c.route.Service)).Record(time.Since(q.began))
}
