package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
)

// Chooser chooses endpoints in fleets with an agent in front of each endpoint. An agent
// queues requests by priority, grants memory exactly, monitors its endpoint and reports
// what is lost there. The router then leaves queueing to the agents, ignores the load of
// other entries and does not time out silent endpoints. All other decisions are the same
// as without agents.
type Chooser interface {
	// Choose returns an endpoint of a role for a call. It may wait briefly for one to be
	// ready. Endpoints tried before are the last choice.
	Choose(ctx context.Context, c *Call, role Role, tried map[string]bool) (*Endpoint, error)
	// Usable reports whether an endpoint still accepts new work.
	Usable(e *Endpoint) bool
}

const (
	// freeExpiries is how many times an attempt that ended with ErrExpired is repeated
	// without charging the retry budget.
	//
	// After this process was paused or partitioned, all its generations lose their memory
	// at once. The budget is far smaller than their number, and the endpoints are
	// healthy.
	freeExpiries = 2
	// keyOwnerTimeout is how long a call waits for the owner of its idempotency key: the
	// time until a replaced process is ready. keyOwnerPollInterval is the time between two
	// attempts.
	keyOwnerTimeout      = 5 * time.Second
	keyOwnerPollInterval = 100 * time.Millisecond
)

func (r *Router) usesAgents() bool { return r.set.Chooser != nil }

// usable reports whether an endpoint still accepts new work.
func (r *Router) usable(e *Endpoint) bool {
	if r.usesAgents() {
		return r.set.Chooser.Usable(e)
	}
	return r.Directory().Contains(e) && r.loads.backoffLeft(time.Now(), e.ID) == 0
}

// choose asks the Chooser for an endpoint, and refuses the call if there is none.
func (r *Router) choose(ctx context.Context, c *Call, role Role, tried map[string]bool) (*Endpoint, error) {
	e, err := r.set.Chooser.Choose(ctx, c, role, tried)
	if err != nil {
		return nil, errNoEndpoint.Wrap(err, "choose an endpoint of %s", c.Service.Name)
	}
	return e, nil
}

// reserveAtAgent reserves memory at a decode endpoint, queueing at its agent if
// necessary, and then chooses the prefill endpoint.
//
// Memory is reserved first because a prefill result lives less than a second, and would
// be wasted without a decode endpoint for it.
func (g *generationRun) reserveAtAgent(ctx context.Context) (admission, error) {
	r, c := g.r, g.c
	e, err := r.choose(ctx, c, Decode, g.tried)
	if err != nil {
		return admission{}, err
	}
	g.tried[e.ID] = true
	began := time.Now()
	a := admission{placement: placement{decode: e}, work: r.loads.Begin(e.ID, Load{Decodes: 1})}
	a.reservation, err = r.endpoints.Reserve(ctx, e, c, ReserveRequest{Tokens: c.initialTokens()})
	if err != nil {
		a.work.End()
		return admission{}, err
	}
	r.metrics.Histogram("queue." + c.class()).Record(time.Since(began))
	g.expireKept(time.Now())
	if g.kept == nil {
		a.prefill, err = r.choose(ctx, c, Prefill, g.tried)
	}
	if err != nil {
		a.work.End()
		g.release(a.reservation)
		return admission{}, err
	}
	r.log.Emit(event.GenerationPlaced, zap.String("request", c.ID), zap.String("prefill", a.prefillID()),
		zap.String("decode", e.ID), zap.Duration("waited", time.Since(began)), zap.Bool("kept", g.kept != nil))
	return a, nil
}

// mayRetryLoss decides whether a lost attempt may be followed by another one in fleets
// with agents. An attempt that delivered events may always be, because each continuation
// makes progress. Others are charged to the retry budget.
func (g *generationRun) mayRetryLoss(err error) bool {
	if g.progress {
		return true
	}
	if errorx.IsOfType(err, ErrExpired) && g.expiries < freeExpiries {
		g.expiries++
		return true
	}
	return g.r.takeRetry(g.c.Service.Name)
}

// mayRetryAtAgent reports whether another attempt at a plain call is safe and worthwhile
// in fleets with agents. Attempts that did not run cost the endpoint next to nothing.
func (p *plainRun) mayRetryAtAgent(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil || errorx.IsOfType(err, ErrQueueTimeout):
		return false
	case err == nil || !errorx.IsOfType(err, ErrNotRun):
		return p.r.takeRetry(p.c.Service.Name)
	case p.c.Keyed:
		soon := time.Since(p.c.ReceivedAt) < min(keyOwnerTimeout, p.c.MaxQueueTime)
		return soon && ebonypulley.Sleep(ctx, keyOwnerPollInterval)
	default:
		return p.sent < maxRefusals
	}
}
