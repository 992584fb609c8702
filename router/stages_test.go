package router_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

func contextWithCancel(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithCancel(t.Context())
}

// TestSurplusIsOrdered: drafts wait for memory while prefill engines idle. One
// entry orders those beyond their share to decode, each once, and sends them
// no prompts meanwhile; without the authority it orders none.
func TestSurplusIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{}
		var list []*router.Endpoint
		for _, id := range []string{"p1", "p2", "p3", "p4"} {
			list = append(list, engine(id, router.Prefill))
		}
		for _, id := range []string{"d1", "d2", "d3", "d4", "d5"} {
			list = append(list, engine(id, router.Decode))
		}
		r := newRouter(f, list...)
		ctx, cancel := contextWithCancel(t)
		var may atomic.Bool
		go func() { _ = r.KeepStages(ctx, func() (uint64, bool) { return 7, may.Load() }) }()
		time.Sleep(5 * time.Second)
		assert.Empty(t, f.notes())
		may.Store(true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, []string{"order p1 7"}, f.notes())
		cancel()
		time.Sleep(30 * time.Second)
	})
}

// TestCrashKeepsStages: after a crash of some engines the prefill stage stays
// too small for good. Engines that are away for a while still count.
func TestCrashKeepsStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{}
		all := []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("p3", router.Prefill)}
		for _, id := range []string{"d1", "d2", "d3", "d4", "d5", "d6"} {
			all = append(all, engine(id, router.Decode))
		}
		r := newRouter(f, all...)
		ctx, cancel := contextWithCancel(t)
		go func() { _ = r.KeepStages(ctx, func() (uint64, bool) { return 7, true }) }()
		time.Sleep(2 * time.Second)
		r.SetDirectory(router.NewDirectory(2, 0, nil, []*router.Service{llm}, all[:6]))
		time.Sleep(10 * time.Second)
		assert.Empty(t, f.notes())
		cancel()
		time.Sleep(30 * time.Second)
	})
}
