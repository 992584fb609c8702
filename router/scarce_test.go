package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
	"ebonypulley/router"
)

// scarceLoad is a load of three ranks and 16 workspaces of sizes 1 to 20.
type scarceLoad struct {
	routes     []*router.Route
	workspaces []*router.Workspace
	rnd        *rand.Rand
}

func newScarceLoad(seed uint64) *scarceLoad {
	l := &scarceLoad{rnd: rand.New(rand.NewPCG(seed, seed))}
	for rank, target := range []time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second} {
		route := resumableRoute
		route.Name, route.Rank, route.LatencyTarget = fmt.Sprint("rank-", rank), rank, target
		route.Services = []router.Share{{Service: "llm", Weight: 1}}
		l.routes = append(l.routes, &route)
	}
	for i := range 16 {
		size := 1 + 19*i/15
		w := &router.Workspace{Name: fmt.Sprint("w", i), ID: quota.ID(i + 1), Rank: router.NoRank}
		for range size {
			l.workspaces = append(l.workspaces, w)
		}
	}
	return l
}

// pick returns a call of a random rank and workspace.
func (l *scarceLoad) pick() *router.Call {
	c := newCall(*l.routes[l.rnd.IntN(len(l.routes))], llm)
	c.Workspace = l.workspaces[l.rnd.IntN(len(l.workspaces))]
	return c
}

// tally counts calls and how they were served.
type tally struct{ calls, onTime, late float64 }

func (t tally) add(o tally) tally {
	return tally{t.calls + o.calls, t.onTime + o.onTime, t.late + o.late}
}

// worth counts a late answer as a tenth of one on time.
func (t tally) worth() float64 { return (t.onTime + 0.1*t.late) / max(t.calls, 1) }

// scarceResult is how a scarceLoad was served.
type scarceResult struct {
	mu          sync.Mutex
	byRank      map[int]tally
	byWorkspace map[string]tally
}

func (res *scarceResult) record(c *router.Call, one tally) {
	res.mu.Lock()
	defer res.mu.Unlock()
	res.byRank[c.Route.Rank] = res.byRank[c.Route.Rank].add(one)
	res.byWorkspace[c.Workspace.Name] = res.byWorkspace[c.Workspace.Name].add(one)
}

// worth is the part served of all, each rank counting twice as much as the next.
func (res *scarceResult) worth() float64 {
	return (4*res.byRank[0].worth() + 2*res.byRank[1].worth() + res.byRank[2].worth()) / 7
}

// generateTwice sends a call, and once more if it is refused.
func generateTwice(ctx context.Context, r *router.Router, c *router.Call) tally {
	s := new(fakeSink)
	_, fail := r.Generate(ctx, c, s)
	if fail != nil && fail.RetryAfter > 0 {
		time.Sleep(fail.RetryAfter)
		again := *c
		again.Timeout -= time.Since(c.ReceivedAt)
		again.ReceivedAt = time.Now()
		s = new(fakeSink)
		_, fail = r.Generate(ctx, &again, s)
	}
	switch {
	case fail != nil:
		return tally{calls: 1}
	case s.first.Sub(c.ReceivedAt) <= c.Route.LatencyTarget:
		return tally{calls: 1, onTime: 1}
	}
	return tally{calls: 1, late: 1}
}

// playScarce plays twice the load that the engines' memory serves for ten seconds, after some
// seconds of ordinary load.
func playScarce(t *testing.T, seed uint64, res *scarceResult) {
	f := &fakeEndpoints{events: 30, pause: 100 * time.Millisecond}
	engines := []*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill)}
	for i := range 4 {
		engines = append(engines, engine(fmt.Sprint("d", i), router.Decode))
	}
	r := newRouter(f, engines...)
	load := newScarceLoad(seed)
	r.SetDirectory(router.NewDirectory(2, 0, load.routes, []*router.Service{llm}, engines).WithWorkspaces(load.workspaces))
	var wg sync.WaitGroup
	for range 60 {
		c := load.pick()
		wg.Go(func() { generateTwice(t.Context(), r, c) })
		time.Sleep(120 * time.Millisecond)
	}
	for range 300 {
		c := load.pick()
		wg.Go(func() { res.record(c, generateTwice(t.Context(), r, c)) })
		time.Sleep(33 * time.Millisecond)
	}
	wg.Wait()
}

// TestTwiceTheRoom: for ten seconds twice as many generations arrive as the engines have memory
// for. Urgent ones must be served at least as well as less urgent ones, and no rank and no
// workspace may be starved.
func TestTwiceTheRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := &scarceResult{byRank: make(map[int]tally), byWorkspace: make(map[string]tally)}
		for seed := range uint64(4) {
			playScarce(t, seed, res)
		}
		mean := (res.byRank[0].worth() + res.byRank[1].worth() + res.byRank[2].worth()) / 3
		t.Logf("worth %.3f, mean of the ranks %.3f", res.worth(), mean)
		for rank := range 3 {
			t.Logf("rank %d: %.3f of %+v", rank, res.byRank[rank].worth(), res.byRank[rank])
			assert.GreaterOrEqual(t, res.byRank[rank].worth(), mean/4, "rank %d", rank)
		}
		assert.GreaterOrEqual(t, res.byRank[0].worth(), 0.95, "a third of the load, and of two thirds of the room")
		assert.GreaterOrEqual(t, res.byRank[0].worth(), res.byRank[1].worth())
		assert.GreaterOrEqual(t, res.byRank[1].worth(), res.byRank[2].worth())
		for name, served := range res.byWorkspace {
			t.Logf("%s: %.3f of %+v", name, served.worth(), served)
			assert.GreaterOrEqual(t, served.worth(), mean/4, name)
		}
	})
}
