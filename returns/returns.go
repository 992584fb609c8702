// Package returns keeps a calendar of when refused callers were told to come back, so that the
// returns of all entries together fit into the room that there will be. It is a state machine
// without I/O.
package returns

import (
	"sync"
	"time"

	"ebonypulley/quota"
)

// SlotTime is the span of one slot of the calendar.
const SlotTime = 100 * time.Millisecond

// Key identifies what callers come back to: a workspace at its limit, or a service without
// room.
type Key = quota.ID

// Promise is what one entry promised for one key, as it tells others.
type Promise struct {
	Key Key
	// First is the time until the first slot begins, Cost the promised cost of that slot and
	// those after it.
	First time.Duration
	Cost  []float64
}

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
	mu sync.Mutex
}

// NewCalendar returns an empty calendar.
func NewCalendar() *Calendar { return &Calendar{} }

// Book returns how long a refused caller is to wait, and books its return. It returns false if
// no slot before the latest return has room: nothing is booked then.
func (c *Calendar) Book(_ time.Time, _ Key, r Request) (wait time.Duration, ok bool) {
	return r.Earliest, true
}

// Due returns the cost of the returns booked for the current slot that have not come yet, for
// which room is kept.
func (c *Calendar) Due(time.Time, Key) float64 { return 0 }

// Returned records that a caller with a booking has come back.
func (c *Calendar) Returned(time.Time, Key, float64) {}

// Own returns this process's own promises, to be reported to others.
func (c *Calendar) Own(time.Time) []Promise { return nil }

// Merge replaces the promises of another process.
func (c *Calendar) Merge(time.Time, string, []Promise) {}
