package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"ebonypulley/attempt"
	"ebonypulley/config"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// Call implements router.EndpointClient. It makes one attempt at one agent;
// attempt.Client decides how the attempt ended.
func (a agentEndpoints) Call(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Answer, error) {
	p := c.Message.(*call)
	id := wire.NewID()
	x, err := a.open(e, id)
	if err != nil {
		return nil, err
	}
	defer x.close()
	machine := attempt.NewClient(x.incarnation, p.newOffer(id, c), &wire.Start{
		Query:   p.request.r.URL.RawQuery,
		Headers: forwardedHeaders(p.request.r.Header),
		Body:    p.body,
	})
	return attemptResult(e, runAttempt(ctx, x, machine, p.request.disconnected))
}

// withdrawTimeout is how long a call whose deadline passed waits for the agent
// to report its final state.
const withdrawTimeout = 200 * time.Millisecond

// runAttempt exchanges messages between the state machine and the agent until
// the attempt ends.
func runAttempt(ctx context.Context, x *exchange, machine *attempt.Client, disconnected func() bool) attempt.Result {
	step := machine.Begin()
	withdrawing := false
	for step.Result == nil {
		if step.Send != nil {
			_ = x.stream.Send(step.Send)
		}
		e, err := x.event(ctx)
		switch {
		case err == nil && e.Link != nil:
			step = machine.Connected(e.Link.Incarnation)
		case err == nil:
			step = machine.Receive(e.Message)
		case errorx.IsOfType(err, router.ErrLost):
			step = machine.AgentLost()
		case withdrawing || disconnected():
			step = machine.Abandon()
		default:
			withdrawing = true
			step = machine.DeadlinePassed()
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
			defer cancel()
		}
	}
	return *step.Result
}

// attemptResult translates the end of an attempt into the router's terms.
func attemptResult(e *router.Endpoint, end attempt.Result) (*router.Answer, error) {
	switch end.Disposition {
	case attempt.Answered:
		failed := end.Outcome.Status >= http.StatusInternalServerError
		return &router.Answer{Failed: failed, Body: &callResult{outcome: end.Outcome}}, nil
	case attempt.Refused:
		if f := keyConflict(end.Refusal.Reason); f != nil {
			return &router.Answer{Body: &callResult{conflict: f}}, nil
		}
		return nil, refusedError(e.ID, end.Refusal)
	case attempt.NotRun:
		return nil, router.ErrNotRun.New("%s did not run the call", e.ID)
	default:
		return nil, router.ErrLost.New("%s started the call; its outcome is not known", e.ID)
	}
}

// keyConflict returns the answer to a call that was refused because of its
// Idempotency-Key, or nil for any other reason.
func keyConflict(reason wire.Reason) *failure {
	switch reason {
	case wire.ReasonKeyReused:
		return conflict(reason, "the Idempotency-Key belongs to another call")
	case wire.ReasonKeyRunning:
		f := conflict(reason, "the first call with this Idempotency-Key is still running")
		f.retryAfter = minRetryAfter
		return f
	case wire.ReasonKeyDone:
		return conflict(reason, "a call with this Idempotency-Key ran; its answer is not kept any more")
	case wire.ReasonKeyUnknown:
		return conflict(reason, "whether a call with this Idempotency-Key ran is not known; check before booking again with a new key")
	}
	return nil
}

// keyOwner returns the member that owns an Idempotency-Key, by rendezvous
// hashing: a change of one member moves only the keys of that member.
func keyOwner(members []config.Endpoint, workspace, key string) (owner config.Endpoint) {
	best := uint64(0)
	for i, m := range members {
		h := xxhash.New()
		for _, part := range []string{m.Name, workspace, key} {
			_, _ = h.WriteString(part)
			_, _ = h.WriteString("\x00")
		}
		if sum := h.Sum64(); i == 0 || sum > best {
			owner, best = m, sum
		}
	}
	return owner
}

func (c *call) newOffer(id wire.ID, rc *router.Call) *wire.Offer {
	doc := c.request.entry.store.Current().Document
	h := xxhash.New()
	_, _ = h.WriteString(c.request.r.Method + " " + c.path + "?" + c.request.r.URL.RawQuery + "\n")
	_, _ = h.Write(c.body)
	return &wire.Offer{
		ID:          id,
		Service:     c.route.Service,
		Route:       c.route.Name,
		Method:      c.request.r.Method,
		Path:        c.path,
		Idempotent:  c.declared.Idempotent,
		Priority:    c.request.tier.Priority,
		Spare:       c.request.tier.Spare,
		Wait:        rc.QueueTimeLeft(time.Now(), false),
		Deadline:    rc.TimeLeft(time.Now()),
		Workspace:   c.request.workspace.Name,
		Key:         c.key,
		Members:     doc.ServiceEndpointsHash(c.route.Service),
		Fingerprint: h.Sum64(),
	}
}

// forwardedHeaders returns the headers that are passed on to the service: the
// end-to-end headers without the workspace key, X-Deadline and Content-Length.
func forwardedHeaders(h http.Header) []wire.Header {
	h = h.Clone()
	h.Del("Authorization")
	h.Del(HeaderDeadline)
	h.Del("Content-Length")
	return wire.EndToEndHeaders(h)
}
