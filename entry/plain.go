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

// plainCall serves a call to a plain service.
func (q *request) plainCall() {
	c, f := q.newCall()
	if f != nil {
		q.fail(f)
		return
	}
	c.run()
}

// call is a caller's call to a plain service.
type call struct {
	request  *request
	route    *config.Route
	declared *config.Call
	path     string
	body     []byte
	key      string // the Idempotency-Key; empty for an idempotent call
}

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

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
	key := q.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, badRequest(HeaderIdempotencyKey, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	body, f := q.readBody()
	if f != nil {
		return nil, f
	}
	c := &call{request: q, route: route, declared: decl, path: path, body: body, key: key}
	if decl.Idempotent {
		c.key = "" // repeating the call is harmless, so any endpoint may run it
	}
	return c, nil
}

// run passes the call to the router and sends the answer.
func (c *call) run() {
	ctx, cancel := c.request.context()
	defer cancel()
	route := &router.Route{Name: c.route.Name, Kind: router.NonIdempotent}
	if c.declared.Idempotent {
		route.Kind = router.Idempotent
	}
	rc := c.request.routerCall(route, c.route.Service)
	rc.Message, rc.Keyed = c, c.key != ""
	a, f := c.request.entry.router.Call(ctx, rc)
	switch {
	case f == nil:
		c.deliver(a.Body.(*callResult))
	case f.Reason == router.CallerGone:
		c.request.recordCallerGone()
	default:
		c.request.fail(callerFailure(f))
	}
}

// callResult is an agent's answer to a call: the service's answer, or a
// conflict of its Idempotency-Key.
type callResult struct {
	outcome  *wire.Outcome
	conflict *failure
}

func (c *call) deliver(r *callResult) {
	if r.conflict != nil {
		c.request.fail(r.conflict)
		return
	}
	c.writeOutcome(r.outcome)
}

func (c *call) writeOutcome(out *wire.Outcome) {
	q := c.request
	invariant.Check(out.State == wire.StateDone, invariant.SingleAnswer, "request %s answered from state %s", q.id, out.State)
	h := q.w.Header()
	for _, line := range out.Headers {
		if line.Name != HeaderOutcome && line.Name != HeaderRequestID {
			h.Add(line.Name, line.Value)
		}
	}
	if out.Replayed {
		h.Set(HeaderIdempotencyReplayed, "true")
	}
	q.beginAnswer(OutcomeAnswered)
	ctl := http.NewResponseController(q.w)
	_ = ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	q.w.WriteHeader(out.Status)
	if _, err := q.w.Write(out.Body); err != nil {
		q.entry.log.Emit(event.CallerDisconnected, zap.Stringer("request", q.id))
	}
}
