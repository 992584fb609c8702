// Package invariant checks the system's invariants at run time. In production
// a violation is logged as an error event and counted; in tests and soak runs a
// handler turns it into a failure.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Rule names one invariant.
type Rule string

// The invariants of the system.
const (
	// SingleStart: a non-idempotent call is started at most once.
	SingleStart Rule = "single-start"
	// SingleAnswer: a request is answered at most once.
	SingleAnswer Rule = "single-answer"
	// ContiguousChunks: tokens reach the caller without gaps or duplicates.
	ContiguousChunks Rule = "contiguous-chunks"
	// ProvenNotRun: an attempt is reported as not run only if it provably did
	// not run.
	ProvenNotRun Rule = "proven-not-run"
	// GrantWithinMemory: an agent never grants more requests or KV tokens than
	// its endpoint has room for.
	GrantWithinMemory Rule = "grant-within-memory"
	// LiveHolder: no lease outlives its holder by more than the lease time.
	LiveHolder Rule = "live-holder"
	// NoGrantAfterDrain: a draining agent grants nothing.
	NoGrantAfterDrain Rule = "no-grant-after-drain"
	// MonotoneGeneration: the generation of the current configuration never
	// decreases.
	MonotoneGeneration Rule = "monotone-generation"
	// RetryBudget: retries stay within the retry budget.
	RetryBudget Rule = "retry-budget"
	// PaidHeadroom: trial work never uses the headroom reserved for paid work.
	PaidHeadroom Rule = "paid-headroom"
)

// Handler is called for each violation.
type Handler func(rule Rule, detail string)

var (
	violations = expvar.NewMap("violations")
	total      atomic.Int64
	handler    atomic.Pointer[Handler]
)

// SetHandler installs h for the whole process and returns a function that
// restores the previous handler.
func SetHandler(h Handler) (restore func()) {
	old := handler.Swap(&h)
	return func() { handler.Store(old) }
}

// Check records a violation of rule if ok is false, and returns ok. The detail
// is formatted only on a violation.
func Check(ok bool, rule Rule, format string, args ...any) bool {
	if ok {
		return true
	}
	total.Add(1)
	violations.Add(string(rule), 1)
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(rule, fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns the number of violations in this process.
func Violations() int64 { return total.Load() }
