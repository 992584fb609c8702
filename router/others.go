package router

import (
	"maps"
	"time"
)

// reportTTL is how long a report of another entry's work is valid. Entries repeat their
// reports several times in that time.
const reportTTL = 2 * time.Second

// peerLoads holds the last reports of the other entries. It is not safe for concurrent
// use.
//
// It keeps sums over all reports, so that the cost of a placement depends on the number
// of engines only, not on engines times entries (BenchmarkView). With hundreds of entries
// and engines this matters because each placement needs the work of all entries at each
// engine, and a waiting generation retries its placement each roomPollInterval.
type peerLoads struct {
	reports map[string]peerReport
	// sums is the work of all other entries, by endpoint.
	sums map[string]Load
	// failures is the decayed number of recent failed attempts of all other entries, by
	// endpoint.
	failures map[string]float64
	// nextExpiry is the earliest time at which a report may expire.
	nextExpiry time.Time
}

// peerReport is the last report of one process.
type peerReport struct {
	loads    map[string]Load
	demand   map[string]Demand
	failures map[string]float64
	at       time.Time
}

func newPeerLoads() peerLoads {
	return peerLoads{reports: make(map[string]peerReport), sums: make(map[string]Load), failures: make(map[string]float64)}
}

// maxReported bounds the numbers that another entry reports of an endpoint or a service, in calls
// or tokens. The sums of larger ones would overflow, or lose what the others report.
const maxReported = 1 << 40

// odd reports whether no entry can have the work.
func (l Load) odd() bool {
	return min(l.Calls, l.PrefillTokens, l.Decodes, l.KVTokens) < 0 || max(l.Calls, l.PrefillTokens, l.Decodes, l.KVTokens) > maxReported
}

// odd reports whether no entry can have the demand.
func (d Demand) odd() bool {
	return !(d.Calls >= 0 && d.Calls <= maxReported && d.Tokens >= 0 && d.Tokens <= maxReported)
}

// setReport replaces the report of a process.
func (o *peerLoads) setReport(now time.Time, process string, loads map[string]Load, demand map[string]Demand) {
	maps.DeleteFunc(loads, func(_ string, l Load) bool { return l.odd() })
	maps.DeleteFunc(demand, func(_ string, d Demand) bool { return d.odd() })
	failures := o.reports[process].failures
	o.remove(process)
	o.reports[process] = peerReport{loads: loads, demand: demand, at: now}
	o.setFailures(process, failures)
	for endpoint, w := range loads {
		o.sums[endpoint] = o.sums[endpoint].add(w)
	}
	if len(o.reports) == 1 {
		o.nextExpiry = now.Add(reportTTL)
	}
}

// setFailures replaces the reported failures of a process. It does nothing if the process
// has no valid report.
func (o *peerLoads) setFailures(process string, failures map[string]float64) {
	r, ok := o.reports[process]
	if !ok {
		return
	}
	o.subtractFailures(r)
	for endpoint, n := range failures {
		o.failures[endpoint] += n
	}
	r.failures = failures
	o.reports[process] = r
}

// subtractFailures subtracts a report's failures from the sums. Remainders below rounding
// accuracy count as zero.
func (o *peerLoads) subtractFailures(r peerReport) {
	const epsilon = 1e-6
	for endpoint, n := range r.failures {
		o.failures[endpoint] -= n
		if o.failures[endpoint] < epsilon {
			delete(o.failures, endpoint)
		}
	}
}

// failuresAt returns the number of recent failed attempts of other entries at an
// endpoint.
func (o *peerLoads) failuresAt(now time.Time, endpoint string) float64 {
	o.expire(now)
	return o.failures[endpoint]
}

// remove drops the report of a process and subtracts it from the sums.
func (o *peerLoads) remove(process string) {
	o.subtractFailures(o.reports[process])
	for endpoint, w := range o.reports[process].loads {
		sum := o.sums[endpoint].add(w.negated())
		if sum.isZero() {
			delete(o.sums, endpoint)
			continue
		}
		o.sums[endpoint] = sum
	}
	delete(o.reports, process)
}

// expire removes the reports older than reportTTL.
func (o *peerLoads) expire(now time.Time) {
	if !now.After(o.nextExpiry) {
		return
	}
	o.nextExpiry = now.Add(reportTTL)
	for process, r := range o.reports {
		until := r.at.Add(reportTTL)
		switch {
		case now.After(until):
			o.remove(process)
		case until.Before(o.nextExpiry):
			o.nextExpiry = until
		}
	}
}

// loadAt returns the work of all other entries at an endpoint.
func (o *peerLoads) loadAt(now time.Time, endpoint string) Load {
	o.expire(now)
	return o.sums[endpoint]
}

// demand returns the demand for a service that reaches all other entries.
func (o *peerLoads) demand(now time.Time, service string) (sum Demand) {
	o.expire(now)
	for _, r := range o.reports {
		sum = sum.add(r.demand[service])
	}
	return sum
}
