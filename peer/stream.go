// Package peer maintains one connection from an entry to each agent that it
// uses. It dials, exchanges Hello messages, sends heartbeats, replaces silent
// connections and routes replies to the attempts that wait for them.
package peer

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"ebonypulley/wire"
)

var (
	peerErrors = errorx.NewNamespace("peer")
	// ErrNotConnected is returned while there is no connection to the agent.
	ErrNotConnected = peerErrors.NewType("down")
	// ErrOverflow is returned when an agent sends more than the window allows.
	ErrOverflow = peerErrors.NewType("overflow")
)

// WindowTokens is the flow control window: the number of tokens that an agent may
// send before an Ack.
const WindowTokens = 256

// maxQueuedEvents bounds the events queued for one attempt: a full window, the
// same window again after a resume, and 64 messages that carry no tokens.
const maxQueuedEvents = 2*WindowTokens + 64

// LinkState reports that the connection to an agent was lost or re-established.
type LinkState struct {
	// Up is set if the connection was re-established. The attempt's last request
	// must then be repeated.
	Up bool
	// Incarnation is that of the agent now connected, if Up.
	Incarnation wire.Incarnation
}

// Event is a message that a Stream received, or a change of its connection.
type Event struct {
	Message wire.Message
	Link    *LinkState
}

// Stream is the exchange of one attempt with one agent.
type Stream struct {
	id     wire.ID
	peer   *Peer
	mu     sync.Mutex
	queue  []Event
	notify chan struct{}
}

// Send sends a message of this attempt. ErrNotConnected means that it was not
// sent; an event with a LinkState follows when the connection is re-established.
func (s *Stream) Send(m wire.Message) error { return s.peer.send(m) }

// Recv waits for the next event. When ctx ends, it returns the cause.
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
	if len(s.queue) >= maxQueuedEvents {
		s.mu.Unlock()
		return ErrOverflow.New("attempt %s: %d events are queued", s.id, maxQueuedEvents)
	}
	s.queue = append(s.queue, e)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
	return nil
}

// Close ends the exchange. With cancel set, a Cancel is sent to the agent, and
// repeated until the agent acknowledges it, to free what it holds for the
// attempt.
func (s *Stream) Close(cancel bool) { s.peer.closeStream(s.id, cancel) }

// Peer returns the peer that the exchange is with.
func (s *Stream) Peer() *Peer { return s.peer }

// ID returns the attempt's ID.
func (s *Stream) ID() wire.ID { return s.id }
