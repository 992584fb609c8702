package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOddAvoidedEndpoints guards against observations of another entry by which an endpoint is
// avoided for years, or its failures count for no number from then on.
func TestOddAvoidedEndpoints(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, odd := range []AvoidedEndpoint{
		{Age: time.Second, Left: math.MaxInt64}, {Age: -time.Hour, Left: time.Second}, {Age: math.MinInt64, Left: time.Second},
		{Age: math.MinInt64}, {Age: math.MinInt64 / 2}, {Age: -time.Hour}, {Age: math.MaxInt64}, {Left: math.MinInt64},
	} {
		l := NewLoadTracker()
		odd.Endpoint = "e"
		l.SetPeerReport(start, "odd", nil, nil)
		l.MergeAvoided(start, "odd", []AvoidedEndpoint{odd})
		later := start.Add(time.Minute)
		assert.False(t, l.View(later, "e").Avoided, "%+v", odd)
		l.SetPeerReport(later, "sound", nil, nil)
		l.MergeAvoided(later, "sound", []AvoidedEndpoint{{Endpoint: "e", Age: time.Second}})
		assert.InDelta(t, 0.28, l.peerFailureRate(later, "e", 0), 0.02, "%+v", odd)
	}
}

// TestOddReportOfWork guards against work that no entry has, which would draw all requests to an
// endpoint, or keep them from it, and against a demand that is no number.
func TestOddReportOfWork(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range []int{-1, math.MinInt, math.MaxInt, 1 << 62} {
		l := NewLoadTracker()
		l.SetPeerReport(now, "sound", map[string]Load{"e": {Calls: 3, KVTokens: 100}}, nil)
		l.SetPeerReport(now, "odd", map[string]Load{"e": {Calls: n}, "f": {KVTokens: n}, "g": {PrefillTokens: n}, "h": {Decodes: n}}, nil)
		assert.Equal(t, Load{Calls: 3, KVTokens: 100}, l.View(now, "e").Load, n)
		for _, other := range []string{"f", "g", "h"} {
			assert.Zero(t, l.View(now, other).Load, n)
		}
	}
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		l := NewLoadTracker()
		l.SetPeerReport(now, "sound", nil, map[string]Demand{"s": {Calls: 3, Tokens: 100}})
		l.SetPeerReport(now, "odd", nil, map[string]Demand{"s": {Calls: x, Tokens: 1}})
		l.SetPeerReport(now, "odder", nil, map[string]Demand{"s": {Calls: 1, Tokens: x}})
		d, _ := l.demand(now, "s")
		assert.Equal(t, Demand{Calls: 3, Tokens: 100}, d, x)
	}
}

// TestOddBackoff guards against a Retry-After of years, by which an endpoint is used no more.
func TestOddBackoff(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, backoff := range []time.Duration{math.MaxInt64, math.MaxInt32 * time.Second, time.Hour} {
		l := NewLoadTracker()
		l.RecordBackoff(start, "e", backoff)
		assert.True(t, l.View(start.Add(9*time.Minute), "e").BackingOff)
		assert.False(t, l.View(start.Add(11*time.Minute), "e").BackingOff, backoff)
	}
}
