package router

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// gapWeight is the weight of one gap between stream events in the moving average of
	// StepSlowdown. It is low because each stream has some tens of them.
	gapWeight = 0.05
	// sampleWeight is the weight of a new sample in other moving averages.
	sampleWeight = 0.25
	// failureWeight is the weight of one attempt in the failure rate: four failures in a
	// row give 0.68.
	failureWeight = 0.25
	// decayTime is the time constant with which the failure rate and the slowdown decay,
	// so that an endpoint is tried again some seconds after its last failure.
	decayTime = 4 * time.Second
	// lastingTime is the time constant with which the slowdown of an endpoint decays that says
	// its pace: what is left without it lasts.
	lastingTime = 30 * time.Second
	// minAvoidTime and maxAvoidTime bound how long an unresponsive endpoint is avoided.
	// The time doubles with each consecutive timeout.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// goneAvoidTime is how long an endpoint is avoided that no longer runs. During an
	// outage of the store it may stay published that long.
	goneAvoidTime = 10 * time.Second
	// maxBackoff bounds how long an endpoint is not used because it asked for that. It is longer than
	// any need; a wrong number must not end the use of an endpoint.
	maxBackoff = 10 * time.Minute
	// maxFailuresReported is how many recent failures per endpoint are reported to other
	// entries. More would not change their decisions.
	maxFailuresReported = 4
	// maxAvoidedReported bounds the entries of one Avoided list to about 1 kB of a report.
	// When all endpoints fail, each entry finds out by itself, and longer lists would
	// saturate slow links between data centres.
	maxAvoidedReported = 32
	// priorAttempts is the number of assumed successful attempts per endpoint in the
	// failure rate reported by others, so that a single failure has little weight.
	priorAttempts = 2
)

// health is the record of recent attempts at one endpoint.
type health struct {
	failureRate float64
	slowdown    float64 // see View
	// lasting says that the endpoint says its pace, so that slowdown holds what lasts.
	lasting        bool
	stepSlowdown   float64 // see View; does not decay, because engine speeds differ permanently
	timeouts       int
	unresponsiveAt time.Time // last time the endpoint was found unresponsive or gone
	avoidUntil     time.Time
	// peerAvoidUntil is the avoidUntil reported by other entries. succeededAt is the last
	// success in this process.
	peerAvoidUntil time.Time
	succeededAt    time.Time
	fullUntil      time.Time
	// backoffUntil is when the endpoint accepts work from this process again.
	backoffUntil time.Time
	updatedAt    time.Time
	// recentFailures holds the times of the last failures, to be reported to other
	// entries.
	recentFailures []time.Time
}

func (h *health) decay(now time.Time) {
	elapsed := now.Sub(h.updatedAt)
	keep := decayFactor(elapsed)
	h.updatedAt = now
	h.failureRate *= keep
	if h.lasting {
		keep = math.Exp(-float64(elapsed) / float64(lastingTime))
	}
	h.slowdown = 1 + (h.slowdown-1)*keep
}

func (l *LoadTracker) healthOf(now time.Time, endpoint string) *health {
	h := l.health[endpoint]
	if h == nil {
		h = &health{slowdown: 1, stepSlowdown: 1, updatedAt: now}
		l.health[endpoint] = h
	}
	h.decay(now)
	return h
}

// RecordSuccess records a successful attempt.
func (l *LoadTracker) RecordSuccess(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.failureRate *= 1 - failureWeight
	h.recordSuccess(now)
}

// updateSlowdown updates the slowdown with the ratio of an observed duration to the expected
// one.
func (h *health) updateSlowdown(ratio float64) {
	h.slowdown += (ratio - h.slowdown) * sampleWeight
}

// RecordFailure records an attempt that the endpoint answered with a failure, or whose
// answer was partly lost.
func (l *LoadTracker) RecordFailure(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordFailure(now, l.healthOf(now, endpoint))
}

// recordFailure records a failure in an endpoint's record. The caller holds l.mu.
func (l *LoadTracker) recordFailure(now time.Time, h *health) {
	h.failureRate += (1 - h.failureRate) * failureWeight
	h.recentFailures = append(h.recentFailures, now)
	h.recentFailures = h.recentFailures[max(len(h.recentFailures)-maxFailuresReported, 0):]
	l.dirty = true
}

// RecordUnresponsive records an attempt that got no answer or no connection. The endpoint
// is then avoided for a while.
//
// An endpoint that crashed or hangs stays published for seconds, and without this each
// new request would time out on it in turn.
func (l *LoadTracker) RecordUnresponsive(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordUnresponsive(now, now, endpoint)
}

// RecordTimeout records a plain call, begun at a time, that got no answer in its time. If the
// endpoint has answered other calls since then, only this one failed. Otherwise it counts as
// unresponsive from the beginning of the call, so that entries which it has answered since then
// continue to use it.
//
// Some calls take longer than their route allows at any endpoint. If each of them made all
// entries avoid its endpoint, a small service would lose a large part of its room.
func (l *LoadTracker) RecordTimeout(now time.Time, endpoint string, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	if h.succeededAt.After(began) {
		l.recordFailure(now, h)
		return
	}
	l.recordUnresponsive(now, began, endpoint)
}

// recordUnresponsive records that an endpoint has not responded since a time. The caller holds
// l.mu.
func (l *LoadTracker) recordUnresponsive(now, since time.Time, endpoint string) {
	h := l.healthOf(now, endpoint)
	h.failureRate += (1 - h.failureRate) * failureWeight
	duration := min(minAvoidTime<<min(h.timeouts, 8), maxAvoidTime)
	h.timeouts++
	l.avoidFor(now, since, h, duration)
	l.reportUnresponsive(now, endpoint, false)
}

func (l *LoadTracker) reportUnresponsive(now time.Time, endpoint string, byOther bool) {
	if l.onUnresponsive != nil {
		l.onUnresponsive(now, endpoint, byOther)
	}
}

// RecordGone records that nothing listens at the endpoint's address, or that another
// endpoint does. It is avoided for as long as it may stay published.
func (l *LoadTracker) RecordGone(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.failureRate += (1 - h.failureRate) * failureWeight
	l.avoidFor(now, now, h, goneAvoidTime)
}

// avoidFor records that this process itself found an endpoint unavailable since a time. The
// caller holds l.mu.
func (l *LoadTracker) avoidFor(now, since time.Time, h *health, duration time.Duration) {
	h.unresponsiveAt = since
	h.avoidUntil = now.Add(duration)
	l.dirty = true
}

func (h *health) recordSuccess(now time.Time) {
	h.timeouts = 0
	h.succeededAt = now
	h.avoidUntil = time.Time{}
	h.peerAvoidUntil = time.Time{}
}

// AvoidedEndpoint is a report about an endpoint that a process found unresponsive or
// gone, or about one failed attempt there.
type AvoidedEndpoint struct {
	Endpoint string
	// Age is the age of the observation. Left is how much longer the endpoint is avoided
	// for it; zero for a failed attempt at an endpoint that responds.
	Age, Left time.Duration
}

// Avoided returns the endpoints that this process itself found unresponsive, gone or
// failing, the newest observation first. It does not relay reports of others, which could
// otherwise circulate endlessly.
func (l *LoadTracker) Avoided(now time.Time) []AvoidedEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []AvoidedEndpoint
	for id, h := range l.health {
		if left := h.avoidUntil.Sub(now); left > 0 {
			list = append(list, AvoidedEndpoint{Endpoint: id, Age: now.Sub(h.unresponsiveAt), Left: left})
		}
		h.recentFailures = slices.DeleteFunc(h.recentFailures, func(at time.Time) bool { return now.Sub(at) > decayTime })
		for _, at := range h.recentFailures {
			list = append(list, AvoidedEndpoint{Endpoint: id, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(list, func(a, b AvoidedEndpoint) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), maxAvoidedReported)]
}

// MergeAvoided merges the reports of another process. It ignores reports of an
// unresponsive endpoint that are older than the last success here.
//
// It covers two failures: a third of the engines crash or become unreachable in the same
// second and stay published for seconds, or a tenth of them fail each attempt while they
// answer health probes. Without reports each entry would discover each of these engines
// by itself, at the cost of a late generation. With hundreds of entries, each meets a
// given engine only twice a minute and its own record has decayed by then.
func (l *LoadTracker) MergeAvoided(now time.Time, process string, list []AvoidedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	failures := make(map[string]float64)
	for _, a := range list {
		if a.Age < 0 {
			continue // no entry knows what is to come
		}
		if a.Left = min(a.Left, goneAvoidTime); a.Left <= 0 {
			failures[a.Endpoint] += decayFactor(a.Age)
			continue
		}
		h := l.healthOf(now, a.Endpoint)
		if now.Add(-a.Age).After(h.succeededAt) {
			h.peerAvoidUntil = now.Add(a.Left)
			l.reportUnresponsive(now, a.Endpoint, true)
		}
	}
	l.peers.setFailures(process, failures)
}

// decayFactor returns the remaining weight of an observation of this age.
func decayFactor(age time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }

// attemptsPerEndpoint estimates the recent attempts at each of the service's endpoints,
// given their number.
func (l *LoadTracker) attemptsPerEndpoint(now time.Time, service string, endpoints int) float64 {
	d, _ := l.demand(now, service)
	return d.Calls * decayTime.Seconds() / float64(max(endpoints, 1))
}

// peerFailureRate returns the failure rate at an endpoint according to the other entries,
// given an estimate of the attempts there.
func (l *LoadTracker) peerFailureRate(now time.Time, endpoint string, attempts float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	failures := l.peers.failuresAt(now, endpoint)
	return failures / (max(failures, attempts) + priorAttempts)
}

// RecordFull records that an endpoint has less free memory than estimated. It gets no
// generations for this duration, in which none of those running there is expected to end.
func (l *LoadTracker) RecordFull(now time.Time, endpoint string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healthOf(now, endpoint).fullUntil = now.Add(duration)
}

// RecordBackoff records that an endpoint asked this process to send nothing for this
// long.
func (l *LoadTracker) RecordBackoff(now time.Time, endpoint string, lasting time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	if until := now.Add(min(lasting, maxBackoff)); until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
}

// backoffLeft returns how much longer the endpoint accepts nothing from this process.
func (l *LoadTracker) backoffLeft(now time.Time, endpoint string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.health[endpoint]; h != nil {
		return max(h.backoffUntil.Sub(now), 0)
	}
	return 0
}

// Retain drops the records of endpoints that are no longer published, except those that
// are still backing off.
func (l *LoadTracker) Retain(published func(endpoint string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.health {
		if !published(id) && !time.Now().Before(l.health[id].backoffUntil) {
			delete(l.health, id)
		}
	}
}
