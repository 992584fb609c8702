package entry

import (
	"context"
	"time"

	"ebonypulley/engine"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// agentEndpoints implements router.EndpointClient over the agent protocol. Each
// endpoint is reached only through its agent.
type agentEndpoints struct{ entry *Entry }

var _ router.EndpointClient = agentEndpoints{}

// open starts an exchange with an endpoint's agent.
func (a agentEndpoints) open(e *router.Endpoint, id wire.ID) (*exchange, error) {
	p := a.entry.peers.Peer(e.ID)
	if p == nil {
		return nil, router.ErrUnreachable.New("%s is not a known peer", e.ID)
	}
	x, err := openExchange(p, id)
	if err != nil {
		return nil, router.ErrUnreachable.Wrap(err, "%s", e.ID)
	}
	return x, nil
}

// roundTrip opens an exchange, sends a request in it and returns the answer. It
// closes the exchange on an error or a refusal.
func (a agentEndpoints) roundTrip(ctx context.Context, e *router.Endpoint, id wire.ID, m wire.Message) (*exchange, wire.Message, error) {
	x, err := a.open(e, id)
	if err != nil {
		return nil, nil, err
	}
	x.request(m)
	answer, err := x.next(ctx)
	if refused, ok := answer.(*wire.Refused); ok && err == nil {
		err = refusedError(e.ID, refused)
	}
	if err != nil {
		x.close()
		return nil, nil, err
	}
	return x, answer, nil
}

// Reserve implements router.EndpointClient. It waits in the agent's queue until a
// decode engine has memory for the call.
func (a agentEndpoints) Reserve(ctx context.Context, e *router.Endpoint, c *router.Call, _ router.ReserveRequest) (*router.Reservation, error) {
	g := c.Message.(*generation)
	id := wire.NewID()
	x, m, err := a.roundTrip(ctx, e, id, &wire.Reserve{
		ID:       id,
		Tokens:   engine.EstimateTokens(g.fullText()) + g.max - g.delivered,
		Priority: g.request.tier.Priority,
		Spare:    g.request.tier.Spare,
		Wait:     c.QueueTimeLeft(time.Now(), g.delivered > 0),
		Deadline: c.TimeLeft(time.Now()),
		Model:    g.service.Model,
	})
	if err != nil {
		return nil, err
	}
	if _, ok := m.(*wire.Granted); !ok {
		x.close()
		return nil, router.ErrLost.New("%s ended the reservation", e.ID)
	}
	return &router.Reservation{Endpoint: e, Handle: x}, nil
}

// Release implements router.EndpointClient.
func (a agentEndpoints) Release(r *router.Reservation) { r.Handle.(*exchange).close() }

// prefillResult is a result kept at a prefill engine until it expires or the
// exchange is closed.
type prefillResult struct {
	wire.KVRef
	expiry   time.Time
	exchange *exchange
}

// ref returns the reference that is sent to a decode agent, with the lifetime
// that remains now.
func (p *prefillResult) ref() wire.KVRef {
	ref := p.KVRef
	ref.Lives = max(time.Until(p.expiry), 0)
	return ref
}

// Prefill implements router.EndpointClient.
func (a agentEndpoints) Prefill(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.PrefillResult, error) {
	g := c.Message.(*generation)
	text := g.fullText()
	id := wire.NewID()
	x, answer, err := a.roundTrip(ctx, e, id, &wire.Prefill{
		ID:       id,
		Model:    g.service.Model,
		Prompt:   text,
		Priority: g.request.tier.Priority,
		Spare:    g.request.tier.Spare,
		Wait:     c.QueueTimeLeft(time.Now(), g.delivered > 0),
	})
	if err != nil {
		return nil, err
	}
	m, ok := answer.(*wire.Prefilled)
	if !ok {
		x.close()
		return nil, router.ErrLost.New("prefill failed at %s", e.ID)
	}
	a.entry.prefixes.record(e.ID, m.Load.CacheEpoch, engine.BlockHashes(text), m.CachedTokens)
	a.entry.metrics.Add("prefill_tokens", int64(m.PromptTokens-m.CachedTokens))
	p := &prefillResult{KVRef: m.KV, expiry: time.Now().Add(m.KV.Lives), exchange: x}
	return &router.PrefillResult{Endpoint: e, Handle: p, Expiry: p.expiry}, nil
}

// Drop implements router.EndpointClient.
func (a agentEndpoints) Drop(r *router.PrefillResult) { r.Handle.(*prefillResult).exchange.close() }

// Cached implements router.EndpointClient. It reports nothing: prefixIndex tracks
// the engines' caches from completed prefills, and the chooser takes them into
// account.
func (a agentEndpoints) Cached(context.Context, *router.Endpoint) (map[string]bool, error) {
	return nil, nil
}

// Running implements router.EndpointClient. Agents serve no other entry's requests.
func (a agentEndpoints) Running(context.Context, *router.Endpoint) ([]string, error) { return nil, nil }

// Probe implements router.EndpointClient. The router does not probe endpoints behind
// agents; the agents do.
func (a agentEndpoints) Probe(context.Context, *router.Endpoint) error { return nil }

// errOrder is returned by Order.
var errOrder = router.ErrNotRun.NewSubtype("order")

// Order implements router.EndpointClient. It always fails: only the agent of an
// engine may change its model or role.
func (a agentEndpoints) Order(_ context.Context, e *router.Endpoint, _ router.Role, _ uint64) error {
	return errOrder.New("only the agent of %s may give it orders", e.ID)
}

// Generate implements router.EndpointClient. The agent that granted the reservation
// imports the prefill result and streams the tokens.
func (a agentEndpoints) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	g := c.Message.(*generation)
	t := &tokenStream{
		ctx:        ctx,
		endpoint:   e,
		generation: g,
		exchange:   s.Reservation.Handle.(*exchange),
		result:     s.Result.Handle.(*prefillResult),
		base:       g.delivered,
	}
	t.start()
	return t, nil
}

// fullText returns the prompt followed by the text generated so far, from which
// another endpoint can continue the answer.
func (g *generation) fullText() string { return g.prompt + g.text.String() }
