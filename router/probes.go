package router

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// probeTimeout is how long an endpoint may take to answer a probe. Probes use none of
	// its slots.
	probeTimeout = 250 * time.Millisecond
	// probeCount is the number of concurrent probes of one check, so that a lost packet
	// does not end an answer.
	probeCount = 2
	// probeSharing is how long after its beginning a check may be joined by other streams of
	// the same endpoint.
	probeSharing = 50 * time.Millisecond
)

// probes checks whether endpoints are alive. Checks of one endpoint at about the same time are
// shared: when an engine falls silent, each of its hundreds of streams asks.
type probes struct {
	probe func(ctx context.Context, e *Endpoint) error

	mu sync.Mutex
	// latest holds the last check of each endpoint that is in progress.
	latest map[string]*probeCheck
}

// probeCheck is a check in progress; alive is valid once done is closed.
type probeCheck struct {
	began time.Time
	done  chan struct{}
	alive bool
}

func newProbes(probe func(ctx context.Context, e *Endpoint) error) *probes {
	return &probes{probe: probe, latest: make(map[string]*probeCheck)}
}

// alive reports whether an endpoint answers at all. It waits for probeTimeout, also if it joins
// a check that began before.
func (p *probes) alive(e *Endpoint) bool {
	q := p.check(time.Now(), e)
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	select {
	case <-q.done:
		return q.alive
	case <-timeout.C:
		return false
	}
}

// check returns a check of the endpoint that has just begun.
func (p *probes) check(now time.Time, e *Endpoint) *probeCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.latest[e.ID]; q != nil && now.Sub(q.began) <= probeSharing {
		return q
	}
	q := &probeCheck{began: now, done: make(chan struct{})}
	p.latest[e.ID] = q
	go p.run(e, q)
	return q
}

// run runs a check and publishes its result.
func (p *probes) run(e *Endpoint, q *probeCheck) {
	q.alive = p.answers(e)
	p.mu.Lock()
	if p.latest[e.ID] == q {
		delete(p.latest, e.ID)
	}
	p.mu.Unlock()
	close(q.done)
}

// answers probes an endpoint.
func (p *probes) answers(e *Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+probeSharing)
	defer cancel()
	answers := make(chan error, probeCount)
	for range probeCount {
		go func() { answers <- p.probe(ctx, e) }()
	}
	for range probeCount {
		err := <-answers
		if err == nil || errorx.IsOfType(err, ErrLost) && ctx.Err() == nil {
			return true // a reset comes from a live host
		}
	}
	return false
}
