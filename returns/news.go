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
	maxReportedKeys, maxReportedSlots = 8, 96
	// lostFraction is the fraction of its former promises below which a process was restarted.
	lostFraction = 0.5
	// roundingMargin keeps a promise that arrives at once in its slot; one that travels longer
	// than the rest of a slot counts one slot later.
	roundingMargin = SlotTime / 10
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
	// former is what an earlier incarnation promised.
	former map[Key]slots
}

// each calls f for each slot that the process promised for a key.
func (p *peer) each(key Key, f func(slot, float64)) {
	for at, cost := range p.booked[key] {
		f(at, cost)
	}
	for at, cost := range p.former[key] {
		f(at, cost)
	}
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

// slot is the number of a slot since the zero Unix time; slots holds the costs in some.
type (
	slot  int64
	slots map[slot]float64
)

func slotAt(t time.Time) slot { return slot(t.UnixNano() / int64(SlotTime)) }

func (s slot) begin() time.Time { return time.Unix(0, int64(s)*int64(SlotTime)) }

// positive reports whether a cost or rate is positive and finite.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (s slots) total() (sum float64) {
	for _, cost := range s {
		sum += cost
	}
	return sum
}

// from returns the costs of a slot and those after it, up to the last that has any.
func (s slots) from(first slot) (costs []float64) {
	for at, cost := range s {
		if at < first || at >= first+maxSlots || cost <= 0 {
			continue
		}
		for len(costs) <= int(at-first) {
			costs = append(costs, 0)
		}
		costs[at-first] = cost
	}
	return costs
}

// Own returns this process's own promises, to be reported to others, those for which room is
// still kept included. There are none once all have passed.
func (c *Calendar) Own(now time.Time) []Promise {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	first := slotAt(now) - lateSlots
	var list []Promise
	for key, s := range c.own {
		if costs := s.booked.from(first); len(costs) > 0 {
			list = append(list, Promise{Key: key, First: first.begin().Sub(now), Cost: costs})
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

// Merge replaces the promises of another process, except those of an earlier incarnation.
func (c *Calendar) Merge(now time.Time, from string, list []Promise) {
	p := &peer{at: now, booked: make(map[Key]slots, min(len(list), maxReportedKeys))}
	for _, promise := range list[:min(len(list), maxReportedKeys)] {
		first := slotAt(now.Add(promise.First + roundingMargin))
		booked := make(slots, len(promise.Cost))
		for i, cost := range promise.Cost[:min(len(promise.Cost), maxSlots)] {
			if positive(cost) {
				booked[first+slot(i)] = cost
			}
		}
		p.booked[promise.Key] = booked
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.peers[from]; old != nil {
		p.former = old.former
		// Promises are never withdrawn: a process that lacks most of its own was restarted.
		passed := slotAt(now) + earlySlots
		if after(p.booked, passed) < lostFraction*after(old.booked, passed) {
			p.former = old.booked
		}
	}
	c.peers[from] = p
}

// forget drops what has passed.
func (c *Calendar) forget(now time.Time) {
	passed := slotAt(now) - lateSlots
	for key, s := range c.own {
		s.booked.forget(passed)
		s.returned.forget(passed)
		s.recent = slices.DeleteFunc(s.recent, func(b booking) bool { return now.Sub(b.at) > newsTime })
		if len(s.booked)+len(s.returned) == 0 {
			delete(c.own, key)
		}
	}
	for from, p := range c.peers {
		if !p.alive(now, c.fleet) && after(p.booked, passed)+after(p.former, passed) <= 0 {
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
