// Package limit bounds the retries and the transfers of one process: its share
// of a retry budget, and the schedule of transfers over a network link. All types
// are state machines without I/O.
package limit

import (
	"sync"
	"time"

	"ebonypulley/invariant"
)

// windowSlots is the number of slots of a window. Counts expire slot by slot, so
// the budget may miss one slot of the first attempts: a quarter of a percent.
const windowSlots = 400

// Window counts the events of a sliding time window.
type Window struct {
	span   time.Duration
	counts [windowSlots + 1]int
	newest int64 // number of the newest slot since the Unix epoch
	total  int
}

// NewWindow returns an empty window of the given span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// advance expires the slots that have left the window.
func (w *Window) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.span/windowSlots)
	if slot-w.newest > int64(len(w.counts)) {
		w.counts = [windowSlots + 1]int{}
		w.total = 0
		w.newest = slot
		return
	}
	for w.newest < slot {
		w.newest++
		i := w.newest % int64(len(w.counts))
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}

// Add counts n events at now.
func (w *Window) Add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))] += n
	w.total += n
}

// UpperBound returns an upper bound of the number of events in the window: up to one
// slot before the window is counted as well.
func (w *Window) UpperBound(now time.Time) int {
	w.advance(now)
	return w.total
}

// LowerBound returns a lower bound of the number of events in the window: its oldest
// slot is left out.
func (w *Window) LowerBound(now time.Time) int {
	w.advance(now)
	oldest := (w.newest + 1) % int64(len(w.counts))
	return w.total - w.counts[oldest]
}

// RetryBudget is one process's share of a retry budget that all processes keep
// together: within each span, the number of retries is at most a ratio of the
// number of first attempts, plus a fixed slack.
//
// It keeps retries from multiplying the load during an outage. Each entry counts
// only its own first attempts and an equal share of the slack, so the sum over
// all entries stays within the whole budget.
type RetryBudget struct {
	mu            sync.Mutex
	ratio         float64
	slack         float64
	firstAttempts *Window
	retries       *Window
	// pending is the number of retries whose arrival is not yet known.
	pending int
}

// NewRetryBudget returns a budget with no slack.
func NewRetryBudget(ratio float64, span time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, firstAttempts: NewWindow(span), retries: NewWindow(span)}
}

// SetSlack sets this process's share of the slack, in retries.
func (b *RetryBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// RecordFirst records a first attempt.
func (b *RetryBudget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts.Add(now, 1)
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
	// Both bounds are on the safe side: no first attempt outside the window is
	// counted, and no retry within it is missed.
	allowed := b.ratio*float64(b.firstAttempts.LowerBound(now)) + b.slack
	if float64(b.retries.UpperBound(now)+b.pending+1) > allowed {
		return nil
	}
	b.pending++
	invariant.Check(float64(b.retries.UpperBound(now)+b.pending) <= allowed, invariant.RetryBudget, "%d retries, %v allowed", b.retries.UpperBound(now)+b.pending, allowed)
	return &Charge{budget: b}
}

// Charge is what a budget was charged for one attempt. Until it is known whether the attempt
// arrived, it counts in every window, because it may arrive in any. The methods do nothing on
// a nil Charge or after the first call.
type Charge struct {
	budget  *RetryBudget
	settled bool
}

// Arrived records that the attempt has arrived at the latest now.
func (c *Charge) Arrived(now time.Time) { c.settle(func(b *RetryBudget) { b.retries.Add(now, 1) }) }

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
