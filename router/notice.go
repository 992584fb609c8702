package router

import (
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/pace"
	"ebonypulley/quota"
)

// drainingTTL is how long a draining endpoint is remembered after it was last published.
// A store that recovers from an outage may list it again.
const drainingTTL = 10 * time.Minute

// Notice is what an endpoint advertises about itself along with an answer.
type Notice struct {
	// SentAt is when the request was sent whose answer carries the notice.
	SentAt time.Time
	// Draining says that the endpoint is draining and will soon exit.
	Draining bool
	// Backoff is how long the endpoint accepts nothing from this process.
	Backoff time.Duration
	// Limit is what the endpoint accepts from all processes together. It holds as long as
	// the endpoint repeats it.
	Limit RequestLimit
	// Load is the load that the endpoint says it has, or nil if it does not say.
	Load *pace.Load
}

// RequestLimit limits the rate of requests to an endpoint.
type RequestLimit struct {
	// Advertised says that there is a limit.
	Advertised bool
	PerSecond  float64
}

// HandleNotice processes a notice from an endpoint.
//
// A draining endpoint gets no more work from then on, whatever is published about this
// incarnation. During an outage of the store it stays published as ready, and would
// otherwise get requests for seconds that are lost when it exits.
func (r *Router) HandleNotice(e *Endpoint, n Notice) {
	now := time.Now()
	r.recordAnswer(e.ID, n.SentAt)
	if n.Backoff > 0 {
		r.metrics.Add("endpoints_quiet", 1)
		r.loads.RecordBackoff(now, e.ID, n.Backoff)
	}
	r.noticeLimit(now, e, n)
	if n.Load != nil {
		r.logPace(e, *n.Load, r.paces.Observe(now, e.ID, *n.Load))
	}
	if n.Draining && r.markDraining(now, e.ID) {
		r.log.Emit(event.EndpointDraining, zap.String("endpoint", e.ID))
	}
}

// logPace logs a lasting change of what an endpoint says of its pace.
func (r *Router) logPace(e *Endpoint, l pace.Load, c pace.Change) {
	fields := []zap.Field{zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Float64("pace", l.Slowdown)}
	switch c {
	case pace.TurnedSlow, pace.TurnedUsual:
		r.log.Emit(event.EndpointSlow, append(fields, zap.Bool("slow", c == pace.TurnedSlow))...)
	case pace.Ignored, pace.Counted:
		r.log.Emit(event.PaceNotFollowed, append(fields, zap.Bool("ignored", c == pace.Ignored))...)
	}
}

// PaceSummaries describes the paces of the endpoints of each service that say it.
func (r *Router) PaceSummaries() map[string]pace.Summary {
	out := make(map[string]pace.Summary)
	for service, list := range r.Directory().endpoints {
		ids := make([]string, 0, len(list))
		for _, e := range list {
			ids = append(ids, e.ID)
		}
		if s := r.paces.Summarize(time.Now(), ids); s.Saying > 0 {
			out[service] = s
		}
	}
	return out
}

// noticeLimit records an endpoint's advertised limit, or that it no longer has one.
func (r *Router) noticeLimit(now time.Time, e *Endpoint, n Notice) {
	s := quota.EndpointLimit{Endpoint: quota.EndpointID(e.ID), Advertised: n.Limit.Advertised, PerSecond: n.Limit.PerSecond}
	if r.quotas.SetEndpointLimit(now, n.SentAt, s) {
		r.log.Emit(event.EndpointLimited, zap.String("endpoint", e.ID), zap.Bool("limited", n.Limit.Advertised), zap.Float64("per_second", n.Limit.PerSecond))
	}
}

// markDraining removes an endpoint from the directory. It returns false if it was removed
// before.
func (r *Router) markDraining(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.draining[id]
	r.draining[id] = now
	if !known {
		d := r.directory.Load()
		r.directory.Store(d.without(r.draining))
	}
	return !known
}

// withoutDraining returns a copy of the directory without the draining endpoints. The
// caller holds r.mu.
func (r *Router) withoutDraining(now time.Time, d *Directory) *Directory {
	if len(r.draining) == 0 {
		return d
	}
	for _, list := range d.endpoints {
		for _, e := range list {
			if _, draining := r.draining[e.ID]; draining {
				r.draining[e.ID] = now
			}
		}
	}
	for id, at := range r.draining {
		if now.Sub(at) > drainingTTL {
			delete(r.draining, id)
		}
	}
	return d.without(r.draining)
}
