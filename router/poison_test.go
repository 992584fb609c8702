package router_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/router"
)

const poisonContent = 0xbad

// crashingEndpoints are endpoints that crash when a call with poisonContent starts there.
type crashingEndpoints struct {
	*fakeEndpoints
	crashed map[string]bool
}

func (f *crashingEndpoints) Call(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Answer, error) {
	switch {
	case f.crashed[e.ID]:
		return nil, router.ErrNotListening.New("connection refused")
	case c.ContentHash != poisonContent:
		return f.fakeEndpoints.Call(ctx, e, c)
	}
	f.record("crash %s", e.ID)
	f.crashed[e.ID] = true
	return nil, router.ErrBroken.New("unexpected EOF")
}

// TestPoisonCall: a call crashes each endpoint that runs it, and its caller repeats it
// each second until no endpoint is left. After the third crash it must reach no other
// endpoint and be given a long retry delay, while other calls are served.
func TestPoisonCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &crashingEndpoints{fakeEndpoints: &fakeEndpoints{}, crashed: make(map[string]bool)}
		var list []*router.Endpoint
		for i := range 6 {
			list = append(list, plain(fmt.Sprint("app-", i)))
		}
		f.alive = func(_ context.Context, e *router.Endpoint) error {
			if f.crashed[e.ID] {
				return router.ErrNotListening.New("connection refused")
			}
			return nil
		}
		r := newRouterOf(f, list...)
		send := func(content uint64) *router.Failure {
			c := newCall(idempotentRoute, app)
			c.ContentHash = content
			_, fail := r.Call(t.Context(), c)
			time.Sleep(time.Second)
			return fail
		}
		for range 5 {
			require.NotNil(t, send(poisonContent))
		}
		assert.Len(t, f.crashed, 3)
		fail := send(poisonContent)
		assert.Equal(t, router.NotRun, fail.Reason)
		assert.Equal(t, time.Minute, fail.RetryAfter)
		assert.Nil(t, send(1))
	})
}

// TestResetIsNoCrash: when connections are reset while the endpoints keep running,
// repeated calls must be served, however often that happens.
func TestResetIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reset := make(map[string]bool)
		f := &fakeEndpoints{call: func(_ context.Context, e *router.Endpoint) (*router.Answer, error) {
			if reset[e.ID] {
				return &router.Answer{}, nil
			}
			reset[e.ID] = true
			return nil, router.ErrBroken.New("connection reset")
		}}
		const workers = 6
		var list []*router.Endpoint
		for i := range workers {
			list = append(list, plain(fmt.Sprint("app-", i)))
		}
		r := newRouter(f, list...)
		send := func() *router.Failure {
			c := newCall(nonIdempotentRoute, app)
			c.ContentHash = poisonContent
			_, fail := r.Call(t.Context(), c)
			return fail
		}
		for range workers {
			assert.Equal(t, router.Unknown, send().Reason)
		}
		assert.Nil(t, send())
	})
}
