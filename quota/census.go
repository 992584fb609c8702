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
	// loneTime is how long an entry must have heard of no other one, and expected none, until it
	// takes itself for the only one. It is longer than any partition in which entries are restarted.
	loneTime = time.Hour
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
	// silentSince is since when this entry has expected no others.
	silentSince time.Time
}

func newFleetSize(cautious bool, started time.Time) fleetSize {
	return fleetSize{cautious: cautious, silentSince: started}
}

func (f *fleetSize) unknown() bool { return f.size <= 0 }

// update sets the largest recent fleet size.
func (f *fleetSize) update(size int) {
	if size > f.size {
		if f.cautious && f.peak == 1 {
			f.settled, f.confirmed = false, false // it was settled without any other entry
		}
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
	ends = f.settling()
	f.settled = true
	return ends
}

// settling reports whether the whole fleet may be larger than it seems so far.
func (f *fleetSize) settling() bool {
	return f.cautious && f.growing && !f.settled && f.size < assumedMinEntries
}

// mayBeCutOff reports whether there may be others that this entry has never heard of. That its
// seeds name none was true once.
func (f *fleetSize) mayBeCutOff(now time.Time) bool {
	return f.cautious && f.peak <= 1 && now.Sub(f.silentSince) < loneTime
}

// cautionLeft returns how long caution lasts if the size stays the same, and whether this
// entry is cautious.
func (f *fleetSize) cautionLeft(now time.Time) (left time.Duration, cautious bool) {
	return settleTime - now.Sub(f.changed), f.settling()
}

// assumed returns the number of entries to share limits among.
func (f *fleetSize) assumed() int {
	if f.settling() {
		return assumedMinEntries
	}
	return f.size
}

// FleetSizeSettled reports whether this entry takes the last fleet size set for that of the
// whole fleet.
func (l *Ledger) FleetSizeSettled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleFleetSize(now)
	return l.fleet.settled && !l.fleet.mayBeCutOff(now)
}

// ExpectOthers records that there are others, though none has been heard.
func (l *Ledger) ExpectOthers(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.silentSince = now
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
