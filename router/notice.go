package router

import (
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/quota"
)

// leavingMemory is how long after it was last published an endpoint that leaves is
// remembered: a store that was away may list it again.
const leavingMemory = 10 * time.Minute

// Notice is what an endpoint says of itself beside an answer.
type Notice struct {
	// Asked is when that was sent which it answers.
	Asked time.Time
	// Leaving: it ends soon.
	Leaving bool
	// Quiet is how long it wants nothing from this process.
	Quiet time.Duration
	// Limit is what it takes from all processes together, for as long as it says so.
	Limit RequestLimit
}

// RequestLimit bounds the requests to an endpoint.
type RequestLimit struct {
	// Named says that there is a limit.
	Named     bool
	PerSecond float64
}

// Notice takes what an endpoint says of itself.
//
// A worker leaves while the store is down, so that its entry goes
// on saying that it is ready. It shows as requests that come to it for seconds and end with
// it. The guard holds because its own word counts from the answer on, for its incarnation,
// whatever is published.
func (r *Router) Notice(e *Endpoint, n Notice) {
	now := time.Now()
	if n.Quiet > 0 {
		r.metrics.Add("endpoints_quiet", 1)
		r.loads.Quiet(now, e.ID, n.Quiet)
	}
	r.noticeLimit(now, e, n)
	if n.Leaving && r.leaves(now, e.ID) {
		r.log.Emit(event.EndpointLeaving, zap.String("endpoint", e.ID))
	}
}

// noticeLimit records the limit that an endpoint names, or that it names none any more.
func (r *Router) noticeLimit(now time.Time, e *Endpoint, n Notice) {
	s := quota.Statement{Endpoint: quota.EndpointID(e.ID), Named: n.Limit.Named, PerSecond: n.Limit.PerSecond}
	if r.quotas.State(now, n.Asked, s) {
		r.log.Emit(event.EndpointLimited, zap.String("endpoint", e.ID), zap.Bool("limited", n.Limit.Named), zap.Float64("per_second", n.Limit.PerSecond))
	}
}

// leaves takes an endpoint out of the directory; it returns false if that was done before.
func (r *Router) leaves(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.leaving[id]
	r.leaving[id] = now
	if !known {
		d := r.directory.Load()
		r.directory.Store(d.without(r.leaving))
	}
	return !known
}

// staying returns a directory without the endpoints that said that they leave; r.mu is
// held.
func (r *Router) staying(now time.Time, d *Directory) *Directory {
	if len(r.leaving) == 0 {
		return d
	}
	for _, list := range d.endpoints {
		for _, e := range list {
			if _, leaves := r.leaving[e.ID]; leaves {
				r.leaving[e.ID] = now
			}
		}
	}
	for id, at := range r.leaving {
		if now.Sub(at) > leavingMemory {
			delete(r.leaving, id)
		}
	}
	return d.without(r.leaving)
}
