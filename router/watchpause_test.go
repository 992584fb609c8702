package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/estimate"
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

// pausedWatchdog returns a watchdog of an endpoint that was silent for a moment when this process was not
// run any more for a while: its timer fires when it is, before what arrived meanwhile is read.
func pausedWatchdog(l silenceLimits, pause time.Duration) *watchdog {
	r := New(Settings{}, nil, event.Nop(), metrics.NewSet())
	r.probes = newProbes(func(context.Context, *Endpoint) error { return nil })
	w := r.startWatchdog(&Endpoint{ID: "e"}, l, func() {})
	time.Sleep(100 * time.Millisecond)
	w.timer.Stop()
	time.Sleep(pause)
	w.onSilence()
	return w
}

// TestPauseOfEntryIsNotSilence guards against an entry that is stopped for some seconds, or gets no
// processor time, and then gives up all its attempts at sound endpoints at once: the retry budget is
// used up, and streams are cut.
func TestPauseOfEntryIsNotSilence(t *testing.T) {
	for _, l := range []silenceLimits{
		stepLimits(estimate.Duration{Mean: 200 * time.Millisecond}, 3*time.Second),
		stepLimits(estimate.Duration{Mean: 2 * time.Second}, 3*time.Second),
		{probeAfter: minProbeAfter, giveUpAfter: streamGoneAfter, goneAfter: streamGoneAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := pausedWatchdog(l, 4*time.Second)
			defer w.stop()
			time.Sleep(100 * time.Millisecond) // until what arrived meanwhile is read
			assert.Equal(t, undecided, w.verdict())
			w.reset(l)
			time.Sleep(l.probeAfter / 2)
			assert.Equal(t, undecided, w.verdict())
		})
	}
}

// TestSilenceGoesOnAfterPauseOfEntry guards against an endpoint that hangs and is waited for without
// end because the entry was not run for a while, or never runs in time.
func TestSilenceGoesOnAfterPauseOfEntry(t *testing.T) {
	l := silenceLimits{probeAfter: minProbeAfter, giveUpAfter: streamGoneAfter, goneAfter: streamGoneAfter}
	synctest.Test(t, func(t *testing.T) {
		w := pausedWatchdog(l, 4*time.Second)
		defer w.stop()
		time.Sleep(l.giveUpAfter + probeTimeout)
		assert.Equal(t, hanging, w.verdict())
	})
	synctest.Test(t, func(t *testing.T) {
		w := pausedWatchdog(l, time.Second)
		defer w.stop()
		for range 20 {
			w.timer.Stop()
			time.Sleep(time.Second)
			w.onSilence()
		}
		assert.Equal(t, hanging, w.verdict())
	})
}

// TestTimerFiresAtOnce guards against an entry that crashes because it isn't run while it begins to
// watch an endpoint: the timer fires before the watchdog holds it.
func TestTimerFiresAtOnce(t *testing.T) {
	const watches = 100
	m := metrics.NewSet()
	r := New(Settings{}, nil, event.Nop(), m)
	for range watches {
		w := r.startWatchdog(&Endpoint{ID: "e"}, silenceLimits{probeAfter: -2 * pauseAfter}, func() {})
		defer w.stop()
	}
	assert.Eventually(t, func() bool { return m.Count("silences_excused") >= watches }, 5*time.Second, time.Millisecond)
}
