package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	retries "ebonypulley/limit"
	"ebonypulley/quota"
)

// slackEntry is an entry that spends its whole share of the slack as soon as it may.
type slackEntry struct {
	ledger *quota.Ledger
	budget *retries.RetryBudget
}

func newSlackEntry(started time.Time, window time.Duration) slackEntry {
	return slackEntry{ledger: quota.NewLedger(quota.Settings{Started: started, Restarted: true}), budget: retries.NewRetryBudget(0, window)}
}

// share asks for the entry's share, then reports in a round: the order of an entry that wakes.
func (e slackEntry) share(now time.Time, fleetSize int, slack float64, window time.Duration) {
	share := e.ledger.FixedShare(now, slack, window)
	e.ledger.SetFleetSize(fleetSize)
	e.ledger.OwnUse(now)
	e.budget.SetShare(share.Amount, share.Sole)
}

// TestSlackWhileEntryStandsStill guards against slack that is used twice in a window: an entry was
// stopped while the fleet grew beyond all that it had seen, and uses its old share on waking, while
// the newcomers have theirs.
func TestSlackWhileEntryStandsStill(t *testing.T) {
	const (
		slack, window = 60.0, 10 * time.Second
		hears         = 600 * time.Millisecond // after a start or on waking, at the latest
		step          = 20 * time.Millisecond
	)
	grown := at(40 * time.Second)
	for stop := 200 * time.Millisecond; stop <= 5*time.Second; stop += 400 * time.Millisecond {
		stopped := grown.Add(-100 * time.Millisecond)
		wakes := stopped.Add(stop)
		all := []slackEntry{newSlackEntry(start, window), newSlackEntry(start, window)}
		var used []time.Time
		for now := start; now.Before(grown.Add(2 * window)); now = now.Add(step) {
			for now.Equal(grown) && len(all) < 6 {
				all = append(all, newSlackEntry(now, window))
			}
			for i, e := range all {
				first := i == 0
				if first && now.After(stopped) && now.Before(wakes) {
					continue
				}
				size := 6
				if now.Before(grown.Add(hears)) || first && now.Before(wakes.Add(hears)) {
					size = 2
				}
				e.share(now, size, slack, window)
				// The share of the first is unspent when it stops.
				for !(first && now.Before(wakes)) && e.budget.TakeRetry(now) {
					used = append(used, now)
				}
			}
		}
		assert.LessOrEqual(t, mostIn(used, window), int(slack), "a stop of %v", stop)
	}
}

// mostIn returns the most of the times that are in one window.
func mostIn(times []time.Time, window time.Duration) (most int) {
	for first, i := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestShareComesBackAfterStop guards against an entry that has no share of the slack for good, or
// none because of a short one.
func TestShareComesBackAfterStop(t *testing.T) {
	const slack, window = 60.0, 10 * time.Second
	l := quota.NewLedger(quota.Settings{Started: start, Restarted: true})
	l.SetFleetSize(3)
	now := at(time.Hour)
	round := func() float64 { l.OwnUse(now); return l.FixedShare(now, slack, window).Amount }
	require.Equal(t, slack/3, round())
	now = now.Add(time.Second)
	assert.Equal(t, slack/3, round(), "a stop of 1 s")
	now = now.Add(4 * time.Second)
	assert.Zero(t, l.FixedShare(now, slack, window), "before the first round")
	assert.Zero(t, round(), "a stop of 4 s")
	for range 11 {
		now = now.Add(100 * time.Millisecond)
		l.OwnUse(now)
	}
	assert.Equal(t, slack/3, round(), "1 s later")
}

// TestLimitReadAfterStop guards against a limit that was true before a stop and replaces, here and at
// the others, one that the endpoint named later: the answer waited in a socket.
func TestLimitReadAfterStop(t *testing.T) {
	const endpoint = quota.ID(7)
	rates := func(l *quota.Ledger, now time.Time) (list []float64) {
		for _, s := range l.OwnEndpointLimits(now) {
			list = append(list, s.PerSecond)
		}
		return list
	}
	for stop := 300 * time.Millisecond; stop <= 5*time.Second; stop += 100 * time.Millisecond {
		for _, first := range []string{"round", "answer", "report"} {
			stopped, other := quota.NewLedger(quota.Settings{Started: start}), quota.NewLedger(quota.Settings{Started: start})
			now := at(time.Minute)
			stopped.OwnUse(now)
			later := now.Add(stop - 100*time.Millisecond)
			for at := now; !at.After(later); at = at.Add(50 * time.Millisecond) {
				other.OwnUse(at)
			}
			other.SetEndpointLimit(later, later, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: 5})
			wakes := now.Add(stop)
			switch first {
			case "round":
				stopped.OwnUse(wakes)
			case "report": // of a third entry, sent at the beginning of the stop
				stopped.MergeEndpointLimits(wakes, []quota.EndpointLimit{{Endpoint: endpoint, Advertised: true, PerSecond: 50}})
			}
			stopped.SetEndpointLimit(wakes, now, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: 100})
			stopped.OwnUse(wakes)
			other.OwnUse(wakes)
			other.MergeEndpointLimits(wakes, stopped.OwnEndpointLimits(wakes))
			assert.Equal(t, []float64{5}, rates(other, wakes), "%s first, after a stop of %v", first, stop)
			stopped.MergeEndpointLimits(wakes, other.OwnEndpointLimits(wakes))
			assert.Equal(t, []float64{5}, rates(stopped, wakes), "%s first, after a stop of %v", first, stop)
		}
	}
}

// TestLimitsInTurnAfterStop guards against limits read after a stop that all count as of one time, so
// that the last is not taken.
func TestLimitsInTurnAfterStop(t *testing.T) {
	const endpoint = quota.ID(7)
	l := quota.NewLedger(quota.Settings{Started: start})
	now := at(time.Minute)
	l.OwnUse(now)
	for _, perSecond := range []float64{50, 20, 5} {
		now = now.Add(2 * time.Second)
		l.SetEndpointLimit(now, now, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: perSecond})
		for range 2 {
			now = now.Add(20 * time.Millisecond)
			l.OwnUse(now)
		}
	}
	now = now.Add(10 * time.Millisecond)
	assert.True(t, l.SetEndpointLimit(now, now, quota.EndpointLimit{Endpoint: endpoint, Advertised: true, PerSecond: 3}))
	assert.Equal(t, 3.0, l.OwnEndpointLimits(now)[0].PerSecond)
}
