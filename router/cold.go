package router

import "time"

// coldSlowdown is how much longer work is assumed to take at an endpoint that has just started
// and says that it is still slow, until its own durations show how slow it is.
const coldSlowdown = 1.5

// coldStart is the time after the start of an endpoint in which it is slow.
type coldStart struct {
	since, until time.Time
	// shown is the part of the slowdown that durations had shown at shownAt. It is forgotten
	// like the learned slowdown.
	shown   float64
	shownAt time.Time
}

func (c *coldStart) shownPart(now time.Time) float64 {
	return c.shown * decayFactor(now.Sub(c.shownAt))
}

// setCold takes over which endpoints are slow after their start.
//
// A third of the endpoints may restart at once. They hold no work, so that they seem to be the
// best choice, and all entries would send them their calls while they are slow.
func (l *LoadTracker) setCold(now time.Time, d *Directory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cold := make(map[string]*coldStart)
	for _, list := range d.endpoints {
		for _, e := range list {
			if !e.ColdUntil.After(now) {
				continue
			}
			cold[e.ID] = l.cold[e.ID]
			if cold[e.ID] == nil {
				cold[e.ID] = &coldStart{since: now, until: e.ColdUntil}
			}
		}
	}
	l.cold = cold
}

// coldSlowdown returns how much longer work is assumed to take at an endpoint because it has
// just started. It falls evenly until the endpoint is no longer cold. The caller holds l.mu.
func (l *LoadTracker) coldSlowdown(now time.Time, endpoint string) float64 {
	c := l.cold[endpoint]
	if c == nil || !now.Before(c.until) {
		return 1
	}
	left := float64(c.until.Sub(now)) / float64(c.until.Sub(c.since))
	return 1 + (coldSlowdown-1)*min(left, 1)*(1-c.shownPart(now))
}

// showCold records that a duration at an endpoint has changed its learned slowdown by this
// weight. The caller holds l.mu.
func (l *LoadTracker) showCold(now time.Time, endpoint string, weight float64) {
	if c := l.cold[endpoint]; c != nil {
		c.shown, c.shownAt = 1-(1-c.shownPart(now))*(1-weight), now
	}
}
