package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
	"ebonypulley/share"
)

// fullEngine returns a router whose only engine has room for one more generation, and what
// waits at another entry.
func fullEngine(elsewhere []share.Demand) (*router.Router, *scarceLoad) {
	r := newRouter(new(fakeEndpoints), engine("d", router.Decode))
	load := newScarceLoad(1)
	r.SetDirectory(router.NewDirectory(2, 0, load.routes, []*router.Service{llm}, []*router.Endpoint{engine("d", router.Decode)}))
	r.Loads().Begin("d", router.Load{Decodes: 8, KVTokens: 48800})
	r.Shares().Merge(time.Now(), "other", elsewhere, nil)
	return r, load
}

// TestRoomIsLeftToUrgentElsewhere: a less urgent generation must not take room for which urgent
// ones wait at another entry. If that entry falls silent, it gets the room a second later.
func TestRoomIsLeftToUrgentElsewhere(t *testing.T) {
	waited := func(rank int, elsewhere []share.Demand) (d time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			r, load := fullEngine(elsewhere)
			began := time.Now()
			s := new(fakeSink)
			_, fail := r.Generate(t.Context(), newCall(*load.routes[rank], llm), s)
			assert.Nil(t, fail)
			d = s.first.Sub(began)
		})
		return d
	}
	urgent := []share.Demand{{Service: "llm", Rank: 0, Waiting: 15_000}}
	assert.Less(t, waited(2, nil), 500*time.Millisecond, "nobody waits elsewhere")
	assert.Less(t, waited(0, urgent), 500*time.Millisecond, "of the same rank")
	assert.Less(t, waited(2, []share.Demand{{Service: "other", Rank: 0, Waiting: 15_000}}), 500*time.Millisecond, "for another service")
	// What is on its way elsewhere takes all that becomes free for seconds.
	displaced := []share.Demand{{Service: "llm", Rank: 0, Waiting: 400_000}}
	synctest.Test(t, func(t *testing.T) {
		r, load := fullEngine(displaced)
		refusedAtOnce(t, router.NotRun, func() *router.Failure {
			_, fail := r.Generate(t.Context(), newCall(*load.routes[2], llm), new(fakeSink))
			return fail
		})
	})
	assert.InDelta(t, 1.1, waited(2, urgent).Seconds(), 0.15)
}
