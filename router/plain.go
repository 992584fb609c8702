package router

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/poison"
)

const (
	// maxUnreachable is how many endpoints without a connection one request
	// meets before it is refused. None of them got anything of it, so they
	// count neither as attempts nor against the budget.
	maxUnreachable = 3
	// firstShare is the part of the time left that a call which may be
	// repeated gives one endpoint before it asks another.
	firstShare = 0.5
	// plainRetry and its spread are when a refused plain call may come back, in
	// usual times of a call: a few places have become free then, and callers
	// refused together do not return together.
	plainRetry       = 1.7
	plainRetrySpread = 3.3
)

// plainRun is one plain call, over as many attempts as are safe.
type plainRun struct {
	r      *Router
	c      *Call
	tried  map[string]bool
	sent   int
	ran    bool    // an attempt may have run
	failed *Answer // an endpoint's own failure, delivered if nothing better comes
	// next is the endpoint of the next attempt with its permit, if it is chosen already.
	next    *Endpoint
	permit  *permit
	limited atLimit
}

// Call serves a plain call: it returns the answer, or why it was given up.
func (r *Router) Call(ctx context.Context, c *Call) (*Answer, *Failure) {
	if f := r.charge(c); f != nil {
		return nil, f
	}
	a, f := r.call(ctx, c)
	r.refund(c, f)
	return a, f
}

func (r *Router) call(ctx context.Context, c *Call) (*Answer, *Failure) {
	run := &plainRun{r: r, c: c, tried: make(map[string]bool), limited: make(atLimit)}
	r.budget(c.Service.Name).First(c.Began)
	for unreachable := 0; ; {
		a, err := run.attempt(ctx)
		if !errorx.IsOfType(err, ErrNotRun) {
			run.ran = true
		}
		if err == nil && (!a.Failed || c.Route.Kind != Idempotent || !run.again(ctx, nil)) {
			return a, nil
		}
		if err == nil {
			run.failed = a
			continue
		}
		if errorx.IsOfType(err, ErrUnreachable) && unreachable < maxUnreachable && !c.Keyed {
			unreachable++
			run.sent--
			continue
		}
		if run.repeatable(err) && run.again(ctx, err) {
			continue
		}
		if run.failed != nil {
			return run.failed, nil
		}
		return nil, run.failure(ctx, err)
	}
}

// repeatable reports whether an attempt that ended with err may be followed
// by another.
func (p *plainRun) repeatable(err error) bool {
	if errorx.IsOfType(err, errNoEndpoint) || errorx.IsOfType(err, errPoison) {
		return false
	}
	return p.c.Route.Kind == Idempotent || errorx.IsOfType(err, ErrNotRun)
}

// again reports whether one more attempt is within the route's attempts, the
// budget and the time, and there is an endpoint for it.
func (p *plainRun) again(ctx context.Context, err error) bool {
	if p.r.gated() {
		return p.againGated(ctx, err)
	}
	now := time.Now()
	if p.sent >= p.c.Route.MaxAttempts || ctx.Err() != nil || p.c.Left(now) <= 0 {
		return false
	}
	if p.next = p.pick(now); p.next == nil {
		return false
	}
	if !p.r.budget(p.c.Service.Name).Retry(now) {
		p.permit.end(now)
		return false
	}
	return true
}

// pick returns an endpoint that takes the call within its limit, or nil.
func (p *plainRun) pick(now time.Time) *Endpoint {
	for {
		e := p.r.pickPlain(now, p.c, p.tried, p.limited)
		if e == nil {
			return nil
		}
		permit, wait := p.r.permit(now, e)
		if permit != nil {
			p.permit = permit
			return e
		}
		p.limited[e.ID] = now.Add(wait)
	}
}

// errNoEndpoint is returned when no endpoint can take a request.
var errNoEndpoint = ErrNotRun.NewSubtype("no-endpoint")

func (p *plainRun) attempt(ctx context.Context) (*Answer, error) {
	r, c := p.r, p.c
	if err := r.refusePoison(c); err != nil {
		p.permit.end(time.Now())
		return nil, err
	}
	began := time.Now()
	e, err := p.choose(ctx, began)
	if err != nil {
		return nil, err
	}
	defer func() { p.permit.end(time.Now()) }()
	p.tried[e.ID] = true
	p.sent++
	ctx, cancel := context.WithDeadline(ctx, p.until(began))
	defer cancel()
	work := r.loads.Begin(e.ID, Load{Calls: 1})
	a, err := r.endpoints.Call(ctx, e, c)
	p.permit.sent(err)
	work.End()
	r.learn(ctx, e, a, err, time.Since(began))
	switch {
	case err == nil:
		r.crashes.Served(time.Now(), c.Content)
	case ctx.Err() == nil:
		r.lostAt(c, poison.Attempt{Lasted: time.Since(began)}, e, err)
	}
	r.log.Emit(event.AttemptEnded, zap.String("request", c.ID), c.ContentField(), zap.String("endpoint", e.ID),
		zap.Duration("took", time.Since(began)), zap.Bool("failed", a != nil && a.Failed), event.Err(err))
	return a, err
}

func (p *plainRun) choose(ctx context.Context, now time.Time) (*Endpoint, error) {
	if p.r.gated() {
		return p.r.choose(ctx, p.c, Plain, p.tried)
	}
	e := p.next
	p.next = nil
	if e == nil {
		e = p.pick(now)
	}
	if e != nil {
		return e, nil
	}
	return nil, errNoEndpoint.New("no endpoint of %s can take the call", p.c.Service.Name)
}

// until returns when an attempt is given up for another one.
func (p *plainRun) until(now time.Time) time.Time {
	if most := p.c.Route.MaxAttempts; p.c.Route.Kind != Idempotent || most > 0 && p.sent >= most {
		return p.c.Deadline
	}
	usual := p.r.loads.CallTime(p.c.Service.Name, p.c.Route.Target)
	first := max(time.Duration(float64(p.c.Left(now))*firstShare), usual.High()+wayTime)
	return earlier(now.Add(first), p.c.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// learn records what an attempt showed of its endpoint.
func (r *Router) learn(ctx context.Context, e *Endpoint, a *Answer, err error, took time.Duration) {
	now := time.Now()
	switch {
	case err == nil && !a.Failed:
		r.loads.Answered(now, e, took)
	case err == nil:
		r.loads.Failed(now, e.ID)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller left: nothing is learned.
	case unanswered(err) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.avoid(now, e, err)
	default:
		r.loads.Failed(now, e.ID)
	}
}

// unanswered reports whether the endpoint itself gave no answer at all: it took
// no connection, or another one has its address.
func unanswered(err error) bool {
	return errorx.IsOfType(err, ErrUnreachable) || errorx.IsOfType(err, ErrMoved)
}

// avoid records an endpoint that gave no answer.
func (r *Router) avoid(now time.Time, e *Endpoint, err error) {
	if errorx.IsOfType(err, ErrAbsent) {
		r.loads.Gone(now, e.ID)
		return
	}
	r.loads.Silent(now, e.ID)
}

func (p *plainRun) failure(ctx context.Context, err error) *Failure {
	f := &Failure{Cause: err}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		f.Why = CallerGone
	case errorx.IsOfType(err, ErrNotRun) && !p.ran:
		f.Why = NotRun
		f.Retry = advice(err, p.retry())
	case p.c.Left(time.Now()) <= 0:
		f.Why = TimedOut
	default:
		f.Why = Unknown
	}
	return f
}

// retry is when a refused call may come back.
func (p *plainRun) retry() time.Duration {
	call := float64(p.r.loads.CallTime(p.c.Service.Name, p.c.Route.Target).Mean)
	closed := p.r.closedLeft(time.Now(), p.c.Service.Name, Plain, p.limited)
	return closed + p.r.jitter(time.Duration(plainRetry*call), max(time.Duration(plainRetrySpread*call), time.Millisecond))
}

// failCalls is the delay that a certain failure is worth in the choice of an
// endpoint, in usual times of a call: the failed one, and a second one behind
// others.
const failCalls = 6.5

// farCost is what a hop to another data centre costs in the choice; it only
// decides between endpoints that are otherwise equal.
const farCost = 4 * time.Millisecond

// pickPlain returns the endpoint with the least expected time for a call.
//
// A few slots before many callers, with endpoints that
// are slow, fail a part or hang. Expected time counts work under way of all
// entries, so that a slow endpoint gets its share and no more.
func (r *Router) pickPlain(now time.Time, c *Call, tried map[string]bool, limited atLimit) *Endpoint {
	var best *Endpoint
	var bestCost float64
	usual := float64(r.loads.CallTime(c.Service.Name, c.Route.Target).Mean)
	for _, e := range r.Directory().Endpoints(c.Service.Name, Plain) {
		if tried[e.ID] || now.Before(limited[e.ID]) || r.loads.quietLeft(now, e.ID) > 0 {
			continue
		}
		cost := r.plainCost(now, e, usual)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// plainCost is the expected time of a call; usual is that of the service.
func (r *Router) plainCost(now time.Time, e *Endpoint, usual float64) float64 {
	v := r.loads.View(now, e.ID)
	slots := max(e.Slots, 1)
	fill := float64(v.Calls+1) / float64(slots)
	cost := usual*v.Slow*max(1, fill) + fill*float64(farCost) + v.FailShare*failCalls*usual
	if e.DataCentre != r.set.DataCentre {
		cost += float64(farCost)
	}
	if v.Avoid {
		cost += avoidCost
	}
	return cost
}

// avoidCost puts an endpoint behind all that are not avoided.
const avoidCost = float64(time.Minute)
