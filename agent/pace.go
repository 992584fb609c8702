package agent

import (
	"sync"
	"time"
)

// prefillEstimate estimates the prefill time per token of an engine from
// completed prefills. It is safe for concurrent use.
type prefillEstimate struct {
	mu       sync.Mutex
	perToken time.Duration
}

const (
	// initialPerToken is assumed until the first prefill has completed.
	initialPerToken = time.Millisecond
	// minPerToken is a lower bound. Without it, prefills that mostly hit the
	// prefix cache would make the estimate unrealistically small.
	minPerToken = 50 * time.Microsecond
	// sampleWeight is the weight of a new sample in the exponential moving
	// average.
	sampleWeight = 0.2
	// timeoutFactor is how many times the estimated time a prefill may take,
	// and timeoutSlack what it may take beyond that.
	timeoutFactor = 4
	timeoutSlack  = 750 * time.Millisecond
	// maxPrefillTries is how many connections a prefill may use.
	maxPrefillTries = 2
)

func newPrefillEstimate() *prefillEstimate { return &prefillEstimate{perToken: initialPerToken} }

// timeout returns after how long the connection of a prefill counts as silent.
func (p *prefillEstimate) timeout(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(timeoutSlack+timeoutFactor*time.Duration(tokens)*p.perToken, prefillTimeout)
}

// observe adds a completed prefill to the estimate; tokens is the number of
// prompt tokens that were computed rather than cached.
func (p *prefillEstimate) observe(took time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := took / time.Duration(tokens)
	p.perToken += time.Duration(sampleWeight * float64(sample-p.perToken))
	p.perToken = max(p.perToken, minPerToken)
}

// double doubles the estimate after a timeout, in case the engine has become
// slower.
func (p *prefillEstimate) double() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perToken *= 2
}
