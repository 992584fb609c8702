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
		return soon && pause(ctx, ownerPause)
	default:
		return refusals < maxRefusals
	}
}

// attempt makes one try: offer, then start.
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
	x.request(c.offer(id))
	m, err := x.next(ctx)
	if err != nil {
		// Nothing ran: Start was never sent.
		return c.notRun("the call could not be admitted in time", minRetry)
	}
	switch m := m.(type) {
	case *wire.Granted:
		return c.start(ctx, x, id)
	case *wire.Outcome: // the answer to an earlier call with this key
		return ending{outcome: m}
	case *wire.Refused:
		return c.refused(m)
	default:
		return c.notRun("the endpoint ended the call before its start", minRetry)
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

// start runs the admitted call and waits for its outcome. From here on only
// the word of the same incarnation makes it "not run".
func (c *call) start(ctx context.Context, x *exchange, id wire.ID) ending {
	x.request(&wire.Start{
		ID:          id,
		Incarnation: x.inc,
		Query:       c.q.r.URL.RawQuery,
		Headers:     forwarded(c.q.r.Header),
		Body:        c.body,
	})
	for {
		m, err := x.next(ctx)
		if err != nil {
			return c.settle(x, id, err)
		}
		out, ok := m.(*wire.Outcome)
		if !ok {
			continue
		}
		if end, over := c.ended(out); over {
			return end
		}
	}
}

// ended tells whether an outcome is the last word.
func (c *call) ended(out *wire.Outcome) (ending, bool) {
	switch out.State {
	case wire.Running:
		return ending{}, false
	case wire.Done:
		return ending{outcome: out}, true
	case wire.NotRun:
		return c.notRun("the endpoint did not run the call", minRetry), true
	default:
		return ending{failure: unknownOutcome("the call was started; its answer was lost"), ran: true}, true
	}
}

// settleTime is how long a call at its deadline waits for the agent's last
// word.
const settleTime = 200 * time.Millisecond

// settle ends a started call whose outcome did not come: it asks the agent
// once more, unless another incarnation is there, whose word proves nothing.
func (c *call) settle(x *exchange, id wire.ID, cause error) ending {
	unknown := ending{failure: unknownOutcome("the call was started; its outcome is not known"), ran: true}
	if errorx.IsOfType(cause, errLost) || c.q.gone() {
		return unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.q.r.Context()), settleTime)
	defer cancel()
	x.request(&wire.Withdraw{ID: id})
	for {
		m, err := x.next(ctx)
		if err != nil {
			return unknown
		}
		out, ok := m.(*wire.Outcome)
		if !ok {
			continue
		}
		if end, over := c.ended(out); over {
			return end
		}
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
