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

// TestSlowEngineIsAwaited: on a quiet day nobody's draft begins. The engines
// take ten times as long as they did, each prefill is given up and sent to
// another engine, which is then busy with two. One that says that it lives is
// waited for.
func TestSlowEngineIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{prefill: func(ctx context.Context, _ *router.Endpoint) error {
			select {
			case <-time.After(300 * time.Millisecond): // beside the fake's own 100 ms
				return nil
			case <-ctx.Done():
				return router.ErrLost.Wrap(ctx.Err(), "given up")
			}
		}}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d", router.Decode))
		teach(r, 1)
		r.Loads().Begin("d", router.Load{Prefill: 20000})
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, whole, s.got)
		assert.Equal(t, 1, count(f.notes(), "prefill"))
		assert.Positive(t, count(f.notes(), "alive"), "it was asked whether it lives")
	})
}

// TestDeadEngineIsLeftAtOnce: drafts are late because a prefill engine went
// dark with their prompts. It does not say that it lives, so another one is
// asked while the draft can still be on time.
func TestDeadEngineIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := ""
		f := &fakeEndpoints{
			prefill: func(ctx context.Context, e *router.Endpoint) error {
				if dead == "" {
					dead = e.ID
				}
				if e.ID != dead {
					return nil
				}
				<-ctx.Done()
				return router.ErrLost.Wrap(ctx.Err(), "dark")
			},
			alive: func(ctx context.Context, _ *router.Endpoint) error {
				<-ctx.Done()
				return router.ErrUnreachable.Wrap(ctx.Err(), "dark")
			},
		}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d", router.Decode))
		teach(r, 1)
		r.Loads().Begin("d", router.Load{Prefill: 20000})
		s := new(fakeSink)
		c := newCall(draftRoute, llm)
		_, fail := r.Generate(t.Context(), c, s)
		assert.Nil(t, fail)
		assert.Less(t, s.first.Sub(c.Began), 580*time.Millisecond)
		assert.True(t, r.Loads().View(time.Now(), dead).FailShare > 0)
	})
}

// TestOneLostPacketEndsNothing: a stream is cut although its engine is well. It
// paused for a second, and the question whether it lives lost its packet; the
// second question is answered.
func TestOneLostPacketEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int32
		f := &fakeEndpoints{longPause: time.Second, alive: func(ctx context.Context, _ *router.Endpoint) error {
			if asked.Add(1)%2 == 1 {
				<-ctx.Done()
				return router.ErrUnreachable.Wrap(ctx.Err(), "lost")
			}
			return nil
		}}
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		teach(r, 1)
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, whole, s.got)
		assert.Equal(t, 1, count(f.notes(), "generate"))
		assert.Positive(t, asked.Load())
	})
}

// TestDarkEngineDuringConnect: a letter is refused as if it had run. The engine
// it was sent to went dark and takes no connection; it was given up before the
// dial was, so that nothing of the letter was sent.
func TestDarkEngineDuringConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := ""
		f := &fakeEndpoints{alive: func(context.Context, *router.Endpoint) error { return router.ErrUnreachable.New("dark") }}
		f.connect = func(ctx context.Context, e *router.Endpoint) error {
			if dead == "" {
				dead = e.ID
			}
			if e.ID != dead {
				return nil
			}
			<-ctx.Done()
			return router.ErrNotRun.Wrap(ctx.Err(), "connect")
		}
		r := newRouter(f, engine("p1", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		r.SetBudget(0, 10*time.Second, 0)
		teach(r, 1)
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(letterRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, whole, s.got)
		assert.NotEmpty(t, dead)
	})
}

// TestBusyEntryKeepsLetter: a letter is cut in the middle while thousands of routes
// come into force at a small entry. The process is so busy that the engine's answer
// to the question whether it lives is not read in time, and the letter is ended in
// the moment in which its first event comes. Nothing may follow a letter, so that
// ending it gains nothing: it ran for 0.16 s when it was cut.
func TestBusyEntryKeepsLetter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{firstAfter: 1500 * time.Millisecond, alive: func(context.Context, *router.Endpoint) error {
			return router.ErrUnreachable.New("not answered in time")
		}}
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(letterRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, whole, s.got)
	})
}

// TestNothingBeginsAfterTheVerdict: the last attempt of a draft is given up before
// its first event, which is on its way. Handed on, it would begin an answer that is
// cut in the middle; the caller gets a failure, after which it may ask again.
func TestNothingBeginsAfterTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{firstAfter: 1500 * time.Millisecond, alive: func(context.Context, *router.Endpoint) error {
			return router.ErrUnreachable.New("not answered in time")
		}}
		r := newRouter(f, engine("d1", router.Decode))
		route := draftRoute
		route.MaxAttempts = 1
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(route, llm), s)
		assert.NotNil(t, fail)
		assert.Zero(t, s.heads)
	})
}
