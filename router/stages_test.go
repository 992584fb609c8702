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

// TestSurplusPrefillEnginesSwitch: while generations wait for memory and prefill engines
// idle, one entry must order the surplus engines to decode, each once, and send them no
// prompts meanwhile. Without the authority it must order none.
func TestSurplusPrefillEnginesSwitch(t *testing.T) {
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
		go func() { _ = r.BalanceStages(ctx, func() (uint64, bool) { return 7, may.Load() }) }()
		time.Sleep(5 * time.Second)
		assert.Empty(t, f.recorded())
		may.Store(true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, []string{"order p1 7"}, f.recorded())
		cancel()
		time.Sleep(30 * time.Second)
	})
}

// TestOrdersEndWithAuthority guards against orders in turns with another leader: a group of orders
// takes long to send, or the process is stopped between two of them, and it leads no more.
func TestOrdersEndWithAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []*router.Endpoint
		for _, id := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
			list = append(list, engine(id, router.Prefill))
		}
		list = append(list, engine("d1", router.Decode), engine("d2", router.Decode))
		var leads atomic.Bool
		leads.Store(true)
		fence := uint64(7)
		sent := 0
		f := &fakeEndpoints{order: func() {
			time.Sleep(4 * time.Second)
			fence++
			sent++
			leads.Store(sent < 2)
		}}
		r := newRouter(f, list...)
		ctx, cancel := contextWithCancel(t)
		go func() { _ = r.BalanceStages(ctx, func() (uint64, bool) { return fence, leads.Load() }) }()
		time.Sleep(30 * time.Second)
		assert.Equal(t, []string{"order p1 7", "order p2 8"}, f.recorded())
		cancel()
		time.Sleep(30 * time.Second)
	})
}

// TestCrashKeepsStages: engines that are missing for a while must still count. Otherwise
// the prefill stage stays too small permanently after some engines crash.
func TestCrashKeepsStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{}
		all := []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("p3", router.Prefill)}
		for _, id := range []string{"d1", "d2", "d3", "d4", "d5", "d6"} {
			all = append(all, engine(id, router.Decode))
		}
		r := newRouter(f, all...)
		ctx, cancel := contextWithCancel(t)
		go func() { _ = r.BalanceStages(ctx, func() (uint64, bool) { return 7, true }) }()
		time.Sleep(2 * time.Second)
		r.SetDirectory(router.NewDirectory(2, 0, nil, []*router.Service{llm}, all[:6]))
		time.Sleep(10 * time.Second)
		assert.Empty(t, f.recorded())
		cancel()
		time.Sleep(30 * time.Second)
	})
}
