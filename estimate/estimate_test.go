package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/estimate"
)

var slo = estimate.SLO{Target: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond}

// The first prefill replaces the prior, also if the engine has a quarter or four times
// the assumed speed. Otherwise requests would be placed by a figure that is right only
// for other engines.
func TestFirstSampleReplacesPrior(t *testing.T) {
	for _, perToken := range []time.Duration{8 * time.Microsecond, 30 * time.Microsecond, 120 * time.Microsecond, 500 * time.Microsecond} {
		m := estimate.NewEngineModel()
		prior := m.PrefillTime(3000, 3000, slo)
		assert.Equal(t, 225*time.Millisecond, prior.Mean)
		assert.Equal(t, prior.Mean, prior.Spread, "the spread of a prior is the prior itself")
		m.RecordPrefill(3000, 3000*perToken)
		assert.InEpsilon(t, 3000*perToken, m.PrefillTime(3000, 3000, slo).Mean, 0.01)
		assert.InEpsilon(t, 6000*perToken, m.PrefillTime(6000, 3000, slo).Mean, 0.01)
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
	m := estimate.NewEngineModel()
	for range 50 {
		m.RecordGap(2, 40*time.Millisecond)
	}
	assert.InEpsilon(t, 40*time.Millisecond, m.EventGap(20, slo).Mean, 0.01)
	assert.Zero(t, m.GapPerStream())
}

// When an engine becomes slower than ever before, attempts are abandoned and sent again,
// and the engine is busy with work that is lost. Abandoned attempts count as samples, so
// that each timeout is longer than the one before.
func TestAbandonedAttemptsRaiseEstimate(t *testing.T) {
	m := estimate.NewEngineModel()
	for range 100 {
		m.RecordPrefill(3000, 100*time.Millisecond)
	}
	last := m.PrefillTime(3000, 3000, slo).UpperBound()
	for range 5 {
		m.RecordAbandonedPrefill(3000, 3*last)
		next := m.PrefillTime(3000, 3000, slo).UpperBound()
		assert.Greater(t, next, last)
		last = next
	}
	m.RecordAbandonedPrefill(3000, time.Millisecond)
	assert.Equal(t, last, m.PrefillTime(3000, 3000, slo).UpperBound(), "an attempt abandoned early is ignored")
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
	m := estimate.NewEngineModel()
	m.RecordAnswer(50, 300*time.Millisecond)
	assert.Equal(t, 3500*time.Millisecond, m.AnswerDuration(14*time.Second))
	for range 100 {
		m.RecordAnswer(600, 2*time.Second)
	}
	assert.InDelta(t, float64(2*time.Second), float64(m.AnswerDuration(14*time.Second)), float64(100*time.Millisecond))
	assert.Equal(t, 200, m.ExpectedTokens(200), "an answer has at most the allowed tokens")
}

// Until a gap with a concurrent prefill was recorded, the whole prefill is assumed to fall
// between two events.
func TestPrefillInterference(t *testing.T) {
	m := estimate.NewEngineModel()
	for range 20 {
		m.RecordGap(3, 50*time.Millisecond)
	}
	assert.Equal(t, 400*time.Millisecond, m.PrefillInterference(400*time.Millisecond))
	for range 20 {
		m.RecordGapWithPrefill(3, 150*time.Millisecond)
	}
	assert.InDelta(t, float64(100*time.Millisecond), float64(m.PrefillInterference(400*time.Millisecond)), float64(10*time.Millisecond))
	assert.Equal(t, 30*time.Millisecond, m.PrefillInterference(30*time.Millisecond))
}
