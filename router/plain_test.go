package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/router"
)

// TestNonIdempotentRunsOnce: when the answer to a non-idempotent call is lost, it is
// unknown whether it ran. It must not be repeated, and the caller must not be told that
// it did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
			return nil, router.ErrLost.New("reset")
		}}
		r := newRouter(f, plain("a"), plain("b"))
		route := nonIdempotentRoute
		route.MaxAttempts = 2
		_, fail := r.Call(t.Context(), newCall(route, app))
		require.NotNil(t, fail)
		assert.Equal(t, router.Unknown, fail.Reason)
		assert.Len(t, f.recorded(), 1)
	})
}

// TestRefusedNonIdempotentCall: a call that its endpoint refused must be answered as not
// run, at once and with a retry time.
func TestRefusedNonIdempotentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
			return nil, router.ErrNotRun.New("full")
		}}
		r := newRouter(f, plain("a"), plain("b"))
		refusedAtOnce(t, router.NotRun, func() *router.Failure {
			_, fail := r.Call(t.Context(), newCall(nonIdempotentRoute, app))
			return fail
		})
		assert.Len(t, f.recorded(), 1, "the route allows one endpoint")
	})
}

// TestUnreachableEndpoint: an endpoint that has just crashed accepts no connection and
// receives nothing of the call. Even a non-idempotent call must then be sent to another
// endpoint.
func TestUnreachableEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(_ context.Context, e *router.Endpoint) (*router.Answer, error) {
			if e.ID == "a" {
				return nil, router.ErrUnreachable.New("refused")
			}
			return &router.Answer{Body: e.ID}, nil
		}}
		r := newRouter(f, plain("a"), plain("b"))
		for range 20 {
			a, fail := r.Call(t.Context(), newCall(nonIdempotentRoute, app))
			require.Nil(t, fail)
			assert.Equal(t, "b", a.Body)
		}
		tries := 0
		for _, n := range f.recorded() {
			if n == "call a" {
				tries++
			}
		}
		assert.LessOrEqual(t, tries, 1, "it is avoided after the first failure")
	})
}

// TestReportedFailureIsRetried: an idempotent call whose endpoint reports a failure of
// its own must be tried once more elsewhere. If that fails too, the caller must get the
// endpoint's answer.
func TestReportedFailureIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(_ context.Context, e *router.Endpoint) (*router.Answer, error) {
			return &router.Answer{Failed: true, Body: e.ID}, nil
		}}
		r := newRouter(f, plain("a"), plain("b"), plain("c"))
		a, fail := r.Call(t.Context(), newCall(idempotentRoute, app))
		require.Nil(t, fail)
		assert.True(t, a.Failed)
		assert.Len(t, f.recorded(), 2, "the route allows two endpoints")
	})
}

// TestHangingEndpoint: one endpoint accepts calls and never answers. An idempotent call
// must be tried elsewhere while there is time, and further calls must avoid the endpoint
// for a while.
func TestHangingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{}
		r := newRouter(f, plain("a"), plain("b"))
		slow := ""
		f.call = func(ctx context.Context, e *router.Endpoint) (*router.Answer, error) {
			if slow == "" {
				slow = e.ID
			}
			if e.ID == slow {
				<-ctx.Done()
				return nil, router.ErrLost.Wrap(ctx.Err(), "silent")
			}
			return &router.Answer{Body: e.ID}, nil
		}
		for range 10 {
			c := newCall(idempotentRoute, app)
			c.Deadline = c.ReceivedAt.Add(800 * time.Millisecond)
			a, fail := r.Call(t.Context(), c)
			require.Nil(t, fail)
			assert.NotEqual(t, slow, a.Body)
		}
		assert.LessOrEqual(t, len(f.recorded()), 12)
	})
}

// TestRetryBudget guards against retries that multiply the load in an outage. Every call
// fails; all retries together must stay within the ratio and this entry's share of the
// slack.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
			return nil, router.ErrLost.New("reset")
		}}
		r := newRouter(f, plain("a"), plain("b"))
		const requests = 200
		for range requests {
			_, fail := r.Call(t.Context(), newCall(idempotentRoute, app))
			require.NotNil(t, fail)
			time.Sleep(10 * time.Millisecond)
		}
		extra := len(f.recorded()) - requests
		assert.LessOrEqual(t, float64(extra), 0.2*requests+ownSlack)
		assert.Greater(t, extra, 30, "the allowed retries are used")
	})
}
