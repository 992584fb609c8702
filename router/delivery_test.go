package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// slowSink is a caller that takes its first event after a while, or is gone then.
type slowSink struct {
	fakeSink
	after time.Duration
	gone  error
}

func (s *slowSink) Event(e router.Event) error {
	time.Sleep(s.after)
	s.after = 0
	if s.gone != nil {
		return s.gone
	}
	return s.fakeSink.Event(e)
}

// TestSlowReader: a caller reads nothing for some seconds. Its engine is asked whether it lives,
// taken for silent, and the prompt is computed again at another one.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		s := &slowSink{after: 8 * time.Second}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), s)
		assert.Nil(t, fail)
		assert.Len(t, s.got, 60)
		assert.Less(t, time.Since(began), 9*time.Second, "the engine was read meanwhile")
		assert.Equal(t, 1, count(f.notes(), "generate"))
		assert.Zero(t, count(f.notes(), "alive"))
		time.Sleep(time.Minute)
	})
}

// TestSlowReaderLeaves: a caller that reads slowly leaves in the middle, and its engine goes on
// computing for nobody, or the answer counts as whole.
func TestSlowReaderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d", router.Decode))
		s := &slowSink{after: time.Second, gone: router.ErrCaller.New("gone")}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), s)
		if assert.NotNil(t, fail) {
			assert.Equal(t, router.CallerGone, fail.Why)
		}
		assert.Less(t, time.Since(began), 2*time.Second)
		assert.Equal(t, 1, count(f.notes(), "generate"))
		time.Sleep(time.Minute)
	})
}
