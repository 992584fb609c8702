package router

import (
	"time"
)

// Admission under overload.
//
// In a burst, for some seconds twice as many generations arrive as the decode engines
// have memory for. Each takes the same memory whether its first event is on time or late,
// so memory goes to those that can still be on time; the late ones are refused and retry
// after the burst. They are not starved: four fifths of the memory are open to all, and
// the rest of an answer that has begun is admitted like a generation on time.
const (
	// lateFill is the fraction of an engine's memory that may be in use when a late
	// generation starts, even one that has waited.
	lateFill = 0.80
	// lessUrgentFill is the fraction that may be in use when a less urgent generation starts.
	// The rest, room for about one generation, is for urgent ones that arrive before the next
	// answer ends.
	lessUrgentFill = 0.90
	// minWait is the minimum time that a generation waits before it is refused: a few
	// attempts to place it.
	minWait = 5 * roomPollInterval
	// retryThreshold is the difference between the longest timeout of a route's callers
	// and that of a call above which the caller is assumed to be retrying.
	retryThreshold = 100 * time.Millisecond
	// minRetryAnswers and retrySpreadAnswers determine when a refused generation may be
	// retried, in expected answer durations. After one answer duration all memory in use
	// now has been freed. The retries are spread over about as long. A burst of some
	// seconds is over by then.
	minRetryAnswers    = 0.7
	retrySpreadAnswers = 0.55
	// maxRetryFraction bounds the retry delay as a fraction of the caller's timeout. It is
	// slightly below the third up to which callers respect the delay.
	maxRetryFraction = 0.32
)

// admissionPolicy determines how a generation may be admitted over time, given its
// latency target.
type admissionPolicy struct {
	// placeBy is when the generation must be placed to meet its target.
	placeBy time.Time
	// retried says that the caller was refused before and is retrying.
	retried bool
	// begun says that the caller has received a part of the answer.
	begun bool
	// lessUrgent says that the service has more urgent routes, queued that its generations
	// wait in a queue.
	lessUrgent, queued bool
	// maxWait is how long a retry, or the rest of an answer that has begun, waits for
	// room.
	maxWait time.Duration
	// dueAt is when the first event is due. unattainable says that even an idle engine
	// would miss the target.
	dueAt        time.Time
	unattainable bool
}

// admissionRule is what a waiting generation may do at a given moment: fill is the
// fraction of an engine's memory that may be in use, and refuse says to give up if there
// is no room.
type admissionRule struct {
	fill   float64
	refuse bool
	// mayQueue says that it may queue behind other prompts although it is late.
	mayQueue bool
}

func (l admissionPolicy) rule(now, began time.Time) admissionRule {
	waited := now.Sub(began)
	if l.begun {
		return admissionRule{fill: maxFill, refuse: waited >= l.maxWait, mayQueue: true}
	}
	if now.Before(l.placeBy) {
		return admissionRule{fill: l.fillLimit()}
	}
	if !l.retried {
		return admissionRule{fill: lateFill, refuse: waited >= minWait}
	}
	return admissionRule{fill: lateFill, refuse: waited >= l.maxWait}
}

// giveUpAt returns when a call that began to wait at a given time is refused.
func (l admissionPolicy) giveUpAt(began time.Time) time.Time {
	at := began.Add(minWait)
	if l.begun || l.retried {
		at = began.Add(l.maxWait)
	}
	if at.Before(l.placeBy) && !l.begun {
		return l.placeBy
	}
	return at
}

// defers reports whether the call should not use this placement now.
//
// When more prompts arrive than can be prefilled in time, a plain queue would make every
// answer late. So a prompt that would be late does not queue at an engine: a first
// attempt is refused at once, and a retry takes idle engines only. If no engine could
// meet the target, nothing is deferred.
func (l admissionPolicy) defers(now time.Time, p placement, rule admissionRule) bool {
	if l.unattainable || rule.mayQueue || p.queuedTokens == 0 {
		return false
	}
	return now.Add(p.firstEvent.Mean).After(l.dueAt)
}

// fillLimit returns the maximum fraction of an engine's memory that a call on time may
// fill.
func (l admissionPolicy) fillLimit() float64 {
	if l.lessUrgent {
		return lessUrgentFill
	}
	return maxFill
}

// newAdmissionPolicy derives the policy from the target, the time that the caller has
// spent on earlier attempts and the expected time to the first event on idle engines. A
// caller that retries requests a shorter timeout than at first; the longest timeout of
// the route's callers is taken for that of first attempts.
func (g *generationRun) newAdmissionPolicy() admissionPolicy {
	r, c := g.r, g.c
	m := r.loads.EngineModel(c.Service)
	ttft := m.PrefillTime(c.PromptTokens, c.PromptTokens, c.slo()).Add(m.HandoffTime(false, c.slo())).Mean
	spent := r.longestTimeout(c) - c.Timeout
	queued := r.Directory().CallersDiffer(c.Service.Name)
	return admissionPolicy{
		placeBy:      c.ReceivedAt.Add(c.Route.LatencyTarget - spent - ttft),
		dueAt:        c.ReceivedAt.Add(c.Route.LatencyTarget - spent),
		unattainable: ttft > c.Route.LatencyTarget,
		retried:      spent > retryThreshold,
		begun:        c.ResumeAfter != NoEvent,
		lessUrgent:   (queued || !c.ranked()) && r.Directory().HasMoreUrgent(c.Route, c.Service.Name),
		queued:       queued,
		maxWait:      max(g.silenceTimeout()-2*ttft, minWait),
	}
}

// longestTimeout returns the longest timeout that callers of the call's route have
// requested.
func (r *Router) longestTimeout(c *Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(r.longestTimeouts[c.Route.Name], c.Timeout)
	r.longestTimeouts[c.Route.Name] = longest
	if c.ResumeAfter == NoEvent {
		r.sawNewStream[c.Route.Name] = true
	}
	return longest
}

// knowsTimeouts reports whether callers have begun streams of the call's route. Those that resume
// one have only a part of their timeout left.
func (r *Router) knowsTimeouts(c *Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sawNewStream[c.Route.Name]
}
