package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
)

// TestOddEndpointLimitOfPeer guards against a limit that is no number, which an entry would keep,
// tell others, and by which it would admit anything or nothing.
func TestOddEndpointLimitOfPeer(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300} {
		l := quota.NewLedger(quota.Settings{EndpointTolerance: quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5}})
		l.SetFleetSize(1)
		l.SetEndpointLimit(start, start, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: 10})
		l.MergeEndpointLimits(at(time.Second), []quota.EndpointLimit{{Endpoint: endpoint, Advertised: true, PerSecond: perSecond}})
		sent := 0
		for d := time.Second; d < 11*time.Second; d += 10 * time.Millisecond {
			if l.Take(at(d), endpoint, 1).OK {
				sent++
			}
		}
		assert.InDelta(t, 100, sent, 30, "%v a second", perSecond)
		for _, s := range l.OwnEndpointLimits(at(2 * time.Second)) {
			assert.Equal(t, 10.0, s.PerSecond)
		}
	}
}

// TestOddUseOfPeer guards against counters that no entry can have reached, after which a workspace
// would be refused for years, or its limit not hold.
func TestOddUseOfPeer(t *testing.T) {
	const second = 10_000
	odd := []quota.Use{
		{Taken: 1e15}, {Taken: 1e18}, {Taken: 1 << 63}, {Taken: math.MaxUint64}, {Returned: 1e18}, {Returned: math.MaxUint64},
		{Taken: math.MaxUint64, Epoch: math.MaxUint32}, {LevelKnown: true, Level: math.NaN()}, {LevelKnown: true, Level: 1e300}, {LevelKnown: true, Level: -1e300},
	}
	for i, use := range odd {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			l := quota.NewLedger(quota.Settings{Tolerance: tolerance})
			l.SetLimits(map[quota.ID]quota.Limit{workspace: limit})
			l.SetFleetSize(2)
			use.Workspace = workspace
			report := func(d time.Duration, u quota.Use) { l.MergeUse(at(d), "peer", quota.Incarnation{1}, []quota.Use{u}) }
			report(0, quota.Use{Workspace: workspace, Taken: 1000})
			report(time.Second, quota.Use{Workspace: workspace, Taken: 2000})
			report(2*time.Second, use)
			admitted := 0.0
			for d := 2 * time.Second; d < 62*time.Second; d += 10 * time.Millisecond {
				if d%time.Second == 0 {
					report(d, quota.Use{Workspace: workspace, Taken: 2000})
				}
				if d < 22*time.Second {
					l.Take(at(d), workspace, second/100)
				} else if l.Take(at(d), workspace, second).OK {
					admitted += second
				}
			}
			const left = 40 * 47_000
			assert.Greater(t, admitted, 0.8*left)
			assert.Less(t, admitted, left+tolerated(limit))
		})
	}
}
