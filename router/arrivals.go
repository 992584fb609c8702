package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/limit"
)

const (
	// maxArrivalDelay is how long an attempt that ended without an answer may still arrive at its
	// endpoint.
	maxArrivalDelay = time.Minute
	// maxReadDelay is how long an attempt may still arrive once its endpoint has answered
	// something that was sent later: bytes may still be under way on a connection of their own, and
	// an endpoint that was stopped reads what has accumulated in any order.
	maxReadDelay = time.Second
	// arrivalSweepInterval is the interval at which older ones are forgotten.
	arrivalSweepInterval = 5 * time.Second
)

// arrivalTracker knows which attempts may still arrive at their endpoints.
//
// The kernel of an endpoint whose process is stopped accepts connections and buffers requests,
// which the process reads when it continues, even if their connections were closed. If their
// repeats were counted at the time of the repeat only, those of several windows would arrive in
// one.
type arrivalTracker struct {
	mu sync.Mutex
	// unanswered holds the attempts that ended without an answer, by endpoint ID.
	unanswered map[string][]*unansweredAttempt
	// answeredTo holds, for each endpoint that has answered within maxReadDelay, when the latest
	// request that it has answered was sent.
	answeredTo map[string]time.Time
	// stoppedAt is when an endpoint was found not to run any more.
	stoppedAt map[string]time.Time
	// sweeping says that a sweep is to come.
	sweeping bool
}

// unansweredAttempt is an attempt that was sent and ended without an answer.
type unansweredAttempt struct {
	endedAt time.Time
	request *requestArrivals
}

// requestArrivals are the arrivals of one request.
type requestArrivals struct {
	// open counts the attempts that may still arrive.
	open int
	// held are charges that are not settled before as many of these attempts are.
	held []*limit.Charge
}

func newArrivalTracker() *arrivalTracker {
	return &arrivalTracker{unanswered: make(map[string][]*unansweredAttempt), answeredTo: make(map[string]time.Time), stoppedAt: make(map[string]time.Time)}
}

// recordSent records how an attempt of a request ended, with its context and error, before its
// charge is settled.
//
// The end of a connection shows only that no answer comes: what was sent on it may lie in the
// kernel of an endpoint whose process is stopped. Such an endpoint doesn't refuse connections.
func (r *Router) recordSent(ctx context.Context, e *Endpoint, sentAt time.Time, c *Call, a *requestArrivals, err error) {
	switch {
	case r.usesAgents():
	case errorx.IsOfType(err, ErrNotListening):
		r.recordStopped(e.ID)
	case errorx.IsOfType(err, ErrNotSent):
	case err == nil || errorx.IsOfType(err, ErrNotRun):
		r.recordAnswer(e.ID, sentAt)
	case ctx.Err() != nil || errorx.IsOfType(err, ErrBroken):
		r.metrics.Add("attempts_unanswered."+c.Service.Name, 1)
		r.arrivals.recordUnanswered(time.Now(), e.ID, sentAt, a)
	}
}

// recordAnswer records that an endpoint has answered something that was sent at a time.
func (r *Router) recordAnswer(endpoint string, sentAt time.Time) {
	r.arrivals.recordAnswer(endpoint, sentAt)
	r.former.recordHeard(time.Now(), endpoint)
}

// recordStopped records that an endpoint no longer runs: it reads nothing more.
func (r *Router) recordStopped(endpoint string) {
	now := time.Now()
	r.arrivals.recordStopped(now, endpoint)
	r.parts.RecordStopped(now, endpoint)
	r.former.recordHeard(now, endpoint)
}

// recordUnanswered records an attempt of a request that was sent at a time and ended without an
// answer.
func (t *arrivalTracker) recordUnanswered(now time.Time, endpoint string, sentAt time.Time, a *requestArrivals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stoppedAt[endpoint].After(sentAt) {
		return
	}
	a.open++
	t.unanswered[endpoint] = append(t.unanswered[endpoint], &unansweredAttempt{endedAt: now, request: a})
	t.scheduleSweep()
}

// scheduleSweep schedules the next sweep while there are attempts. The caller holds t.mu.
func (t *arrivalTracker) scheduleSweep() {
	if !t.sweeping && len(t.unanswered)+len(t.stoppedAt) > 0 {
		t.sweeping = true
		time.AfterFunc(arrivalSweepInterval, t.sweep)
	}
}

// sweep forgets the attempts that ended long ago.
func (t *arrivalTracker) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for endpoint := range t.unanswered {
		t.close(now, endpoint, now.Add(-maxArrivalDelay))
	}
	maps.DeleteFunc(t.stoppedAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxArrivalDelay })
	t.sweeping = false
	t.scheduleSweep()
}

// settle settles a charge for an attempt that has arrived or may still arrive; c may be nil.
func (t *arrivalTracker) settle(now time.Time, a *requestArrivals, c *limit.Charge) {
	if c == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(a.held) < a.open {
		a.held = append(a.held, c)
		return
	}
	c.Arrived(now)
}

// recordAnswer records that an endpoint has answered something that was sent at a time: its
// process reads what was sent before.
func (t *arrivalTracker) recordAnswer(endpoint string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, waiting := t.answeredTo[endpoint]
	switch {
	case waiting && sentAt.After(last):
		t.answeredTo[endpoint] = sentAt
	case !waiting:
		t.closeLater(endpoint, sentAt)
	}
}

// closeLater closes the attempts at an endpoint that ended by a time once they have been read. The
// caller holds t.mu.
func (t *arrivalTracker) closeLater(endpoint string, endedBy time.Time) {
	if list := t.unanswered[endpoint]; len(list) == 0 || list[0].endedAt.After(endedBy) {
		return
	}
	t.answeredTo[endpoint] = endedBy
	time.AfterFunc(maxReadDelay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.close(time.Now(), endpoint, endedBy)
		last := t.answeredTo[endpoint]
		delete(t.answeredTo, endpoint)
		if last.After(endedBy) {
			t.closeLater(endpoint, last)
		}
	})
}

// recordStopped records that an endpoint no longer runs: what was sent to it before arrives no more.
func (t *arrivalTracker) recordStopped(now time.Time, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stoppedAt[endpoint] = now
	t.close(now, endpoint, now)
	t.scheduleSweep()
}

// close records that the attempts at an endpoint that ended by a time can't arrive any more. The
// caller holds t.mu.
func (t *arrivalTracker) close(now time.Time, endpoint string, endedBy time.Time) {
	list := t.unanswered[endpoint]
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, u := range list {
		if u.endedAt.After(endedBy) {
			kept = append(kept, u)
			continue
		}
		u.request.close(now)
	}
	clear(list[len(kept):])
	t.unanswered[endpoint] = kept
	if len(kept) == 0 {
		delete(t.unanswered, endpoint)
	}
}

// close records that one of the attempts can't arrive later any more.
func (a *requestArrivals) close(now time.Time) {
	a.open--
	if last := len(a.held) - 1; last >= a.open {
		a.held[last].Arrived(now)
		a.held = a.held[:last]
	}
}
