package line

import "time"

// idleRoom is the room that stayed free for the horizon. Others have seen it and did not take
// it: what is said to wait elsewhere is gone, or can't use it.
type idleRoom struct {
	// before is the least free room of the last whole period, now that of the current one.
	before, now float64
	periodEnd   time.Time
}

func (i *idleRoom) observe(now time.Time, free float64) {
	if now.Before(i.periodEnd) {
		i.now = min(i.now, free)
		return
	}
	i.before, i.now = i.now, free
	if now.Sub(i.periodEnd) > horizon {
		i.before = 0 // nothing waited here for a while, and the room was not observed
	}
	i.periodEnd = now.Add(horizon)
}

func (i *idleRoom) take(cost float64) {
	i.before -= cost
	i.now -= cost
}

func (i *idleRoom) least() float64 { return min(i.before, i.now) }
