package share

import (
	"math"
	"time"
)

// Meter keeps the calls of an entry within its share, also if that is a fraction of a call: the
// fraction is then the probability of one more call, drawn anew each call time, so that the
// calls of all entries add up to the limit in the mean. The zero value has no calls.
type Meter struct {
	running int
	drawn   float64
	drawnAt time.Time
}

// MayStart reports whether another call is within the share. The function draw returns a random
// number in [0, 1).
func (m *Meter) MayStart(now time.Time, share float64, callTime time.Duration, draw func() float64) bool {
	if now.Sub(m.drawnAt) >= callTime {
		m.drawn, m.drawnAt = draw(), now
	}
	return float64(m.running) < math.Floor(share+m.drawn)
}

// Start counts a call that starts, End one that ends.
func (m *Meter) Start() { m.running++ }

// End counts a call that ends.
func (m *Meter) End() { m.running-- }

// Running returns the number of calls.
func (m *Meter) Running() int { return m.running }
