package returns_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/quota"
	"ebonypulley/returns"
)

var (
	start     = time.Unix(1000, 0)
	workspace = quota.NewID("w")
	tolerance = quota.Tolerance{Window: 8 * time.Second, Overrun: 0.25, Slack: 140_000}
	limit     = quota.Limit{Rate: 47_000, Burst: 47_000}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestPromisesStayWithinRoom: whatever is booked, merged and returned, nothing is negative, no
// wait exceeds the latest one, and no slot is promised beyond its room by one process.
func TestPromisesStayWithinRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := returns.NewSeeded(1), start
		c.SetFleetSize(rapid.IntRange(0, 8).Draw(t, "fleet"))
		const rate = 10_000.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			cost := rapid.Float64Range(-10, 15_000).Draw(t, "cost")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				c.Returned(now, workspace, cost)
			case 1:
				first := time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "first")) * time.Millisecond
				c.Merge(now, "b", []returns.Promise{{Key: workspace, First: first, Cost: []float64{cost, -cost, 0, cost}}})
			default:
				latest := time.Duration(rapid.IntRange(-100, 5000).Draw(t, "latest")) * time.Millisecond
				wait, _ := c.Book(now, workspace, returns.Request{Cost: cost, Rate: rate, Rank: rapid.IntRange(0, 5).Draw(t, "rank"), Earliest: returns.MinDelay, Latest: latest})
				assert.GreaterOrEqual(t, wait, time.Duration(0))
				assert.LessOrEqual(t, wait, max(latest, 0))
			}
			assert.GreaterOrEqual(t, c.Due(now, workspace), 0.0)
			for _, p := range c.Own(now) {
				for _, promised := range p.Cost {
					assert.GreaterOrEqual(t, promised, 0.0)
					assert.LessOrEqual(t, promised, rate*returns.SlotTime.Seconds()+1e-6)
				}
			}
		}
	})
}

// TestUrgentReturnsFindRoom: when less urgent callers have booked what they may, more urgent
// ones still get a slot.
func TestUrgentReturnsFindRoom(t *testing.T) {
	c := returns.NewSeeded(1)
	book := func(rank int) bool {
		_, ok := c.Book(start, workspace, returns.Request{Cost: 100, Rate: 1000, Rank: rank, Earliest: returns.MinDelay, Latest: 2 * time.Second})
		return ok
	}
	for book(2) {
	}
	assert.True(t, book(1))
	for book(1) {
	}
	assert.True(t, book(0))
}

// TestPromisesPass: promises decay to nothing by themselves; those of a process that is killed
// or restarted count until they have passed, because its callers come back to others.
func TestPromisesPass(t *testing.T) {
	c := returns.NewSeeded(1)
	wait, ok := c.Book(start, workspace, returns.Request{Cost: 10, Rate: 1000, Earliest: returns.MinDelay, Latest: time.Second})
	assert.True(t, ok)
	assert.Len(t, c.Own(start), 1)
	assert.Positive(t, c.Due(start.Add(wait), workspace))
	assert.Empty(t, c.Own(at(2*time.Second)))
	for _, restarted := range []bool{false, true} {
		c = returns.NewSeeded(1)
		c.Merge(start, "b", []returns.Promise{{Key: workspace, First: 2 * time.Second, Cost: []float64{5}}})
		if restarted {
			c.Merge(at(time.Second), "b", nil)
		}
		assert.InDelta(t, 5, c.Due(at(2050*time.Millisecond), workspace), 0)
		assert.Zero(t, c.Due(at(3*time.Second), workspace))
	}
	assert.Empty(t, returns.NewSeeded(1).Own(start), "after a restart of all")
}

// TestRoomIsKeptAroundTheSlot: room is kept from one slot before a promised one, whose report may
// have been late, until two after it; wrong costs in a report keep none.
func TestRoomIsKeptAroundTheSlot(t *testing.T) {
	c := returns.NewSeeded(1)
	c.Merge(start, "b", []returns.Promise{{Key: workspace, First: time.Second, Cost: []float64{5, math.Inf(1), math.NaN(), -1}}})
	for slot, kept := range map[int]float64{8: 0, 9: 5, 10: 5, 12: 5, 13: 0} {
		assert.InDelta(t, kept, c.Due(at(time.Duration(slot)*returns.SlotTime+time.Millisecond), workspace), 0, slot)
	}
}

// TestKeptRoom: while returns are due, a caller with a booking is admitted from an almost empty
// bucket. One that repeats at once, comes when those without a booking do, or is new and less
// urgent, is not; and nothing is booked for one that returned and is refused.
func TestKeptRoom(t *testing.T) {
	first := time.Second
	for name, c := range map[string]struct {
		urgency        int
		waited         time.Duration
		onTime, booked bool
	}{
		"booked":       {2, 500 * time.Millisecond, true, false},
		"at once":      {2, 20 * time.Millisecond, false, true},
		"not booked":   {2, 900 * time.Millisecond, false, false},
		"new, urgent":  {0, 0, false, false},
		"new, like it": {2, 0, false, true},
	} {
		e := newSite(t, 1, burst(1)).entries[0]
		e.Calendar.Merge(start, "b", []returns.Promise{{Key: workspace, Cost: []float64{10_000}}})
		e.Ledger.TakeClass(start, workspace, 94_000-9000, quota.Class{Urgency: 2, Classes: 3})
		admitted, booked, onTime := 0, 0, 0
		const each = 20
		for range each {
			v := e.Take(start, returns.Attempt{Workspace: workspace, Tokens: 1, Class: quota.Class{Urgency: c.urgency, Classes: 3}, Waited: c.waited, Latest: first, FirstLatest: first})
			if v.OK {
				admitted++
			}
			if v.Booked {
				booked++
			}
			if v.OnTime {
				onTime++
			}
		}
		assert.Equal(t, c.onTime, onTime == each, name)
		assert.Equal(t, c.onTime || c.urgency == 0, admitted == each, "%s: %d admitted", name, admitted)
		assert.Equal(t, c.booked, booked > 0, name)
	}
}

// TestNewCallersLeaveRoom: what is due is missing in the bucket for new, less urgent callers.
func TestNewCallersLeaveRoom(t *testing.T) {
	admitted := func(due float64) (n int) {
		e := newSite(t, 1, burst(1)).entries[0]
		e.Calendar.Merge(start, "b", []returns.Promise{{Key: workspace, Cost: []float64{due}}})
		e.Ledger.TakeClass(start, workspace, 45_000, quota.Class{Classes: 3})
		for range 100 {
			if e.Take(start, returns.Attempt{Workspace: workspace, Tokens: 1, Class: quota.Class{Urgency: 2, Classes: 3}}).OK {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 100, admitted(0))
	assert.Less(t, admitted(20_000), 50)
}

// TestCallsOfFixedCostLeaveRoom: in a workspace whose calls all have a fixed cost, new ones leave
// the room that is due to those that return. Beside generations of eight times the cost they don't.
func TestCallsOfFixedCostLeaveRoom(t *testing.T) {
	admitted := func(generation int) (n int) {
		e := newSite(t, 1, burst(1)).entries[0]
		e.Calendar.Merge(start, "b", []returns.Promise{{Key: workspace, Cost: []float64{20_000}}})
		e.Ledger.TakeClass(start, workspace, 45_000, quota.Class{FixedCost: true, Classes: 3})
		if generation > 0 {
			e.Ledger.TakeClass(start, workspace, generation, quota.Class{Classes: 3})
		}
		for range 100 {
			if e.Take(start, returns.Attempt{Workspace: workspace, Tokens: 1, Class: quota.Class{FixedCost: true, Urgency: 2, Classes: 3}}).OK {
				n++
			}
		}
		return n
	}
	assert.Less(t, admitted(0), 50)
	assert.Equal(t, 100, admitted(8))
}

// TestEntriesWithoutNewsShareTheRoom: 24 entries that hear nothing of each other refuse many
// callers at once. Together they promise no more than the room, and none of them overfills a slot.
func TestEntriesWithoutNewsShareTheRoom(t *testing.T) {
	const entries, rate, latest = 24, 10_000.0, 4 * time.Second
	promised := 0.0
	for i := range entries {
		c := returns.NewSeeded(uint64(i))
		c.SetFleetSize(entries)
		for range 100 {
			c.Book(start, workspace, returns.Request{Cost: 700, Rate: rate, Earliest: returns.MinDelay, Latest: latest})
		}
		for _, p := range c.Own(start) {
			for _, cost := range p.Cost {
				assert.LessOrEqual(t, cost, rate*returns.SlotTime.Seconds()+1e-6)
				promised += cost
			}
		}
	}
	assert.LessOrEqual(t, promised, rate*latest.Seconds())
}

// TestLargeRequestsShareSlots: requests larger than an entry's share are booked beyond it, but not
// on top of each other.
func TestLargeRequestsShareSlots(t *testing.T) {
	for seed := range uint64(50) {
		c := returns.NewSeeded(seed)
		c.SetFleetSize(2)
		for range 4 {
			c.Book(start, workspace, returns.Request{Cost: 8000, Rate: 10_000, Earliest: returns.MinDelay, Latest: 4 * time.Second})
		}
		for _, cost := range c.Own(start)[0].Cost {
			assert.LessOrEqual(t, cost, 1000+1e-6)
		}
	}
}

// TestReportIsBounded: thousands of workspaces at their limits make no large report.
func TestReportIsBounded(t *testing.T) {
	c := returns.NewSeeded(1)
	for key := range 5000 {
		c.Book(start, returns.Key(key), returns.Request{Cost: 4000, Rate: 1000, Earliest: returns.MinDelay, Latest: 10 * time.Second})
	}
	promised := 0
	for _, p := range c.Own(start) {
		promised += len(p.Cost)
	}
	assert.Positive(t, promised)
	assert.LessOrEqual(t, promised, 48)
}

// TestOthersAreUnaffected: one workspace sends eight times its usual, 4.8 times its limit.
// Another one at 0.6 of its own limit is refused nothing.
func TestOthersAreUnaffected(t *testing.T) {
	s := newSite(t, 12, burst(4.8))
	other := quota.NewID("other")
	for _, e := range s.entries {
		e.Ledger.SetLimits(map[quota.ID]quota.Limit{workspace: limit, other: limit})
	}
	refused := 0
	s.beside = func(d time.Duration, e *entry) {
		if d%(40*time.Millisecond) == 0 && !e.Take(at(d), returns.Attempt{Workspace: other, Tokens: tokens, Class: quota.Class{Urgency: 2, Classes: 3}}).OK {
			refused++
		}
	}
	s.run(lasting)
	assert.Zero(t, refused)
}

// TestBookedReturnsAreServed: for 10 s a workspace sends more than its limit. Callers for whom a
// return is booked are served when they come back, also when a third of the entries is killed.
func TestBookedReturnsAreServed(t *testing.T) {
	for _, factor := range []float64{1.2, 1.6, 2} {
		for _, kill := range []time.Duration{0, 6 * time.Second} {
			t.Run(fmt.Sprintf("%.0f percent of the limit, kill %v", 100*factor, kill), func(t *testing.T) {
				s := newSite(t, 24, burst(factor))
				s.kill = kill
				s.run(lasting)
				sum := s.total()
				t.Logf("%d of %d served, %d of %d booked returns", sum.served, sum.first, sum.backServed, sum.back)
				assert.LessOrEqual(t, float64(s.mostAdmitted()), tolerated)
				if sum.back > 0 {
					assert.GreaterOrEqual(t, float64(sum.backServed)/float64(sum.back), 0.97)
				}
			})
		}
	}
}

// burst returns a demand that is a multiple of the limit for ten seconds.
func burst(factor float64) func(time.Duration) float64 {
	return func(d time.Duration) float64 {
		if d >= 4*time.Second && d < 14*time.Second {
			return factor
		}
		return 0.6
	}
}

// TestCalendarUnderFailures: reports are lost, doubled, late or one-way, or entries are killed,
// while a workspace sends several times its limit. No fewer callers are served than without a
// calendar, but for 3 in 100.
func TestCalendarUnderFailures(t *testing.T) {
	failures := map[string]func(*site){
		"none":    func(*site) {},
		"lost":    func(s *site) { s.arrive = func(int, int) int { return s.rnd.IntN(10) / 3 % 2 } },
		"doubled": func(s *site) { s.arrive = func(int, int) int { return 2 } },
		"late":    func(s *site) { s.delay = 140 * time.Millisecond },
		"one-way": func(s *site) { s.arrive = func(from, to int) int { return min(1, max(to-from, 0)) } },
		"killed":  func(s *site) { s.kill = 7 * time.Second },
		"silent":  func(s *site) { s.arrive = func(int, int) int { return 0 } },
	}
	for name, fail := range failures {
		for _, factor := range []float64{1.6, 4} {
			var share [2]float64
			for i := range share {
				s := newSite(t, 12, burst(factor))
				fail(s)
				s.withoutCalendar = i == 1
				s.run(lasting)
				share[i] = s.total().share()
			}
			t.Logf("%s, %.1f times the limit: %.3f served, without the calendar %.3f", name, factor, share[0], share[1])
			assert.GreaterOrEqual(t, share[0], share[1]-0.03, name)
		}
	}
}

// TestRepeatingAtOnceGainsNothing: a fifth of the callers repeat at once, up to four times. They
// are not served more often than without a calendar.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	var share [2]float64
	for i := range share {
		s := newSite(t, 12, burst(2))
		s.abusers, s.withoutCalendar = 0.2, i == 1
		s.run(lasting)
		share[i] = s.abuse.share()
	}
	t.Logf("%.3f served, without the calendar %.3f", share[0], share[1])
	assert.LessOrEqual(t, share[0], share[1]+0.01)
}
