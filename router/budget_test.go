package router_test

import (
	"context"
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
	// free is an accepted prefill, the first of which counts for nothing.
	free bool
}

// TestBudgetHoldsWhateverFails: endpoints get more repeats than are allowed when
// every prefill is lost and every generation refused, on entries that start and
// are killed at odd moments and have not heard of each other. In each window the
// arrivals beyond the first of each request stay within the ratio of what came
// and the whole slack.
func TestBudgetHoldsWhateverFails(t *testing.T) {
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
		var got []arrival
		var came []time.Time
		refuse := 0
		f := &fakeEndpoints{}
		sent := func(kind string, free bool, id string) {
			got = append(got, arrival{at: time.Now(), call: id, free: free && kind == "prefill"})
		}
		f.prefillCall = func(ctx context.Context, c *router.Call) error {
			mu.Lock()
			defer mu.Unlock()
			refuse++
			switch {
			case c.Hint > 0 || refuse%3 == 0:
				sent("prefill", true, c.ID)
				return nil
			case refuse%3 == 1:
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
			if c.Hint > 0 {
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
			all[i].SetEntries(1) // it hears nobody yet
		}
		time.Sleep(window)
		for _, r := range all {
			r.SetEntries(entries)
		}
		end := time.Now().Add(40 * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			i := n % entries
			switch {
			case kills && n%150 == 149: // all are killed and start again
				for k := range all {
					all[k] = start(true)
				}
			case n%10 == 0:
				all[i].SetEntries(1 + n/10%entries) // views differ
			}
			time.Sleep(20 * time.Millisecond)
			c := newCall(draftRoute, llm)
			c.ID = strconv.Itoa(n)
			c.Hint = n % 3 // those with one are accepted for a prefill and then lost
			came = append(came, time.Now())
			r := all[i]
			go func() { _, _ = r.Generate(t.Context(), c, new(fakeSink)) }()
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assertBudget(t, got, came, window, ratio, slack)
	})
}

// assertBudget slides a window over the arrivals. Requests count in the window,
// the one before or the one half a window before, whichever has most.
func assertBudget(t *testing.T, got []arrival, came []time.Time, window time.Duration, ratio, slack float64) {
	t.Helper()
	first := make(map[string]bool)
	free := make(map[string]bool)
	var extra []time.Time
	for _, a := range got {
		if a.free && !free[a.call] {
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
	for _, from := range extra {
		most := max(within(came, from), within(came, from.Add(-window)), within(came, from.Add(-window/2)))
		assert.LessOrEqual(t, within(extra, from), ratio*most+slack)
	}
}

// TestSlackOfANewcomer: entries that start together send more repeats than are
// allowed. None has heard of all others yet, and each took a twelfth of the slack or
// more, 68 of them six times the whole.
func TestSlackOfANewcomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 24
		r, sent := refusedEverywhere(slack, false)
		r.SetEntries(2)
		assert.Zero(t, sent(t), "not all are heard yet")
		time.Sleep(slackWindow)
		r.SetEntries(4)
		assert.Equal(t, slack/4, sent(t))
	})
}

// TestSlackOfTheUnheard: entries that are cut off from each other from their start
// on take a part of the slack each, for a number of entries that is a guess. One that
// never heard of another, though there are some, takes none.
func TestSlackOfTheUnheard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack = 24
		_, cutOff := refusedEverywhere(slack, false)
		r, alone := refusedEverywhere(slack, true)
		time.Sleep(slackWindow)
		assert.Zero(t, cutOff(t))
		assert.Equal(t, slack, alone(t), "it is alone by its settings")
		time.Sleep(slackWindow)
		r.SetEntries(3) // one with seeds of its own came
		assert.Equal(t, slack/3, alone(t))
	})
}

// slackWindow is longer than refusedEverywhere's drafts take.
const slackWindow = time.Minute

// refusedEverywhere returns a router whose budget is only its slack, and a function
// that sends drafts which every engine refuses, and counts the repeats.
func refusedEverywhere(slack int, alone bool) (*router.Router, func(t *testing.T) int) {
	f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return router.ErrNotRun.New("full") }}
	r := router.New(router.Settings{RetryWindow: slackWindow, RetrySlack: float64(slack), Alone: alone}, f, event.Nop(), metrics.NewSet())
	list := []*router.Endpoint{engine("d1", router.Decode), engine("d2", router.Decode)}
	r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, list))
	return r, func(t *testing.T) int {
		const drafts = 30
		before := count(f.notes(), "generate")
		for range drafts {
			_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), new(fakeSink))
			assert.NotNil(t, fail)
		}
		return count(f.notes(), "generate") - before - drafts
	}
}

// TestNoPromptWithoutAnArrival: in seconds in which engines lose answers, callers are
// refused for want of retries right after their prompt was computed once more. The
// second prefill took the last retry, and none was left for the answer.
//
// 513 of 829 requests given up on in a day failed with "the retry budget is used up",
// and 700 computed prompts were wasted.
func TestNoPromptWithoutAnArrival(t *testing.T) {
	for slack, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return router.ErrLost.New("reset") }}
			r := router.New(router.Settings{RetryWindow: slackWindow, RetrySlack: float64(slack), Alone: true}, f, event.Nop(), metrics.NewSet())
			list := []*router.Endpoint{engine("d1", router.Decode), engine("d2", router.Decode), engine("d3", router.Decode), engine("d4", router.Decode)}
			for _, id := range []string{"p1", "p2", "p3", "p4"} {
				list = append(list, engine(id, router.Prefill))
			}
			r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, list))
			route := draftRoute
			route.MaxAttempts = 3
			_, fail := r.Generate(t.Context(), newCall(route, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, want, count(f.notes(), "prefill"), "slack %d", slack)
			assert.Equal(t, want, count(f.notes(), "generate"), "slack %d", slack)
		})
	}
}
