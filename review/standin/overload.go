package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// The deployment of overload: kzclubs-enrol's application service (3 workers of 6 slots, 60 ms
// a request, which tell their load), and its limits of time.
const (
	overloadEntries = 2
	overloadWorkers = 3
	workerSlots     = 6
	workerQueue     = 24
	meanWork        = 60 * time.Millisecond
	routeTimeoutMs  = 800
	latencyTargetMs = 300
	clientLimit     = 1500 * time.Millisecond
	clientRetries   = 1
	// usualRate is the usual number of plain requests a second: four fifths of what the
	// workers can run.
	usualRate = 240
	bookShare = 0.65
	// recovery is the bound recovery_s, and measured how long the rate of served requests is
	// measured before the first and after the last disruption.
	recovery = 12 * time.Second
	measured = 8 * time.Second
)

// The disruption of overload, in rounds: a burst of burstFactor times the usual traffic, in
// which some clients repeat at once, while one worker is down, which comes back after it.
const (
	rounds         = 8
	burstFactor    = 2.2
	burstTime      = 4 * time.Second
	abusivePercent = 30
	abusiveRetries = 3
	downTime       = 4500 * time.Millisecond
	roundPause     = 3 * time.Second
)

// servedShare returns the share of requests that are served while it waits.
func (f *fleet) servedShare(d time.Duration) float64 {
	requests, answered := f.clients.requests.Load(), f.clients.answered.Load()
	time.Sleep(d)
	return float64(f.clients.answered.Load()-answered) / float64(max(f.clients.requests.Load()-requests, 1))
}

// overload plays case 1. It returns the exit code.
func overload(program string, rec *record, trouble bool) int {
	routes := []any{plainRoute("r-book", "/book/", "non_idempotent", 1), plainRoute("r-check", "/check/", "idempotent", 2)}
	f, err := startFleet(program, rec, deployment{entries: overloadEntries, plain: overloadWorkers, routes: routes})
	if err != nil {
		rec.say("the case can't run: %v", err)
		return 2
	}
	defer f.stop()
	time.Sleep(2 * time.Second)
	var percent atomic.Int64 // of the usual rate
	percent.Store(100)
	rate := func(share float64) func() float64 {
		return func() float64 { return share * usualRate * float64(percent.Load()) / 100 }
	}
	stop := make(chan struct{})
	c := f.clients
	go c.run(kind{method: http.MethodPost, host: "app.example", path: "/book/x", limit: clientLimit}, rate(bookShare), stop)
	go c.run(kind{method: http.MethodGet, host: "app.example", path: "/check/x", idempotent: true, limit: clientLimit}, rate(1-bookShare), stop)
	time.Sleep(time.Second)
	before := f.servedShare(measured)
	rec.say("served before the disruption: %.3f", before)
	for n := range rounds {
		if trouble {
			rec.say("round %d: a worker crashes, the traffic is %.1f times the usual", n+1, burstFactor)
			f.workers[n%overloadWorkers].crash()
			c.abusive.Store(abusivePercent)
			percent.Store(100 * burstFactor)
		}
		time.Sleep(burstTime)
		c.abusive.Store(0)
		percent.Store(100)
		time.Sleep(downTime - burstTime)
		if trouble {
			if err := f.startPlain(n%overloadWorkers, n+2); err != nil {
				rec.say("the case can't run: %v", err)
				return 2
			}
		}
		time.Sleep(roundPause)
	}
	time.Sleep(recovery)
	after := f.servedShare(measured)
	close(stop)
	c.wg.Wait()
	ends := 0
	for _, e := range f.entries {
		ends += e.endsOfItsOwn()
	}
	rec.say("served later than recovery_s after the disruption, at the usual traffic with all workers: %.3f", after)
	rec.say("attempts: sent %d, served %d, refused %d, cut %d, other ends %d", c.sent.Load(), c.served.Load(), c.refused.Load(), c.cut.Load(), c.other.Load())
	rec.say("processes that ended by themselves: %d", ends)
	rec.say("attempts that an entry in touch passed on from a kept channel to a sound worker, and whose channel it closed without an answer: %d", c.lost.Load())
	code := 0
	if c.lost.Load() > 3 {
		rec.say("BROKEN: LOST")
		code = 1
	}
	if before >= 0.25 && after < 0.25 {
		rec.say("BROKEN: RECOVER")
		code = 1
	}
	return code
}
