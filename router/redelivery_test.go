package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/memory"
	"ebonypulley/metrics"
)

// stalledCaller reads nothing until it is released.
type stalledCaller struct {
	released chan struct{}
	got      []int64
}

func (s *stalledCaller) Begin(any) error { return nil }

func (s *stalledCaller) Event(e Event) error {
	<-s.released
	s.got = append(s.got, e.Number)
	return nil
}

// headOnly is a stream of which only the head matters.
type headOnly struct{ Stream }

func (headOnly) Head() any { return nil }

// TestAttemptThatEndsAtSlowCallerDoublesNoEvent guards against events that a slow caller gets twice: the attempt
// is given up while its event waits for room, and the next one begins with that event.
func TestAttemptThatEndsAtSlowCallerDoublesNoEvent(t *testing.T) {
	for name, endsAfter := range map[string]time.Duration{"before the event": 0, "while it waits": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sink := &stalledCaller{released: make(chan struct{})}
				service := &Service{Name: "llm", Engine: &Engine{Slots: 64, KVCapacity: 60000, Stride: 1}}
				r := New(Settings{SingleEntry: true, Budget: memory.NewBudget(10e6)}, nil, event.Nop(), metrics.NewSet())
				g := &generationRun{r: r, c: &Call{ID: "1", Route: &Route{Resumable: true}, Service: service}, sink: sink, lastEvent: NoEvent}
				ctx, cancel := context.WithCancel(t.Context())
				if endsAfter == 0 {
					cancel()
				}
				time.AfterFunc(endsAfter, cancel)
				_ = g.deliver(ctx, headOnly{}, Event{Number: 1, Bytes: make([]byte, maxBuffered)}, &Endpoint{ID: "d", Service: "llm"})
				last := g.lastEvent
				close(sink.released)
				assert.NoError(t, g.flush())
				if last == NoEvent {
					assert.Empty(t, sink.got, "the next attempt begins with this event")
				} else {
					assert.Equal(t, []int64{last}, sink.got)
				}
			})
		})
	}
}
