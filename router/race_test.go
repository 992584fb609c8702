//go:build race

package router_test

// playedBursts holds the bursts of plain calls, as multiples of the slots. There are fewer with
// the race detector, which multiplies the time of each call.
var playedBursts = []float64{1.6}
