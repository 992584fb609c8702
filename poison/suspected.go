package poison

import "time"

// Suspected reports whether endpoints have crashed one after the other under requests that share
// one of these parts, of which no answer has begun since. It takes fewer crashes than a verdict.
//
// A request for which it returns false is taken for the trial of a part if one is due: it must be
// sent at once.
func (d *PartDetector) Suspected(now time.Time, parts []uint64) bool {
	d.mu.Lock()
	found := d.review(now)
	suspected := d.awaitsVerdict(now, considered(parts))
	d.mu.Unlock()
	d.notifyBlocked(found)
	return suspected
}

// awaitsVerdict reports whether a request with these parts has to wait. The caller holds d.mu.
func (d *PartDetector) awaitsVerdict(now time.Time, parts []uint64) bool {
	if d.takeTrial(now, parts) {
		return false
	}
	for _, part := range parts {
		if d.verdictOn(now, part, parts) != nil {
			return true // a trial runs
		}
		if r := d.parts[part]; r != nil && r.suspectedSince(now.Add(-rateWindow)) {
			return true
		}
	}
	return false
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
