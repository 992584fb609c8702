package emulator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ebonypulley/router"
)

// plainCallTime is the duration of a plain call.
const plainCallTime = 60 * time.Millisecond

// Arrival records a request that reached an endpoint.
type Arrival struct {
	At       time.Time
	Endpoint string
	// Entry is the name of the entry that sent the request.
	Entry string
	// LimitSeen is when that entry received the first answer in which the endpoint advertises a
	// limit, or zero if it has received none.
	LimitSeen time.Time
}

// Arrivals returns the requests that the entries of a Cluster have sent so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.arrivals)
}

// AddPlainService adds a plain service with n endpoints.
func (f *Fleet) AddPlainService(n, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.PlainService = &router.Service{Name: "app"}
	for i := range n {
		id := fmt.Sprintf("p%02d", i)
		f.plainEndpoints = append(f.plainEndpoints, &router.Endpoint{ID: id, Addr: id, Service: f.PlainService.Name, DataCentre: dataCentreName(i % dataCentres), Slots: slots})
	}
}

// SetLimit sets the limit of requests per second that an endpoint advertises in its answers. A
// zero limit means that it advertises none.
func (f *Fleet) SetLimit(endpoint string, limit router.RequestLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[endpoint] = limit
}

func (f *Fleet) limitOf(endpoint string) router.RequestLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits[endpoint]
}

// FailPlainCalls makes one in every so many plain calls fail; zero means none.
func (f *Fleet) FailPlainCalls(every int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failEvery = every
}

// Call implements router.EndpointClient.
func (f *Fleet) Call(ctx context.Context, e *router.Endpoint, _ *router.Call) (*router.Answer, error) {
	select {
	case <-time.After(plainCallTime):
	case <-ctx.Done():
		return nil, router.ErrLost.Wrap(ctx.Err(), "call at %s", e.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plainCalls++
	return &router.Answer{Failed: f.failEvery > 0 && f.plainCalls%f.failEvery == 0}, nil
}

// entryClient implements router.EndpointClient for one entry. It records the requests that the
// entry sends, and passes the limits that endpoints advertise to the entry's router.
type entryClient struct {
	*Fleet
	entry *Entry
	// limitSeen is when each endpoint first advertised a limit to this entry.
	limitSeen map[string]time.Time
}

// recordArrival records a request and returns the time at which it was sent.
func (v *entryClient) recordArrival(e *router.Endpoint) time.Time {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.arrivals = append(v.arrivals, Arrival{At: now, Endpoint: e.ID, Entry: v.entry.Name, LimitSeen: v.limitSeen[e.ID]})
	return now
}

// deliverNotice passes the limit in an endpoint's answer to the router.
func (v *entryClient) deliverNotice(e *router.Endpoint, sentAt time.Time) {
	limit := v.limitOf(e.ID)
	if limit.Advertised {
		v.mu.Lock()
		if _, ok := v.limitSeen[e.ID]; !ok {
			v.limitSeen[e.ID] = time.Now()
		}
		v.mu.Unlock()
	}
	v.entry.Router.HandleNotice(e, router.Notice{SentAt: sentAt, Limit: limit, Load: v.loadOf(e)})
}

// Call implements router.EndpointClient.
func (v *entryClient) Call(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Answer, error) {
	sentAt := v.recordArrival(e)
	a, err := v.Fleet.Call(ctx, e, c)
	v.deliverNotice(e, sentAt)
	return a, err
}

// Prefill implements router.EndpointClient.
func (v *entryClient) Prefill(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.PrefillResult, error) {
	sentAt := v.recordArrival(e)
	res, err := v.Fleet.Prefill(ctx, e, c)
	v.deliverNotice(e, sentAt)
	return res, err
}

// Generate implements router.EndpointClient.
func (v *entryClient) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	sentAt := v.recordArrival(e)
	stream, err := v.Fleet.Generate(ctx, e, c, s)
	v.deliverNotice(e, sentAt)
	return stream, err
}
