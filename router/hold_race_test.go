package router_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/pace"
	"ebonypulley/router"
)

// TestCallsThatArriveAndExpireTogether guards against a pass that refuses calls which are not yet,
// or no longer, in the list: it panicked, and no call of the service was served any more. It needs
// threads that run at the same time, so it plays in real time.
func TestCallsThatArriveAndExpireTogether(t *testing.T) {
	const callers, calls, work = 64, 60, 2 * time.Millisecond
	f := &fakeEndpoints{call: func(context.Context, *router.Endpoint) (*router.Answer, error) {
		time.Sleep(work)
		return &router.Answer{}, nil
	}}
	e := plain("a")
	r := newRouter(f, e)
	r.HandleNotice(e, router.Notice{Load: &pace.Load{Slots: e.Slots}})
	var panics atomic.Int32
	call := func(timeout time.Duration) *router.Failure {
		defer func() {
			if recover() != nil {
				panics.Add(1)
			}
		}()
		c := newCall(nonIdempotentRoute, app)
		c.Deadline = c.ReceivedAt.Add(timeout)
		ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
		defer cancel()
		_, fail := r.Call(ctx, c)
		return fail
	}
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := range calls {
				call(time.Duration(i%8) * work)
			}
		})
	}
	wg.Wait()
	assert.Zero(t, panics.Load())
	assert.Nil(t, call(time.Second), "a call after the burst is served")
	demand, _ := r.Shares().Own()
	assert.Empty(t, demand)
}
