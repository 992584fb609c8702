package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/metrics"
)

// The watchdog's timer fires at the moment at which an event has arrived and its delivery
// begins. A paused watchdog must not end the answer because of a silence before.
func TestPausedWatchdogIgnoresFiredTimer(t *testing.T) {
	r := New(Settings{}, nil, event.Nop(), metrics.NewSet())
	ended := false
	w := r.startWatchdog(&Endpoint{ID: "e"}, silenceLimits{probeAfter: time.Hour, giveUpAfter: time.Nanosecond}, func() { ended = true })
	defer w.stop()
	time.Sleep(time.Millisecond)
	w.pause()
	w.onSilence()
	assert.False(t, ended)
	assert.Equal(t, undecided, w.verdict())

	w.reset(silenceLimits{probeAfter: time.Hour, giveUpAfter: time.Nanosecond})
	time.Sleep(time.Millisecond)
	w.onSilence()
	assert.True(t, ended, "reset ends the pause")
}

// TestActivityAfterTimerFired guards against probes one after another, without a pause, when an
// event arrives at the moment at which the watchdog's timer fires.
func TestActivityAfterTimerFired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := metrics.NewSet()
		r := New(Settings{}, nil, event.Nop(), m)
		w := r.startWatchdog(&Endpoint{ID: "e"}, silenceLimits{probeAfter: time.Second}, func() {})
		defer w.stop()
		w.reset(silenceLimits{probeAfter: time.Second})
		w.onSilence()
		assert.Zero(t, m.Count("endpoints_asked_alive"))
		assert.Equal(t, undecided, w.verdict())
	})
}
