package router_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
	"ebonypulley/router"
)

// newLimited returns the router of a sole entry, and a workspace with a limit.
func newLimited(f *fakeEndpoints, l quota.Limit, endpoints ...*router.Endpoint) (*router.Router, *router.Workspace) {
	f.setDefaults()
	r := newSeededRouter(1, f, endpoints...)
	w := &router.Workspace{Name: "school", ID: quota.NewID("school"), Rank: router.NoRank, Limit: l, PlainCost: 200}
	d := router.NewDirectory(2, 0, nil, []*router.Service{llm, app}, endpoints)
	r.SetDirectory(d.WithWorkspaces([]*router.Workspace{w}))
	r.SetFleetSize(1)
	return r, w
}

func (w *limitedCall) send(r *router.Router, t *testing.T) *router.Failure {
	c := newCall(w.route, app)
	c.Workspace, c.Tokens = w.workspace, w.workspace.Cost(0)
	_, fail := r.Call(t.Context(), c)
	return fail
}

type limitedCall struct {
	route     router.Route
	workspace *router.Workspace
}

// TestQuotaRefusesAtOnce: calls of a workspace at its limit must be refused without delay
// and with a retry time.
func TestQuotaRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) { return &router.Answer{}, nil }}
		r, w := newLimited(f, quota.Limit{Rate: 200, Burst: 400}, plain("a"))
		call := &limitedCall{nonIdempotentRoute, w}
		assert.Nil(t, call.send(r, t))
		assert.Nil(t, call.send(r, t))
		refusedAtOnce(t, router.OverQuota, func() *router.Failure { return call.send(r, t) })
		assert.Len(t, f.recorded(), 2, "refused calls reach no endpoint")
	})
}

// TestNotRunIsNotCounted: calls refused because no endpoint has room must not use up the
// limit of their workspace.
func TestNotRunIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := true
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
			if full {
				return nil, router.ErrNotRun.New("full")
			}
			return &router.Answer{}, nil
		}}
		r, w := newLimited(f, quota.Limit{Rate: 200, Burst: 400}, plain("a"))
		call := &limitedCall{nonIdempotentRoute, w}
		for range 20 {
			assert.Equal(t, router.NotRun, call.send(r, t).Reason)
		}
		full = false
		assert.Nil(t, call.send(r, t))
	})
}

// TestLostIsCounted: a call that may have run counts against the limit, even if its
// answer was lost.
func TestLostIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
			return nil, router.ErrLost.New("reset")
		}}
		r, w := newLimited(f, quota.Limit{Rate: 200, Burst: 400}, plain("a"))
		call := &limitedCall{nonIdempotentRoute, w}
		for range 2 {
			assert.Equal(t, router.Unknown, call.send(r, t).Reason)
		}
		assert.Equal(t, router.OverQuota, call.send(r, t).Reason)
	})
}

// TestRankOfWorkspace: the rank of a workspace overrides that of the route.
func TestRankOfWorkspace(t *testing.T) {
	c := newCall(router.Route{Rank: 2}, app)
	assert.Equal(t, 2, c.Rank())
	c.Workspace = &router.Workspace{Rank: router.NoRank}
	assert.Equal(t, 2, c.Rank())
	c.Workspace = &router.Workspace{Rank: 0}
	assert.Equal(t, 0, c.Rank())
	bulk := newCall(router.Route{Rank: 3}, app)
	bulk.Workspace = &router.Workspace{Rank: 1}
	assert.Less(t, c.Precedence(), bulk.Precedence())
	bulk.Workspace = c.Workspace
	assert.Less(t, c.Precedence(), bulk.Precedence(), "equal ranks: by that of the route")
}

// TestLimitIsSpentByUrgency: a workspace sends twice its limit on routes of two ranks. The
// more urgent route alone is below the limit and is served, the other gets the rest.
func TestLimitIsSpentByUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) { return &router.Answer{}, nil }}
		r, w := newLimited(f, quota.Limit{Rate: 20_000, Burst: 20_000}, plain("a"))
		urgent, other := nonIdempotentRoute, nonIdempotentRoute
		urgent.Name, urgent.Rank, urgent.Services = "urgent", 1, []router.Share{{Service: "app", Weight: 1}}
		other.Name, other.Rank, other.Services = "other", 4, urgent.Services
		d := router.NewDirectory(2, 0, []*router.Route{&urgent, &other}, []*router.Service{llm, app}, []*router.Endpoint{plain("a")})
		r.SetDirectory(d.WithWorkspaces([]*router.Workspace{w}))
		served := make(map[string]int)
		const each = 1000
		for range each {
			for _, route := range []router.Route{urgent, other} {
				if (&limitedCall{route, w}).send(r, t) == nil {
					served[route.Name]++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d urgent and %d others of %d each", served["urgent"], served["other"], each)
		assert.GreaterOrEqual(t, served["urgent"], each*95/100)
		assert.Less(t, served["other"], each/2)
	})
}

// TestRefusedCallersAreTold: a workspace sends four times its limit. Each refused caller is told
// at once when to come back, within the time that it respects; those with a booking are served.
func TestRefusedCallersAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) { return &router.Answer{}, nil }}
		r, w := newLimited(f, quota.Limit{Rate: 20_000, Burst: 20_000}, plain("a"))
		const timeout, lasting = 2500 * time.Millisecond, 10 * time.Second
		var told, back int
		var served atomic.Int64
		for began := time.Now(); time.Since(began) < lasting; time.Sleep(10 * time.Millisecond) {
			for range 4 {
				c := newCall(nonIdempotentRoute, app)
				c.Workspace, c.Tokens, c.Timeout = w, 200, timeout
				_, fail := r.Call(t.Context(), c)
				if fail == nil {
					continue
				}
				told++
				assert.Equal(t, router.OverQuota, fail.Reason)
				assert.GreaterOrEqual(t, fail.RetryAfter, 200*time.Millisecond)
				assert.LessOrEqual(t, fail.RetryAfter, timeout/3)
				if fail.RetryAfter > timeout/4 {
					continue // told to come late, without a booking
				}
				back++
				go func() {
					time.Sleep(fail.RetryAfter)
					again := newCall(nonIdempotentRoute, app)
					again.Workspace, again.Tokens, again.Timeout = w, 200, timeout-fail.RetryAfter
					if _, fail := r.Call(t.Context(), again); fail == nil {
						served.Add(1)
					}
				}()
			}
		}
		time.Sleep(timeout)
		t.Logf("%d told, %d with a booking, of these %d served", told, back, served.Load())
		assert.NotZero(t, back)
		assert.GreaterOrEqual(t, int(served.Load()), back*97/100)
	})
}
