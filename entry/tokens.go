package entry

import (
	"context"
	"io"
	"strings"

	"ebonypulley/invariant"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// ackEvery is the number of tokens between two acknowledgements. It is half of
// the send window or less, so that the agent does not have to stop sending.
const ackEvery = 64

// tokenStream implements router.Stream for a generation in progress at an
// agent. The agent numbers tokens from zero in each attempt; the router's
// numbers continue across attempts.
type tokenStream struct {
	ctx        context.Context
	endpoint   *router.Endpoint
	generation *generation
	exchange   *exchange
	result     *prefillResult
	base       int // tokens delivered before this attempt began
	sequence   tokenSequence
	acked      int
	// resultUsable is set when the transfer of the prefill result failed and
	// another endpoint can still use the result.
	resultUsable bool
}

// start requests the tokens. When the connection was replaced, the request is
// sent again and asks for the tokens from the next one on.
func (t *tokenStream) start() {
	req := &wire.Decode{
		ID:        t.exchange.stream.ID(),
		KV:        t.result.ref(),
		MaxTokens: t.generation.max - t.base,
		Priority:  t.generation.request.tier.Priority,
	}
	t.exchange.refresh = func() {
		req.Next = t.sequence.next
		req.KV = t.result.ref()
	}
	t.exchange.request(req)
}

// Head implements router.Stream. It returns nil because the sink writes the
// head of the answer.
func (t *tokenStream) Head() any { return nil }

// Failed implements router.Stream. It returns nil because agents report
// failures as messages, which Next returns as errors.
func (t *tokenStream) Failed() *router.Answer { return nil }

// Next implements router.Stream.
func (t *tokenStream) Next() (router.Event, error) {
	t.ack()
	for {
		m, err := t.exchange.next(t.ctx)
		if err != nil {
			return router.Event{}, err
		}
		switch m := m.(type) {
		case *wire.Chunk:
			fresh, err := t.sequence.accept(m.From, m.Tokens)
			if err != nil || len(fresh) > 0 {
				return t.event(fresh), err
			}
		case *wire.Finish:
			return router.Event{}, t.finishError(m)
		case *wire.Failed:
			return router.Event{}, t.attemptError(m)
		case *wire.Refused:
			return router.Event{}, refusedError(t.endpoint.ID, m)
		}
	}
}

// event returns new tokens as an event with the number of the last one.
func (t *tokenStream) event(tokens []string) router.Event {
	return router.Event{Number: int64(t.base + t.sequence.next - 1), Bytes: []byte(strings.Join(tokens, ""))}
}

// ack acknowledges the tokens that were delivered, so that the agent sends
// more.
func (t *tokenStream) ack() {
	if t.sequence.next/ackEvery == t.acked/ackEvery {
		return
	}
	t.acked = t.sequence.next
	_ = t.exchange.stream.Send(&wire.Ack{ID: t.exchange.stream.ID(), Next: t.acked}) // acknowledgements are cumulative, a lost one does no harm
}

// finishError returns io.EOF at the end of an answer of which all tokens have
// arrived, and router.ErrLost if some are missing.
func (t *tokenStream) finishError(m *wire.Finish) error {
	if m.Tokens != t.sequence.next {
		return router.ErrLost.New("%s sent an answer of %d tokens, %d arrived", t.endpoint.ID, m.Tokens, t.sequence.next)
	}
	t.generation.finishReason = m.Why
	return io.EOF
}

// attemptError translates the failure of an attempt. A prefill result that is
// still usable proves that nothing was generated.
func (t *tokenStream) attemptError(m *wire.Failed) error {
	switch {
	case m.KVAlive:
		t.resultUsable = true
		return router.ErrNotRun.New("%s: %s", t.endpoint.ID, m.Reason)
	case m.Reason == wire.ReasonLeaseLost:
		return router.ErrExpired.New("%s: %s", t.endpoint.ID, m.Reason)
	default:
		return router.ErrLost.New("%s: %s", t.endpoint.ID, m.Reason)
	}
}

// Close implements router.Stream. It keeps a prefill result that another
// endpoint can still use.
func (t *tokenStream) Close() {
	t.exchange.close()
	if !t.resultUsable {
		t.result.exchange.close()
	}
}

// tokenSequence puts the chunks of one attempt in order by their token numbers.
// After a resume, chunks may arrive late, repeated or overlapping.
type tokenSequence struct {
	next int // number of the next token expected
}

// accept returns the tokens of a chunk that were not accepted before. It fails
// if a token before them is missing.
func (s *tokenSequence) accept(from int, tokens []string) ([]string, error) {
	if from < 0 || from > s.next {
		return nil, router.ErrLost.New("token %d expected, got a chunk from token %d", s.next, from)
	}
	n := from + len(tokens) - s.next
	if n <= 0 {
		return nil, nil
	}
	fresh := tokens[len(tokens)-n:]
	invariant.Check(from+len(tokens)-len(fresh) == s.next, invariant.ContiguousChunks,
		"%d tokens of a chunk from %d after %d", len(fresh), from, s.next)
	s.next += n
	return fresh, nil
}
