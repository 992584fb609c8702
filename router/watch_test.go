package router_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestSlowEngineIsWaitedFor: the engines take ten times as long as before, without load.
// If each prefill is abandoned and sent to another engine, which is then busy with two,
// no generation begins. An engine that answers probes must be waited for.
func TestSlowEngineIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{prefill: func(ctx context.Context, _ *router.Endpoint) error {
			select {
			case <-time.After(300 * time.Millisecond): // in addition to the fake's own 100 ms
				return nil
			case <-ctx.Done():
				return router.ErrLost.Wrap(ctx.Err(), "given up")
			}
		}}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d", router.Decode))
		trainEstimates(r, 1)
		r.Loads().Begin("d", router.Load{PrefillTokens: 20000})
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.Equal(t, 1, count(f.recorded(), "prefill"))
		assert.Positive(t, count(f.recorded(), "alive"), "the engine was probed")
	})
}

// TestDeadEngineIsAbandoned: a prefill engine becomes unreachable during a prefill. As it
// does not answer probes, another one must be tried while the first event can still be on
// time.
func TestDeadEngineIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dead firstName
		f := &fakeEndpoints{
			prefill: func(ctx context.Context, e *router.Endpoint) error {
				dead.set(e.ID)
				if e.ID != dead.get() {
					return nil
				}
				<-ctx.Done()
				return router.ErrLost.Wrap(ctx.Err(), "no answer")
			},
			alive: func(ctx context.Context, e *router.Endpoint) error {
				if e.ID != dead.get() {
					return nil
				}
				<-ctx.Done()
				return router.ErrUnreachable.Wrap(ctx.Err(), "no answer")
			},
		}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d", router.Decode))
		trainEstimates(r, 1)
		r.Loads().Begin("d", router.Load{PrefillTokens: 20000})
		s := new(fakeSink)
		c := newCall(resumableRoute, llm)
		_, fail := r.Generate(t.Context(), c, s)
		assert.Nil(t, fail)
		assert.Less(t, s.first.Sub(c.ReceivedAt), 580*time.Millisecond)
		assert.True(t, r.Loads().View(time.Now(), dead.get()).FailureRate > 0)
	})
}

// TestOneLostProbeIsTolerated: a stream pauses for a second, and one probe of its healthy
// engine is lost. As the other probe is answered, the stream must not be cut.
func TestOneLostProbeIsTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int32
		f := &fakeEndpoints{longPause: time.Second, alive: func(ctx context.Context, _ *router.Endpoint) error {
			if probes.Add(1)%2 == 1 {
				<-ctx.Done()
				return router.ErrUnreachable.Wrap(ctx.Err(), "lost")
			}
			return nil
		}}
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		trainEstimates(r, 1)
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.Equal(t, 1, count(f.recorded(), "generate"))
		assert.Positive(t, probes.Load())
	})
}

// TestUnreachableDuringConnect: an engine becomes unreachable and accepts no connection,
// and the watchdog ends the attempt before the dial times out. As nothing was sent, a
// generation that is not resumable must be sent elsewhere instead of being refused as
// possibly run.
func TestUnreachableDuringConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := ""
		f := &fakeEndpoints{alive: func(context.Context, *router.Endpoint) error { return router.ErrUnreachable.New("no answer") }}
		f.connect = func(ctx context.Context, e *router.Endpoint) error {
			if dead == "" {
				dead = e.ID
			}
			if e.ID != dead {
				return nil
			}
			<-ctx.Done()
			return router.ErrNotSent.Wrap(ctx.Err(), "connect")
		}
		r := newRouter(f, engine("p1", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		r.SetRetryBudget(0, 10*time.Second, 0)
		trainEstimates(r, 1)
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(nonResumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.NotEmpty(t, dead)
	})
}

// TestBusyEntryKeepsNonResumable: a small entry that applies thousands of new routes is
// too busy to read the answer to a health probe in time. A generation that is not
// resumable must not be ended by that, because nothing can follow it. One was cut in the
// middle after running for 0.16 s, at the moment its first event came.
func TestBusyEntryKeepsNonResumable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{firstAfter: 1500 * time.Millisecond, alive: func(context.Context, *router.Endpoint) error {
			return router.ErrUnreachable.New("not answered in time")
		}}
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(nonResumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
	})
}

// TestNoEventAfterGiveUp: the last attempt of a generation is abandoned while its first
// event is in flight. Delivering the event would begin an answer that is then truncated;
// the caller must get a failure and may retry.
func TestNoEventAfterGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{firstAfter: 1500 * time.Millisecond, alive: func(context.Context, *router.Endpoint) error {
			return router.ErrUnreachable.New("not answered in time")
		}}
		r := newRouter(f, engine("d1", router.Decode))
		route := resumableRoute
		route.MaxAttempts = 1
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(route, llm), s)
		assert.NotNil(t, fail)
		assert.Zero(t, s.heads)
	})
}
