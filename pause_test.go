package ebonypulley_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley"
)

// TestPauseIsReportedOnce: a process is stopped for five seconds between two ticks. The
// first tick afterwards reports the pause, other ticks report none.
func TestPauseIsReportedOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := ebonypulley.NewPauseDetector(time.Second)
	assert.Zero(t, d.Tick(now), "the first tick has no predecessor")
	now = now.Add(time.Second)
	assert.Zero(t, d.Tick(now))
	now = now.Add(5 * time.Second)
	assert.Equal(t, 5*time.Second, d.Tick(now))
	assert.Zero(t, d.Tick(now.Add(time.Second)))
}
