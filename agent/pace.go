package agent

import (
	"sync"
	"time"
)

// pace is what an engine's prefills take, learned from those that ended.
type pace struct {
	mu       sync.Mutex
	perToken time.Duration
}

const (
	// firstPace is assumed before the first prefill ended.
	firstPace = time.Millisecond
	// leastPace keeps prefills from the cache from making the pace absurd.
	leastPace = 50 * time.Microsecond
	// paceWeight is the weight of one prefill in the moving mean.
	paceWeight = 0.2
	// paceFactor is how many times the usual time a prefill may take.
	paceFactor = 4
	// paceSlack is what it may take beyond that.
	paceSlack = 750 * time.Millisecond
	// prefillTries is how many connections a prefill may use.
	prefillTries = 2
)

func newPace() *pace { return &pace{perToken: firstPace} }

// patience is how long a prefill may take before its connection counts as
// silent.
func (p *pace) patience(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(paceSlack+paceFactor*time.Duration(tokens)*p.perToken, prefillTimeout)
}

func (p *pace) learn(took time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := took / time.Duration(tokens)
	p.perToken += time.Duration(paceWeight * float64(sample-p.perToken))
	p.perToken = max(p.perToken, leastPace)
}

// slower allows for an engine that became slow.
func (p *pace) slower() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perToken *= 2
}
