package router

import (
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/quota"
	"ebonypulley/returns"
)

// maxRetryDelay returns the longest delay that the caller respects.
func (c *Call) maxRetryDelay() time.Duration { return maxRetryDelay(c.Timeout) }

// maxRetryDelay returns the longest delay that a caller with a timeout respects.
func maxRetryDelay(timeout time.Duration) time.Duration {
	return max(time.Duration(maxRetryFraction*float64(timeout)), 0)
}

// waited returns how long ago the caller made its first attempt. Its timeout is shorter by that
// than at first.
func (r *Router) waited(c *Call) time.Duration { return max(r.firstTimeout(c)-c.Timeout, 0) }

// firstTimeout returns the timeout of first attempts on the call's route.
func (r *Router) firstTimeout(c *Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.timeouts[c.Route.Name]; t != nil {
		return t.value
	}
	return c.Timeout
}

// recordTimeout records the timeout of a call.
func (r *Router) recordTimeout(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.timeouts[c.Route.Name]
	if t == nil {
		t = new(commonTimeout)
		r.timeouts[c.Route.Name] = t
	}
	t.add(c.Timeout)
}

const (
	// timeoutTolerance is the fraction by which two timeouts of one length may differ.
	timeoutTolerance = 0.02
	// maxTimeoutVotes bounds how many calls a new common timeout must outnumber.
	maxTimeoutVotes = 32
)

// commonTimeout is the timeout that most callers of a route request, by majority vote. First
// attempts have one length, while those of callers that come back are spread.
type commonTimeout struct {
	value time.Duration
	votes int
}

func (t *commonTimeout) add(timeout time.Duration) {
	switch {
	case (timeout - t.value).Abs() <= time.Duration(timeoutTolerance*float64(t.value)):
		t.votes = min(t.votes+1, maxTimeoutVotes)
	case t.votes > 0:
		t.votes--
	default:
		t.value, t.votes = timeout, 1
	}
}

// recordReturn records what a refused caller was told.
func (r *Router) recordReturn(c *Call, to string, req returns.Request, delay time.Duration, booked bool) {
	what, counter := event.ReturnNotBooked, "returns_not_booked"
	if booked {
		what, counter = event.ReturnBooked, "returns_booked"
	}
	r.metrics.Add(counter, 1)
	if r.waited(c) >= returns.MinDelay {
		r.metrics.Add("returns_refused", 1)
	}
	r.log.Emit(what, zap.String("request", c.ID), zap.String("to", to), zap.Duration("delay", delay), zap.Float64("cost", req.Cost),
		zap.Float64("rate", req.Rate), zap.Int("rank", req.Rank), zap.Duration("earliest", req.Earliest), zap.Duration("latest", req.Latest))
}

// serviceKey returns the key under which returns to a service are booked.
func serviceKey(service string) quota.ID { return quota.NewID("service\x00" + service) }

// bookServiceReturn returns the delay after which a call that a service had no room for may
// retry, and books its return. rate is what becomes available a second.
func (r *Router) bookServiceReturn(c *Call, cost, rate float64, earliest time.Duration) time.Duration {
	urgency, _ := r.Directory().Urgency(c.Route, c.Service.Name)
	if r.waited(c) >= returns.MinDelay {
		rate = 0 // it has hardly a retry left
	}
	latest := c.maxRetryDelay()
	req := returns.Request{Cost: cost, Rate: rate * returns.Fraction, Rank: urgency, Earliest: min(max(earliest, returns.MinDelay), latest), Latest: latest}
	delay, booked := r.calendar.Book(time.Now(), serviceKey(c.Service.Name), req)
	r.recordReturn(c, "service "+c.Service.Name, req, delay, booked)
	return delay
}

// retryDelay returns the delay after which a refused caller may retry.
func (g *generationRun) retryDelay() time.Duration {
	r, c := g.r, g.c
	m := r.loads.EngineModel(c.Service)
	duration := m.AnswerDuration(c.Timeout)
	minDelay := time.Duration(minRetryAnswers * float64(duration))
	spread := time.Duration(retrySpreadAnswers * float64(duration))
	maxDelay := time.Duration(maxRetryFraction * float64(c.Timeout))
	if minDelay+spread > maxDelay {
		minDelay, spread = max(maxDelay-spread, maxDelay/2), min(spread, maxDelay/2)
	}
	unavailable := r.unavailableFor(time.Now(), c.Service.Name, Decode, g.limited)
	if c.Service.Engine != nil && r.Directory().CallersDiffer(c.Service.Name) {
		memory := len(r.Directory().Endpoints(c.Service.Name, Decode)) * c.Service.Engine.KVCapacity
		return r.bookServiceReturn(c, float64(c.initialTokens()), float64(memory)/duration.Seconds(), unavailable+minDelay)
	}
	return unavailable + r.jitter(minDelay, max(spread, time.Millisecond))
}

// retryDelay returns the delay after which a refused call may be retried.
func (p *plainRun) retryDelay() time.Duration {
	r, c := p.r, p.c
	call := float64(r.loads.CallTime(c.Service.Name, c.Route.LatencyTarget).Mean)
	minDelay, spread := time.Duration(plainRetryCalls*call), time.Duration(plainRetrySpreadCalls*call)
	unavailable := r.unavailableFor(time.Now(), c.Service.Name, Plain, p.limited)
	if r.Directory().CallersDiffer(c.Service.Name) {
		slots := 0
		for _, e := range r.Directory().Endpoints(c.Service.Name, Plain) {
			slots += max(e.Slots, 1)
		}
		return r.bookServiceReturn(c, 1, float64(slots)/time.Duration(call).Seconds(), unavailable+minDelay)
	}
	return unavailable + r.jitter(minDelay, max(spread, time.Millisecond))
}
