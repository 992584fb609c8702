package quota

import "time"

// Part returns this process's part of what all entries together may use in any window, for bounds
// beyond which nothing is tolerated.
//
// Entries have not heard of each other yet, are cut off from each other, or an entry used its
// part, is killed, starts again and uses it once more within one window. It shows as more than is
// allowed when all entries start together, or after all were killed under load. The guard holds
// because parts never grow: a process that knows of no other one, though there are some, has none,
// and a new one has none for one window, in which it hears how many there are, also of those that
// it does not hear.
func (l *Ledger) Part(now time.Time, total float64, window time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	newcomer := now.Sub(l.set.Started) < window
	alone := l.set.Alone && l.census.peak <= 1
	switch {
	case alone && !(l.set.Restarted && newcomer):
		return total
	case l.census.peak == 0 || newcomer:
		return 0
	}
	return total / float64(l.census.peak)
}
