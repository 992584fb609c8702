package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// fakeChooser gives endpoints in turn, tried ones last, and counts.
type fakeChooser struct {
	endpoints []*router.Endpoint
	chosen    int
}

func (c *fakeChooser) Choose(_ context.Context, _ *router.Call, role router.Role, tried map[string]bool) (*router.Endpoint, error) {
	c.chosen++
	var last *router.Endpoint
	for _, e := range c.endpoints {
		if e.Role != role {
			continue
		}
		if !tried[e.ID] {
			return e, nil
		}
		last = e
	}
	if last == nil {
		return nil, router.ErrNotRun.New("no endpoint")
	}
	return last, nil
}

func (c *fakeChooser) Usable(*router.Endpoint) bool { return true }

// newGated returns a router before gates, with the smallest budget: one retry.
func newGated(f *fakeEndpoints, endpoints ...*router.Endpoint) *router.Router {
	f.events, f.pause = 6, 50*time.Millisecond
	return router.New(router.Settings{RetryWindow: time.Minute, RetrySlack: 1, Alone: true, Chooser: &fakeChooser{endpoints: endpoints}},
		f, event.Nop(), metrics.NewSet())
}

func gatedCall(route router.Route, s *router.Service) *router.Call {
	route.MaxAttempts = 0
	c := newCall(route, s)
	c.MaxWait = 8 * time.Second
	return c
}

var gates = []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode)}

// TestLostLeasesAreNotRetries: an entry sleeps for five seconds with many
// drafts under way, all of whose leases end. Its retry budget is far too small
// for them; the drafts are begun again all the same, a few times each, while
// attempts that an endpoint lost draw on the budget.
func TestLostLeasesAreNotRetries(t *testing.T) {
	for _, tt := range []struct {
		err  error
		runs int
	}{
		{router.ErrExpired.New("not heard"), 4},
		{router.ErrLost.New("engine lost"), 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return tt.err }}
			_, fail := newGated(f, gates...).Generate(t.Context(), gatedCall(draftRoute, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, router.Unknown, fail.Why)
			assert.Equal(t, tt.runs, count(f.notes(), "generate"))
		})
	}
}

// TestProgressIsFree: many engines are lost one after the other while a draft
// is written. Each one brought a few events, so that the draft goes on beyond
// what the budget allows.
func TestProgressIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{breakAt: []int64{1, 2, 3, 4, 5}}
		s := new(fakeSink)
		_, fail := newGated(f, gates...).Generate(t.Context(), gatedCall(draftRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, whole, s.got)
		assert.Equal(t, 1, s.heads)
	})
}

// TestLostPrefillsDrawOnTheBudget: all prefill engines hang and lose what they
// are given. Each draft would compute its prompt three times; the budget lets
// one be repeated.
func TestLostPrefillsDrawOnTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{prefill: func(context.Context, *router.Endpoint) error { return router.ErrLost.New("engine lost") }}
		r := newGated(f, gates...)
		const drafts = 5
		for range drafts {
			_, fail := r.Generate(t.Context(), gatedCall(draftRoute, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, router.NotRun, fail.Why, "nothing was generated")
		}
		assert.Equal(t, drafts+1, count(f.notes(), "prefill"))
		assert.Equal(t, count(f.notes(), "reserve"), count(f.notes(), "release"), "no memory stays reserved")
	})
}

// TestMemoryBeforePrefill: no decode engine has room; no prompt is computed
// in vain, and the caller is told when to come back.
func TestMemoryBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{reserve: func(*router.Endpoint) error {
			return router.WithRetryAfter(router.ErrWaited.New("waited"), 7*time.Second)
		}}
		_, fail := newGated(f, gates...).Generate(t.Context(), gatedCall(draftRoute, llm), new(fakeSink))
		require.NotNil(t, fail)
		assert.Equal(t, router.NotRun, fail.Why)
		assert.Equal(t, 7*time.Second, fail.Retry)
		assert.Zero(t, count(f.notes(), "prefill"))
	})
}

// TestKeyOwnerIsAwaited: the owner of a booking's key is replaced. The booking
// waits for it and runs once; it never goes elsewhere, and it gives up when the
// owner stays away.
func TestKeyOwnerIsAwaited(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			back := time.Now().Add(away)
			f := &fakeEndpoints{call: func(_ context.Context, e *router.Endpoint) (*router.Answer, error) {
				if time.Now().Before(back) {
					return nil, router.ErrUnreachable.New("down")
				}
				return &router.Answer{Body: e.ID}, nil
			}}
			c := gatedCall(bookingRoute, app)
			c.Keyed = true
			a, fail := newGated(f, plain("owner")).Call(t.Context(), c)
			if away < 5*time.Second {
				require.Nil(t, fail)
				assert.Equal(t, "owner", a.Body)
				return
			}
			require.NotNil(t, fail)
			assert.Equal(t, router.NotRun, fail.Why)
			assert.Less(t, time.Since(c.Began), 6*time.Second)
		})
	}
}
