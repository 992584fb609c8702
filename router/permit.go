package router

import (
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/quota"
)

// permit is the right to send one request to an endpoint within its advertised limit.
type permit struct {
	quotas *quota.Ledger
	id     quota.ID
	// unsettled says that the request is counted, and the permit neither used nor
	// returned.
	unsettled bool
}

// permit counts one request to an endpoint. If the endpoint is at its limit, permit
// returns nil and how long until it certainly accepts one.
//
// An overloaded endpoint advertises one limit for all entries together. The quota ledger
// counts what all entries send; if each entry applied the limit by itself, the endpoint
// would get a multiple of it.
func (r *Router) permit(now time.Time, e *Endpoint) (p *permit, wait time.Duration) {
	id := quota.EndpointID(e.ID)
	v := r.quotas.Take(now, id, 1)
	if !v.OK {
		r.metrics.Add("endpoint_limits_met", 1)
		return nil, max(v.Wait, roomPollInterval)
	}
	return &permit{quotas: r.quotas, id: id, unsettled: v.Limited}, 0
}

// limitedUntil holds the endpoints at their advertised limit, with the time until which
// they accept no request.
type limitedUntil map[string]time.Time

// unavailableFor returns how long no endpoint of a service and role accepts work, because
// each is backing off or at its limit. It is zero if one of them accepts work.
func (r *Router) unavailableFor(now time.Time, service string, role Role, limited limitedUntil) time.Duration {
	var minLeft time.Duration
	for _, e := range r.Directory().Endpoints(service, role) {
		left := max(r.loads.backoffLeft(now, e.ID), limited[e.ID].Sub(now))
		if left <= 0 {
			return 0
		}
		if minLeft == 0 || left < minLeft {
			minLeft = left
		}
	}
	return minLeft
}

// markSent uses the permit, unless an attempt that ended with err did not reach the
// endpoint.
func (p *permit) markSent(err error) {
	if p != nil && !errorx.IsOfType(err, ErrNotSent) {
		p.unsettled = false
	}
}

// release returns an unused permit; p may be nil.
func (p *permit) release(now time.Time) {
	if p == nil || !p.unsettled {
		return
	}
	p.unsettled = false
	p.quotas.Return(now, p.id, 1)
}
