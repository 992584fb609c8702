package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/quota"
)

var endpoint = quota.EndpointID("e")

func limited(l *quota.Ledger, now time.Time) bool { return l.Take(now, endpoint, 0).Limited }

// TestOlderAnswerDoesNotLiftLimit guards against a limit that is lifted by an answer which
// was already on its way when the endpoint advertised the limit, and arrives after it.
func TestOlderAnswerDoesNotLiftLimit(t *testing.T) {
	l := quota.NewLedger(quota.Settings{})
	l.SetFleetSize(1)
	l.SetEndpointLimit(at(time.Second), at(900*time.Millisecond), quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: 2})
	l.SetEndpointLimit(at(1100*time.Millisecond), at(950*time.Millisecond), quota.EndpointLimit{Endpoint: endpoint})
	assert.True(t, limited(l, at(1200*time.Millisecond)))
	l.SetEndpointLimit(at(1300*time.Millisecond), at(1200*time.Millisecond), quota.EndpointLimit{Endpoint: endpoint})
	assert.False(t, limited(l, at(1400*time.Millisecond)))
}

// TestEndpointLimitsInAnyOrder: limits are reported late, twice and in any order; the newest
// one holds.
func TestEndpointLimitsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quota.NewLedger(quota.Settings{})
		l.SetFleetSize(2)
		newest, advertised := -1, false
		now := at(time.Minute)
		for _, second := range rapid.SliceOfN(rapid.IntRange(0, 30), 1, 40).Draw(t, "seconds") {
			s := quota.EndpointLimit{Endpoint: endpoint, Advertised: second%3 != 0, PerSecond: float64(second), Age: time.Minute - time.Duration(second)*time.Second}
			l.MergeEndpointLimits(now, []quota.EndpointLimit{s})
			if second > newest {
				newest, advertised = second, s.Advertised
			}
		}
		assert.Equal(t, advertised, limited(l, now))
	})
}

// TestEndpointLimitOfZero guards against an endpoint that accepts nothing at all, so that
// nobody learns when its limit is lifted.
func TestEndpointLimitOfZero(t *testing.T) {
	l := quota.NewLedger(quota.Settings{})
	l.SetFleetSize(1)
	l.SetEndpointLimit(start, start, quota.EndpointLimit{Endpoint: endpoint, Advertised: true})
	sent := 0
	for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
		if l.Take(at(d), endpoint, 1).OK {
			sent++
		}
	}
	assert.Positive(t, sent)
	assert.LessOrEqual(t, sent, 12, "one in 4 s is far below what is tolerated")
}

// TestIsolatedEntryKeepsEndpointLimit guards against a restarted entry that hears nobody and
// sends requests to an endpoint with a limit, while any number of entries may do the same. It
// uses other endpoints, and this one as soon as it hears of another entry.
func TestIsolatedEntryKeepsEndpointLimit(t *testing.T) {
	l := quota.NewLedger(quota.Settings{EndpointTolerance: quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5}, Restarted: true})
	limited, other := quota.EndpointID("limited"), quota.EndpointID("other")
	l.MergeEndpointLimits(start, []quota.EndpointLimit{{Endpoint: limited, Advertised: true, PerSecond: 2}})
	assert.False(t, l.Take(start, limited, 1).OK)
	assert.True(t, l.Take(start, other, 1).OK)
	l.SetFleetSize(2)
	assert.True(t, l.Take(start, limited, 1).OK)
}

// TestLargeEndpointLimit guards against a limit that is too large for a bucket, so that its
// endpoint gets nothing.
func TestLargeEndpointLimit(t *testing.T) {
	l := quota.NewLedger(quota.Settings{EndpointTolerance: quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5}})
	l.SetFleetSize(1)
	l.SetEndpointLimit(start, start, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: math.MaxFloat64})
	for range 1000 {
		assert.True(t, l.Take(start, endpoint, 1).OK)
	}
}

// TestEndpointLimitIsTolerated: whatever limit an endpoint advertises, a sole entry sends it no
// more in a window than is tolerated, although the bucket was full at its start.
func TestEndpointLimitIsTolerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5}
		l := quota.NewLedger(quota.Settings{EndpointTolerance: tolerance})
		l.SetFleetSize(1)
		perSecond := rapid.Float64Range(0, 200).Draw(t, "per second")
		l.SetEndpointLimit(start, start, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: perSecond})
		sent := 0
		for d := time.Duration(0); d < tolerance.Window; d += time.Millisecond {
			if l.Take(at(d), endpoint, 1).OK {
				sent++
			}
		}
		assert.LessOrEqual(t, float64(sent), (1+tolerance.Overrun)*perSecond*tolerance.Window.Seconds()+tolerance.Slack)
	})
}
