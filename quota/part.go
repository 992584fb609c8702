package quota

import "time"

// joinTime is how long after the start of an entry the others may not have heard of it, and
// still use larger shares.
const joinTime = 3 * time.Second

// maxUnheard is how long an entry may stand still and not know of a newcomer: with catchUpTime, as
// long as an entry that runs.
const maxUnheard = joinTime - catchUpTime

// FixedShare is a process's share of a strict bound on what all entries together may use in any
// window: nothing is tolerated beyond it.
type FixedShare struct {
	Amount float64
	// Sole says that no other entry has a share of the bound.
	Sole bool
}

// FixedShare returns this process's share of a strict bound.
//
// The bound would be exceeded when all entries start together and do not know each other
// yet, when they are partitioned, or when all are killed under load and each uses its
// share again within one window after its restart. Therefore shares never grow: a process
// that knows of no other has none while it may be cut off, and a new one has none for one
// window after the others have heard of it. In that time it learns the fleet size, including the
// entries that it can't reach. Nor has a process one that stood still so long that newcomers may
// count on it to know of them, until it has heard others again.
func (l *Ledger) FixedShare(now time.Time, total float64, window time.Duration) FixedShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	newcomer := now.Sub(l.settings.Started) < window+joinTime
	alone := l.settings.SingleEntry && l.fleet.peak <= 1
	switch {
	case alone && !(l.settings.Restarted && newcomer):
		return FixedShare{Amount: total, Sole: true}
	case l.fleet.peak == 0 || newcomer || l.fleet.mayBeCutOff(now):
		return FixedShare{}
	case l.pauses.before(now) > maxUnheard:
		return FixedShare{}
	}
	return FixedShare{Amount: total / float64(l.fleet.peak)}
}
