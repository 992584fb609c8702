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

// Call implements router.Endpoints: one attempt at one agent; attempt.Client
// decides what may be said of it.
func (a agents) Call(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Answer, error) {
	p := c.Message.(*call)
	id := wire.NewID()
	x, err := a.open(e, id)
	if err != nil {
		return nil, err
	}
	defer x.close()
	machine := attempt.NewClient(x.inc, p.offer(id, c), &wire.Start{
		Query:   p.q.r.URL.RawQuery,
		Headers: forwarded(p.q.r.Header),
		Body:    p.body,
	})
	return ended(e, drive(ctx, x, machine, p.q.gone))
}

// settleTime is how long a call at its deadline waits for the agent's last
// word.
const settleTime = 200 * time.Millisecond

// drive carries messages between the machine and the agent.
func drive(ctx context.Context, x *exchange, machine *attempt.Client, gone func() bool) attempt.End {
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
		case errorx.IsOfType(err, router.ErrLost):
			step = machine.Lost()
		case settling || gone():
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

// ended translates the end of an attempt.
func ended(e *router.Endpoint, end attempt.End) (*router.Answer, error) {
	switch end.Fate {
	case attempt.Answered:
		failed := end.Outcome.Status >= http.StatusInternalServerError
		return &router.Answer{Failed: failed, Body: &reply{outcome: end.Outcome}}, nil
	case attempt.Refused:
		if f := keyConflict(end.Refusal.Reason); f != nil {
			return &router.Answer{Body: &reply{conflict: f}}, nil
		}
		return nil, refusedError(e.ID, end.Refusal)
	case attempt.NotRun:
		return nil, router.ErrNotRun.New("%s did not run the call", e.ID)
	default:
		return nil, router.ErrLost.New("%s started the call; its outcome is not known", e.ID)
	}
}

// keyConflict is the answer to a call whose idempotency key stands in the way,
// or nil.
func keyConflict(reason wire.Reason) *failure {
	switch reason {
	case wire.KeyReused:
		return conflict(reason, "the Idempotency-Key belongs to another call")
	case wire.KeyRunning:
		f := conflict(reason, "the first call with this Idempotency-Key is still running")
		f.retryAfter = minRetry
		return f
	case wire.KeyDone:
		return conflict(reason, "a call with this Idempotency-Key ran; its answer is not kept any more")
	case wire.KeyUnknown:
		return conflict(reason, "whether a call with this Idempotency-Key ran is not known; check before booking again with a new key")
	}
	return nil
}

// keyOwner returns the member with the highest hash for a key (rendezvous
// hashing): a changed member moves only its own keys.
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

func (c *call) offer(id wire.ID, rc *router.Call) *wire.Offer {
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
		Wait:        rc.Patience(time.Now(), false),
		Deadline:    rc.Left(time.Now()),
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
