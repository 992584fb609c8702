package router

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/estimate"
)

// An engine is silent for longer than
// usual. Either it is gone, and each moment of waiting makes the caller late;
// or it is slow, and a second try throws away what it did and makes it slower.
// Silence does not tell which. So the endpoint is asked whether it lives, on a
// connection of its own, and only one that does not answer is given up. One that
// lives is waited for several times as long as the slowest usual one, because
// it may have lost the request; what was waited in vain counts as an observation,
// so that the next wait is longer and a slow fleet is never asked twice as often
// as a fast one.
const (
	// wayTime is what the way to an endpoint and back may add to any time: a
	// few round trips between data centres, and a busy process's own pauses.
	wayTime = 50 * time.Millisecond
	// aliveTimeout is how long an endpoint has to say that it lives. The
	// question needs none of its slots.
	aliveTimeout = 250 * time.Millisecond
	// aliveAsks is how many such questions are asked at a time: one lost packet
	// must not end an answer.
	aliveAsks = 2
	// hangFactor is how many times the longest usual time a living endpoint is
	// waited for.
	hangFactor = 3
	// suspectAfter is the shortest pause between two events that is suspicious.
	suspectAfter = 300 * time.Millisecond
)

// verdict is what a watch found.
type verdict uint8

const (
	undecided verdict = iota
	// gone: the endpoint does not answer at all.
	gone
	// hanging: it answers, but not this request.
	hanging
)

// limits are how long an endpoint may be silent.
type limits struct {
	// suspect is when it is asked whether it lives.
	suspect time.Duration
	// most is when it is given up though it lives; zero means never.
	most time.Duration
}

// usual returns the limits of a step with an estimate when the caller leaves
// after left. A living endpoint is given up while there is time for another;
// if there is none, as soon as the caller has left.
func usual(t estimate.Time, left time.Duration) limits {
	high := t.High() + wayTime
	if 2*high > left {
		left = max(left, wayTime)
		return limits{suspect: min(high, left), most: left}
	}
	return limits{suspect: high, most: min(hangFactor*high, left-high)}
}

// watch ends an attempt whose endpoint is gone or hangs. A nil watch does
// nothing: gates watch their endpoints themselves.
type watch struct {
	r   *Router
	e   *Endpoint
	end func()

	mu    sync.Mutex
	timer *time.Timer
	since time.Time
	limits
	// turn counts what was heard, so that the answer to a question asked
	// before counts no more.
	turn    int
	stopped bool
	found   verdict
}

// watch begins to wait for an endpoint.
func (r *Router) watch(e *Endpoint, l limits, end func()) *watch {
	if r.gated() {
		return nil
	}
	w := &watch{r: r, e: e, end: end, since: time.Now(), limits: l}
	w.timer = time.AfterFunc(l.suspect, w.suspicion)
	return w
}

// heard tells of a sign of life; the next one has other limits.
func (w *watch) heard(l limits) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.turn++
	w.since = time.Now()
	w.limits = l
	w.timer.Reset(l.suspect)
}

// rest stops the watch until the next sign of life is told.
func (w *watch) rest() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn++
	w.timer.Stop()
}

// stop ends the watch.
func (w *watch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// verdict returns what ended the attempt.
func (w *watch) verdict() verdict {
	if w == nil {
		return undecided
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found
}

// suspicion runs when the endpoint was silent for longer than usual.
func (w *watch) suspicion() {
	w.mu.Lock()
	turn, waited, most := w.turn, time.Since(w.since), w.most
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if most > 0 && waited >= most {
		w.conclude(turn, hanging)
		return
	}
	w.r.metrics.Add("endpoints_asked_alive", 1)
	if !w.r.alive(w.e) {
		w.conclude(turn, gone)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.turn != turn {
		return
	}
	next := time.Since(w.since) // as long again as so far
	if most > 0 {
		next = min(next, max(most-time.Since(w.since), 0))
	}
	w.timer.Reset(next)
}

// conclude ends the attempt, unless something was heard meanwhile.
func (w *watch) conclude(turn int, v verdict) {
	w.mu.Lock()
	if w.stopped || w.turn != turn {
		w.mu.Unlock()
		return
	}
	w.stopped = true
	w.found = v
	w.mu.Unlock()
	w.end()
}

// alive reports whether an endpoint answers at all.
func (r *Router) alive(e *Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	answers := make(chan error, aliveAsks)
	for range aliveAsks {
		go func() { answers <- r.endpoints.Alive(ctx, e) }()
	}
	for range aliveAsks {
		err := <-answers
		if err == nil || errorx.IsOfType(err, ErrLost) && ctx.Err() == nil {
			return true // a connection that was reset was reset by somebody
		}
	}
	return false
}
