package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/quota"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var (
	workspace = quota.NewID("w")
	limit     = quota.Limit{Rate: 47_000, Burst: 47_000}
	tolerance = quota.Tolerance{Window: 8 * time.Second, Overrun: 0.25, Slack: 190_000}
)

// tolerated returns what may be admitted in a window of the tolerance.
func tolerated(l quota.Limit) float64 {
	return (l.Rate*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Overrun) + tolerance.Slack
}

// entry is an entry of a simulated fleet.
type entry struct {
	*quota.Ledger
	name        string
	incarnation int
	// cutUntil is until when the entry hears nobody and nobody hears it, deafUntil until when
	// it hears nobody.
	cutUntil, deafUntil time.Time
}

// fleet is a set of entries that report their use to each other.
type fleet struct {
	entries  []*entry
	admitted []admission
	limits   map[quota.ID]quota.Limit
	// tolerance is the tolerance that the entries are configured with.
	tolerance quota.Tolerance
	// refused counts requests that were not admitted.
	refused int
}

type admission struct {
	at     time.Time
	tokens int
}

func newFleet(n int, l quota.Limit) *fleet {
	return newFleetWithTolerance(n, l, tolerance)
}

func newFleetWithTolerance(n int, l quota.Limit, tolerated quota.Tolerance) *fleet {
	f := &fleet{limits: map[quota.ID]quota.Limit{workspace: l}, tolerance: tolerated}
	for i := range n {
		f.entries = append(f.entries, &entry{name: fmt.Sprint(i)})
		f.restart(i, false)
	}
	return f
}

// restart replaces the process of an entry.
func (f *fleet) restart(i int, restarted bool) {
	e := f.entries[i]
	e.Ledger = quota.NewLedger(quota.Settings{Tolerance: f.tolerance, Restarted: restarted, Seed: uint64(i + 7*e.incarnation)})
	e.incarnation++
	e.SetLimits(f.limits)
	if !restarted {
		e.SetFleetSize(len(f.entries))
	}
}

// exchangeUse lets all entries that reach each other report their use.
func (f *fleet) exchangeUse(now time.Time) {
	f.exchangeUseWithin(now, func(int) int { return 0 })
}

// exchangeUseWithin lets the entries of the same partition report their use to each other.
func (f *fleet) exchangeUseWithin(now time.Time, partition func(i int) int) {
	for i, from := range f.entries {
		if now.Before(from.cutUntil) {
			continue
		}
		uses := from.OwnUse(now)
		for j, to := range f.entries {
			if to == from || partition(i) != partition(j) || now.Before(to.cutUntil) || now.Before(to.deafUntil) {
				continue
			}
			to.MergeUse(now, from.name, quota.Incarnation{byte(from.incarnation)}, uses)
			to.SetFleetSize(len(f.entries))
		}
	}
}

func (f *fleet) take(now time.Time, i, tokens int) {
	if !f.entries[i].Take(now, workspace, tokens).OK {
		f.refused++
		return
	}
	f.admitted = append(f.admitted, admission{now, tokens})
}

// maxAdmitted returns the most that was admitted in any window.
func (f *fleet) maxAdmitted(window time.Duration) (most int) {
	sum, from := 0, 0
	for _, a := range f.admitted {
		sum += a.tokens
		for a.at.Sub(f.admitted[from].at) >= window {
			sum -= f.admitted[from].tokens
			from++
		}
		most = max(most, sum)
	}
	return most
}

// total returns all that was admitted since a time.
func (f *fleet) total(from time.Time) (sum int) {
	for _, a := range f.admitted {
		if !a.at.Before(from) {
			sum += a.tokens
		}
	}
	return sum
}

// TestWorkspaceAboveLimit: a workspace that sends eight times its limit to all entries gets
// its limit, neither a fraction nor a multiple of it.
func TestWorkspaceAboveLimit(t *testing.T) {
	f := newFleet(27, limit)
	const step = 10 * time.Millisecond
	for d := time.Duration(0); d < 20*time.Second; d += step {
		if d%(150*time.Millisecond) == 0 {
			f.exchangeUse(at(d))
		}
		f.take(at(d), int(d/step*7)%27, 3760)
	}
	assert.LessOrEqual(t, f.maxAdmitted(tolerance.Window), int(limit.Rate*8+limit.Burst)*5/4)
	assert.InEpsilon(t, limit.Rate*10, f.total(at(10*time.Second)), 0.1)
}

// TestWorkspaceBelowLimit: a workspace below its limit is refused nothing, even by an entry
// that gets most of its requests and by one that has just started.
func TestWorkspaceBelowLimit(t *testing.T) {
	f := newFleet(27, limit)
	for d := time.Duration(0); d < 20*time.Second; d += 100 * time.Millisecond {
		f.exchangeUse(at(d))
		i := 0
		if d%time.Second == 0 {
			i = int(d / time.Second)
		}
		if d == 5*time.Second {
			f.restart(3, true)
		}
		f.take(at(d), i, 4000)
	}
	assert.Zero(t, f.refused)
}

// largeLimit is a limit compared with which the slack of the tolerance is small.
var largeLimit = quota.Limit{Rate: 1_000_000, Burst: 1_000_000}

// TestRepeatedFleetRestart guards against overuse when all entries are killed together
// repeatedly at the peak of a workspace's load, and forget what it has used.
func TestRepeatedFleetRestart(t *testing.T) {
	f := newFleet(27, largeLimit)
	const step = 5 * time.Millisecond
	for d := time.Duration(0); d < 20*time.Second; d += step {
		if d >= 6*time.Second && d < 14*time.Second && d%(2*time.Second) == 0 {
			for i := range f.entries {
				f.restart(i, true)
			}
		}
		if d%(150*time.Millisecond) == 0 {
			f.exchangeUse(at(d))
		}
		f.take(at(d), int(d/step*7)%27, 40_000)
	}
	assert.LessOrEqual(t, float64(f.maxAdmitted(tolerance.Window)), tolerated(largeLimit))
}

// TestFleetPartition: the entries are split into partitions that do not hear each other, down
// to single entries, while a workspace sends a multiple of its limit to each.
func TestFleetPartition(t *testing.T) {
	for _, partitions := range []int{2, 3, 9, 27} {
		f := newFleet(27, largeLimit)
		partition := func(now time.Time, i int) int {
			if now.Before(at(6 * time.Second)) {
				return 0
			}
			return i % partitions
		}
		const step = 5 * time.Millisecond
		for d := time.Duration(0); d < 20*time.Second; d += step {
			now := at(d)
			if d%(150*time.Millisecond) == 0 {
				f.exchangeUseWithin(now, func(i int) int { return partition(now, i) })
			}
			f.take(now, int(d/step*7)%27, 40_000)
		}
		assert.LessOrEqual(t, float64(f.maxAdmitted(tolerance.Window)), tolerated(largeLimit), "%d partitions", partitions)
	}
}

// TestPartitionsAndRestarts: whichever entries are partitioned, deaf or restarted, all of them
// together stay within what is tolerated.
func TestPartitionsAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 27).Draw(t, "entries")
		l := limit
		l.Rate *= float64(rapid.IntRange(1, 20).Draw(t, "size"))
		l.Burst = l.Rate
		f := newFleet(n, l)
		now, exchanged := at(0), at(0)
		pick := func(name string) *entry { return f.entries[rapid.IntRange(0, n-1).Draw(t, name)] }
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "what") {
			case 0:
				pick("cut").cutUntil = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second)
			case 1:
				pick("deaf").deafUntil = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second)
			case 2:
				f.restart(rapid.IntRange(0, n-1).Draw(t, "restarted"), true)
			default:
				f.take(now, rapid.IntRange(0, n-1).Draw(t, "entry"), rapid.IntRange(200, int(l.Rate)/3).Draw(t, "tokens"))
			}
			if now.Sub(exchanged) >= 150*time.Millisecond {
				f.exchangeUse(now)
				exchanged = now
			}
		}
		assert.LessOrEqual(t, float64(f.maxAdmitted(tolerance.Window)), tolerated(l))
	})
}

// TestUseReportsInAnyOrder: reports that are lost, repeated and late, on connections that
// replace each other, leave an entry's replica at the same level as the last report alone.
func TestUseReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := newFleet(1, limit).entries[0]
		got, want := newFleet(2, limit).entries[0], newFleet(2, limit).entries[0]
		var reports [][]quota.Use
		now := start
		hear := func(e *entry, uses []quota.Use) { e.MergeUse(now, "from", quota.Incarnation{1}, uses) }
		hear(got, nil)
		hear(want, nil)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from.Take(now, workspace, rapid.IntRange(1, 3000).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "returned") {
				from.Return(now, workspace, 1)
			}
			reports = append(reports, from.OwnUse(now))
			hear(got, reports[rapid.IntRange(0, len(reports)-1).Draw(t, "heard")])
		}
		last := reports[len(reports)-1]
		hear(got, last)
		hear(want, last)
		assert.InDelta(t, want.Take(now, workspace, 1).Level, got.Take(now, workspace, 1).Level, 1)
	})
}

// TestUnknownFleetSize guards against an entry that starts, hears nobody, and admits a whole
// limit that an unknown number of entries share.
func TestUnknownFleetSize(t *testing.T) {
	l := quota.NewLedger(quota.Settings{Tolerance: tolerance, Restarted: true})
	l.SetLimits(map[quota.ID]quota.Limit{workspace: limit})
	assert.False(t, l.Take(start, workspace, 200).OK)
	assert.True(t, l.Take(start, quota.NewID("unlimited"), 200).OK)
}

// TestLoweredLimit: when operators lower a limit that is used up, the new one holds at once.
func TestLoweredLimit(t *testing.T) {
	f := newFleetWithTolerance(1, limit, quota.Tolerance{})
	low := quota.Limit{Rate: 1000, Burst: 1000}
	for d := time.Duration(0); d < 20*time.Second; d += 10 * time.Millisecond {
		if d == 10*time.Second {
			f.limits = map[quota.ID]quota.Limit{workspace: low}
			f.entries[0].SetLimits(f.limits)
		}
		f.take(at(d), 0, 500)
	}
	assert.LessOrEqual(t, f.total(at(10*time.Second)), 11*1000+500)
}

// TestExactWithoutTolerance: where nothing is tolerated beyond a limit, a single entry admits
// at most its rate, its burst and one request.
func TestExactWithoutTolerance(t *testing.T) {
	f := newFleetWithTolerance(1, limit, quota.Tolerance{})
	for d := time.Duration(0); d < 20*time.Second; d += 10 * time.Millisecond {
		f.take(at(d), 0, 3000)
	}
	assert.LessOrEqual(t, f.maxAdmitted(tolerance.Window), int(limit.Rate*8+limit.Burst)+3000)
}

// TestReturnedTokens: requests that were admitted but did not run, for lack of capacity, use
// up nothing.
func TestReturnedTokens(t *testing.T) {
	f := newFleetWithTolerance(2, limit, quota.Tolerance{})
	for range 1000 {
		v := f.entries[0].Take(start, workspace, 3000)
		assert.True(t, v.OK)
		f.entries[0].Return(start, workspace, 3000)
	}
	f.exchangeUse(start)
	assert.InDelta(t, limit.Burst, f.entries[1].Take(start, workspace, 1).Level, 1)
}

// TestRefusalIsIndependentOfSize: at its limit a workspace's large requests are refused as
// often as its small ones.
func TestRefusalIsIndependentOfSize(t *testing.T) {
	f := newFleet(1, limit)
	var admitted, asked [2]int
	sizes := [2]int{200, 9000}
	for i := range 4000 {
		kind := i % 2
		asked[kind]++
		if f.entries[0].Take(at(time.Duration(i)*5*time.Millisecond), workspace, sizes[kind]).OK {
			admitted[kind]++
		}
	}
	assert.Less(t, admitted[0]+admitted[1], 3*4000/4)
	assert.InDelta(t, admitted[0], admitted[1], float64(asked[0])/10)
}

// TestWaitUntilAdmitted: a refused caller that retries after the returned Wait is admitted
// if no other request came.
func TestWaitUntilAdmitted(t *testing.T) {
	f := newFleet(1, limit)
	v := quota.Decision{OK: true}
	for v.OK {
		v = f.entries[0].Take(start, workspace, 9000)
	}
	assert.Positive(t, v.Wait)
	assert.True(t, f.entries[0].Take(start.Add(v.Wait+time.Millisecond), workspace, 9000).OK)
}

// TestReportedUseIsBounded: of thousands of workspaces with little use, only those that use a
// large fraction of their limit are reported.
func TestReportedUseIsBounded(t *testing.T) {
	l := quota.NewLedger(quota.Settings{Tolerance: tolerance, SingleEntry: true})
	l.SetFleetSize(920)
	limits := make(map[quota.ID]quota.Limit)
	for i := range 14_000 {
		limits[quota.NewID(fmt.Sprint(i))] = limit
	}
	l.SetLimits(limits)
	for i := range 14_000 {
		l.Take(start, quota.NewID(fmt.Sprint(i)), 10)
	}
	assert.Empty(t, l.OwnUse(start))
	for i := range 1000 {
		l.Take(start, quota.NewID(fmt.Sprint(i)), 5000)
	}
	assert.LessOrEqual(t, len(l.OwnUse(start)), 64)
}

// TestDebtDelaysAdmission: an entry that learns late of another's use, five seconds' worth of
// the limit, admits nothing until the debt is paid, and no longer.
func TestDebtDelaysAdmission(t *testing.T) {
	e := newFleetWithTolerance(2, limit, quota.Tolerance{}).entries[0]
	e.MergeUse(start, "1", quota.Incarnation{1}, nil)
	e.MergeUse(start, "1", quota.Incarnation{1}, []quota.Use{{Workspace: workspace, Epoch: 1, Taken: uint64(limit.Burst + 5*limit.Rate)}})
	for d := time.Duration(0); d < 5*time.Second; d += 500 * time.Millisecond {
		assert.False(t, e.Take(at(d), workspace, 200).OK, d)
	}
	assert.True(t, e.Take(at(6*time.Second), workspace, 200).OK)
}

// TestLargestRequestAtSmallBurst guards against work in proportion to the tokens that a caller
// names: a request of 2 billion tokens held the ledger of its entry for minutes.
func TestLargestRequestAtSmallBurst(t *testing.T) {
	const tokens = 1000 + math.MaxInt32
	l := quota.NewLedger(quota.Settings{SingleEntry: true})
	l.SetFleetSize(1)
	l.SetLimits(map[quota.ID]quota.Limit{workspace: {Rate: 100_000, Burst: 1}})
	now := time.Unix(1000, 0)
	taken := make(chan quota.Decision, 1)
	go func() { taken <- l.Take(now, workspace, tokens) }()
	select {
	case d := <-taken:
		assert.True(t, d.OK)
	case <-time.After(5 * time.Second):
		t.Fatal("the ledger is still held")
	}
	d := l.Take(now, workspace, 1)
	assert.False(t, d.OK)
	assert.InDelta(t, -tokens, d.Level, 100, "the debt")
	l.Return(now, workspace, tokens)
	assert.True(t, l.Take(now, workspace, 1).OK)
}

// TestTinyRateWaits: the operator publishes a rate that is too small to wait for, and the wait
// overflows: the caller is told to come back at a negative time.
func TestTinyRateWaits(t *testing.T) {
	for _, rate := range []float64{1e-12, 1e-300, math.SmallestNonzeroFloat64} {
		l := quota.NewLedger(quota.Settings{Tolerance: tolerance, SingleEntry: true})
		l.SetFleetSize(1)
		l.SetLimits(map[quota.ID]quota.Limit{workspace: {Rate: rate, Burst: 1}})
		var d quota.Decision
		for range 20 {
			d = l.Take(start, workspace, 1<<30)
		}
		assert.False(t, d.OK, rate)
		assert.Equal(t, 24*time.Hour, d.Wait, rate)
	}
}
