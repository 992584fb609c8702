package entry

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/invariant"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// plainCall serves one call to a plain service.
func (q *request) plainCall() {
	c, f := q.newCall()
	if f != nil {
		q.fail(f)
		return
	}
	c.run()
}

// call is one caller's call to a plain service.
type call struct {
	q     *request
	route *config.Route
	decl  *config.Call
	path  string
	body  []byte
	key   string
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
	c := &call{q: q, route: route, decl: decl, path: path, body: body, key: key}
	if decl.Idempotent {
		c.key = "" // repeating is harmless, no owner is needed
	}
	return c, nil
}

// run has the router serve the call and delivers its answer.
func (c *call) run() {
	ctx, cancel := c.q.context()
	defer cancel()
	route := &router.Route{Name: c.route.Name, Kind: router.NonIdempotent}
	if c.decl.Idempotent {
		route.Kind = router.Idempotent
	}
	rc := c.q.call(route, c.route.Service)
	rc.Message, rc.Keyed = c, c.key != ""
	a, f := c.q.e.router.Call(ctx, rc)
	switch {
	case f == nil:
		c.deliver(a.Body.(*reply))
	case f.Why == router.CallerGone:
		c.q.callerGone()
	default:
		c.q.fail(failureOf(f))
	}
}

// reply is what an agent says for a call: the service's answer, or why its
// idempotency key stands in the way.
type reply struct {
	outcome  *wire.Outcome
	conflict *failure
}

func (c *call) deliver(r *reply) {
	if r.conflict != nil {
		c.q.fail(r.conflict)
		return
	}
	c.answer(r.outcome)
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
}
