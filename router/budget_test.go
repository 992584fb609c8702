package router_test

import (
	"context"
	"math"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// arrival is one request that reached an endpoint.
type arrival struct {
	at   time.Time
	call string
	// accepted marks an accepted prefill. The first one of each call is free.
	accepted bool
}

// TestBudgetHoldsUnderFailures guards against more repeats than the retry budget allows.
// Every prefill is lost and every generation refused, at entries that start and are
// killed at odd moments and have not heard of each other. In each window the arrivals
// beyond the first of each request must stay within the ratio of the requests plus the
// total slack.
func TestBudgetHoldsUnderFailures(t *testing.T) {
	t.Run("views differ", func(t *testing.T) { testBudget(t, false) })
	t.Run("all are killed", func(t *testing.T) { testBudget(t, true) })
}

func testBudget(t *testing.T, kills bool) {
	const (
		entries = 16
		slack   = 54
		ratio   = 0.2
		window  = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var arrivals []arrival
		var requests []time.Time
		prefills := 0
		f := &fakeEndpoints{}
		sent := func(kind string, free bool, id string) {
			arrivals = append(arrivals, arrival{at: time.Now(), call: id, accepted: free && kind == "prefill"})
		}
		f.prefillCall = func(ctx context.Context, c *router.Call) error {
			mu.Lock()
			defer mu.Unlock()
			prefills++
			switch {
			case c.LengthHint > 0 || prefills%3 == 0:
				sent("prefill", true, c.ID)
				return nil
			case prefills%3 == 1:
				sent("prefill", false, c.ID)
				return router.ErrNotRun.New("full")
			}
			sent("prefill", false, c.ID)
			return router.ErrLost.New("lost")
		}
		f.generateCall = func(c *router.Call) error {
			mu.Lock()
			defer mu.Unlock()
			sent("generate", false, c.ID)
			if c.LengthHint > 0 {
				return router.ErrLost.New("lost")
			}
			return router.ErrNotRun.New("full")
		}
		list := []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("p3", router.Prefill),
			engine("d1", router.Decode), engine("d2", router.Decode), engine("d3", router.Decode)}
		start := func(restarted bool) *router.Router {
			r := router.New(router.Settings{RetryRatio: ratio, RetryWindow: window, RetrySlack: float64(slack), Restarted: restarted}, f, event.Nop(), metrics.NewSet())
			r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, list))
			return r
		}
		var all [entries]*router.Router
		for i := range all {
			all[i] = start(false)
			all[i].SetFleetSize(1) // it has heard of no other entry yet
		}
		time.Sleep(window)
		for _, r := range all {
			r.SetFleetSize(entries)
		}
		end := time.Now().Add(40 * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			i := n % entries
			switch {
			case kills && n%150 == 149: // all are killed and restarted
				for k := range all {
					all[k] = start(true)
				}
			case n%10 == 0:
				all[i].SetFleetSize(1 + n/10%entries) // the entries disagree on their number
			}
			time.Sleep(20 * time.Millisecond)
			c := newCall(resumableRoute, llm)
			c.ID = strconv.Itoa(n)
			c.LengthHint = n % 3 // calls with a hint have their prefill accepted, then lose the generation
			requests = append(requests, time.Now())
			r := all[i]
			go func() { _, _ = r.Generate(t.Context(), c, new(fakeSink)) }()
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assertBudget(t, arrivals, requests, window, ratio, slack)
	})
}

// assertBudget checks the budget in a sliding window. Requests count in the window
// itself, in the one before or in the one half a window before, whichever has the most.
func assertBudget(t *testing.T, arrivals []arrival, requests []time.Time, window time.Duration, ratio, slack float64) {
	t.Helper()
	first := make(map[string]bool)
	free := make(map[string]bool)
	var extra []time.Time
	for _, a := range arrivals {
		if a.accepted && !free[a.call] {
			free[a.call] = true
			continue
		}
		if first[a.call] {
			extra = append(extra, a.at)
		}
		first[a.call] = true
	}
	assert.NotEmpty(t, extra)
	within := func(list []time.Time, from time.Time) (n float64) {
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	worst, allowed := 0.0, math.Inf(1)
	for _, from := range extra {
		most := max(within(requests, from), within(requests, from.Add(-window)), within(requests, from.Add(-window/2)))
		if n := within(extra, from); n-(ratio*most+slack) > worst-allowed {
			worst, allowed = n, ratio*most+slack
		}
	}
	t.Logf("worst window: %v repeats, %v allowed; %d repeats in all", worst, allowed, len(extra))
	assert.LessOrEqual(t, worst, allowed, "repeats in the worst window")
}

// TestSlackOfNewEntry guards against more repeats than allowed when entries start
// together. Before they had heard of each other, each took a twelfth of the slack or
// more; 68 entries took six times the total.
func TestSlackOfNewEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 24
		r, sent := refusedEverywhere(slack, false)
		r.SetFleetSize(2)
		assert.Zero(t, sent(t), "no slack before all entries have been heard from")
		time.Sleep(slackWindow)
		assert.Zero(t, sent(t), "others may have used more before they heard of it")
		time.Sleep(slackWindow / 10)
		r.SetFleetSize(4)
		assert.Equal(t, slack/4, sent(t))
	})
}

// TestSlackOfNewcomerAfterOthers guards against a newcomer that uses its share of the slack in a
// window in which an older entry, which did not know of it yet, used a larger one.
func TestSlackOfNewcomerAfterOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 24
		older, sentByOlder := refusedEverywhere(slack, false)
		older.SetFleetSize(2)
		time.Sleep(2 * slackWindow)
		newcomer, sentByNewcomer := refusedEverywhere(slack, false)
		started := time.Now()
		newcomer.SetFleetSize(3)
		assert.Equal(t, slack/2, sentByOlder(t))
		older.SetFleetSize(3)
		time.Sleep(time.Until(started.Add(slackWindow)))
		assert.Zero(t, sentByNewcomer(t), "in the window of the older entry's use")
		time.Sleep(slackWindow / 10)
		assert.Equal(t, slack/3, sentByNewcomer(t))
	})
}

// TestSlackOfIsolatedEntry guards against entries that are partitioned from each other
// since their start and take a share of the slack for a guessed number of entries. One
// that has never heard of another, although others exist, must take none.
func TestSlackOfIsolatedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 24
		_, isolated := refusedEverywhere(slack, false)
		r, soleEntry := refusedEverywhere(slack, true)
		time.Sleep(slackWindow)
		assert.Zero(t, isolated(t))
		assert.Equal(t, slack, soleEntry(t), "configured as the sole entry")
		time.Sleep(slackWindow)
		r.SetFleetSize(3) // an entry that was not configured here appears
		assert.Equal(t, slack/3, soleEntry(t))
	})
}

// slackWindow exceeds the duration of the generations of refusedEverywhere.
const slackWindow = time.Minute

// refusedEverywhere returns a router whose budget is only its slack, and a function that
// sends generations which every engine refuses and returns the number of repeats.
func refusedEverywhere(slack int, singleEntry bool) (*router.Router, func(t *testing.T) int) {
	f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return router.ErrNotRun.New("full") }}
	r := router.New(router.Settings{RetryWindow: slackWindow, RetrySlack: float64(slack), SingleEntry: singleEntry}, f, event.Nop(), metrics.NewSet())
	list := []*router.Endpoint{engine("d1", router.Decode), engine("d2", router.Decode)}
	r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, list))
	return r, func(t *testing.T) int {
		const generations = 30
		before := count(f.recorded(), "generate")
		for range generations {
			_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), new(fakeSink))
			assert.NotNil(t, fail)
		}
		return count(f.recorded(), "generate") - before - generations
	}
}

// TestPrefillNeedsBudgetForDecode guards against a repeated prefill that takes the last
// retry of the budget, so that none is left to decode it.
//
// While engines lost answers, 513 of 829 requests given up on in a day failed because the
// retry budget was exhausted, and 700 prefills were wasted.
func TestPrefillNeedsBudgetForDecode(t *testing.T) {
	for slack, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return router.ErrLost.New("reset") }}
			r := router.New(router.Settings{RetryWindow: slackWindow, RetrySlack: float64(slack), SingleEntry: true}, f, event.Nop(), metrics.NewSet())
			list := []*router.Endpoint{engine("d1", router.Decode), engine("d2", router.Decode), engine("d3", router.Decode), engine("d4", router.Decode)}
			for _, id := range []string{"p1", "p2", "p3", "p4"} {
				list = append(list, engine(id, router.Prefill))
			}
			r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, list))
			route := resumableRoute
			route.MaxAttempts = 3
			_, fail := r.Generate(t.Context(), newCall(route, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, want, count(f.recorded(), "prefill"), "slack %d", slack)
			assert.Equal(t, want, count(f.recorded(), "generate"), "slack %d", slack)
		})
	}
}
