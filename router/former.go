package router

import (
	"sync"
	"time"
)

// inheritedSilence is how long after its start an entry takes endpoints that others avoid for
// silent since before the start.
const inheritedSilence = 10 * time.Second

// formerProcess knows until when requests of a former process of this entry may arrive.
//
// A process that is killed leaves what it sent in the kernels of endpoints whose processes are
// stopped. Its repeats were within its share of the retry budget, but arrive when the endpoints
// continue. A successor that had its share of the slack by then would use it a second time in one
// window.
type formerProcess struct {
	// started is when this process started, zero if there was no former one.
	started time.Time

	mu sync.Mutex
	// heard holds the endpoints that have answered since the start, or were found not to run.
	heard map[string]bool
	// silent holds the service of each other endpoint that was found unresponsive, silentOf the
	// number of them for each service.
	silent   map[string]string
	silentOf map[string]int
	// readAt is when the last of a service's silent endpoints that answered again had read what was
	// sent to it before.
	readAt map[string]time.Time
}

// newFormerProcess returns what is known at the start. existed says that there may have been a
// former process.
func newFormerProcess(existed bool, started time.Time) *formerProcess {
	if !existed {
		started = time.Time{}
	}
	return &formerProcess{started: started, heard: make(map[string]bool), silent: make(map[string]string), silentOf: make(map[string]int), readAt: make(map[string]time.Time)}
}

// over reports whether all that a former process sent has arrived.
func (f *formerProcess) over(now time.Time) bool { return now.Sub(f.started) >= maxArrivalDelay }

// recordSilent records that an endpoint of a service was found unresponsive.
func (f *formerProcess) recordSilent(now time.Time, service, endpoint string) {
	if f.over(now) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard[endpoint] || f.silent[endpoint] != "" {
		return
	}
	f.silent[endpoint] = service
	f.silentOf[service]++
}

// recordHeard records that an endpoint has answered, or that it no longer runs.
func (f *formerProcess) recordHeard(now time.Time, endpoint string) {
	if f.over(now) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[endpoint] = true
	if service, ok := f.silent[endpoint]; ok {
		delete(f.silent, endpoint)
		f.silentOf[service]--
		f.readAt[service] = now.Add(maxReadDelay)
	}
}

// knows reports whether it is known if an endpoint is silent since before the start.
func (f *formerProcess) knows(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard[endpoint] || f.silent[endpoint] != ""
}

// lastArrival returns the latest time at which a request of a former process may have arrived at a
// service, zero if no endpoint was found unresponsive that hadn't answered since the start.
func (f *formerProcess) lastArrival(now time.Time, service string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.readAt[service]
	if f.silentOf[service] > 0 {
		last = now
	}
	return earlier(last, f.started.Add(maxArrivalDelay))
}

// recordUnresponsive records that an endpoint was found unresponsive, by this entry or by another
// one.
func (r *Router) recordUnresponsive(now time.Time, endpoint string, byOther bool) {
	if r.usesAgents() || r.former.over(now) || byOther && now.Sub(r.former.started) >= inheritedSilence || r.former.knows(endpoint) {
		return
	}
	if service := r.Directory().serviceOf(endpoint); service != "" {
		r.former.recordSilent(now, service, endpoint)
	}
}
