package router

import (
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/quota"
)

// permit is the right to send one request to an endpoint within the limit that it names.
type permit struct {
	quotas *quota.Ledger
	id     quota.ID
	// open says that it is counted and neither used nor returned.
	open bool
}

// permit asks for a request to an endpoint. If the endpoint is at its limit, wait is how long
// until it surely takes one.
//
// An endpoint in need names a limit for all entries together, and each of them keeps to it
// by itself. It shows as an endpoint that gets a multiple of what it takes. The guard holds
// because entries count what all of them send.
func (r *Router) permit(now time.Time, e *Endpoint) (p *permit, wait time.Duration) {
	id := quota.EndpointID(e.ID)
	v := r.quotas.Take(now, id, 1)
	if !v.OK {
		r.metrics.Add("endpoint_limits_met", 1)
		return nil, max(v.Wait, roomPause)
	}
	return &permit{quotas: r.quotas, id: id, open: v.Counted}, 0
}

// atLimit holds endpoints that take no request within the limit that they name, with until when.
type atLimit map[string]time.Time

// closedLeft is how long all endpoints of a service and role still take nothing, because they
// said so or are at their limits; zero if one takes work.
func (r *Router) closedLeft(now time.Time, service string, role Role, limited atLimit) time.Duration {
	var least time.Duration
	for _, e := range r.Directory().Endpoints(service, role) {
		left := max(r.loads.quietLeft(now, e.ID), limited[e.ID].Sub(now))
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// sent uses the permit, unless an attempt that ended with err did not reach the endpoint.
func (p *permit) sent(err error) {
	if p != nil && !errorx.IsOfType(err, ErrUnreachable) {
		p.open = false
	}
}

// end returns a permit that was not used; it may be nil.
func (p *permit) end(now time.Time) {
	if p == nil || !p.open {
		return
	}
	p.open = false
	p.quotas.Return(now, p.id, 1)
}
