package returns

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// peerTimeout is how long after its last report a process is taken to book returns.
	peerTimeout = time.Second
	// reportsPerSecond is how many reports a process sends a second; in a large fleet that
	// limits how often each other process gets one.
	reportsPerSecond = 300
	// maxSlots bounds the slots that are booked ahead, and those of one promise.
	maxSlots = 64
	// maxReportedKeys and maxReportedSlots bound a report.
	maxReportedKeys, maxReportedSlots = 8, 48
	// lostFraction is the fraction of its former promises below which a process was restarted.
	lostFraction = 0.5
	// leastCost is the cost below which a sum is taken for rounding errors.
	leastCost = 1e-6
	// roundingMargin keeps a promise that arrives at once in its slot; one that travels longer
	// than the rest of a slot counts one slot later.
	roundingMargin = SlotTime / 10
	// maxCost bounds a cost that another process promised, and maxAhead the time until it: larger
	// sums would lose the costs of others, and no caller waits longer.
	maxCost  = 1e12
	maxAhead = time.Minute
	// maxRank is the rank from which on all may book the same.
	maxRank = 3
)

// Promise is what one entry promised for one key, as it tells others.
type Promise struct {
	Key Key
	// First is the time until the first slot begins, Cost the promised cost of that slot and
	// those after it.
	First time.Duration
	Cost  []float64
}

// peer is what another process promised. Its promises count until they have passed, also when
// it has died: its callers come back to others.
type peer struct {
	at     time.Time
	booked map[Key]slots
}

// after returns the cost of all promises in slots after one.
func after(booked map[Key]slots, passed slot) (cost float64) {
	for _, s := range booked {
		for at, x := range s {
			if at > passed {
				cost += x
			}
		}
	}
	return cost
}

// alive reports whether a process, in a fleet of a number of entries, still reports.
func (p *peer) alive(now time.Time, fleet int) bool {
	interval := time.Duration(fleet) * time.Second / reportsPerSecond
	return now.Sub(p.at) <= max(peerTimeout, 2*interval)
}

// slot is the number of a slot by the calendar's clock; slots holds the costs in some.
type (
	slot  int64
	slots map[slot]float64
)

// clock counts slots from the zero Unix time, as of the first time that it is asked for. Steps of
// the time of day after that don't change them.
type clock struct {
	first time.Time
}

func (c *clock) nanoseconds(t time.Time) int64 {
	if c.first.IsZero() {
		c.first = t
	}
	return c.first.UnixNano() + int64(t.Sub(c.first))
}

func (c *clock) slotAt(t time.Time) slot { return slot(c.nanoseconds(t) / int64(SlotTime)) }

// until returns the time until a slot begins.
func (c *clock) until(now time.Time, s slot) time.Duration {
	return time.Duration(int64(s)*int64(SlotTime) - c.nanoseconds(now))
}

// positive reports whether a cost or rate is positive and finite.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (s slots) total() (sum float64) {
	for _, cost := range s {
		sum += cost
	}
	return sum
}

// from returns the costs of the first slot that has any, from a given one on, and of those after
// it up to the last.
func (s slots) from(least slot) (first slot, costs []float64) {
	var booked []slot
	for at, cost := range s {
		if at >= least && cost > 0 {
			booked = append(booked, at)
		}
	}
	if len(booked) == 0 {
		return 0, nil
	}
	first, last := slices.Min(booked), slices.Max(booked)
	costs = make([]float64, min(last-first+1, maxSlots))
	for i := range costs {
		costs[i] = s[first+slot(i)]
	}
	return first, costs
}

// Own returns this process's own promises, to be reported to others, those for which room is
// still kept included. There are none once all have passed.
func (c *Calendar) Own(now time.Time) []Promise {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	var list []Promise
	for key, s := range c.own {
		if first, costs := s.booked.from(c.clock.slotAt(now) - lateSlots); len(costs) > 0 {
			list = append(list, Promise{Key: key, First: c.clock.until(now, first), Cost: costs})
		}
	}
	slices.SortFunc(list, func(a, b Promise) int {
		return cmp.Or(cmp.Compare(len(b.Cost), len(a.Cost)), cmp.Compare(a.Key, b.Key))
	})
	return bounded(list)
}

// bounded limits a report to maxReportedKeys and maxReportedSlots.
func bounded(list []Promise) []Promise {
	list = list[:min(len(list), maxReportedKeys)]
	left := maxReportedSlots
	for i := range list {
		list[i].Cost = list[i].Cost[:min(len(list[i].Cost), left/(len(list)-i))]
		left -= len(list[i].Cost)
	}
	return list
}

// Merge replaces the promises of another process. Promises are never withdrawn, so that a process
// that lacks most of its own was restarted: what it promised before counts until it has passed.
func (c *Calendar) Merge(now time.Time, from string, list []Promise) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &peer{at: now, booked: c.decoded(now, list)}
	passed := c.clock.slotAt(now) + earlySlots
	if old := c.peers[from]; old != nil && after(p.booked, passed) >= lostFraction*after(old.booked, passed) {
		c.count(now, old.booked, -1)
	}
	c.count(now, p.booked, 1)
	c.peers[from] = p
}

// decoded returns the promises of a report by key and slot. The caller holds c.mu.
func (c *Calendar) decoded(now time.Time, list []Promise) map[Key]slots {
	if len(list) == 0 {
		return nil
	}
	booked := make(map[Key]slots, min(len(list), maxReportedKeys))
	for _, p := range list[:min(len(list), maxReportedKeys)] {
		if p.First < -maxAhead || p.First > maxAhead {
			continue
		}
		first := c.clock.slotAt(now.Add(p.First + roundingMargin))
		s := make(slots, len(p.Cost))
		for i, cost := range p.Cost[:min(len(p.Cost), maxSlots)] {
			if cost > 0 && cost <= maxCost {
				s[first+slot(i)] = cost
			}
		}
		booked[p.Key] = s
	}
	return booked
}

// count adds promises to those of all other processes, or with a sign of -1 removes them.
func (c *Calendar) count(now time.Time, booked map[Key]slots, sign float64) {
	passed := c.clock.slotAt(now) - lateSlots
	for key, s := range booked {
		sum := c.others[key]
		if sum == nil {
			sum = make(slots)
			c.others[key] = sum
		}
		for at, cost := range s {
			if at < passed {
				continue
			}
			if sum[at] += sign * cost; sum[at] < leastCost {
				delete(sum, at)
			}
		}
	}
}

// forget drops what has passed, once a slot.
func (c *Calendar) forget(now time.Time) {
	if now.Sub(c.forgot) < SlotTime {
		return
	}
	c.forgot = now
	passed := c.clock.slotAt(now) - lateSlots
	for key, s := range c.own {
		s.booked.forget(passed)
		s.returned.forget(passed)
		if len(s.booked)+len(s.returned) == 0 {
			delete(c.own, key)
		}
	}
	for key, s := range c.others {
		if s.forget(passed); len(s) == 0 {
			delete(c.others, key)
		}
	}
	for from, p := range c.peers {
		if !p.alive(now, c.fleet) && after(p.booked, passed) <= 0 {
			delete(c.peers, from)
		}
	}
}

func (s slots) forget(before slot) {
	for at := range s {
		if at < before {
			delete(s, at)
		}
	}
}
