package quota

import "time"

const (
	// settleTime is how long the number of entries has to stay before an entry that started
	// while it grew takes it for that of the whole fleet.
	settleTime = 1200 * time.Millisecond
	// assumedLeast is the number of entries that it reckons with at least until then.
	assumedLeast = 64
	// firstContact is the number of entries that one knows which has heard of a single other
	// one, that knows nobody else.
	firstContact = 2
)

// census is what an entry knows of the number of entries.
//
// Entries that are restarted together hear of each other step by step, and each group of them
// takes itself for the whole fleet. It shows as a multiple of each limit in the seconds after.
// The guard holds because a restarted entry that sees the number grow, or knows one other only,
// reckons with assumedLeast until the number stays or one that has counted tells it.
type census struct {
	// size is the most entries that there were lately, zero while that is unknown, and peak
	// the most that it ever was.
	size, peak int
	// cautious says that a former incarnation's use is unknown to this one.
	cautious bool
	// counted says that size is taken for the whole fleet, growing that it was seen to grow
	// before, and changed when it last did.
	counted, growing bool
	changed          time.Time
	// fresh says that size has grown since the last look at the clock, confirmed that another
	// entry took it for the whole fleet.
	fresh, confirmed bool
}

func newCensus(cautious bool) census { return census{cautious: cautious} }

func (c *census) unknown() bool { return c.size <= 0 }

// set takes the most entries that there were lately.
func (c *census) set(size int) {
	if size > c.size {
		c.growing = c.growing || !c.unknown() || size <= firstContact
		c.fresh = true
	}
	c.size, c.peak = size, max(size, c.peak)
}

// look reports whether caution ends now.
func (c *census) look(now time.Time) (ends bool) {
	if c.fresh {
		c.changed, c.fresh = now, false
	}
	if c.counted || c.unknown() || !c.confirmed && now.Sub(c.changed) < settleTime {
		return false
	}
	ends = c.assumed() > c.size
	c.counted = true
	return ends
}

// left returns how long caution lasts if the number stays, and whether there is any.
func (c *census) left(now time.Time) (left time.Duration, cautious bool) {
	return settleTime - now.Sub(c.changed), c.assumed() > c.size
}

// assumed is the number of entries to reckon with.
func (c *census) assumed() int {
	if c.cautious && c.growing && !c.counted {
		return max(c.size, assumedLeast)
	}
	return c.size
}

// Counted reports whether this entry takes the number of entries that it was told for that of the
// whole fleet.
func (l *Ledger) Counted(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	return l.census.counted
}

// Confirm says that the number of entries, as it was last told, is that of the whole fleet.
func (l *Ledger) Confirm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.census.confirmed = !l.census.unknown()
}

// settle gives accounts what was withheld from them since the number of entries last grew, once
// that has proved to be all; l.mu is held.
func (l *Ledger) settle(now time.Time) {
	if !l.census.look(now) {
		return
	}
	for _, a := range l.accounts {
		share := l.share(now, a.full)
		withheld := l.withheld(now, a, share)
		a.limit(now, a.full, a.depth, share)
		a.spend(now, -withheld)
	}
}

// withheld returns the tokens that an account lacks since the number of entries last grew, because
// the part of the limit in force is below another one; l.mu is held.
func (l *Ledger) withheld(now time.Time, a *account, share float64) float64 {
	since := a.began
	if since.Before(l.census.changed) {
		since = l.census.changed
	}
	return max(share-a.share, 0) * a.full.Rate * now.Sub(since).Seconds()
}
