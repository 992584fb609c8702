//go:build !race

package router_test

// playedBursts holds the bursts of plain calls, as multiples of the slots.
var playedBursts = []float64{1.2, 1.6, 2}
