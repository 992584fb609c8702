package router

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/limit"
	"ebonypulley/poison"
)

const (
	// maxUnreachable is the number of unreachable endpoints after which a request is
	// refused. They received nothing of the request, so they count neither as attempts nor
	// against the retry budget.
	maxUnreachable = 3
	// firstAttemptFraction is the fraction of the remaining time that an idempotent call
	// gives its first endpoint before it tries another one.
	firstAttemptFraction = 0.5
	// plainRetryCalls and plainRetrySpreadCalls determine when a refused plain call may be
	// retried, in expected call durations. A few slots are free by then, and callers
	// refused together do not retry together.
	plainRetryCalls       = 1.7
	plainRetrySpreadCalls = 3.3
)

// plainRun is the processing of one plain call, over as many attempts as are safe.
type plainRun struct {
	r            *Router
	c            *Call
	tried        map[string]bool
	sent         int
	ran          bool    // an attempt may have run
	failedAnswer *Answer // an endpoint's own failure, delivered if no later attempt succeeds
	// next is the endpoint of the next attempt with its permit, if it is already chosen.
	next    *Endpoint
	permit  *permit
	limited limitedUntil
	// charge is what the retry budget was charged for the next arrival, or nil.
	charge   *limit.Charge
	arrivals requestArrivals
	// ended ends the accounting of an attempt that has waited for room.
	ended func()
}

// Call serves a plain call. It returns the answer, or why the call was given up.
func (r *Router) Call(ctx context.Context, c *Call) (*Answer, *Failure) {
	if f := r.charge(c); f != nil {
		return nil, f
	}
	a, f := r.call(ctx, c)
	r.refund(c, f)
	return a, f
}

func (r *Router) call(ctx context.Context, c *Call) (*Answer, *Failure) {
	run := &plainRun{r: r, c: c, tried: make(map[string]bool), limited: make(limitedUntil)}
	r.budget(c.Service.Name).RecordFirst(c.ReceivedAt)
	defer run.returnCharge()
	for unreachable := 0; ; {
		a, err := run.attempt(ctx)
		if !errorx.IsOfType(err, ErrNotRun) {
			run.ran = true
		}
		if err == nil && (!a.Failed || c.Route.Kind != Idempotent || !run.mayRetry(ctx, nil)) {
			return a, nil
		}
		if err == nil {
			run.failedAnswer = a
			continue
		}
		if errorx.IsOfType(err, ErrUnreachable) && unreachable < maxUnreachable && !c.Keyed {
			unreachable++
			run.sent--
			continue
		}
		if run.repeatable(err) && run.mayRetry(ctx, err) {
			continue
		}
		if run.failedAnswer != nil {
			return run.failedAnswer, nil
		}
		return nil, run.failure(ctx, err)
	}
}

// repeatable reports whether it is safe to repeat a call whose attempt ended with err.
func (p *plainRun) repeatable(err error) bool {
	if errorx.IsOfType(err, errNoEndpoint) || errorx.IsOfType(err, errPoison) {
		return false
	}
	return p.c.Route.Kind == Idempotent || errorx.IsOfType(err, ErrNotRun)
}

// mayRetry reports whether the route, the retry budget and the deadline allow another
// attempt, and an endpoint is available for it.
func (p *plainRun) mayRetry(ctx context.Context, err error) bool {
	if p.r.usesAgents() {
		return p.mayRetryAtAgent(ctx, err)
	}
	now := time.Now()
	if p.sent >= p.c.Route.MaxAttempts || ctx.Err() != nil || p.c.TimeLeft(now) <= 0 {
		return false
	}
	held := p.r.holdOf(p.c) != nil
	if !held {
		if p.next = p.pick(now); p.next == nil {
			return false
		}
	}
	if p.charge == nil {
		p.charge = p.r.chargeRetry(p.c.Service.Name)
	}
	if p.charge == nil {
		p.permit.release(now)
		return false
	}
	return true
}

// settleArrival settles the charge for an attempt that ended with err. If it was not sent, the
// charge pays for the next attempt.
func (p *plainRun) settleArrival(err error) {
	if errorx.IsOfType(err, ErrNotSent) {
		return
	}
	p.r.arrivals.settle(time.Now(), &p.arrivals, p.charge)
	p.charge = nil
}

// returnCharge returns a charge that no attempt used.
func (p *plainRun) returnCharge() {
	p.r.returnRetry(p.c.Service.Name, p.charge)
	p.charge = nil
}

// pick returns an endpoint that accepts the call within its limit, or nil.
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

// errNoEndpoint is returned when no endpoint can accept a request.
var errNoEndpoint = ErrNotRun.NewSubtype("no-endpoint")

func (p *plainRun) attempt(ctx context.Context) (*Answer, error) {
	r, c := p.r, p.c
	if err := r.refusePoison(c); err != nil {
		p.permit.release(time.Now())
		return nil, err
	}
	e, err := p.choose(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	began := time.Now()
	defer func() { p.permit.release(time.Now()) }()
	p.tried[e.ID] = true
	p.sent++
	ctx, cancel := context.WithDeadline(ctx, p.attemptDeadline(began))
	defer cancel()
	end := p.begin(e)
	a, err := r.endpoints.Call(ctx, e, c)
	r.recordSent(ctx, e, began, c, &p.arrivals, err)
	p.permit.markSent(err)
	p.settleArrival(err)
	end()
	if h := r.holdOf(c); h != nil && isFull(err) && ctx.Err() == nil {
		h.recordFull(time.Now(), e)
	} else {
		r.recordAttempt(ctx, e, a, err, time.Since(began))
	}
	switch {
	case err == nil:
		r.crashes.RecordSuccess(time.Now(), c.ContentHash)
	case ctx.Err() == nil:
		r.recordIfCrashed(c, poison.Attempt{Lasted: time.Since(began)}, poison.Progress{}, e, err)
	}
	r.log.Emit(event.AttemptEnded, zap.String("request", c.ID), c.ContentField(), zap.String("endpoint", e.ID),
		zap.Duration("took", time.Since(began)), zap.Bool("failed", a != nil && a.Failed), event.Err(err))
	return a, err
}

func (p *plainRun) choose(ctx context.Context, now time.Time) (*Endpoint, error) {
	if p.r.usesAgents() {
		return p.r.choose(ctx, p.c, Plain, p.tried)
	}
	if h := p.r.holdOf(p.c); h != nil && p.next == nil {
		if err := h.wait(ctx, p); err != nil {
			return nil, err
		}
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

// begin accounts for an attempt until the function that it returns is called.
func (p *plainRun) begin(e *Endpoint) func() {
	if end := p.ended; end != nil {
		p.ended = nil
		return end
	}
	return p.r.loads.Begin(e.ID, Load{Calls: 1}).End
}

// attemptDeadline returns when an attempt is abandoned for another one.
func (p *plainRun) attemptDeadline(now time.Time) time.Time {
	if most := p.c.Route.MaxAttempts; p.c.Route.Kind != Idempotent || most > 0 && p.sent >= most {
		return p.c.Deadline
	}
	expected := p.r.loads.CallTime(p.c.Service.Name, p.c.Route.LatencyTarget)
	first := max(time.Duration(float64(p.c.TimeLeft(now))*firstAttemptFraction), expected.UpperBound()+networkAllowance)
	return earlier(now.Add(first), p.c.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordAttempt records an attempt in its endpoint's health.
func (r *Router) recordAttempt(ctx context.Context, e *Endpoint, a *Answer, err error, took time.Duration) {
	now := time.Now()
	switch {
	case err == nil && !a.Failed:
		r.loads.RecordCall(now, e, took)
	case err == nil:
		r.loads.RecordFailure(now, e.ID)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller disconnected, which says nothing about the endpoint.
	case unanswered(err):
		r.avoid(now, e, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.loads.RecordTimeout(now, e.ID, now.Add(-took))
	default:
		r.loads.RecordFailure(now, e.ID)
	}
}

// unanswered reports whether the endpoint itself gave no answer: it accepted no
// connection, or another one has its address.
func unanswered(err error) bool {
	return errorx.IsOfType(err, ErrUnreachable) || errorx.IsOfType(err, ErrReplaced)
}

// avoid records an endpoint that gave no answer.
func (r *Router) avoid(now time.Time, e *Endpoint, err error) {
	if errorx.IsOfType(err, ErrNotListening) {
		r.loads.RecordGone(now, e.ID)
		return
	}
	r.loads.RecordUnresponsive(now, e.ID)
}

func (p *plainRun) failure(ctx context.Context, err error) *Failure {
	f := &Failure{Cause: err}
	switch {
	case callerGone(ctx):
		f.Reason = CallerGone
	case p.sent == 0 && isStopping(ctx):
		f.Reason = NotRun
	case errorx.IsOfType(err, ErrNotRun) && !p.ran:
		f.Reason = NotRun
		f.RetryAfter = retryAdvice(err, p.retryDelay(err))
	case p.c.TimeLeft(time.Now()) <= 0:
		f.Reason = TimedOut
	default:
		f.Reason = Unknown
	}
	return f
}

// failureCostCalls is the cost of a certain failure, in expected call durations: the
// failed call, and a second one queued behind others.
const failureCostCalls = 6.5

// remoteDCCost is the cost of calling an endpoint in another data centre, and of one whose
// slots are all in use. It only decides between otherwise equal endpoints.
const remoteDCCost = 4 * time.Millisecond

// pickPlain returns the endpoint with the lowest expected call duration.
//
// The expectation includes the work in progress of all entries and the endpoint's
// slowdown and failure rate, so that slow, failing or hanging endpoints with few slots
// get no more calls than they can serve.
func (r *Router) pickPlain(now time.Time, c *Call, tried map[string]bool, limited limitedUntil) *Endpoint {
	var best *Endpoint
	var bestCost float64
	expected := float64(r.loads.CallTime(c.Service.Name, c.Route.LatencyTarget).Mean)
	for _, e := range r.Directory().Endpoints(c.Service.Name, Plain) {
		if tried[e.ID] || now.Before(limited[e.ID]) || r.loads.backoffLeft(now, e.ID) > 0 {
			continue
		}
		cost := r.plainCost(r.loads.View(now, e.ID), e, expected)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// plainCost returns the cost of a call at an endpoint in nanoseconds: its expected
// duration, and penalties for slots in use, failures, distance and avoided endpoints.
// expected is the expected duration for the service.
func (r *Router) plainCost(v View, e *Endpoint, expected float64) float64 {
	slots := max(e.Slots, 1)
	fill := float64(v.Calls+1) / float64(slots)
	cost := expected*v.Slowdown*max(1, fill) + fill*float64(remoteDCCost) + v.FailureRate*failureCostCalls*expected
	if e.DataCentre != r.set.DataCentre {
		cost += float64(remoteDCCost)
	}
	if v.Avoided {
		cost += avoidCost
	}
	return cost
}

// avoidCost, in nanoseconds, ranks an avoided endpoint behind all others.
const avoidCost = float64(time.Minute)
