package poison

import (
	"math"
	"slices"
	"time"
)

const (
	// maxOwnCrashes bounds the own attempts at crashed endpoints that are kept.
	maxOwnCrashes = 256
	// begunSlots is the number of slots of begun answers in rateWindow.
	begunSlots = 50
)

// recentAttempts counts attempts of the last rateWindow.
type recentAttempts struct {
	// began is when the first answer was counted. Slots are counted from it, because steps of the
	// time of day must not change them.
	began time.Time
	// own are the attempts of this entry that had no answer begun when their endpoint crashed.
	own []ownCrash
	// begun counts those that had, by slots of rateWindow.
	begun [begunSlots]struct {
		slot  int64
		count int
	}
	// crashed holds the endpoints that any entry saw crash, with the times.
	crashed map[string]time.Time
}

type ownCrash struct {
	endpoint string
	at       time.Time
}

// slot returns the number of the slot that contains a time; that of the first answer is begunSlots.
func (a *recentAttempts) slot(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(a.began))/float64(rateWindow/begunSlots))) + begunSlots
}

func (a *recentAttempts) countBegun(now time.Time) {
	if a.began.IsZero() {
		a.began = now
	}
	slot := max(a.slot(now), 0)
	b := &a.begun[slot%begunSlots]
	if b.slot != slot {
		b.slot, b.count = slot, 0
	}
	b.count++
}

func (a *recentAttempts) countCrash(now time.Time, endpoint string) {
	a.own = slices.DeleteFunc(a.own, func(c ownCrash) bool { return now.Sub(c.at) > rateWindow })
	if len(a.own) == maxOwnCrashes {
		a.own = slices.Delete(a.own, 0, 1)
	}
	a.own = append(a.own, ownCrash{endpoint, now})
}

// addEndpoint adds an endpoint that crashed.
func (a *recentAttempts) addEndpoint(now time.Time, endpoint string, at time.Time) {
	if _, known := a.crashed[endpoint]; known {
		return
	}
	if len(a.crashed) >= maxEndpoints {
		for id, t := range a.crashed {
			if now.Sub(t) > rateWindow {
				delete(a.crashed, id)
			}
		}
	}
	if len(a.crashed) < maxEndpoints {
		a.crashed[endpoint] = at
	}
}

// crashedBetween returns the number of endpoints that crashed from one time to another.
func (a *recentAttempts) crashedBetween(from, to time.Time) int {
	n := 0
	for _, t := range a.crashed {
		if !t.Before(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// crashShare returns the share of own attempts since a time that had no answer begun when
// their endpoint crashed, without the given endpoints.
func (a *recentAttempts) crashShare(now, since time.Time, without map[string]bool) float64 {
	crashes, begun := 0, 0
	for _, c := range a.own {
		if now.Sub(c.at) <= rateWindow && !c.at.Before(since) && !without[c.endpoint] {
			crashes++
		}
	}
	for _, b := range a.begun {
		// The slot of since also holds answers before it.
		if a.slot(now)-b.slot < begunSlots && b.slot > a.slot(since) {
			begun += b.count
		}
	}
	// More crashes than observed are counted, so that few attempts prove nothing.
	estimate := float64(crashes+1) + math.Sqrt(float64(crashes+1))
	return min(estimate/float64(crashes+begun+1), 1)
}
