package router

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/metrics"
)

// probedEndpoints are endpoints that answer probes after some time, or not at all.
type probedEndpoints struct {
	EndpointClient
	answerAfter              time.Duration
	probes, concurrent, peak atomic.Int64
}

func (p *probedEndpoints) Probe(ctx context.Context, _ *Endpoint) error {
	p.probes.Add(1)
	p.peak.Store(max(p.peak.Load(), p.concurrent.Add(1)))
	defer p.concurrent.Add(-1)
	select {
	case <-time.After(p.answerAfter):
		return nil
	case <-ctx.Done():
		return ErrUnreachable.Wrap(ctx.Err(), "no answer")
	}
}

// watchStreams watches streams of one endpoint, whose events are spread over a quarter of a
// second, until it falls silent for a time, and returns how many were ended.
func watchStreams(t *testing.T, p *probedEndpoints, streams int, silence time.Duration) (ended int64) {
	t.Helper()
	var count atomic.Int64
	r := New(Settings{}, p, event.Nop(), metrics.NewSet())
	limits := silenceLimits{probeAfter: minProbeAfter, giveUpAfter: 3 * time.Second}
	e := &Endpoint{ID: "e"}
	watchdogs := make([]*watchdog, streams)
	for i := range watchdogs {
		watchdogs[i] = r.startWatchdog(e, limits, func() { count.Add(1) })
		defer watchdogs[i].stop()
	}
	for _, w := range watchdogs {
		time.Sleep(250 * time.Millisecond / time.Duration(streams))
		w.reset(limits)
	}
	time.Sleep(silence)
	for _, w := range watchdogs {
		w.reset(limits)
	}
	return count.Load()
}

// TestStreamsShareProbes guards against hundreds of streams of one endpoint that falls
// silent for a second which each probe it on connections of their own, more than the smallest
// VM has memory for.
func TestStreamsShareProbes(t *testing.T) {
	for name, answerAfter := range map[string]time.Duration{"answers": 100 * time.Millisecond, "answers nothing": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const streams, maxProbes = 500, 10
				p := &probedEndpoints{answerAfter: answerAfter}
				ended := watchStreams(t, p, streams, time.Second)
				t.Logf("%d probes, %d at a time; %d of %d streams ended", p.probes.Load(), p.peak.Load(), ended, streams)
				assert.Positive(t, p.probes.Load())
				assert.LessOrEqual(t, p.peak.Load(), int64(maxProbes))
				if answerAfter < probeTimeout {
					assert.Zero(t, ended)
				} else {
					assert.Equal(t, int64(streams), ended)
				}
			})
		})
	}
}

// TestJoinedCheckHasFullTime guards against streams that are ended because they joined a check
// of their endpoint shortly before its time was over.
func TestJoinedCheckHasFullTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProbes((&probedEndpoints{answerAfter: probeTimeout + 10*time.Millisecond}).Probe)
		e := &Endpoint{ID: "e"}
		first := make(chan bool, 1)
		go func() { first <- p.alive(e) }()
		time.Sleep(probeSharing - 10*time.Millisecond)
		assert.True(t, p.alive(e), "answered in less than probeTimeout after it asked")
		assert.False(t, <-first)
		time.Sleep(time.Second)
	})
}
