package estimate

// LowQuantile is a running estimate of a low quantile of positive samples. The zero
// value has no samples.
type LowQuantile struct {
	samples int
	value   float64
}

const (
	// quantileLevel is the level of the quantile. It is low because waiting behind
	// work that was not reported can only make a sample longer, so short samples
	// show what the work itself takes.
	quantileLevel = 0.2
	// quantileStep scales the step by which a sample moves the value, as a fraction
	// of the value.
	quantileStep = 0.1
)

// Add adds a sample.
func (l *LowQuantile) Add(x float64) {
	l.samples++
	switch {
	case l.samples == 1:
		l.value = x
	case x < l.value:
		l.value -= l.value * quantileStep * (1 - quantileLevel)
	default:
		l.value += l.value * quantileStep * quantileLevel
	}
}

// Value returns the quantile; zero without samples.
func (l *LowQuantile) Value() float64 { return l.value }
