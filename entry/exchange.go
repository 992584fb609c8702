package entry

import (
	"context"
	"time"

	"ebonypulley/peer"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// reconnectTimeout is how long an attempt waits for the connection to its agent
// to be re-established before it counts as lost.
const reconnectTimeout = 2500 * time.Millisecond

// refusedError translates an agent's refusal into the router's errors and keeps
// the agent's Retry-After.
func refusedError(endpoint string, m *wire.Refused) error {
	t := router.ErrNotRun
	if m.Reason == wire.ReasonQueueTimeout {
		t = router.ErrQueueTimeout
	}
	return router.WithRetryAfter(t.New("%s: %s", endpoint, m.Reason), m.RetryAfter)
}

// exchange is the message stream of one attempt at one agent. When the
// connection is replaced, the last request is sent again; all requests are
// idempotent by the attempt's ID.
type exchange struct {
	stream      *peer.Stream
	incarnation wire.Incarnation
	lastRequest wire.Message
	// refresh updates the last request before it is sent again.
	refresh func()
	closed  bool
	// downSince is when the connection was lost; zero while it is up.
	downSince time.Time
}

func openExchange(p *peer.Peer, id wire.ID) (*exchange, error) {
	s, inc, err := p.OpenStream(id)
	if err != nil {
		return nil, err
	}
	return &exchange{stream: s, incarnation: inc, refresh: func() {}}, nil
}

func (x *exchange) endpoint() string { return x.stream.Peer().Endpoint().Name }

// close ends the exchange and has the agent free what it holds for it. Further
// calls have no effect.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	x.stream.Close(true)
}

// request sends m and keeps it for a reconnect. A failed send is not reported,
// because it means that the connection ended, and the stream delivers an event
// for that.
func (x *exchange) request(m wire.Message) {
	x.lastRequest = m
	_ = x.stream.Send(m)
}

// next returns the next message. It returns router.ErrLost if the agent was
// restarted or is unreachable for reconnectTimeout.
//
// A connection can break or stall while the endpoint is healthy. The same
// incarnation of the agent still has the attempt, so that the last request,
// sent again on the new connection, resumes the answer where the entry stopped.
// Without this, such a fault would cut the answer off.
func (x *exchange) next(ctx context.Context) (wire.Message, error) {
	for {
		e, err := x.event(ctx)
		if err != nil {
			return nil, err
		}
		if e.Link == nil {
			return e.Message, nil
		}
		if e.Link.Incarnation != x.incarnation {
			return nil, router.ErrLost.New("%s was restarted", x.endpoint())
		}
		x.refresh()
		if x.lastRequest != nil {
			_ = x.stream.Send(x.lastRequest)
		}
	}
}

// event returns the next message, or the event that the connection was
// re-established.
func (x *exchange) event(ctx context.Context) (peer.Event, error) {
	for {
		e, err := x.recv(ctx)
		if err != nil || e.Link == nil {
			return e, err
		}
		if e.Link.Up {
			x.downSince = time.Time{}
			return e, nil
		}
		x.downSince = time.Now()
	}
}

func (x *exchange) recv(ctx context.Context) (peer.Event, error) {
	if x.downSince.IsZero() {
		return x.stream.Recv(ctx)
	}
	lost := router.ErrLost.New("%s did not reconnect in time", x.endpoint())
	ctx, cancel := context.WithDeadlineCause(ctx, x.downSince.Add(reconnectTimeout), lost)
	defer cancel()
	return x.stream.Recv(ctx)
}
