// Package limit bounds the retries and the transfers of one process: its share
// of a retry budget, and the schedule of transfers over a network link. All types
// are state machines without I/O.
package limit

import (
	"sync"
	"time"

	"ebonypulley/invariant"
)

// roundingError covers the rounding of the allowance, in retries.
const roundingError = 1e-9

// RetryBudget is one process's share of a retry budget that all processes keep
// together: within each window, the number of retries is at most a ratio of the
// number of first attempts in that window or in the one before, plus a fixed slack.
//
// It keeps retries from multiplying the load during an outage. Each process applies its
// share to every window, wherever that begins. A process that shares the budget takes the
// mean of its own first attempts in both windows: the sum of means is within the larger
// sum, whichever process received which request, and whichever was killed. If each kept
// to its own last window only, load that moves from one to another would allow retries
// at both.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	window time.Duration
	slack  float64
	// shared says that other processes have shares of the same budget.
	shared bool
	// firstAttempts holds first attempts when they were received, retries those that have
	// arrived; both are nil before the first attempt. pending is the number of retries whose
	// arrival is not yet known.
	firstAttempts, retries *history
	pending                int
}

// NewRetryBudget returns a budget with no slack that no other process shares.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window}
}

// SetRatio changes the ratio and the window. What was spent stays spent.
func (b *RetryBudget) SetRatio(ratio float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	if b.window == window {
		return
	}
	b.window = window
	if b.retries != nil {
		b.firstAttempts, b.retries = b.firstAttempts.withWindow(window), b.retries.withWindow(window)
	}
}

// SetShare sets this process's share of the slack, in retries, and whether it is the sole
// process with a share.
func (b *RetryBudget) SetShare(slack float64, sole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack, b.shared = slack, !sole
}

// RecordFirst records a first attempt that was received at a time.
func (b *RetryBudget) RecordFirst(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(at)
	b.firstAttempts.add(at)
}

// begin creates the histories. The caller holds b.mu.
func (b *RetryBudget) begin(now time.Time) {
	if b.retries == nil {
		b.firstAttempts, b.retries = newHistory(now, b.window), newHistory(now, b.window)
	}
}

// TakeRetry reports whether the budget allows one more attempt, and records it if so. The
// attempt arrives at once.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	c := b.Charge(now)
	c.Arrived(now)
	return c != nil
}

// Charge charges the budget for one more attempt. It returns nil if the budget doesn't allow
// it. The caller must report whether the attempt arrived.
func (b *RetryBudget) Charge(now time.Time) *Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(now)
	if !b.allows(now) {
		return nil
	}
	b.pending++
	b.checkInvariant(now)
	return &Charge{budget: b}
}

// allows reports whether one more retry fits into all windows that contain now. Counts are
// on the safe side: of the slot in which a window begins, all retries are counted, but no
// first attempt. Retries whose arrival is not yet known count in all windows.
// The caller holds b.mu.
func (b *RetryBudget) allows(now time.Time) bool {
	b.retries.advance(now)
	newest := b.firstAttempts.advance(now)
	retries, within := b.pending+1, 0
	before := b.firstAttempts.sum(newest-windowSlots+1, newest-1)
	for slot := newest; slot >= newest-windowSlots; slot-- {
		retries += b.retries.count(slot)
		if float64(retries) > b.ratio*b.earning(before, within)+b.slack+roundingError {
			return false
		}
		within += b.firstAttempts.count(slot)
		before += b.firstAttempts.count(slot-windowSlots) - b.firstAttempts.count(slot-1)
	}
	return true
}

// earning returns the number of first attempts that allow retries in a window, by those in
// the window before and in the window itself.
func (b *RetryBudget) earning(before, within int) float64 {
	if b.shared {
		return float64(before+within) / 2
	}
	return float64(max(before, within))
}

// checkInvariant checks that the retries of the last window are within what the first
// attempts of it or of the one before allow. The caller holds b.mu.
func (b *RetryBudget) checkInvariant(now time.Time) {
	newest := b.retries.advance(now)
	retries := b.retries.sum(newest-windowSlots+1, newest) + b.pending
	most := max(b.firstAttempts.sum(newest-windowSlots+1, newest), b.firstAttempts.sum(newest-2*windowSlots+1, newest-windowSlots))
	allowed := b.ratio*float64(most) + b.slack
	invariant.Check(float64(retries) <= allowed+roundingError, invariant.RetryBudget, "%d retries, %v allowed", retries, allowed)
}

// Charge is what a budget was charged for one attempt. Until it is known whether the attempt
// arrived, it counts in every window, because it may arrive in any. The methods do nothing on
// a nil Charge or after the first call.
type Charge struct {
	budget  *RetryBudget
	settled bool
}

// Arrived records that the attempt has arrived at the latest now.
func (c *Charge) Arrived(now time.Time) { c.settle(func(b *RetryBudget) { b.retries.add(now) }) }

// Return returns the charge of an attempt that did not arrive.
func (c *Charge) Return() { c.settle(func(*RetryBudget) {}) }

func (c *Charge) settle(record func(b *RetryBudget)) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	c.budget.pending--
	record(c.budget)
}
