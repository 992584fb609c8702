package processes

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypulley/standin"
)

// The retry budget of all entries together.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 50
)

// arrivalLog records requests and their arrivals at workers, by service.
type arrivalLog struct {
	mu sync.Mutex
	// requests holds when callers sent requests, repeats when a worker received a request beyond
	// its first arrival.
	requests, repeats map[string][]time.Time
	arrived           map[string]bool
	// slack is how many repeats a window may have beyond the part of the requests.
	slack int
	// note adds a line to the run's history.
	note func(format string, args ...any)
	// prefilled holds the requests of which a prefill was accepted, which is no arrival.
	prefilled map[string]bool

	sent     *sentLog
	runs     *workerLog
	timeouts *timeoutLog
	backoffs *backoffLog
}

func newArrivalLog(note func(format string, args ...any)) *arrivalLog {
	return &arrivalLog{
		slack: retrySlack, note: note, requests: make(map[string][]time.Time), repeats: make(map[string][]time.Time), arrived: make(map[string]bool), prefilled: make(map[string]bool),
		sent: &sentLog{requests: make(map[string]sentRequest)}, runs: newWorkerLog(), timeouts: newTimeoutLog(), backoffs: new(backoffLog),
	}
}

func (l *arrivalLog) recordRequest(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[service] = append(l.requests[service], time.Now())
}

func (l *arrivalLog) recordArrival(service, id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[id] {
		l.repeats[service] = append(l.repeats[service], time.Now())
		l.note("repeat of %s reaches %s", id, worker)
	}
	l.arrived[id] = true
}

// recordPrefill records an accepted prefill. Each but the first of a request is an arrival.
func (l *arrivalLog) recordPrefill(service, id, worker string) {
	l.mu.Lock()
	first := !l.prefilled[id]
	l.prefilled[id] = true
	l.mu.Unlock()
	if !first {
		l.recordArrival(service, id, worker)
	}
}

// worstWindow returns the window of a service with the most repeats beyond what the budget
// allows, with both numbers.
func (l *arrivalLog) worstWindow(service string) (from time.Time, repeats, allowed float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := slices.SortedFunc(slices.Values(l.requests[service]), time.Time.Compare)
	list := slices.SortedFunc(slices.Values(l.repeats[service]), time.Time.Compare)
	for i, at := range list {
		n := float64(countWithin(list[i:], at))
		most := max(countWithin(requests, at), countWithin(requests, at.Add(-retryWindow)), countWithin(requests, at.Add(-retryWindow/2)))
		if a := retryRatio*float64(most) + float64(l.slack); from.IsZero() || n-a > repeats-allowed {
			from, repeats, allowed = at, n, a
		}
	}
	return from, repeats, allowed
}

// countWithin counts the times in the window that begins at from.
func countWithin(times []time.Time, from time.Time) int {
	end := from.Add(retryWindow)
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(end) {
			n++
		}
	}
	return n
}

// checkBudget checks that no window had more repeats than the budget allows.
func (r *run) checkBudget() {
	for _, service := range r.set.services() {
		from, repeats, allowed := r.arrivals.worstWindow(service)
		r.report.WorstWindows += fmt.Sprintf(" %s=%.0f/%.0f", service, repeats, allowed)
		r.note("%s: %.0f repeats of %.0f allowed in the worst window, from %.3f s; %d repeats of %d requests in all", service, repeats, allowed,
			from.Sub(r.began).Seconds(), len(r.arrivals.repeats[service]), len(r.arrivals.requests[service]))
		if repeats > allowed {
			r.violation("%s received %.0f repeats in the window from %.3f s, allowed %.0f", service, repeats, from.Sub(r.began).Seconds(), allowed)
		}
	}
}

// Fractions of the requests that a failing worker refuses, breaks off at once and breaks off
// midway.
const (
	refusedFraction  = 0.35
	brokenFraction   = 0.15
	brokenInFraction = 0.25
)

// failure is how a failing worker treats a request.
type failure uint8

const (
	serve failure = iota
	refuse
	breakOff
	breakOffMidway
)

// failureOf returns how the worker treats a request, which depends on both.
func (k *worker) failureOf(id string) failure {
	if !k.failing.Load() {
		return serve
	}
	x := float64(xxhash.Sum64String(id+k.instanceID())%1000) / 1000
	switch {
	case x < refusedFraction:
		return refuse
	case x < refusedFraction+brokenFraction:
		return breakOff
	case x < refusedFraction+brokenFraction+brokenInFraction:
		return breakOffMidway
	}
	return serve
}

// serveFailing refuses or breaks off a request that the worker fails at once. It reports whether
// it has.
func (k *worker) serveFailing(w http.ResponseWriter, c standin.WorkerHeaders) bool {
	switch k.failureOf(c.AttemptID) {
	case refuse:
		k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		time.Sleep(time.Duration(k.refusalDelay.Load()))
		standin.SetRefusalHeaders(w.Header(), c.AttemptID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case breakOff:
		k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		panic(http.ErrAbortHandler)
	}
	return false
}

const (
	// slackAfter is how long after its start an entry has a share of the slack.
	slackAfter = retryWindow + 3*time.Second
	// extraCallGap is the time between two further requests while workers fail.
	extraCallGap = 15 * time.Millisecond
	// scheduledFor and unscheduledFor are the phases of a process that is scheduled a tenth of
	// the time.
	scheduledFor   = 11 * time.Millisecond
	unscheduledFor = 89 * time.Millisecond
	// longFreeze is longer than the window of the retry budget.
	longFreeze = 12 * time.Second
)

// failWorkers makes all workers fail a part of their requests until ctx ends, beside more
// requests than usual. Half of the entries are scheduled a tenth of the time, and a worker of
// each service is stopped for longer than a window.
func (r *run) failWorkers(ctx context.Context) {
	r.wg.Go(func() {
		r.inject(fault{name: "workers fail", do: func(r *run) {
			r.setFailing(true)
			<-ctx.Done()
			r.setFailing(false)
		}})
	})
	for i := range len(r.entries) / 2 {
		r.wg.Go(func() { starve(ctx, r.entries[i]) })
	}
	if r.set.Fleet == nil {
		r.wg.Go(func() { r.callSteadily(ctx, extraCallGap) })
	}
	r.wg.Go(func() { r.stopWorkers(ctx) })
	r.wg.Go(func() { r.refuseInTurn(ctx) })
}

func (r *run) setFailing(failing bool) {
	for _, k := range r.workers {
		k.failing.Store(failing)
	}
}

// starve lets the processes of an entry run a tenth of the time.
func starve(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		e.markDisturbed()
		e.signal(syscall.SIGSTOP)
		time.Sleep(unscheduledFor)
		e.signal(syscall.SIGCONT)
		time.Sleep(scheduledFor)
	}
}

// callSteadily sends a request after each gap until ctx ends.
func (r *run) callSteadily(ctx context.Context, gap time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%d-x-%s", r.set.Seed, strconv.Itoa(n))
		kind, caller := requestKinds[r.randomInt(len(requestKinds))], r.pickIdentity()
		r.wg.Go(func() { r.call(ctx, client, kind, name, caller) })
		time.Sleep(gap)
	}
}

// stopWorkers stops a worker of each service in turn.
func (r *run) stopWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		k := r.randomWorker()
		k.proxy.frozen.Store(true)
		r.note("%s stops", k.instanceID())
		select {
		case <-time.After(longFreeze):
		case <-ctx.Done():
		}
		k.proxy.frozen.Store(false)
		r.note("%s continues", k.instanceID())
		time.Sleep(time.Second)
	}
}
