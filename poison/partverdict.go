package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minPartContents is the number of different requests that must have had a part for a
	// verdict: Detector judges a request that is repeated. Fewer suffice if each has crashed
	// minRepeatedCrashes endpoints by itself.
	minPartContents    = 3
	minRepeatedCrashes = 2
	// minPartCrashes is the number of crashed endpoints below which no part is convicted, and
	// minPartTime the time since the first of them, in which answers become known.
	minPartCrashes = 4
	minPartTime    = 500 * time.Millisecond
	// minUnexplained is the number of crashes that other parts must leave unexplained for a
	// part to be convicted, keptPartCrashes the number for it to remain so.
	minUnexplained  = 2
	keptPartCrashes = 1
	// maxPartCoincidence is the probability that a part was at all its crashed endpoints by
	// coincidence, at or below which it is convicted.
	maxPartCoincidence = 1e-5
	// A part that was at halfPartCrashes endpoints, half of those that crashed meanwhile, or at
	// manyPartCrashes endpoints, an eighth of them, is convicted however probable coincidence is.
	// Crashes that another part explains have explainedWeight, those far in their answers
	// deepWeight.
	halfPartCrashes, halfPartShare = 5, 0.5
	minPartShare                   = 0.8
	manyPartCrashes, manyPartShare = 8, 0.125
	explainedWeight                = 0.5
	deepWeight                     = 0.5
	// A part that has the suspects of narrower ones, which may crash endpoints in its stead,
	// needs widePartCrashes and no answer within widePartTime of the first crash.
	widePartCrashes = 8
	widePartTime    = 2 * time.Second
	// A part that has been answered before needs answeredPartCrashes and no answer within
	// answeredPartTime of the first crash.
	answeredPartCrashes = 12
	answeredPartTime    = 10 * time.Second
	// answeredProofTime is the time in which its answers become known if coincidence is improbable.
	answeredProofTime = time.Second
	// A verdict lapses some time after the last crash, because nobody can clear a part that
	// everybody blocks: after doubtfulTTL for such parts, else after minVerdictTTL with
	// minPartCrashes, and twice as long with each crash more.
	doubtfulTTL   = 10 * time.Second
	minVerdictTTL = time.Minute
)

// conviction is what was decided about a part.
type conviction int

const (
	acquitted conviction = iota
	// doubtful is a conviction of a part that was answered before, or is wide and not covered.
	doubtful
	convicted
)

// partVerdict blocks requests with all parts of a class.
type partVerdict struct {
	class   []uint64
	crashes int
	// last is the time of the last crash.
	last, until time.Time
	// trialPause is the pause before a trial by this entry; zero if it tries none.
	trialPause time.Duration
}

// partCandidate is a part that may be convicted.
type partCandidate struct {
	part uint64
	// class holds the parts that all suspects with the part share.
	class []uint64
	// endpoints are the crashed endpoints, with the least depth of their suspects.
	endpoints   map[string]Depth
	suspects    int
	first, last time.Time
	// depth is the median of the depths of the suspects.
	depth Depth
	// wide is set if there are narrower parts, and covered if each suspect has one of them;
	// answered is set if an answer has survived depth before.
	wide, covered, answered bool
}

// blocks reports whether a request with these parts is blocked. The caller holds d.mu.
func (d *PartDetector) blocks(now time.Time, parts []uint64) bool {
	for _, part := range parts {
		v, r := d.verdictOn(now, part, parts), d.parts[part]
		if v != nil && !v.trialDue(now, r) && !v.trialRuns(now, r) {
			return true
		}
	}
	return false
}

// verdictOn returns the verdict against one of the parts of a request if it applies to the
// request, else nil. The caller holds d.mu.
func (d *PartDetector) verdictOn(now time.Time, part uint64, parts []uint64) *partVerdict {
	v := d.verdicts[part]
	if v == nil || now.After(v.until) {
		return nil
	}
	if slices.ContainsFunc(v.class, func(p uint64) bool { return !slices.Contains(parts, p) }) {
		return nil
	}
	return v
}

// review works out the verdicts again if they are due, and returns the new ones. The caller
// holds d.mu.
func (d *PartDetector) review(now time.Time) []*partVerdict {
	if !d.changed && (d.reviewAt.IsZero() || now.Before(d.reviewAt)) {
		return nil
	}
	d.expire(now)
	d.changed, d.reviewAt = false, time.Time{}
	d.enoughCrashes = d.crashesForVerdict(now)
	verdicts := make(map[uint64]*partVerdict)
	explained := make(map[string]bool)
	var found []*partVerdict
	for _, c := range d.candidates() {
		v := d.judge(now, c, explained)
		if v == nil {
			continue
		}
		for endpoint := range c.endpoints {
			explained[endpoint] = true
		}
		verdicts[c.part] = v
		d.reviewBy(v.until)
		if d.verdicts[c.part] == nil {
			found = append(found, v)
		}
	}
	d.verdicts = verdicts
	return found
}

// reviewBy makes the verdicts due at a time. The caller holds d.mu.
func (d *PartDetector) reviewBy(at time.Time) {
	if d.reviewAt.IsZero() || at.Before(d.reviewAt) {
		d.reviewAt = at
	}
}

// candidates returns the parts with enough crashes for a verdict. Those that explain most go
// first, and those that were answered before last. The caller holds d.mu.
func (d *PartDetector) candidates() []*partCandidate {
	var list []*partCandidate
	for part := range d.frequent {
		r := d.parts[part]
		if len(r.suspects) < d.enoughCrashes {
			continue
		}
		if c := d.candidate(part, r); c != nil {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *partCandidate) int {
		switch {
		case a.answered != b.answered && b.answered:
			return -1
		case a.answered != b.answered:
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.endpoints), len(a.endpoints)),
			cmp.Compare(a.suspects, b.suspects), cmp.Compare(a.part, b.part))
	})
	return list
}

// candidate returns a part as a candidate; nil if it has too few crashes, or if another part
// has the same suspects and stands for both. The caller holds d.mu.
func (d *PartDetector) candidate(part uint64, r *partRecord) *partCandidate {
	for _, p := range r.suspects[0].parts {
		if p < part && slices.Equal(d.parts[p].suspects, r.suspects) {
			return nil
		}
	}
	c := &partCandidate{part: part, endpoints: make(map[string]Depth), suspects: len(r.suspects), first: r.suspects[0].at, last: r.suspects[0].at, depth: r.medianDepth()}
	contents := make(map[uint64]bool)
	c.class = slices.Clone(r.suspects[0].parts)
	for _, s := range r.suspects {
		contents[s.content] = true
		if depth, known := c.endpoints[s.endpoint]; !known || s.depth < depth {
			c.endpoints[s.endpoint] = s.depth
		}
		c.first, c.last = earliest(c.first, s.at), latest(c.last, s.at)
		c.class = slices.DeleteFunc(c.class, func(p uint64) bool { return !slices.Contains(s.parts, p) })
	}
	if len(c.endpoints) < d.enoughCrashes || !d.enoughContents(r.suspects, len(contents)) {
		return nil
	}
	c.wide, c.covered = d.hasNarrower(r)
	for _, p := range c.class {
		// A class is as good as its most doubtful part only if all of it was answered.
		c.answered = !d.parts[p].answered[c.depth].IsZero()
		if !c.answered {
			break
		}
	}
	return c
}

// enoughContents reports whether the suspects of a part are so many different requests that the
// part has crashed the endpoints, rather than one of them. The caller holds d.mu.
func (d *PartDetector) enoughContents(suspects []*suspect, contents int) bool {
	if contents >= minPartContents {
		return true
	}
	if contents == 1 {
		return false
	}
	byItself := crashesByItself(suspects)
	if d.enoughCrashes < minPartCrashes {
		return len(byItself) == contents
	}
	repeated := 0
	for _, crashes := range byItself {
		if crashes >= minRepeatedCrashes {
			repeated++
		}
	}
	return repeated == contents
}

// crashesByItself returns, for each request, the number of endpoints that crashed while it was the
// only suspect there, none for those that never were.
func crashesByItself(suspects []*suspect) map[uint64]int {
	at := make(map[string][]uint64)
	for _, s := range suspects {
		at[s.endpoint] = append(at[s.endpoint], s.content)
	}
	count := make(map[uint64]int)
	for _, contents := range at {
		if len(contents) == 1 {
			count[contents[0]]++
		}
	}
	return count
}

// medianDepth returns the median of the depths of the suspects.
func (r *partRecord) medianDepth() Depth {
	depths := make([]Depth, 0, len(r.suspects))
	for _, s := range r.suspects {
		depths = append(depths, s.depth)
	}
	slices.Sort(depths)
	return depths[len(depths)/2]
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hasNarrower reports whether half of a part's crashed endpoints had suspects that share another
// part, which no other suspect has and which was at several of them; and whether these narrower
// parts cover all suspects, as companions of a bad part do. The caller holds d.mu.
func (d *PartDetector) hasNarrower(r *partRecord) (wide, covered bool) {
	count := make(map[uint64]int)
	endpoints := make(map[string]bool)
	for _, s := range r.suspects {
		endpoints[s.endpoint] = true
		for _, p := range s.parts {
			count[p]++
		}
	}
	narrow, narrowed := make(map[string]bool), make(map[*suspect]bool)
	for p, n := range count {
		other := d.parts[p]
		if n < len(r.suspects) && n == len(other.suspects) && other.suspectedTwice() {
			for _, s := range other.suspects {
				narrowed[s] = true
				narrow[s.endpoint] = true
			}
		}
	}
	return len(narrow) > 0 && 2*len(narrow) >= len(endpoints), len(narrowed) == len(r.suspects)
}

// suspectedTwice reports whether two requests with the part were at two crashed endpoints.
func (r *partRecord) suspectedTwice() bool {
	s := r.suspects[0]
	return r.crashedElsewhere(s.endpoint) && slices.ContainsFunc(r.suspects, func(x *suspect) bool { return x.content != s.content })
}

// judge returns a verdict against a candidate, or nil. The endpoints in explained crashed under
// parts that are already convicted. The caller holds d.mu.
func (d *PartDetector) judge(now time.Time, c *partCandidate, explained map[string]bool) *partVerdict {
	found := d.convict(now, c, c.unexplained(explained), c.weight(explained, d.deepFrom()))
	for _, p := range c.class {
		if r := d.parts[p]; len(r.suspects) == c.suspects {
			r.conviction, r.convictedClass = found, c.class
		}
	}
	v := &partVerdict{class: c.class, crashes: len(c.endpoints), last: c.last, until: c.last.Add(doubtfulTTL)}
	if found == convicted {
		v.until, v.trialPause = c.last.Add(verdictTTL(v.crashes)), d.parts[c.part].trialPause()
	}
	if found == acquitted || now.After(v.until) {
		return nil
	}
	return v
}

// convict decides about a candidate of which other parts leave some crashes unexplained, and whose
// crashes have a weight in all. The caller holds d.mu.
func (d *PartDetector) convict(now time.Time, c *partCandidate, unexplained int, weight float64) conviction {
	switch {
	case d.remainsConvicted(c):
		if unexplained >= keptPartCrashes {
			return convicted // its answers clear it
		}
	case c.answered:
		if unexplained >= halfPartCrashes && d.reached(now, c.first.Add(answeredProofTime)) && d.coincidence(now, c, unexplained) <= maxPartCoincidence {
			return convicted
		}
		if unexplained >= answeredPartCrashes && d.reached(now, c.first.Add(answeredPartTime)) {
			return doubtful
		}
	case c.wide:
		if len(c.endpoints) >= widePartCrashes && d.reached(now, c.first.Add(widePartTime)) {
			if c.covered && unexplained >= minUnexplained {
				return convicted
			}
			return doubtful
		}
	case d.improbable(now, c, unexplained, weight) && d.settled(now, c, weight):
		return convicted
	}
	return acquitted
}

// settled reports whether the crashes of other endpoints beside those of a candidate are known, which
// matters if few convict it. Suspected requests wait meanwhile. The caller holds d.mu.
func (d *PartDetector) settled(now time.Time, c *partCandidate, weight float64) bool {
	return d.enoughCrashes == minPartCrashes || weight >= minPartCrashes || d.reached(now, c.last.Add(minPartTime))
}

// remainsConvicted reports whether a candidate was convicted, and its suspects since then share
// the whole class but for parts that were cleared. Otherwise another part of the class may be
// the bad one. The caller holds d.mu.
func (d *PartDetector) remainsConvicted(c *partCandidate) bool {
	r := d.parts[c.part]
	return r.conviction == convicted && !slices.ContainsFunc(r.convictedClass, func(p uint64) bool {
		return slices.Contains(r.suspects[0].parts, p) && !slices.Contains(c.class, p)
	})
}

// verdictTTL returns how long a verdict lasts after the last of a number of crashes.
func verdictTTL(crashes int) time.Duration {
	ttl := minVerdictTTL
	for i := minPartCrashes; i < crashes && ttl < evidenceTTL; i++ {
		ttl *= 2
	}
	return min(ttl, evidenceTTL)
}

// reached reports whether a time has come, and else makes the verdicts due then. The caller
// holds d.mu.
func (d *PartDetector) reached(now, at time.Time) bool {
	if now.Before(at) {
		d.reviewBy(at)
		return false
	}
	return true
}

func (c *partCandidate) unexplained(explained map[string]bool) int {
	n := 0
	for endpoint := range c.endpoints {
		if !explained[endpoint] {
			n++
		}
	}
	return n
}

// weight returns the number of crashes, of which those that other parts explain and those from a depth
// on count less.
func (c *partCandidate) weight(explained map[string]bool, deepFrom Depth) (sum float64) {
	for endpoint, depth := range c.endpoints {
		weight := 1.0
		if explained[endpoint] {
			weight *= explainedWeight
		}
		if depth >= deepFrom {
			weight *= deepWeight
		}
		sum += weight
	}
	return sum
}

// improbable reports whether coincidence does not explain that a part was at its crashed
// endpoints without an answer, of which other parts leave some unexplained. The caller holds
// d.mu.
func (d *PartDetector) improbable(now time.Time, c *partCandidate, unexplained int, weight float64) bool {
	if unexplained < minUnexplained || !d.reached(now, c.first.Add(minPartTime)) {
		return false
	}
	all := len(c.endpoints)
	share := float64(all) / float64(max(d.attempts.crashedBetween(c.first, c.last), 1))
	if weight >= float64(d.enoughCrashes) && share >= minPartShare || weight >= halfPartCrashes && share >= halfPartShare || weight >= manyPartCrashes && share >= manyPartShare {
		return true
	}
	return unexplained >= halfPartCrashes && d.coincidence(now, c, unexplained) <= maxPartCoincidence
}

// coincidence returns the probability that a sound part was at a number of its crashed endpoints.
// The caller holds d.mu.
func (d *PartDetector) coincidence(now time.Time, c *partCandidate, unexplained int) float64 {
	return math.Pow(d.attempts.crashShare(now, c.first, c.endpoints), float64(unexplained))
}

// notifyBlocked calls the callback for new verdicts. The caller must not hold d.mu.
func (d *PartDetector) notifyBlocked(found []*partVerdict) {
	if d.OnBlocked == nil {
		return
	}
	for _, v := range found {
		d.OnBlocked(slices.Clone(v.class), v.crashes)
	}
}
