package poison

import "time"

// Suspected reports whether endpoints have crashed one after the other under requests that share
// one of these parts, of which no answer has begun since. It takes fewer crashes than a verdict.
func (d *PartDetector) Suspected(now time.Time, parts []uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range considered(parts) {
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
