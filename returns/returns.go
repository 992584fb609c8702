// Package returns keeps a calendar of when refused callers were told to come back, so that the
// returns of all entries together fit into the room that there will be. It is a state machine
// without I/O.
package returns

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ebonypulley/quota"
)

// SlotTime is the span of one slot of the calendar.
const SlotTime = 100 * time.Millisecond

const (
	// rankFraction is the fraction of what one rank may book in a slot that the next less
	// urgent one may; the rest is kept for more urgent ones.
	rankFraction = 0.75
	// newsTime is the time after which others know of a booking.
	newsTime = 300 * time.Millisecond
	// lateSlots is the number of slots after its own in which a return still finds room kept,
	// earlySlots that before it: the promises of others may count a slot late.
	lateSlots  = 2
	earlySlots = 1
	// bookedFraction is the fraction of the longest useful wait in which returns are booked.
	// Callers without a booking return after unbookedFraction of it, and up to bookedUntil of it
	// a caller is taken for one with a booking.
	bookedFraction   = 0.7
	bookedUntil      = 0.75
	unbookedFraction = 0.8
)

// Key identifies what callers come back to: a workspace at its limit, or a service without
// room.
type Key = quota.ID

// Request is a request that is refused.
type Request struct {
	// Cost is what it will use when it comes back, Rate what becomes available a second.
	Cost, Rate float64
	// Rank is its urgency, 0 being the most urgent.
	Rank int
	// Earliest and Latest bound when it can usefully come back.
	Earliest, Latest time.Duration
}

// Calendar holds the promised returns. It is safe for concurrent use.
type Calendar struct {
	mu    sync.Mutex
	clock clock
	rnd   *rand.Rand
	fleet int
	own   map[Key]*schedule
	peers map[string]*peer
	// others holds the sum of the promises of peers.
	others map[Key]slots
	// forgot is when what had passed was last dropped.
	forgot time.Time
}

// schedule is what this process promised for one key.
type schedule struct {
	booked slots
	// recent are the bookings that others may not know of yet.
	recent []booking
	// returned is what came back of the bookings of all processes.
	returned slots
}

type booking struct {
	slot slot
	cost float64
	at   time.Time
}

// NewCalendar returns an empty calendar.
func NewCalendar() *Calendar { return NewSeeded(rand.Uint64()) }

// NewSeeded returns an empty calendar whose random choices are determined by a seed.
func NewSeeded(seed uint64) *Calendar {
	return &Calendar{rnd: rand.New(rand.NewPCG(seed, seed)), own: make(map[Key]*schedule), peers: make(map[string]*peer), others: make(map[Key]slots)}
}

// SetFleetSize sets the number of entries that book, this one included; zero if unknown.
func (c *Calendar) SetFleetSize(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = n
}

// Book returns how long a refused caller is to wait, and books its return. It returns false if
// no slot before the latest return has room: nothing is booked then.
func (c *Calendar) Book(now time.Time, key Key, r Request) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	s := c.own[key]
	if s == nil {
		s = &schedule{booked: make(slots), returned: make(slots)}
		c.own[key] = s
	}
	at, ok := c.find(now, key, s, r)
	if !ok {
		return c.without(r), false
	}
	return c.clock.until(now, at) + time.Duration(c.rnd.Int64N(int64(SlotTime))), true
}

// without returns when a caller without a booking is to return: late, when the most others
// have been served, and not all at once.
func (c *Calendar) without(r Request) time.Duration {
	latest := max(r.Latest, 0)
	fraction := unbookedFraction + (1-unbookedFraction)*c.rnd.Float64()
	return min(max(time.Duration(fraction*float64(latest)), r.Earliest), latest)
}

// find books the room that a request needs and returns the slot in which it has become
// available.
func (c *Calendar) find(now time.Time, key Key, s *schedule, r Request) (at slot, ok bool) {
	first, last := c.clock.slotAt(now.Add(max(r.Earliest, 0)))+1, c.clock.slotAt(now.Add(time.Duration(bookedFraction*float64(r.Latest))))-1
	last = min(last, first+maxSlots)
	if !positive(r.Cost) || !positive(r.Rate) || last < first {
		return 0, false
	}
	b := c.bookable(now, key, s, r)
	var room float64
	for at := first; at <= last; at++ {
		room += b.allowance(at)
	}
	if room < r.Cost {
		// The share of this process is smaller than the request. In the mean of many processes
		// the right number is booked.
		if c.rnd.Float64()*r.Cost >= room {
			return 0, false
		}
		first += slot(c.rnd.Int64N(int64(last - first + 1)))
		return s.book(now, r.Cost, first, last, b.free)
	}
	return s.book(now, r.Cost, first, last, b.share)
}

// book books a cost in the slots from first on, as much in each as it has room, and returns the
// slot by which all of it has become available. It books nothing if that is after last.
func (s *schedule) book(now time.Time, cost float64, first, last slot, room func(slot) float64) (at slot, ok bool) {
	var parts []booking
	for next := first; next <= last && cost > leastCost; next++ {
		if part := min(room(next), cost); part > 0 {
			cost -= part
			parts = append(parts, booking{next, part, now})
		}
	}
	if cost > leastCost || len(parts) == 0 {
		return 0, false
	}
	for _, p := range parts {
		s.booked[p.slot] += p.cost
	}
	s.recent = append(s.recent, parts...)
	return parts[len(parts)-1].slot, true
}

// bookable is what may be booked of one key for a request.
type bookable struct {
	// perSlot is what a slot has for requests of its rank, fraction the share of this process.
	perSlot, fraction float64
	// unheard is the number of processes that have not reported. They are taken to book as much
	// as this one.
	unheard             float64
	own, recent, others slots
}

// free returns what is left of a slot.
func (b bookable) free(at slot) float64 {
	return max(b.perSlot-b.others[at]-b.own[at], 0)
}

// allowance returns what this process may book of a slot before others know of it, negative if
// too much of it is booked.
func (b bookable) allowance(at slot) float64 {
	known := (b.own[at] - b.recent[at]) * (1 + b.unheard)
	return b.fraction*(b.perSlot-b.others[at]-known) - b.recent[at]
}

// share returns what this process may book of a slot.
func (b bookable) share(at slot) float64 { return min(max(b.allowance(at), 0), b.free(at)) }

func (c *Calendar) bookable(now time.Time, key Key, s *schedule, r Request) bookable {
	b := bookable{perSlot: r.Rate * SlotTime.Seconds(), own: s.booked, recent: make(slots), others: c.others[key]}
	heard := c.heard(now)
	b.unheard = float64(max(c.fleet-heard-1, 0))
	own := b.perSlot + s.booked.total()
	b.fraction = own / (own*(1+b.unheard) + b.others.total() + b.perSlot*float64(heard))
	for range min(r.Rank, maxRank) {
		b.perSlot *= rankFraction
	}
	s.recent = slices.DeleteFunc(s.recent, func(x booking) bool { return now.Sub(x.at) > newsTime })
	for _, x := range s.recent {
		b.recent[x.slot] += x.cost
	}
	return b
}

// heard returns the number of other processes that report.
func (c *Calendar) heard(now time.Time) (n int) {
	for _, p := range c.peers {
		if p.alive(now, c.fleet) {
			n++
		}
	}
	return n
}

// Due returns the cost of the returns booked for about now that have not come yet, for which
// room is kept.
func (c *Calendar) Due(now time.Time, key Key) (cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at := c.clock.slotAt(now) - lateSlots; at <= c.clock.slotAt(now)+earlySlots; at++ {
		cost += c.due(key, at)
	}
	return cost
}

// due returns the cost of the returns booked for a slot that have not come yet.
func (c *Calendar) due(key Key, at slot) (cost float64) {
	cost = c.others[key][at]
	if s := c.own[key]; s != nil {
		cost += s.booked[at] - s.returned[at]
	}
	return max(cost, 0)
}

// Returned records that a caller with a booking has come back.
func (c *Calendar) Returned(now time.Time, key Key, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.own[key]
	if s == nil {
		s = &schedule{booked: make(slots), returned: make(slots)}
		c.own[key] = s
	}
	for at := c.clock.slotAt(now) - lateSlots; at <= c.clock.slotAt(now)+earlySlots && cost > 0; at++ {
		part := min(c.due(key, at), cost)
		s.returned[at] += part
		cost -= part
	}
}
