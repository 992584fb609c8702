package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/peer"
	"ebonypulley/wire"
)

// linkGrace is how long an attempt waits for its agent's connection to come
// back before it counts as lost.
const linkGrace = 2500 * time.Millisecond

// errLost is returned when an attempt's agent restarted or can't be reached.
var errLost = entryErrors.NewType("lost")

// errRefused is returned when an agent refused: nothing ran there.
var errRefused = entryErrors.NewType("refused")

var (
	reasonProperty = errorx.RegisterProperty("reason")
	retryProperty  = errorx.RegisterProperty("retry_after")
)

func refusedError(endpoint string, m *wire.Refused) error {
	return errRefused.New("%s: %s", endpoint, m.Reason).
		WithProperty(reasonProperty, m.Reason).
		WithProperty(retryProperty, m.RetryAfter)
}

// refusal takes reason and advice out of an errRefused.
func refusal(err error) (wire.Reason, time.Duration) {
	reason, _ := errorx.ExtractProperty(err, reasonProperty)
	after, _ := errorx.ExtractProperty(err, retryProperty)
	r, _ := reason.(wire.Reason)
	d, _ := after.(time.Duration)
	return r, d
}

// exchange is the dialogue of one attempt with one agent. The last request is
// repeated when the connection was replaced; all requests are idempotent by
// the attempt's ID.
type exchange struct {
	stream *peer.Stream
	inc    wire.Incarnation
	last   wire.Message
	// refresh updates the last request before it is repeated.
	refresh func()
	// downSince is when the connection was lost; zero while it stands.
	downSince time.Time
}

func open(p *peer.Peer, id wire.ID) (*exchange, error) {
	s, inc, err := p.Open(id)
	if err != nil {
		return nil, err
	}
	return &exchange{stream: s, inc: inc, refresh: func() {}}, nil
}

func (x *exchange) endpoint() string { return x.stream.Peer().Endpoint().Name }

// close ends the dialogue and frees what the agent holds for it.
func (x *exchange) close() {
	x.stream.Close(true)
}

// request sends m and remembers it. A failed send is not an error: the
// connection has ended, which the next event tells.
func (x *exchange) request(m wire.Message) {
	x.last = m
	_ = x.stream.Send(m)
}

// next returns the next message. It returns errLost when the agent is another
// incarnation or stays away for linkGrace.
//
// Failure guarded against: one connection breaks or goes silent while the
// endpoint is well. It shows as answers cut off without need. The guard holds
// because the same incarnation still has the attempt, and the repeated
// request makes it go on where the entry stands.
func (x *exchange) next(ctx context.Context) (wire.Message, error) {
	for {
		e, err := x.event(ctx)
		if err != nil {
			return nil, err
		}
		if e.Link == nil {
			return e.Message, nil
		}
		if e.Link.Incarnation != x.inc {
			return nil, errLost.New("%s was restarted", x.endpoint())
		}
		x.refresh()
		if x.last != nil {
			_ = x.stream.Send(x.last)
		}
	}
}

// event returns the next message, or the news that a connection stands again.
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
	lost := errLost.New("%s can't be reached", x.endpoint())
	ctx, cancel := context.WithDeadlineCause(ctx, x.downSince.Add(linkGrace), lost)
	defer cancel()
	return x.stream.Recv(ctx)
}
