package pace

import (
	"math"
	"time"
)

const (
	// usualTime is the time constant of an endpoint's usual pace: many slow moments.
	usualTime = 15 * time.Second
	// maxHeld is how long a pace is assumed to have held if no other follows.
	maxHeld = time.Second
	// priorTimeConstant is how long a pace is assumed to last until successive values show it,
	// and minTimeConstant and maxTimeConstant bound what they may show.
	priorTimeConstant = 300 * time.Millisecond
	minTimeConstant   = 20 * time.Millisecond
	maxTimeConstant   = 5 * time.Second
	// priorVariance is the variance of the logarithm of the pace that is assumed at first, and
	// priorSamples the number of samples that this counts as.
	priorVariance = 0.1
	priorSamples  = 3
	// seriesDecay is the factor by which each sample reduces the weight of earlier ones.
	seriesDecay = 0.97
	// maxFactor bounds how far the pace of this moment may differ from the usual one.
	maxFactor = 4.0
	// minSpacing is the time between two samples that show something about changes.
	minSpacing = 5 * time.Millisecond
)

// series follows the paces that an endpoint said.
type series struct {
	pace float64
	at   time.Time
	// usual is a moving average of the pace over time.
	usual float64
	// own is the latest pace that this process was told itself, at ownAt. What others report is
	// chosen for being different, and would show changes that are too quick.
	own   float64
	ownAt time.Time
	// weight, sum and squares are decaying sums over the logarithms of the own samples. changes
	// is a decaying sum of the squared differences of successive ones, and changeTime one of
	// the times in which these changes can show.
	weight, sum, squares float64
	changes, changeTime  float64
}

func (s *series) known() bool { return !s.at.IsZero() }

// add adds a sample.
func (s *series) add(at time.Time, pace float64) {
	if !s.known() {
		s.usual = 1
	} else {
		keep := math.Exp(-float64(min(at.Sub(s.at), maxHeld)) / float64(usualTime))
		s.usual = s.usual*keep + s.pace*(1-keep)
	}
	s.pace, s.at = pace, at
}

// addOwn adds a sample that this process was told itself.
func (s *series) addOwn(now time.Time, pace float64) {
	s.add(now, pace)
	if held := now.Sub(s.ownAt); s.own > 0 && held >= minSpacing {
		limit := s.timeConstant().Seconds()
		change := math.Log(pace / s.own)
		s.changes = s.changes*seriesDecay + change*change
		s.changeTime = s.changeTime*seriesDecay + limit*(1-math.Exp(-held.Seconds()/limit))
	}
	s.own, s.ownAt = pace, now
	v := math.Log(pace)
	s.weight = s.weight*seriesDecay + 1
	s.sum = s.sum*seriesDecay + v
	s.squares = s.squares*seriesDecay + v*v
}

// timeConstant returns how long a pace lasts. The expected square of the difference of two
// samples, twice their variance at most, grows with the time between them.
func (s *series) timeConstant() time.Duration {
	prior := priorTimeConstant.Seconds() * priorSamples
	variance := priorVariance
	if s.weight > 0 {
		mean := s.sum / s.weight
		own := max(s.squares/s.weight-mean*mean, 0)
		variance = (own*s.weight + priorVariance*priorSamples) / (s.weight + priorSamples)
	}
	seconds := 2 * variance * (s.changeTime + prior) / (s.changes + 2*variance*priorSamples)
	return min(max(time.Duration(seconds*float64(time.Second)), minTimeConstant), maxTimeConstant)
}

// relative returns a pace compared with the usual one.
func (s *series) relative(pace float64) float64 {
	usual := s.usual
	if usual == 0 {
		usual = 1
	}
	return min(max(pace/usual, 1/maxFactor), maxFactor)
}

// remaining returns how much of the latest pace is still to be expected.
func (s *series) remaining(now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(s.at), 0)) / float64(s.timeConstant()))
}

// factorAt returns the expected pace compared with the usual one.
func (s *series) factorAt(now time.Time) float64 {
	return 1 + (s.relative(s.pace)-1)*s.remaining(now)
}

// factorDuring returns the pace over a time that ends now, compared with the usual one. A pace
// that was said in that time counts in full.
func (s *series) factorDuring(from, now time.Time) float64 {
	if !s.at.Before(from) {
		return s.relative(s.pace)
	}
	return s.factorAt(now)
}
