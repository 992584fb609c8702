package quota

import "time"

const (
	// settleTime is how long the fleet size has to stay the same before an entry that started
	// while it grew takes it for the size of the whole fleet.
	settleTime = 1200 * time.Millisecond
	// assumedMinEntries is the minimum fleet size that such an entry assumes until then.
	assumedMinEntries = 64
	// firstContactSize is the fleet size seen by an entry that knows a single other one, which
	// knows no further entry.
	firstContactSize = 2
)

// fleetSize is what an entry knows of the number of entries in the fleet.
//
// Entries that are restarted together learn of each other step by step, and each group would
// take itself for the whole fleet and admit a multiple of each limit in the seconds after the
// restart. Therefore a restarted entry that sees the number grow, or knows only one other
// entry, assumes at least assumedMinEntries until the number settles or an entry that knows
// the whole fleet confirms it.
type fleetSize struct {
	// size is the largest recent fleet size, zero while unknown, and peak the largest ever.
	size, peak int
	// cautious says that the use by a former incarnation of this entry is unknown.
	cautious bool
	// settled says that size is taken for the whole fleet. growing says that this entry has
	// seen it grow, or that it was at most firstContactSize when it became known. changed is
	// when it last grew.
	settled, growing bool
	changed          time.Time
	// grew says that size has grown since changed was last updated, confirmed that another
	// entry takes it for the whole fleet.
	grew, confirmed bool
}

func newFleetSize(cautious bool) fleetSize { return fleetSize{cautious: cautious} }

func (f *fleetSize) unknown() bool { return f.size <= 0 }

// update sets the largest recent fleet size.
func (f *fleetSize) update(size int) {
	if size > f.size {
		f.growing = f.growing || !f.unknown() || size <= firstContactSize
		f.grew = true
	}
	f.size, f.peak = size, max(size, f.peak)
}

// checkSettled marks the size as settled when it is, and reports whether that ends caution.
func (f *fleetSize) checkSettled(now time.Time) (ends bool) {
	if f.grew {
		f.changed, f.grew = now, false
	}
	if f.settled || f.unknown() || !f.confirmed && now.Sub(f.changed) < settleTime {
		return false
	}
	ends = f.assumed() > f.size
	f.settled = true
	return ends
}

// cautionLeft returns how long caution lasts if the size stays the same, and whether this
// entry is cautious.
func (f *fleetSize) cautionLeft(now time.Time) (left time.Duration, cautious bool) {
	return settleTime - now.Sub(f.changed), f.assumed() > f.size
}

// assumed returns the number of entries to share limits among.
func (f *fleetSize) assumed() int {
	if f.cautious && f.growing && !f.settled {
		return max(f.size, assumedMinEntries)
	}
	return f.size
}

// FleetSizeSettled reports whether this entry takes the last fleet size set for that of the
// whole fleet.
func (l *Ledger) FleetSizeSettled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleFleetSize(now)
	return l.fleet.settled
}

// ConfirmFleetSize records that the last fleet size set is that of the whole fleet.
func (l *Ledger) ConfirmFleetSize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.confirmed = !l.fleet.unknown()
}

// settleFleetSize checks whether the fleet size has settled, and if so returns to the
// accounts what was withheld from them since it last grew. The caller holds l.mu.
func (l *Ledger) settleFleetSize(now time.Time) {
	if !l.fleet.checkSettled(now) {
		return
	}
	for _, a := range l.accounts {
		share := l.share(now, a.full)
		withheld := l.withheld(now, a, share)
		a.setLimit(now, a.full, a.depth, share)
		a.spend(now, -withheld)
	}
}

// withheld returns the tokens that an account lacks since the fleet size last grew, because
// its share of the limit is below another one. The caller holds l.mu.
func (l *Ledger) withheld(now time.Time, a *account, share float64) float64 {
	since := a.created
	if since.Before(l.fleet.changed) {
		since = l.fleet.changed
	}
	return max(share-a.share, 0) * a.full.Rate * now.Sub(since).Seconds()
}
