package emulator

import (
	"context"
	"time"

	"ebonypulley"
	"ebonypulley/router"
)

// Freeze makes an endpoint fall silent for a time and then go on: its connections stay open,
// it computes nothing and answers nothing, probes included.
func (f *Fleet) Freeze(endpoint string, lasting time.Duration) {
	until := time.Now().Add(lasting)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozenUntil == nil {
		f.frozenUntil = make(map[string]time.Time)
	}
	f.frozenUntil[endpoint] = until
	if e := f.engines[endpoint]; e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.frozenUntil = until
	}
}

// awaitThaw waits while the endpoint is frozen.
func (f *Fleet) awaitThaw(ctx context.Context, e *router.Endpoint) error {
	f.mu.Lock()
	until := f.frozenUntil[e.ID]
	f.mu.Unlock()
	if left := time.Until(until); left > 0 && !ebonypulley.Sleep(ctx, left) {
		return router.ErrBroken.Wrap(ctx.Err(), "%s is silent", e.ID)
	}
	return nil
}

// awaitThaw waits while the engine is frozen.
func (e *engine) awaitThaw() {
	e.mu.Lock()
	until := e.frozenUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Freezable returns a client that waits for the answers of frozen endpoints.
func (f *Fleet) Freezable(c router.EndpointClient) router.EndpointClient {
	return &freezableClient{EndpointClient: c, fleet: f}
}

type freezableClient struct {
	router.EndpointClient
	fleet *Fleet
}

// answer returns an endpoint's answer once the endpoint is not frozen.
func answer[T any](ctx context.Context, f *Fleet, e *router.Endpoint, a T, err error) (T, error) {
	if frozen := f.awaitThaw(ctx, e); frozen != nil {
		var none T
		return none, frozen
	}
	return a, err
}

func (c *freezableClient) Reserve(ctx context.Context, e *router.Endpoint, call *router.Call, ask router.ReserveRequest) (*router.Reservation, error) {
	a, err := c.EndpointClient.Reserve(ctx, e, call, ask)
	return answer(ctx, c.fleet, e, a, err)
}

func (c *freezableClient) Prefill(ctx context.Context, e *router.Endpoint, call *router.Call) (*router.PrefillResult, error) {
	a, err := c.EndpointClient.Prefill(ctx, e, call)
	return answer(ctx, c.fleet, e, a, err)
}

func (c *freezableClient) Call(ctx context.Context, e *router.Endpoint, call *router.Call) (*router.Answer, error) {
	a, err := c.EndpointClient.Call(ctx, e, call)
	return answer(ctx, c.fleet, e, a, err)
}

func (c *freezableClient) Probe(ctx context.Context, e *router.Endpoint) error {
	if err := c.fleet.awaitThaw(ctx, e); err != nil {
		return err
	}
	return c.EndpointClient.Probe(ctx, e)
}

// Generate connects before it waits: the kernel of a frozen endpoint's VM still accepts
// connections.
func (c *freezableClient) Generate(ctx context.Context, e *router.Endpoint, call *router.Call, s router.Start) (router.Stream, error) {
	if s.Connected != nil {
		s.Connected()
	}
	if s.Result != nil {
		if err := c.fleet.awaitThaw(ctx, s.Result.Endpoint); err != nil {
			return nil, err
		}
	}
	a, err := c.EndpointClient.Generate(ctx, e, call, s)
	if err != nil {
		return answer(ctx, c.fleet, e, a, err)
	}
	return &freezableStream{Stream: a, ctx: ctx, fleet: c.fleet, endpoint: e}, c.fleet.awaitThaw(ctx, e)
}

type freezableStream struct {
	router.Stream
	ctx      context.Context
	fleet    *Fleet
	endpoint *router.Endpoint
}

func (s *freezableStream) Next() (router.Event, error) {
	ev, err := s.Stream.Next()
	return answer(s.ctx, s.fleet, s.endpoint, ev, err)
}
