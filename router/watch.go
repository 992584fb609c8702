package router

import (
	"slices"
	"sync"
	"time"

	"ebonypulley/estimate"
)

// Detection of unresponsive endpoints.
//
// An engine that is silent for longer than expected is either gone, so that waiting makes
// the caller late, or slow, so that a second attempt wastes its work and slows it down
// further. Silence does not distinguish the two. So the endpoint is probed on a separate
// connection, and is abandoned at once only if it does not answer. A live one may still
// have lost the request, and is abandoned after several times the longest expected
// duration. Such a wait counts as a censored observation that makes the next wait longer,
// so that a slow fleet never gets twice as many requests as a fast one.
const (
	// networkAllowance is added to expected durations for the network path to an endpoint
	// and back: a few round trips between data centres, and pauses of a busy process.
	networkAllowance = 50 * time.Millisecond
	// hangFactor is how long a live endpoint is waited for, as a multiple of the longest
	// expected duration.
	hangFactor = 3
	// otherProbes is the number of other endpoints that are probed before an attempt is moved to
	// one of them.
	otherProbes = 2
	// minProbeAfter is the shortest gap between two events after which an endpoint is
	// probed.
	minProbeAfter = 300 * time.Millisecond
	// streamGoneAfter is the silence of a begun answer up to which its endpoint may be sound
	// though it answers no probe: it may pause for a second or so and go on. The answer has a
	// late gap by then, and its caller still waits.
	streamGoneAfter = 2 * time.Second
	// pauseAfter is how late a timer may fire. If it fires later, this process was not run: it was
	// stopped, its VM was, or it got no processor time.
	pauseAfter = networkAllowance
	// readAllowance is the time to read what arrived while this process was not run.
	readAllowance = probeTimeout
)

// verdict is the result of a watchdog.
type verdict uint8

const (
	undecided verdict = iota
	// gone: the endpoint answers nothing.
	gone
	// hanging: the endpoint answers probes, but not this request.
	hanging
)

// silenceLimits bound the silence of an endpoint.
type silenceLimits struct {
	// probeAfter is the silence after which the endpoint is probed.
	probeAfter time.Duration
	// giveUpAfter is the silence after which a live endpoint is abandoned; zero means
	// never.
	giveUpAfter time.Duration
	// goneAfter is the silence up to which an endpoint that answers no probe is not abandoned.
	goneAfter time.Duration
}

// stepLimits returns the silence limits of a step with an estimated duration, given the
// time until the caller disconnects. A live endpoint is abandoned while there is time to
// try another one, or if there is none, when the caller has disconnected.
func stepLimits(t estimate.Duration, left time.Duration) silenceLimits {
	high := t.UpperBound() + networkAllowance
	if 2*high > left {
		left = max(left, networkAllowance)
		return silenceLimits{probeAfter: min(high, left), giveUpAfter: left}
	}
	return silenceLimits{probeAfter: high, giveUpAfter: min(hangFactor*high, left-high)}
}

// watchdog ends an attempt whose endpoint is gone or hangs. A nil watchdog does nothing;
// it is used with agents, which watch their endpoints themselves.
type watchdog struct {
	r      *Router
	e      *Endpoint
	cancel func()

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer fires.
	due time.Time
	// lastActivity is when the endpoint was last active, later by the time in which this process
	// was not run since.
	lastActivity time.Time
	// excused says that the timer waits for what arrived in that time to be read.
	excused bool
	silenceLimits
	// epoch counts the calls of reset and pause, so that the result of a probe sent before
	// the last of them is ignored.
	epoch int
	// paused is set from pause to the next reset: the timer may have fired before.
	paused  bool
	stopped bool
	decided verdict
}

// startWatchdog starts watching an endpoint. It calls end if the endpoint is gone or
// hangs.
func (r *Router) startWatchdog(e *Endpoint, l silenceLimits, end func()) *watchdog {
	if r.usesAgents() {
		return nil
	}
	now := time.Now()
	w := &watchdog{r: r, e: e, cancel: end, lastActivity: now, due: now.Add(l.probeAfter), silenceLimits: l}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(l.probeAfter, w.onSilence) // may fire at once if the process is paused here
	return w
}

// wait sets the timer. The caller holds w.mu.
func (w *watchdog) wait(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// reset records activity of the endpoint. The limits apply until the next one.
func (w *watchdog) reset(l silenceLimits) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.epoch++
	w.paused, w.excused = false, false
	w.lastActivity = time.Now()
	w.silenceLimits = l
	w.wait(l.probeAfter)
}

// pause suspends the watchdog until the next reset.
func (w *watchdog) pause() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.paused = true
	w.timer.Stop()
}

// stop ends the watchdog permanently.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// verdict returns why the watchdog ended the attempt, or undecided.
func (w *watchdog) verdict() verdict {
	if w == nil {
		return undecided
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.decided
}

// onSilence checks an endpoint that was silent for too long.
func (w *watchdog) onSilence() {
	w.mu.Lock()
	idle := w.stopped || w.paused || w.excusePause(w.due)
	epoch, waited, limit := w.epoch, time.Since(w.lastActivity), w.giveUpAfter
	idle = idle || w.postpone(waited)
	w.mu.Unlock()
	if idle {
		return
	}
	if limit > 0 && waited >= limit {
		w.conclude(epoch, hanging)
		return
	}
	w.r.metrics.Add("endpoints_asked_alive", 1)
	answerDue := time.Now().Add(probeTimeout)
	answers := w.r.probes.alive(w.e)
	if w.overtaken(epoch, answerDue) {
		return
	}
	if !answers && w.mayBeGone(epoch) && w.r.anotherAnswers(w.e) {
		w.conclude(epoch, gone)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.epoch != epoch {
		return
	}
	next := time.Since(w.lastActivity) // doubles the total wait
	if limit > 0 {
		next = min(next, max(limit-time.Since(w.lastActivity), 0))
	}
	w.wait(next)
}

// excusePause checks whether this process was not run for a while, so that it is late for what was due
// at a time. That while is no silence of the endpoint, and what arrived in it has not been read:
// excusePause sets the timer for when it is and reports true, unless the timer has just waited for
// that. The caller holds w.mu.
func (w *watchdog) excusePause(due time.Time) bool {
	late := time.Since(due)
	if late <= pauseAfter {
		w.excused = false
		return false
	}
	w.lastActivity = w.lastActivity.Add(late)
	w.excused = !w.excused
	if w.excused {
		w.r.metrics.Add("silences_excused", 1)
		w.wait(readAllowance)
	}
	return w.excused
}

// overtaken reports whether there was activity since epoch, or excusePause sets the timer after
// a probe whose answer was due at a time.
func (w *watchdog) overtaken(epoch int, due time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped || w.epoch != epoch || w.excusePause(due)
}

// mayBeGone reports whether an endpoint that answers no probe may be abandoned: it has been silent
// for long enough, and there was no activity since epoch.
func (w *watchdog) mayBeGone(epoch int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && w.epoch == epoch && time.Since(w.lastActivity) >= w.goneAfter
}

// postpone sets the timer again if there was activity after it had fired. It reports whether
// there was. The caller holds w.mu.
func (w *watchdog) postpone(waited time.Duration) bool {
	due := w.probeAfter
	if w.giveUpAfter > 0 {
		due = min(due, w.giveUpAfter)
	}
	if waited >= due {
		return false
	}
	w.wait(due - waited)
	return true
}

// conclude ends the attempt, unless there was activity meanwhile.
func (w *watchdog) conclude(epoch int, v verdict) {
	w.mu.Lock()
	if w.stopped || w.epoch != epoch {
		w.mu.Unlock()
		return
	}
	w.stopped = true
	w.decided = v
	w.mu.Unlock()
	w.cancel()
}

// anotherAnswers reports whether another endpoint like e answers probes, so that an attempt at
// e can move there. If none does, the silence is this entry's, or all endpoints share it: they
// will most likely go on, and what is abandoned begins anew behind the same silence.
func (r *Router) anotherAnswers(e *Endpoint) bool {
	others := slices.DeleteFunc(r.Directory().Endpoints(e.Service, e.Role), func(o *Endpoint) bool { return o.ID == e.ID })
	if len(others) == 0 {
		return true // nothing tells whose silence it is
	}
	answers := make(chan bool, otherProbes)
	probed := min(otherProbes, len(others))
	for i := range probed {
		j := i + r.random(len(others)-i)
		others[i], others[j] = others[j], others[i]
		go func() { answers <- r.probes.alive(others[i]) }()
	}
	for range probed {
		if <-answers {
			return true
		}
	}
	return false
}
