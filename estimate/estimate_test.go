package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/estimate"
)

var promise = estimate.Promise{Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond}

// The first prefill replaces the prior, also if the engine has a quarter or four times
// the assumed speed. Otherwise requests would be placed by a figure that is right only
// for other engines.
func TestFirstSampleReplacesPrior(t *testing.T) {
	for _, perToken := range []time.Duration{8 * time.Microsecond, 30 * time.Microsecond, 120 * time.Microsecond, 500 * time.Microsecond} {
		m := estimate.NewEngines()
		prior := m.Prompt(3000, 3000, promise)
		assert.Equal(t, 225*time.Millisecond, prior.Mean)
		assert.Equal(t, prior.Mean, prior.Spread, "the spread of a prior is the prior itself")
		m.Prompted(3000, 3000*perToken)
		assert.InEpsilon(t, 3000*perToken, m.Prompt(3000, 3000, promise).Mean, 0.01)
		assert.InEpsilon(t, 6000*perToken, m.Prompt(6000, 3000, promise).Mean, 0.01)
	}
}

// From prompts of several sizes, with noise, the fit finds the time per token and the
// fixed time of every prompt.
func TestFitFindsBaseAndSlope(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var l estimate.LinearFit
	for range 200 {
		x := 1000 + 5000*rnd.Float64()
		l.Add(x, 40+0.03*x+4*rnd.NormFloat64())
	}
	assert.InDelta(t, 0.03, l.Slope(), 0.003)
	assert.InDelta(t, 40, l.Base(), 10)
	assert.InDelta(t, 4*0.8*4, l.Spread(), 8, "four mean deviations")
}

// Gaps of engines that always run the same number of streams say nothing about other
// numbers of streams: the estimate for those is the same.
func TestFlatFit(t *testing.T) {
	m := estimate.NewEngines()
	for range 50 {
		m.Paused(2, 40*time.Millisecond)
	}
	assert.InEpsilon(t, 40*time.Millisecond, m.Pause(20, promise).Mean, 0.01)
	assert.Zero(t, m.Crowd())
}

// When an engine becomes slower than ever before, attempts are abandoned and sent again,
// and the engine is busy with work that is lost. Abandoned attempts count as samples, so
// that each time limit is longer than the one before.
func TestAbandonedAttemptsRaiseEstimate(t *testing.T) {
	m := estimate.NewEngines()
	for range 100 {
		m.Prompted(3000, 100*time.Millisecond)
	}
	last := m.Prompt(3000, 3000, promise).High()
	for range 5 {
		m.PromptLost(3000, 3*last)
		next := m.Prompt(3000, 3000, promise).High()
		assert.Greater(t, next, last)
		last = next
	}
	m.PromptLost(3000, time.Millisecond)
	assert.Equal(t, last, m.Prompt(3000, 3000, promise).High(), "an attempt abandoned early tells nothing")
}

// Most prefills waited behind work that was not reported. The shortest ones show the time
// per token.
func TestLowQuantile(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	var l estimate.LowQuantile
	for range 300 {
		l.Add(0.03 * (1 + 3*rnd.Float64()))
	}
	assert.InDelta(t, 0.03*1.6, l.Value(), 0.012)
}

// The first answers to end are the shortest; the expected duration, from which the use of
// memory is estimated, must not derive from them alone.
func TestFirstAnswersDoNotLowerDuration(t *testing.T) {
	m := estimate.NewEngines()
	m.Ended(50, 300*time.Millisecond)
	assert.Equal(t, 3500*time.Millisecond, m.Life(14*time.Second))
	for range 100 {
		m.Ended(600, 2*time.Second)
	}
	assert.InDelta(t, float64(2*time.Second), float64(m.Life(14*time.Second)), float64(100*time.Millisecond))
	assert.Equal(t, 200, m.Answer(200), "an answer has at most the allowed tokens")
}

// Until a gap with a concurrent prefill was recorded, the whole prefill is assumed to fall
// between two events.
func TestPrefillInterference(t *testing.T) {
	m := estimate.NewEngines()
	for range 20 {
		m.Paused(3, 50*time.Millisecond)
	}
	assert.Equal(t, 400*time.Millisecond, m.Disturbance(400*time.Millisecond))
	for range 20 {
		m.Disturbed(3, 150*time.Millisecond)
	}
	assert.InDelta(t, float64(100*time.Millisecond), float64(m.Disturbance(400*time.Millisecond)), float64(10*time.Millisecond))
	assert.Equal(t, 30*time.Millisecond, m.Disturbance(30*time.Millisecond))
}
