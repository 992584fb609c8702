// Package peer keeps one connection from this process to each agent it uses:
// it dials, greets, sends heartbeats, replaces silent connections and routes
// the replies to the attempts that wait for them.
package peer

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"ebonypulley/wire"
)

var (
	peerErrors = errorx.NewNamespace("peer")
	// ErrDown is returned when no connection stands.
	ErrDown = peerErrors.NewType("down")
	// ErrOverflow is returned when an agent sends beyond the window.
	ErrOverflow = peerErrors.NewType("overflow")
)

// Window is the number of tokens that an agent may send before an Ack.
const Window = 256

// mailboxMax bounds the messages that wait for one attempt: a full window,
// once more after a resume, and the replies beside the tokens.
const mailboxMax = 2*Window + 64

// Link tells an attempt that its connection changed.
type Link struct {
	// Up: a connection stands again; the last request must be repeated.
	Up bool
	// Incarnation is that of the agent now connected.
	Incarnation wire.Incarnation
}

// Event is what a Stream receives: a message or a change of the connection.
type Event struct {
	Message wire.Message
	Link    *Link
}

// Stream is the exchange of one attempt with one agent.
type Stream struct {
	id     wire.ID
	peer   *Peer
	mu     sync.Mutex
	queue  []Event
	notify chan struct{}
}

// Send sends a message of this attempt; ErrDown means that it was not sent
// and that a Link event will follow when the connection stands again.
func (s *Stream) Send(m wire.Message) error { return s.peer.send(m) }

// Recv returns the next event.
func (s *Stream) Recv(ctx context.Context) (Event, error) {
	for {
		if e, ok := s.pop(); ok {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return Event{}, context.Cause(ctx)
		case <-s.notify:
		}
	}
}

func (s *Stream) pop() (Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return Event{}, false
	}
	e := s.queue[0]
	s.queue[0] = Event{}
	s.queue = s.queue[1:]
	return e, true
}

func (s *Stream) push(e Event) error {
	s.mu.Lock()
	if len(s.queue) >= mailboxMax {
		s.mu.Unlock()
		return ErrOverflow.New("attempt %s: %d messages wait", s.id, mailboxMax)
	}
	s.queue = append(s.queue, e)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
	return nil
}

// Close ends the exchange. With cancel the agent is told, again and again
// until it acknowledges, to free what it holds for the attempt.
func (s *Stream) Close(cancel bool) { s.peer.closeStream(s.id, cancel) }

// Peer returns the agent's connection.
func (s *Stream) Peer() *Peer { return s.peer }

// ID returns the attempt's ID.
func (s *Stream) ID() wire.ID { return s.id }
