package intake

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// Each request takes the processor turns times for turnTime, on the smallest VM.
	turns    = 5
	turnTime = 1500 * time.Microsecond
	capacity = float64(time.Second) / float64(turns*turnTime) // requests a second
)

// processor runs requests on one core in virtual time, first come, first served.
type processor struct {
	starts Starts
	now    time.Time
	queue  []*turn
	closed int
	took   []time.Duration
}

// turn is a request that waits for the processor.
type turn struct {
	start Start
	left  int
}

// arrive offers a connection.
func (p *processor) arrive(at time.Time, always bool) {
	if !always && !p.starts.Admit() {
		p.closed++
		return
	}
	p.queue = append(p.queue, &turn{start: p.starts.Accept(at), left: turns})
}

// runUntil runs the queue.
func (p *processor) runUntil(until time.Time) {
	for len(p.queue) > 0 && p.now.Before(until) {
		r := p.queue[0]
		p.queue = p.queue[1:]
		if r.left == turns {
			p.starts.Begin(r.start, p.now)
		}
		p.now = p.now.Add(turnTime)
		if r.left--; r.left > 0 {
			p.queue = append(p.queue, r)
			continue
		}
		p.took = append(p.took, p.now.Sub(r.start.acceptedAt))
	}
	if p.now.Before(until) {
		p.now = until
	}
}

// run offers rate connections a second in bunches, as a loop that accepts them sees them.
func (p *processor) run(rate float64, d time.Duration, always bool) {
	const interval = 10 * time.Millisecond
	owed := 0.0
	for end := p.now.Add(d); p.now.Before(end); {
		at := p.now
		for owed += rate * interval.Seconds(); owed >= 1; owed-- {
			p.arrive(at, always)
		}
		p.runUntil(at.Add(interval))
	}
}

func quantile(took []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(took))
	return sorted[int(q*float64(len(sorted)-1))]
}

// The platform hands most new connections of a data centre to one entry for some seconds. It
// reads them all, and answers all of them too late.
func TestFloodOfNewConnections(t *testing.T) {
	const objective = 300 * time.Millisecond
	flood := func(always bool) *processor {
		p := &processor{now: time.Unix(0, 0)}
		p.run(capacity/2, 2*time.Second, always)
		p.took = nil
		p.run(10*capacity, 5*time.Second, always)
		return p
	}
	unbounded := flood(true)
	assert.Greater(t, quantile(unbounded.took, 0.5), objective, "the flood is one")
	p := flood(false)
	assert.Less(t, quantile(p.took, 0.99), objective)
	assert.Greater(t, float64(len(p.took)), 0.8*5*capacity, "what it can serve it serves")
	t.Logf("p50 %v p99 %v, %d served, %d closed", quantile(p.took, 0.5), quantile(p.took, 0.99), len(p.took), p.closed)
}

// Connections are closed because the processor was away for a moment, as for a collection of
// garbage or a new configuration, though all of them would be served in time.
func TestPauseClosesNothing(t *testing.T) {
	p := &processor{now: time.Unix(0, 0)}
	for range 20 {
		p.run(capacity/2, time.Second, false)
		began := p.now
		p.now = p.now.Add(100 * time.Millisecond)
		const arrived = 7 // a tenth of a second of half the capacity
		for i := range arrived {
			p.arrive(began.Add(time.Duration(i)*time.Millisecond), false)
		}
	}
	assert.Zero(t, p.closed)
}

// After a flood the last measured delay stays, and the process closes connections for good.
func TestServesAgainAfterFlood(t *testing.T) {
	p := &processor{now: time.Unix(0, 0)}
	p.run(20*capacity, 5*time.Second, false)
	p.run(capacity/2, time.Second, false)
	p.closed = 0
	p.run(capacity/2, 10*time.Second, false)
	assert.Zero(t, p.closed)
}

// Connections that are closed before their start count as waiting, and no more are accepted.
func TestDroppedStartsDontWait(t *testing.T) {
	var s Starts
	now := time.Unix(0, 0)
	for range 100 {
		st := s.Accept(now)
		now = now.Add(time.Second)
		s.Begin(st, now)
		s.Accept(now)
		s.Drop()
	}
	assert.True(t, s.Admit())
}
