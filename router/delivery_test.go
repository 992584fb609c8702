package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// slowSink is a caller that delays its first event, or has disconnected by then.
type slowSink struct {
	fakeSink
	delay time.Duration
	err   error
}

func (s *slowSink) Event(e router.Event) error {
	time.Sleep(s.delay)
	s.delay = 0
	if s.err != nil {
		return s.err
	}
	return s.fakeSink.Event(e)
}

// TestSlowReader: a caller that reads nothing for some seconds must not make its engine
// look silent, which would cause probes and another prefill elsewhere.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		s := &slowSink{delay: 8 * time.Second}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Len(t, s.got, 60)
		assert.Less(t, time.Since(began), 9*time.Second, "the engine is read while the caller is not reading")
		assert.Equal(t, 1, count(f.recorded(), "generate"))
		assert.Zero(t, count(f.recorded(), "alive"))
		time.Sleep(time.Minute)
	})
}

// TestSlowReaderDisconnects: after a slow caller disconnects in the middle of an answer,
// the engine must stop, and the answer must not count as complete.
func TestSlowReaderDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d", router.Decode))
		s := &slowSink{delay: time.Second, err: router.ErrCallerGone.New("gone")}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		if assert.NotNil(t, fail) {
			assert.Equal(t, router.CallerGone, fail.Reason)
		}
		assert.Less(t, time.Since(began), 2*time.Second)
		assert.Equal(t, 1, count(f.recorded(), "generate"))
		time.Sleep(time.Minute)
	})
}
