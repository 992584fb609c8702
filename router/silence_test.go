package router_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// firstName is the first name that was set.
type firstName struct {
	mu   sync.Mutex
	name string
}

func (f *firstName) set(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.name == "" {
		f.name = name
	}
}

func (f *firstName) get() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.name
}

// silentEndpoints returns engines of which the first that gets a stream pauses it and answers no
// probe.
func silentEndpoints(pause time.Duration) *fakeEndpoints {
	var silent firstName
	return &fakeEndpoints{
		longPause: pause,
		generate: func(e *router.Endpoint, _ router.Start) error {
			silent.set(e.ID)
			return nil
		},
		alive: func(ctx context.Context, e *router.Endpoint) error {
			if e.ID != silent.get() {
				return nil
			}
			<-ctx.Done()
			return router.ErrBroken.Wrap(ctx.Err(), "silent")
		},
	}
}

// TestSilentSecondKeepsAnswer: a sound engine falls silent for 1.5 s in the middle of an answer,
// probes included. The answer must not be abandoned: its prompt would be prefilled anew, and
// without a charge left in the retry budget the answer would end.
func TestSilentSecondKeepsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := silentEndpoints(1500 * time.Millisecond)
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		trainEstimates(r, 1)
		r.SetRetryBudget(0, 10*time.Second, 0)
		s := new(fakeSink)
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.Equal(t, 1, count(f.recorded(), "generate"))
	})
}

// TestSilentEngineIsReplaced: an engine is gone in the middle of an answer, without a reset. The
// answer must go on at another one before its caller disconnects.
func TestSilentEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := silentEndpoints(time.Hour)
		r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
		trainEstimates(r, 1)
		s := new(fakeSink)
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.Equal(t, 2, count(f.recorded(), "generate"))
		assert.Less(t, time.Since(began), 4*resumableRoute.LatencyTarget, "callers disconnect then")
	})
}
