package poison

import (
	"slices"
	"time"
)

const (
	// wellKnownAfter is how far back the evidence of entries reaches at least that wait for
	// minPartCrashes. Those that have all been restarted have forgotten what a part has crashed
	// before: fewKnownCrashes suffice for them.
	wellKnownAfter  = 10 * time.Minute
	fewKnownCrashes = 2
	// minFrequent is the number of suspects below which no part is judged.
	minFrequent = fewKnownCrashes
)

// SetKnownSince states that this entry has started at a time, and knows nothing of before.
func (d *PartDetector) SetKnownSince(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knownSince, d.changed = at, true
}

// KnownFor returns how far back the evidence reaches, wellKnownAfter at most.
func (d *PartDetector) KnownFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knownFor(now)
}

func (d *PartDetector) knownFor(now time.Time) time.Duration {
	if d.knownSince.IsZero() {
		return wellKnownAfter
	}
	return max(0, min(now.Sub(d.knownSince), wellKnownAfter))
}

// LearnKnown takes note of how far back the evidence of another entry reaches, which sends it here.
func (d *PartDetector) LearnKnown(now time.Time, known time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known = min(known, wellKnownAfter); known > d.knownFor(now) {
		d.knownSince, d.changed = now.Add(-known), true
	}
}

// crashesForVerdict returns the number of crashes that convict a part. The caller holds d.mu.
func (d *PartDetector) crashesForVerdict(now time.Time) int {
	if d.knownFor(now) < wellKnownAfter {
		return fewKnownCrashes
	}
	return minPartCrashes
}

// deepFrom returns the depth from which on crashes count less. The caller holds d.mu.
func (d *PartDetector) deepFrom() Depth {
	if d.enoughCrashes < minPartCrashes {
		return Middle
	}
	return Late
}

// BlocksRepeated reports whether a request is blocked because it has crashed fewKnownCrashes endpoints
// by itself, while the evidence doesn't reach back far. Crashes of one request don't tell which of
// its parts is bad, and so block no other one.
func (d *PartDetector) BlocksRepeated(now time.Time, content uint64, parts []uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashesForVerdict(now) == minPartCrashes {
		return false
	}
	return slices.ContainsFunc(considered(parts), func(part uint64) bool {
		return d.frequent[part] && d.repeatedlyCrashed(now, content, d.parts[part])
	})
}

// repeatedlyCrashed reports whether coincidence does not explain that one request with a part that was
// never answered has been at endpoints that crashed lately. The caller holds d.mu.
func (d *PartDetector) repeatedlyCrashed(now time.Time, content uint64, r *partRecord) bool {
	c := &partCandidate{endpoints: make(map[string]Depth)}
	for _, s := range r.suspects {
		if s.content != content || !r.answered[s.depth].IsZero() || r.suspectedBeside(s) {
			continue
		}
		if len(c.endpoints) == 0 {
			c.first = s.at
		}
		c.endpoints[s.endpoint] = s.depth
		c.first, c.last = earliest(c.first, s.at), latest(c.last, s.at)
	}
	return now.Sub(c.last) <= minVerdictTTL && d.improbable(now, c, len(c.endpoints), c.weight(nil, d.deepFrom()))
}

// suspectedBeside reports whether another request with the part was at a suspect's endpoint.
func (r *partRecord) suspectedBeside(s *suspect) bool {
	return slices.ContainsFunc(r.suspects, func(x *suspect) bool { return x.endpoint == s.endpoint && x.content != s.content })
}
