package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
)

// TestConfirmedFleetSizeEndsCaution guards against an entry of a small fleet that is
// restarted, hears of the others one after another, and refuses a workspace below its limit
// even after one of them has confirmed the fleet size.
func TestConfirmedFleetSizeEndsCaution(t *testing.T) {
	f := newFleet(5, limit)
	f.exchangeUse(at(0))
	f.restart(4, true)
	newcomer := f.entries[4]
	for known := 2; known <= 5; known++ {
		newcomer.SetFleetSize(known)
	}
	for i, e := range f.entries[:4] {
		newcomer.MergeUse(at(10*time.Millisecond), e.name, quota.Incarnation{byte(i)}, nil)
	}
	assert.True(t, newcomer.Take(at(10*time.Millisecond), workspace, 5000).OK)
	assert.False(t, newcomer.Take(at(10*time.Millisecond), workspace, 5000).OK)

	newcomer.ConfirmFleetSize()
	second := at(time.Second)
	for i, e := range f.entries[:4] {
		newcomer.MergeUse(second, e.name, quota.Incarnation{byte(i)}, nil)
	}
	assert.True(t, newcomer.Take(second, workspace, 30_000).OK)
	assert.True(t, newcomer.Take(second, workspace, 5000).OK)
}

// TestConfirmWithoutFleetSize guards against an entry that gets a confirmation before it has
// a fleet size, and takes itself for the whole fleet.
func TestConfirmWithoutFleetSize(t *testing.T) {
	l := quota.NewLedger(quota.Settings{Tolerance: tolerance, Restarted: true})
	l.SetLimits(map[quota.ID]quota.Limit{workspace: limit})
	l.ConfirmFleetSize()
	assert.False(t, l.FleetSizeSettled(at(0)))
	assert.False(t, l.Take(at(0), workspace, 200).OK)
}

// TestWithheldTokensAreReturned guards against a loss for the workspace when few entries are
// restarted together and admit little until they know each other: what was withheld in that
// time is returned.
func TestWithheldTokensAreReturned(t *testing.T) {
	const load, entries = 0.9, 9
	l := quota.Limit{Rate: 126_000, Burst: 126_000}
	f := runRestart(entries, l, 100*time.Millisecond, load)
	assert.GreaterOrEqual(t, f.served(8*time.Second), 0.88*l.Rate)
	assert.GreaterOrEqual(t, f.served(9*time.Second), 0.88*l.Rate)
	whole := f.served(6*time.Second) + f.served(7*time.Second)
	assert.GreaterOrEqual(t, whole, 0.8*l.Rate, "tokens in the two seconds after the restart")
}

// TestWaitEndsWithCaution guards against a cautious entry whose refusals ask callers to wait
// as long as its reduced share requires, although it admits all requests again much sooner.
func TestWaitEndsWithCaution(t *testing.T) {
	f := newFleet(2, limit)
	f.restart(0, true)
	newcomer, other := f.entries[0], f.entries[1]
	hear := func(now time.Time) { newcomer.MergeUse(now, other.name, quota.Incarnation{1}, nil) }
	newcomer.SetFleetSize(2)
	hear(start)
	assert.True(t, newcomer.Take(start, workspace, 9000).OK)
	refused := newcomer.Take(start, workspace, 9000)
	assert.False(t, refused.OK)
	assert.LessOrEqual(t, refused.Wait, 1500*time.Millisecond)
	for d := time.Duration(0); d < refused.Wait; d += 100 * time.Millisecond {
		hear(at(d))
	}
	hear(start.Add(refused.Wait))
	assert.True(t, newcomer.Take(start.Add(refused.Wait+time.Millisecond), workspace, 9000).OK)
}
