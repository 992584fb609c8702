package poison

import "time"

// probeDelay is the time after the first crash in which answers that are under way become known.
// An answer to a probe takes less than the rest of minPartTime.
const probeDelay = 200 * time.Millisecond

// Suspected reports whether endpoints have crashed one after the other under requests that share
// one of these parts, of which no answer has begun since. It takes fewer crashes than a verdict.
//
// It returns false once for a part that has the crashes for a verdict but not yet the time, so
// that an answer can clear it although all its other requests wait.
func (d *PartDetector) Suspected(now time.Time, parts []uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspected, probe := false, false
	for _, part := range considered(parts) {
		if r := d.parts[part]; r != nil && r.suspectedSince(now.Add(-rateWindow)) {
			suspected = true
			probe = r.probe(now) || probe
		}
	}
	return suspected && !probe
}

// probe reports whether a request with a suspected part goes to an endpoint before a verdict.
func (r *partRecord) probe(now time.Time) bool {
	first := oldest(r.suspects).at
	if r.probed.Equal(first) || now.Before(first.Add(probeDelay)) || !now.Before(first.Add(minPartTime)) || !r.mayBeConvicted() {
		return false
	}
	r.probed = first
	return true
}

// mayBeConvicted reports whether a part was at enough crashed endpoints for a verdict.
func (r *partRecord) mayBeConvicted() bool {
	endpoints := make(map[string]bool)
	for _, s := range r.suspects {
		endpoints[s.endpoint] = true
	}
	return len(endpoints) >= minPartCrashes
}

// suspectedSince reports whether different requests with the part were at different endpoints
// that crashed since a time.
func (r *partRecord) suspectedSince(from time.Time) bool {
	var first *suspect
	endpoints, contents := false, false
	for _, s := range r.suspects {
		switch {
		case s.at.Before(from):
		case first == nil:
			first = s
		default:
			endpoints = endpoints || s.endpoint != first.endpoint
			contents = contents || s.content != first.content
		}
	}
	return endpoints && contents
}
