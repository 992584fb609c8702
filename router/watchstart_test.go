package router

import (
	"testing"
	"time"

	"ebonypulley/metrics"
)

// TestPauseWhileWatchdogStarts guards against a process that isn't run for a while just as it starts to
// watch an engine: the timer fires before it is known, which ends the process. Only the race detector
// sees it each time.
func TestPauseWhileWatchdogStarts(t *testing.T) {
	r := &Router{metrics: metrics.NewSet()}
	for range 50 {
		w := r.startWatchdog(&Endpoint{ID: "e"}, silenceLimits{probeAfter: -time.Minute}, func() {})
		time.Sleep(time.Millisecond)
		w.stop()
	}
}
