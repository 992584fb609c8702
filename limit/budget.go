// Package limit bounds what is admitted and repeated: retry budgets,
// workspace limits and the use of links. All are state machines without I/O.
package limit

import (
	"sync"

	"ebonypulley/invariant"
)

// RetryBudget lets retries be a fixed share of first attempts.
//
// Failure guarded against: during an outage each request is retried, which
// multiplies the load and keeps the outage going. The guard holds because
// the budget is filled by first attempts only.
type RetryBudget struct {
	mu      sync.Mutex
	ratio   float64
	balance float64
	firsts  float64
	retries float64
}

const (
	// budgetBurst is the number of retries that may be saved up: the
	// requests that one entry loses with one engine.
	budgetBurst = 20
	// budgetStart is what a new budget holds. With the ratio it bounds all
	// retries ever made, so that an outage never meets a full budget that
	// was not earned.
	budgetStart = 1
)

// NewRetryBudget allows ratio retries per first attempt in the long run.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, balance: budgetStart}
}

// SetRatio changes the ratio.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// First records a first attempt.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts += b.ratio
	b.balance = min(b.balance+b.ratio, budgetBurst)
}

// Retry asks for one retry.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	const rounding = 1e-6
	b.balance--
	b.retries++
	invariant.Check(b.retries <= b.firsts+budgetStart+rounding, invariant.RetryBudget,
		"%v retries, %v earned", b.retries, b.firsts)
	return true
}
