package pace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestPaceFades: an endpoint stops saying its pace. The last one must count less and less.
func TestPaceFades(t *testing.T) {
	tr := NewTracker()
	_, ok := tr.At(start, "e")
	assert.False(t, ok)
	tr.Observe(start, "e", Load{Slowdown: 2.5})
	last := 2.6
	for _, age := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 10 * time.Second} {
		now, ok := tr.At(start.Add(age), "e")
		assert.True(t, ok)
		assert.Less(t, now.Factor, last)
		last = now.Factor
	}
	assert.InDelta(t, 1, last, 0.01)
}

// TestTimeConstantFromValues: a pace that lasts must count for longer than one that jumps with
// each answer.
func TestTimeConstantFromValues(t *testing.T) {
	remaining := func(lasts time.Duration) float64 {
		tr, rnd := NewTracker(), rand.New(rand.NewPCG(1, 1))
		now, pace, until := start, 1.0, start
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			if !now.Before(until) {
				pace, until = 1, now.Add(lasts)
				if rnd.Float64() < 0.3 {
					pace = 2.5
				}
			}
			tr.Observe(now, "e", Load{Slowdown: pace})
		}
		tr.Observe(now, "e", Load{Slowdown: 2.5})
		at, _ := tr.At(now, "e")
		later, _ := tr.At(now.Add(200*time.Millisecond), "e")
		return (later.Factor - 1) / (at.Factor - 1)
	}
	jumping, lasting := remaining(50*time.Millisecond), remaining(1500*time.Millisecond)
	t.Logf("left after 200 ms: %.2f of a pace that jumps, %.2f of one that lasts", jumping, lasting)
	assert.Less(t, jumping, 0.15)
	assert.Greater(t, lasting, 0.6)
}

// TestWrongReports: reports with impossible values, of unknown endpoints, that are too old,
// doubled or in the wrong order must not change what is known.
func TestWrongReports(t *testing.T) {
	tr := NewTracker()
	tr.Retain(func(id string) bool { return id == "e" })
	now := start.Add(time.Minute)
	tr.Observe(now, "e", Load{Running: 2, Slots: 6, Slowdown: 1.5})
	later := now.Add(200 * time.Millisecond)
	before, _ := tr.At(later, "e")
	var list []Report
	for _, l := range []Load{
		{Running: -1, Slots: 6}, {Waiting: -1, Slots: 6}, {Slots: -1}, {Running: 1 << 30, Slots: 6}, {Running: 1},
		{Slowdown: -1}, {Slowdown: math.NaN()}, {Slowdown: math.Inf(1)}, {Slowdown: 1e9},
	} {
		list = append(list, Report{Endpoint: "e", Load: l})
	}
	list = append(list,
		Report{Endpoint: "e", Load: Load{Slowdown: 3}, Age: -time.Millisecond},
		Report{Endpoint: "e", Load: Load{Slowdown: 3}, Age: 300 * time.Millisecond},
		Report{Endpoint: "e", Load: Load{Slowdown: 3}, Age: time.Hour},
		Report{Endpoint: "e", Load: Load{Running: 2, Slots: 6, Slowdown: 1.5}, Age: 150 * time.Millisecond},
		Report{Endpoint: "unknown", Load: Load{Slowdown: 3}})
	tr.Merge(later, list)
	after, _ := tr.At(later, "e")
	assert.Equal(t, before, after)
	l, _, _ := tr.Latest(later, "e")
	assert.Equal(t, Load{Running: 2, Slots: 6, Slowdown: 1.5}, l)
	_, ok := tr.At(later, "unknown")
	assert.False(t, ok)
	tr.Merge(later, []Report{{Endpoint: "e", Load: Load{Slowdown: 3}}})
	after, _ = tr.At(later, "e")
	assert.Greater(t, after.Factor, 2.0)
}

// TestNewsIsBounded: in the worst second the pace of hundreds of endpoints changes, and on a
// calm day none does. Reports must stay short, and empty if there is nothing to tell.
func TestNewsIsBounded(t *testing.T) {
	tr := NewTracker()
	observe := func(now time.Time, pace float64) {
		for i := range 300 {
			tr.Observe(now, strconv.Itoa(i), Load{Running: i % 5, Slots: 6, Slowdown: pace})
		}
	}
	now := start
	for range 20 {
		observe(now, 1)
		assert.Empty(t, tr.Own(now))
		now = now.Add(100 * time.Millisecond)
	}
	observe(now, 2.5)
	assert.Len(t, tr.Own(now), maxNews)
	assert.Empty(t, tr.Own(now.Add(2*newsTime)), "news is reported for a short time only")
	other := NewTracker()
	other.Merge(now, []Report{{Endpoint: "e", Load: Load{Slowdown: 2.5}}})
	other.Observe(now.Add(10*time.Millisecond), "e", Load{Slowdown: 2.5})
	assert.Empty(t, other.Own(now.Add(10*time.Millisecond)), "it is no news to those who reported it")
}

// TestTrustFollowsDurations: an endpoint's pace that durations don't follow must stop to count.
func TestTrustFollowsDurations(t *testing.T) {
	factor := func(follows float64) float64 {
		tr, rnd := NewTracker(), rand.New(rand.NewPCG(1, 1))
		now := start
		for range 300 {
			now = now.Add(30 * time.Millisecond)
			pace := 1.0
			if rnd.Float64() < 0.2 {
				pace = 2.5
			}
			tr.Observe(now, "e", Load{Slowdown: pace})
			tr.Learn(now.Add(-20*time.Millisecond), now, "e", math.Pow(pace, follows)*(0.8+0.4*rnd.Float64()))
		}
		tr.Observe(now, "e", Load{Slowdown: 2.5})
		at, _ := tr.At(now, "e")
		return at.Factor
	}
	assert.Greater(t, factor(1), 1.7)
	assert.Less(t, factor(0), 1.2)
	assert.InDelta(t, 1, factor(-1), 0.01)
}

// TestLastingChanges: an endpoint is slow for long, and another says what its durations don't
// show. Operators must be told once, and once when it is over, not at each answer.
func TestLastingChanges(t *testing.T) {
	tr := NewTracker()
	var told []Change
	now := start
	say := func(pace, ratio float64, lasting time.Duration) {
		for end := now.Add(lasting); now.Before(end); now = now.Add(50 * time.Millisecond) {
			if c := tr.Observe(now, "e", Load{Slowdown: pace}); c != Unchanged {
				told = append(told, c)
			}
			tr.Learn(now.Add(-40*time.Millisecond), now, "e", ratio/tr.endpoints["e"].usual)
		}
	}
	for range 20 {
		say(2.5, 2.5, 150*time.Millisecond)
		say(1, 1, 850*time.Millisecond)
	}
	assert.Empty(t, told, "short slow moments are usual")
	say(2.5, 2.5, 30*time.Second)
	say(1, 1, 30*time.Second)
	assert.Equal(t, []Change{TurnedSlow, TurnedUsual}, told)
	told = nil
	for range 40 {
		say(2.5, tr.endpoints["e"].usual, 100*time.Millisecond)
		say(1, tr.endpoints["e"].usual, 900*time.Millisecond)
	}
	assert.Contains(t, told, Ignored)
	assert.LessOrEqual(t, len(told), 3)
	s := tr.Summarize(now.Add(time.Second), []string{"e", "unknown"})
	assert.Equal(t, 1, s.Saying)
	assert.Equal(t, "e", s.Slowest)
	assert.InDelta(t, time.Second, s.OldestAge, float64(60*time.Millisecond))
}
