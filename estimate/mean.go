// Package estimate learns the latency of model engines from observations. It does
// no I/O: samples go in, estimates with their spread come out. It contains no
// figures of any particular engine; before the first sample, estimates derive from
// the service level objectives of a route.
package estimate

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the lower bound of the weight of a new sample in a mean:
	// some tens of samples, a few seconds of one process's requests, replace
	// everything learned before. The first samples have a larger weight, so that a
	// prior is replaced at once.
	minSampleWeight = 0.05
	// spreadFactor is how many mean absolute deviations above the mean a sample is
	// still ordinary. For a normal distribution 4 of them are 3.2 standard
	// deviations: one sample in a thousand is beyond.
	spreadFactor = 4
)

// Mean is an exponentially weighted moving mean with its mean absolute deviation.
// The unit is the caller's; this package uses milliseconds and counts. The zero
// value has no samples.
type Mean struct {
	samples         int
	mean, deviation float64
}

// Add adds a sample.
func (m *Mean) Add(x float64) {
	m.samples++
	alpha := max(minSampleWeight, 1/float64(m.samples))
	m.deviation += (math.Abs(x-m.mean) - m.deviation) * alpha
	if m.samples == 1 {
		m.deviation = x / spreadFactor // one sample says nothing of the spread
	}
	m.mean += (x - m.mean) * alpha
}

// AddCensored adds an observation that was abandoned at x without a result, so that
// its true value is larger. It moves the mean up, never down.
func (m *Mean) AddCensored(x float64) {
	if x > m.mean {
		m.Add(x)
	}
}

// Known reports whether there is any sample.
func (m *Mean) Known() bool { return m.samples > 0 }

// Mean returns the mean, or the prior without samples.
func (m *Mean) Mean(prior float64) float64 {
	if m.samples == 0 {
		return prior
	}
	return m.mean
}

// Spread returns how far above the mean an ordinary sample may lie; without samples
// it is the prior itself.
func (m *Mean) Spread(prior float64) float64 {
	if m.samples == 0 {
		return prior
	}
	return spreadFactor * m.deviation
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
