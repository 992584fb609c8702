package entry

import (
	"context"
	"io"
	"strings"

	"ebonypulley/invariant"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// ackEvery is the number of tokens between two acknowledgements; half of it
// below the window keeps the agent from pausing.
const ackEvery = 64

// tokenStream is a generation in progress at an agent; it implements
// router.Stream. The agent counts tokens from zero in each attempt, the
// router's numbers go on from attempt to attempt.
type tokenStream struct {
	ctx      context.Context
	endpoint *router.Endpoint
	g        *generation
	x        *exchange
	result   *prefilled
	base     int // tokens that the caller had when the attempt began
	order    tokenOrder
	acked    int
	// alive: the transfer of the result was cut, and it can still be used
	// elsewhere.
	alive bool
}

// begin asks for the tokens. When the connection was replaced, the request is
// repeated from the next token on.
func (t *tokenStream) begin() {
	req := &wire.Decode{
		ID:        t.x.stream.ID(),
		KV:        t.result.ref(),
		MaxTokens: t.g.max - t.base,
		Priority:  t.g.q.tier.Priority,
	}
	t.x.refresh = func() {
		req.Next = t.order.next
		req.KV = t.result.ref()
	}
	t.x.request(req)
}

// Head implements router.Stream; the answer's head is the sink's.
func (t *tokenStream) Head() any { return nil }

// Failed implements router.Stream: agents report failures as events.
func (t *tokenStream) Failed() *router.Answer { return nil }

// Next implements router.Stream.
func (t *tokenStream) Next() (router.Event, error) {
	t.ack()
	for {
		m, err := t.x.next(t.ctx)
		if err != nil {
			return router.Event{}, err
		}
		switch m := m.(type) {
		case *wire.Chunk:
			fresh, err := t.order.fresh(m.From, m.Tokens)
			if err != nil || len(fresh) > 0 {
				return t.event(fresh), err
			}
		case *wire.Finish:
			return router.Event{}, t.finish(m)
		case *wire.Failed:
			return router.Event{}, t.failed(m)
		case *wire.Refused:
			return router.Event{}, refusedError(t.endpoint.ID, m)
		}
	}
}

// event numbers new tokens by the last of them.
func (t *tokenStream) event(tokens []string) router.Event {
	return router.Event{Number: int64(t.base + t.order.next - 1), Bytes: []byte(strings.Join(tokens, ""))}
}

// ack tells the agent what the caller has, so that it goes on sending.
func (t *tokenStream) ack() {
	if t.order.next/ackEvery == t.acked/ackEvery {
		return
	}
	t.acked = t.order.next
	_ = t.x.stream.Send(&wire.Ack{ID: t.x.stream.ID(), Next: t.acked}) // a lost one is repeated by the next
}

func (t *tokenStream) finish(m *wire.Finish) error {
	if m.Tokens != t.order.next {
		return router.ErrLost.New("the answer of %s has %d tokens, %d arrived", t.endpoint.ID, m.Tokens, t.order.next)
	}
	t.g.why = m.Why
	return io.EOF
}

// failed translates the end of an attempt. Nothing was generated if the result
// is still whole.
func (t *tokenStream) failed(m *wire.Failed) error {
	switch {
	case m.KVAlive:
		t.alive = true
		return router.ErrNotRun.New("%s: %s", t.endpoint.ID, m.Reason)
	case m.Reason == wire.LeaseLost:
		return router.ErrExpired.New("%s: %s", t.endpoint.ID, m.Reason)
	default:
		return router.ErrLost.New("%s: %s", t.endpoint.ID, m.Reason)
	}
}

// Close implements router.Stream. A result that may go elsewhere is left.
func (t *tokenStream) Close() {
	t.x.close()
	if !t.alive {
		t.result.x.close()
	}
}

// tokenOrder puts the chunks of one attempt in order. They may come late,
// again or with an overlap after a resume; numbers decide, never arrival.
type tokenOrder struct {
	next int // number of the token that is due
}

// fresh returns the tokens of a chunk that are due.
func (o *tokenOrder) fresh(from int, tokens []string) ([]string, error) {
	if from > o.next {
		return nil, router.ErrLost.New("tokens %d to %d were skipped", o.next, from)
	}
	n := from + len(tokens) - o.next
	if n <= 0 {
		return nil, nil
	}
	fresh := tokens[len(tokens)-n:]
	invariant.Check(from+len(tokens)-len(fresh) == o.next, invariant.ContiguousChunks,
		"%d tokens of a chunk from %d after %d", len(fresh), from, o.next)
	o.next += n
	return fresh, nil
}
