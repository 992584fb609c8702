package pace

import "math"

const (
	// priorTrust is the weight of the assumption that durations follow the pace.
	priorTrust = 0.5
	// trustDecay is the factor by which each sample reduces the weight of earlier ones.
	trustDecay = 0.98
	// maxDeviation bounds the logarithm of a ratio of durations, so that a few calls that hang
	// don't decide.
	maxDeviation = 1.4
)

// trust is how far durations at an endpoint have followed the pace that it says: a regression
// of the logarithm of the duration over that of the pace.
type trust struct {
	squares, products float64
}

func (t *trust) add(pace, ratio float64) {
	ratio = min(max(ratio, -maxDeviation), maxDeviation)
	t.squares = t.squares*trustDecay + pace*pace
	t.products = t.products*trustDecay + pace*ratio
}

// exponent returns the power of the pace that durations follow: 1 if they follow it in full, 0
// if they don't.
func (t *trust) exponent() float64 {
	return min(max((t.products+priorTrust)/(t.squares+priorTrust), 0), 1)
}

const (
	// slowFactor is the pace, compared with the usual one, from which on an endpoint is slow.
	slowFactor = 1.4
	// slowDecay is the factor by which each sample reduces the weight of earlier ones.
	slowDecay = 0.998
	// priorQuickSamples is the number of samples that are assumed not to have been slow.
	priorQuickSamples = 20
)

// isSlow reports whether an endpoint with this pace, compared with the usual one, is slow.
func isSlow(relative float64) bool { return relative > slowFactor }

// slowMoments describes the slow moments of all endpoints.
type slowMoments struct {
	samples, slow, sum float64
}

func (s *slowMoments) add(relative float64) {
	s.samples = s.samples*slowDecay + 1
	s.slow *= slowDecay
	s.sum *= slowDecay
	if isSlow(relative) {
		s.slow++
		s.sum += math.Log(relative)
	}
}

// share returns the share of the time that endpoints are slow.
func (s *slowMoments) share() float64 { return s.slow / (s.samples + priorQuickSamples) }

// factor returns how much longer work takes in a slow moment.
func (s *slowMoments) factor() float64 {
	if s.slow == 0 {
		return 1
	}
	return math.Exp(s.sum / s.slow)
}
