package pace

const (
	// slowUsual is the usual pace from which on an endpoint counts as slow for long, and
	// quickUsual that from which on it no longer does.
	slowUsual  = 1.6
	quickUsual = 1.3
	// ignoredExponent is the exponent below which an endpoint's pace hardly counts, and
	// countedExponent that from which on it does again.
	ignoredExponent = 0.25
	countedExponent = 0.6
)

// Change is a lasting change of what an endpoint says, for operators.
type Change uint8

const (
	Unchanged Change = iota
	// TurnedSlow says that the endpoint has been slow for many seconds, TurnedUsual that it
	// no longer is.
	TurnedSlow
	TurnedUsual
	// Ignored says that durations don't follow the pace that the endpoint says, so that it
	// hardly counts, Counted that they follow it again.
	Ignored
	Counted
)

// standing is what operators were last told of an endpoint.
type standing struct {
	slow, ignored bool
}

// change returns what operators are to be told of an endpoint, if anything.
func (s *standing) change(usual, exponent float64) Change {
	switch {
	case !s.slow && usual > slowUsual:
		s.slow = true
		return TurnedSlow
	case s.slow && usual < quickUsual:
		s.slow = false
		return TurnedUsual
	case !s.ignored && exponent < ignoredExponent:
		s.ignored = true
		return Ignored
	case s.ignored && exponent > countedExponent:
		s.ignored = false
		return Counted
	}
	return Unchanged
}
