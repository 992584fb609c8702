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

// crashing are endpoints that end when a call of poisonContent starts there.
type crashing struct {
	*fakeEndpoints
	ended map[string]bool
}

func (f *crashing) Call(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Answer, error) {
	switch {
	case f.ended[e.ID]:
		return nil, router.ErrAbsent.New("connection refused")
	case c.Content != poisonContent:
		return f.fakeEndpoints.Call(ctx, e, c)
	}
	f.note("crash %s", e.ID)
	f.ended[e.ID] = true
	return nil, router.ErrBroken.New("unexpected EOF")
}

// TestPoisonCall: a look-up crashes each worker that runs it, and the screen that asked
// asks again each second, until no worker is left. After the third crash it gets no other
// worker and is told to stay away; other look-ups are
// served.
func TestPoisonCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &crashing{fakeEndpoints: &fakeEndpoints{}, ended: make(map[string]bool)}
		var list []*router.Endpoint
		for i := range 6 {
			list = append(list, plain(fmt.Sprint("app-", i)))
		}
		f.alive = func(_ context.Context, e *router.Endpoint) error {
			if f.ended[e.ID] {
				return router.ErrAbsent.New("connection refused")
			}
			return nil
		}
		r := newRouterOf(f, list...)
		send := func(content uint64) *router.Failure {
			c := newCall(lookupRoute, app)
			c.Content = content
			_, fail := r.Call(t.Context(), c)
			time.Sleep(time.Second)
			return fail
		}
		for range 5 {
			require.NotNil(t, send(poisonContent))
		}
		assert.Len(t, f.ended, 3)
		fail := send(poisonContent)
		assert.Equal(t, router.NotRun, fail.Why)
		assert.Equal(t, time.Minute, fail.Retry)
		assert.Nil(t, send(1))
	})
}

// TestBrokenIsNoCrash: connections are reset while the workers live. Whoever asks again
// is served, however often that happens.
func TestBrokenIsNoCrash(t *testing.T) {
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
			c := newCall(bookingRoute, app)
			c.Content = poisonContent
			_, fail := r.Call(t.Context(), c)
			return fail
		}
		for range workers {
			assert.Equal(t, router.Unknown, send().Why)
		}
		assert.Nil(t, send())
	})
}
