package quota

import "time"

// FixedShare returns this process's share of a strict bound on what all entries together may
// use in any window: nothing is tolerated beyond it.
//
// The bound would be exceeded when all entries start together and do not know each other
// yet, when they are partitioned, or when all are killed under load and each uses its
// share again within one window after its restart. Therefore shares never grow: a process
// that knows of no other, though there are some, has none, and a new one has none for one
// window, in which it learns the fleet size, including the entries that it can't reach.
func (l *Ledger) FixedShare(now time.Time, total float64, window time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	newcomer := now.Sub(l.settings.Started) < window
	alone := l.settings.SingleEntry && l.fleet.peak <= 1
	switch {
	case alone && !(l.settings.Restarted && newcomer):
		return total
	case l.fleet.peak == 0 || newcomer:
		return 0
	}
	return total / float64(l.fleet.peak)
}
