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

// fakeChooser returns the first untried endpoint of a role, or a tried one if there is no
// other, and counts its calls.
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

// newAgentRouter returns a router for endpoints with agents and the smallest retry
// budget: one retry.
func newAgentRouter(f *fakeEndpoints, endpoints ...*router.Endpoint) *router.Router {
	f.events, f.pause = 6, 50*time.Millisecond
	return router.New(router.Settings{RetryWindow: time.Minute, RetrySlack: 1, SingleEntry: true, Chooser: &fakeChooser{endpoints: endpoints}},
		f, event.Nop(), metrics.NewSet())
}

func agentCall(route router.Route, s *router.Service) *router.Call {
	route.MaxAttempts = 0
	c := newCall(route, s)
	c.MaxQueueTime = 8 * time.Second
	return c
}

var agentEndpoints = []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode)}

// TestExpiredLeasesAreNotRetries: an entry is paused for five seconds and all leases of
// its many generations expire. Its retry budget is far too small for them, so that a few
// repeats each must be free, while attempts lost by an endpoint are charged to the
// budget.
func TestExpiredLeasesAreNotRetries(t *testing.T) {
	for _, tt := range []struct {
		err  error
		runs int
	}{
		{router.ErrExpired.New("no heartbeat"), 4},
		{router.ErrLost.New("engine lost"), 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEndpoints{generate: func(*router.Endpoint, router.Start) error { return tt.err }}
			_, fail := newAgentRouter(f, agentEndpoints...).Generate(t.Context(), agentCall(resumableRoute, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, router.Unknown, fail.Reason)
			assert.Equal(t, tt.runs, count(f.recorded(), "generate"))
		})
	}
}

// TestProgressNeedsNoBudget: many engines are lost in turn during one generation. As each
// delivered a few events, the generation must continue beyond the retry budget.
func TestProgressNeedsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{breakAt: []int64{1, 2, 3, 4, 5}}
		s := new(fakeSink)
		_, fail := newAgentRouter(f, agentEndpoints...).Generate(t.Context(), agentCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Equal(t, allEvents, s.got)
		assert.Equal(t, 1, s.heads)
	})
}

// TestLostPrefillsDrawOnBudget: all prefill engines hang and lose their work. Each
// generation would prefill its prompt three times; the budget must limit this to one
// repeat in total.
func TestLostPrefillsDrawOnBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{prefill: func(context.Context, *router.Endpoint) error { return router.ErrLost.New("engine lost") }}
		r := newAgentRouter(f, agentEndpoints...)
		const generations = 5
		for range generations {
			_, fail := r.Generate(t.Context(), agentCall(resumableRoute, llm), new(fakeSink))
			require.NotNil(t, fail)
			assert.Equal(t, router.NotRun, fail.Reason, "nothing was generated")
		}
		assert.Equal(t, generations+1, count(f.recorded(), "prefill"))
		assert.Equal(t, count(f.recorded(), "reserve"), count(f.recorded(), "release"), "no memory stays reserved")
	})
}

// TestMemoryBeforePrefill: while no decode engine has room, nothing must be prefilled,
// and the caller must get the suggested retry time.
func TestMemoryBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{reserve: func(*router.Endpoint) error {
			return router.WithRetryAfter(router.ErrQueueTimeout.New("waited"), 7*time.Second)
		}}
		_, fail := newAgentRouter(f, agentEndpoints...).Generate(t.Context(), agentCall(resumableRoute, llm), new(fakeSink))
		require.NotNil(t, fail)
		assert.Equal(t, router.NotRun, fail.Reason)
		assert.Equal(t, 7*time.Second, fail.RetryAfter)
		assert.Zero(t, count(f.recorded(), "prefill"))
	})
}

// TestCallWaitsForKeyOwner: while the owner of an idempotency key is being replaced, the
// call must wait for it and run once. It must never run elsewhere, and must be refused if
// the owner is not replaced in time.
func TestCallWaitsForKeyOwner(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			back := time.Now().Add(away)
			f := &fakeEndpoints{call: func(_ context.Context, e *router.Endpoint) (*router.Answer, error) {
				if time.Now().Before(back) {
					return nil, router.ErrUnreachable.New("down")
				}
				return &router.Answer{Body: e.ID}, nil
			}}
			c := agentCall(nonIdempotentRoute, app)
			c.Keyed = true
			a, fail := newAgentRouter(f, plain("owner")).Call(t.Context(), c)
			if away < 5*time.Second {
				require.Nil(t, fail)
				assert.Equal(t, "owner", a.Body)
				return
			}
			require.NotNil(t, fail)
			assert.Equal(t, router.NotRun, fail.Reason)
			assert.Less(t, time.Since(c.ReceivedAt), 6*time.Second)
		})
	}
}
