package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
)

// TestToldTheCount: one of few entries is restarted and hears of the others one after another. It
// must not refuse a workspace below its limit once one of them has told it how many there are.
func TestToldTheCount(t *testing.T) {
	f := newFleet(5, limit)
	f.exchange(at(0))
	f.restart(4, true)
	newcomer := f.entries[4]
	for known := 2; known <= 5; known++ {
		newcomer.SetEntries(known)
	}
	for i, e := range f.entries[:4] {
		newcomer.Hear(at(10*time.Millisecond), e.name, quota.Incarnation{byte(i)}, nil)
	}
	assert.True(t, newcomer.Take(at(10*time.Millisecond), workspace, 5000).OK)
	assert.False(t, newcomer.Take(at(10*time.Millisecond), workspace, 5000).OK)

	newcomer.Confirm()
	second := at(time.Second)
	for i, e := range f.entries[:4] {
		newcomer.Hear(second, e.name, quota.Incarnation{byte(i)}, nil)
	}
	assert.True(t, newcomer.Take(second, workspace, 30_000).OK)
	assert.True(t, newcomer.Take(second, workspace, 5000).OK)
}

// TestNothingToConfirm: an entry that was told that its count is whole before it has any must not
// take itself for the whole fleet.
func TestNothingToConfirm(t *testing.T) {
	l := quota.NewLedger(quota.Settings{Tolerance: tolerance, Restarted: true})
	l.SetLimits(map[quota.ID]quota.Limit{workspace: limit})
	l.Confirm()
	assert.False(t, l.Counted(at(0)))
	assert.False(t, l.Take(at(0), workspace, 200).OK)
}

// TestWithheldIsGivenBack: few entries are restarted together and admit little until they know each
// other. What was withheld in that time must not be lost for the workspace.
func TestWithheldIsGivenBack(t *testing.T) {
	const load, entries = 0.9, 9
	l := quota.Limit{Rate: 126_000, Burst: 126_000}
	f := playRestarted(entries, l, 100*time.Millisecond, load)
	assert.GreaterOrEqual(t, f.served(8*time.Second), 0.88*l.Rate)
	assert.GreaterOrEqual(t, f.served(9*time.Second), 0.88*l.Rate)
	whole := f.served(6*time.Second) + f.served(7*time.Second)
	assert.GreaterOrEqual(t, whole, 0.8*l.Rate, "tokens in the two seconds after the restart")
}

// TestCautiousEntryTellsItsEnd: an entry that admits little until it knows the fleet must not tell
// refused callers to come back by that little, long after it admits all again.
func TestCautiousEntryTellsItsEnd(t *testing.T) {
	f := newFleet(2, limit)
	f.restart(0, true)
	newcomer, other := f.entries[0], f.entries[1]
	hear := func(now time.Time) { newcomer.Hear(now, other.name, quota.Incarnation{1}, nil) }
	newcomer.SetEntries(2)
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
