package quota

import (
	"math"
	"time"
)

const (
	// MaxClasses is the maximum number of urgency classes.
	MaxClasses = 4
	// smallCostRatio is how many requests of a fixed cost fit in the place of an average other
	// one from which on they count as small.
	smallCostRatio = 8
	// costWeight is the weight of one request in the average cost.
	costWeight = 0.05
	// levelWeight is by how many kinds of requests fewer are admitted at an empty bucket than at
	// the refusal threshold, at once; correctionWeight by how many fewer besides after some
	// correctionTime.
	levelWeight      = 2.0
	correctionWeight = 2.0
	correctionTime   = 2 * time.Second
	// nearlyEmpty is the level, as a fraction of the refusal threshold, below which even the
	// first kind of requests is refused at random. Each further kind that is admitted in full,
	// by at least fullMargin, has a range of the same width above.
	nearlyEmpty = 0.1
	fullMargin  = 0.25
	// maxReserved bounds what is kept for others, as a fraction of the refusal threshold.
	maxReserved = 0.5
	// maxCorrectionTime bounds the time for which one level is assumed.
	maxCorrectionTime = 200 * time.Millisecond
)

// Class says how urgent a request is among those of its workspace. The zero Class is that of
// a workspace whose requests are all alike.
type Class struct {
	// Urgency is 0 for the most urgent of a number of Classes.
	Urgency, Classes int
	// FixedCost says that all requests of this kind cost the same, unlike generations.
	FixedCost bool
	// Returning says that the caller comes back when it was told to, so that its request counts
	// as one of the most urgent class.
	Returning bool
	// Reserved is what is kept of the bucket for others, which return. Small requests of a fixed
	// cost don't leave it: many of them fit in the place of one that returns.
	Reserved float64
}

// TakeClass decides like Take on a request of a class. As the bucket empties, the least urgent
// classes are refused first.
func (l *Ledger) TakeClass(now time.Time, workspace ID, tokens int, c Class) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limitOf(workspace)
	if !limited {
		return Decision{OK: true, Share: 1}
	}
	if l.fleet.unknown() {
		return Decision{}
	}
	l.sweep(now)
	a := l.account(now, workspace, limit)
	a.chargeExpected(now)
	a.updateCutoff(now)
	a.costs.record(c.FixedCost, float64(tokens))
	own := a.costs.place(c)
	a.kinds = own.kinds
	p := own
	if c.Returning {
		p = place{index: a.costs.place(Class{Classes: c.Classes, FixedCost: c.FixedCost}).index, kinds: max(own.kinds, 2)}
	}
	threshold := a.refusalThreshold(now, a.share)
	level := a.bucket.TokensAt(now)
	if !a.costs.small(c) {
		level -= min(c.Reserved, maxReserved*threshold)
	}
	v := Decision{Limited: true, Level: level, Share: a.share, Threshold: threshold, Rate: a.rateFor(now, own)}
	v.Admitted = a.admitted(p, level, v.Threshold)
	v.OK = v.Admitted >= 1 || v.Admitted > l.rnd.Float64()
	if !v.OK {
		v.Wait = l.wait(now, a, p, level)
		return v
	}
	a.spend(now, float64(tokens))
	a.taken += uint64(tokens)
	a.recent.add(now, float64(tokens))
	a.byKind[own.index].add(now, float64(tokens))
	l.startReporting(now, a)
	return v
}

// rateFor returns how many tokens a second more urgent requests leave to those at a place, as
// far as this entry's own recent use tells.
func (a *account) rateFor(now time.Time, p place) float64 {
	var more, all float64
	for i := range a.byKind {
		use := a.byKind[i].value(now)
		all += use
		if i < p.index {
			more += use
		}
	}
	rate := a.full.Rate * a.share
	if all <= 0 {
		return rate
	}
	return rate * (1 - more/all)
}

// place is the position of a kind of requests among a number of them, 0 being the last to be
// refused.
type place struct{ index, kinds int }

// alike reports whether all requests of the workspace are of one kind.
func (p place) alike() bool { return p.kinds <= 1 }

// cutoff controls which kinds of requests are admitted while the bucket is below the refusal
// threshold. It follows the level partly with a delay: entries that learn late of each other's
// use would otherwise swing between admitting all and none of a kind.
type cutoff struct {
	// correction is by how many kinds fewer are admitted because of the recent levels.
	correction float64
	at         time.Time
}

// update adjusts the correction to the level, as a fraction of the refusal threshold.
func (c *cutoff) update(now time.Time, level float64) {
	since := min(now.Sub(c.at), maxCorrectionTime)
	c.at = now
	settled := correctionWeight * clamp(1-level)
	c.correction += (settled - c.correction) * (1 - math.Exp(-since.Seconds()/correctionTime.Seconds()))
}

// admitted returns the fraction of requests to admit at a place and a level below the refusal
// threshold. Only the last kind that is admitted absorbs the swings of the level; more urgent
// ones are refused when the bucket is nearly empty.
func (c *cutoff) admitted(p place, level float64) float64 {
	more := float64(p.kinds-p.index) - c.correction
	last := clamp(more - levelWeight*(1-level))
	full := 1.0
	if p.index > 0 {
		full = clamp((more - c.correction*levelWeight/correctionWeight - 1) / fullMargin)
	}
	return max(last, full*clamp(level/nearlyEmpty-float64(p.index)))
}

// clamp limits a fraction to the range from 0 to 1.
func clamp(x float64) float64 { return min(max(x, 0), 1) }

// certainLevel returns the level, as a fraction of the refusal threshold, from which on all
// requests at a place are admitted.
func (c *cutoff) certainLevel(p place) float64 {
	if p.index == 0 {
		return nearlyEmpty
	}
	return clamp(1 - (float64(p.kinds-p.index-1)-c.correction)/levelWeight)
}

// costs is what an account learns of the costs of its requests.
type costs struct {
	// fixed is the cost of the last request of a fixed cost, others the average of the others;
	// zero if there was none.
	fixed, others float64
}

func (s *costs) record(fixed bool, cost float64) {
	switch {
	case fixed:
		s.fixed = cost
	case s.others == 0:
		s.others = cost
	default:
		s.others += (cost - s.others) * costWeight
	}
}

// unlike reports whether requests of a fixed cost are small beside the others.
func (s *costs) unlike() bool { return s.fixed > 0 && s.others >= smallCostRatio*s.fixed }

// small reports whether requests of a class are small beside the others of the workspace.
func (s *costs) small(c Class) bool { return c.FixedCost && s.unlike() }

// place returns the place of a class. Small requests are the last to be refused, whatever their
// class: one large request takes the tokens of many callers, and classes of different services
// do not compare.
func (s *costs) place(c Class) place {
	p := place{kinds: min(max(c.Classes, 1), MaxClasses)}
	p.index = min(max(c.Urgency, 0), p.kinds-1)
	if !s.unlike() {
		return p
	}
	p.kinds++
	if s.small(c) {
		p.index = 0
	} else {
		p.index++
	}
	return p
}

// updateCutoff adjusts which kinds of requests are admitted to the level of the bucket.
func (a *account) updateCutoff(now time.Time) {
	threshold := a.refusalThreshold(now, a.share)
	if a.kinds > 1 && threshold > 0 {
		a.cutoff.update(now, a.bucket.TokensAt(now)/threshold)
	}
}
