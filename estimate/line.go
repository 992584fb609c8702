package estimate

import "math"

const (
	// fitDecay is the factor by which each sample reduces the weight of the earlier
	// ones; the total weight approaches that of 50 samples.
	fitDecay = 0.98
	// minSlopeSamples is the number of samples that a slope needs.
	minSlopeSamples = 6
	// minSlopeSpread is how widely the sizes of the samples must vary for a slope:
	// their standard deviation as a fraction of their mean.
	minSlopeSpread = 0.15
)

// LinearFit is a linear regression of a time in milliseconds over a size, with
// exponentially decaying weights, and the mean deviation from it. Neither base nor
// slope is ever negative. The zero value has no samples.
type LinearFit struct {
	// Flat selects the fit while the sizes vary too little for a slope: if set, the
	// same time for all sizes, else a time proportional to the size.
	Flat bool

	weight       float64
	x, y, xx, xy float64 // weighted sums
	samples      int
	deviation    float64 // mean absolute deviation, in milliseconds
	base, slope  float64
}

// Add adds a sample.
func (l *LinearFit) Add(x, y float64) {
	residual := math.Abs(y - l.At(x))
	l.samples++
	l.weight = l.weight*fitDecay + 1
	l.x = l.x*fitDecay + x
	l.y = l.y*fitDecay + y
	l.xx = l.xx*fitDecay + x*x
	l.xy = l.xy*fitDecay + x*y
	l.fit()
	alpha := max(minSampleWeight, 1/float64(l.samples))
	l.deviation += (residual - l.deviation) * alpha
	if l.samples == 1 {
		l.deviation = y / spreadFactor
	}
}

// AddCensored adds an observation that was abandoned at time y without a result, so
// that its true time is longer. It is ignored unless y is above the estimate.
func (l *LinearFit) AddCensored(x, y float64) {
	if y > l.At(x) {
		l.Add(x, y)
	}
}

func (l *LinearFit) fit() {
	meanX, meanY := l.x/l.weight, l.y/l.weight
	variance := l.xx/l.weight - meanX*meanX
	if l.samples < minSlopeSamples || variance <= minSlopeSpread*minSlopeSpread*meanX*meanX {
		l.fitWithoutSlope(meanX, meanY)
		return
	}
	l.slope = (l.xy/l.weight - meanX*meanY) / variance
	l.base = meanY - l.slope*meanX
	switch {
	case l.slope < 0:
		l.base, l.slope = meanY, 0
	case l.base < 0:
		l.base, l.slope = 0, meanY/meanX
	}
}

// fitWithoutSlope fits the mean of the samples with a flat or a proportional line.
func (l *LinearFit) fitWithoutSlope(meanX, meanY float64) {
	l.base, l.slope = meanY, 0
	if meanX > 0 && !l.Flat {
		l.base, l.slope = 0, meanY/meanX
	}
}

// Known reports whether there is any sample.
func (l *LinearFit) Known() bool { return l.samples > 0 }

// At returns the estimate for a size.
func (l *LinearFit) At(x float64) float64 { return l.base + l.slope*x }

// Base returns the estimate for size zero, in milliseconds.
func (l *LinearFit) Base() float64 { return l.base }

// Slope returns the time per unit of size, in milliseconds.
func (l *LinearFit) Slope() float64 { return l.slope }

// Spread returns how far above the line an ordinary sample may lie.
func (l *LinearFit) Spread() float64 { return spreadFactor * l.deviation }
