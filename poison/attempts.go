package poison

import (
	"math"
	"slices"
	"time"
)

const (
	// maxOwnCrashes bounds the own attempts at crashed endpoints that are kept.
	maxOwnCrashes = 256
	// outlivedSlots is the number of slots of outlived beginnings in rateWindow.
	outlivedSlots = 50
)

// recentAttempts counts attempts of the last rateWindow.
type recentAttempts struct {
	// began is when the first answer was counted. Slots are counted from it, because steps of the
	// time of day must not change them.
	began time.Time
	// own are the attempts of this entry whose endpoint crashed at the beginning of the answer.
	own []ownCrash
	// outlived counts those whose answers have outlived their beginning, by slots of rateWindow.
	outlived [outlivedSlots]struct {
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

// slot returns the number of the slot that contains a time; that of the first answer is outlivedSlots.
func (a *recentAttempts) slot(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(a.began))/float64(rateWindow/outlivedSlots))) + outlivedSlots
}

func (a *recentAttempts) countOutlived(now time.Time) {
	if a.began.IsZero() {
		a.began = now
	}
	slot := max(a.slot(now), 0)
	b := &a.outlived[slot%outlivedSlots]
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

// crashShare returns the share of own attempts since a time whose endpoint crashed at the beginning of
// the answer, without the given endpoints.
func (a *recentAttempts) crashShare(now, since time.Time, without map[string]Depth) float64 {
	crashes, outlived := 0, 0
	for _, c := range a.own {
		if now.Sub(c.at) <= rateWindow && !c.at.Before(since) {
			if _, left := without[c.endpoint]; !left {
				crashes++
			}
		}
	}
	for _, b := range a.outlived {
		// The slot of since also holds answers before it.
		if a.slot(now)-b.slot < outlivedSlots && b.slot > a.slot(since) {
			outlived += b.count
		}
	}
	// More crashes than observed are counted, so that few attempts prove nothing.
	estimate := float64(crashes+1) + math.Sqrt(float64(crashes+1))
	return min(estimate/float64(crashes+outlived+1), 1)
}
