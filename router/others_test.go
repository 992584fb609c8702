package router_test

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// heardFrom returns loads that some other entries told of, each of ten engines.
func heardFrom(others, engines int) *router.Loads {
	l := router.NewLoads()
	now := time.Now()
	for i := range others {
		work := make(map[string]router.Load)
		for j := range 10 {
			work["engine-"+strconv.Itoa((7*i+j)%engines)] = router.Load{Decodes: 1, KV: 5000}
		}
		l.Hear(now, "entry-"+strconv.Itoa(i), work, nil)
	}
	return l
}

const manyEngines = 120

// look asks for the work at each engine, as one look for room does.
func look(l *router.Loads, ids []string) (kv int) {
	now := time.Now()
	for _, id := range ids {
		kv += l.View(now, id).KV
	}
	return kv
}

func engineIDs() []string {
	ids := make([]string, 0, manyEngines)
	for i := range manyEngines {
		ids = append(ids, "engine-"+strconv.Itoa(i))
	}
	return ids
}

// BenchmarkLook measures a look at 120 engines beside 3 and 67 other entries.
func BenchmarkLook(b *testing.B) {
	ids := engineIDs()
	for _, others := range []int{3, 67} {
		b.Run(strconv.Itoa(others), func(b *testing.B) {
			l := heardFrom(others, manyEngines)
			for range b.N {
				look(l, ids)
			}
		})
	}
}

// TestLooksDoNotGrowWithEntries: in a burst on a fleet of 68 entries, drafts that
// wait for room keep the processor of the smallest entries busy with looking, and
// everything else there is late. Each look asked for the work of each other entry at
// each engine, so that it took a dozen times as long as in a fleet of four.
//
// A look at 120 engines took 0.207 ms of a core beside 67 others, 0.016 beside 3.
func TestLooksDoNotGrowWithEntries(t *testing.T) {
	ids := engineIDs()
	least := func(others int) time.Duration {
		l := heardFrom(others, manyEngines)
		best := time.Hour
		for range 200 {
			began := time.Now()
			look(l, ids)
			best = min(best, time.Since(began))
		}
		return best
	}
	few, many := least(3), least(67)
	t.Logf("%v beside 3 others, %v beside 67", few, many)
	assert.Less(t, many, 4*few)
}

// TestOthersSumsFollowTheirWords: the work of others is what each last said, and
// nothing of those that fell silent, whatever is asked between.
func TestOthersSumsFollowTheirWords(t *testing.T) {
	l := router.NewLoads()
	now := time.Unix(1000, 0)
	say := func(d time.Duration, from string, kv int) {
		l.Hear(now.Add(d), from, map[string]router.Load{"e": {Decodes: 1, KV: kv}}, nil)
	}
	kv := func(d time.Duration) int { return l.View(now.Add(d), "e").KV }
	say(0, "a", 100)
	say(time.Second, "b", 10)
	assert.Equal(t, 110, kv(time.Second))
	say(1500*time.Millisecond, "b", 20)
	assert.Equal(t, 120, kv(2*time.Second))
	assert.Equal(t, 20, kv(2100*time.Millisecond), "a is silent for longer than its word counts")
	assert.Equal(t, 20, kv(3500*time.Millisecond))
	assert.Zero(t, kv(3600*time.Millisecond))
	say(4*time.Second, "a", 7)
	assert.Equal(t, 7, kv(4*time.Second))
	l.Hear(now.Add(5*time.Second), "a", nil, nil)
	assert.Zero(t, kv(5*time.Second))
}

// TestFailuresAreKnownToAll: for seconds drafts are lost at one engine of ten that
// answers every question whether it lives. Each of forty entries finds out by itself,
// at the cost of a draft, and meets the engine so seldom that it forgets in between.
// What one entry saw fail, all shun while it is fresh; once it is old, one of them
// tries the engine again.
//
// In eight seconds 681 drafts of 2,500 were tried again on a day on which 13 of 120
// engines reset their connections.
func TestFailuresAreKnownToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, drafts = 40, 300
		lost := 0
		f := &fakeEndpoints{generate: func(e *router.Endpoint, _ router.Start) error {
			if e.ID == "d0" {
				lost++
				return router.ErrLost.New("reset")
			}
			return nil
		}}
		var list []*router.Endpoint
		for i := range 10 {
			list = append(list, engine("d"+strconv.Itoa(i), router.Decode))
		}
		var all []*router.Router
		for range entries {
			all = append(all, newRouter(f, list...))
		}
		var wg sync.WaitGroup
		for i := range drafts {
			r := all[i%entries]
			wg.Go(func() { _, _ = r.Generate(t.Context(), newCall(draftRoute, llm), new(fakeSink)) })
			time.Sleep(20 * time.Millisecond)
			if i%10 == 9 {
				tellAll(all)
			}
		}
		wg.Wait()
		assert.Positive(t, lost)
		assert.LessOrEqual(t, lost, drafts/10/3, "a third of what would come there")
	})
}

// tellAll lets each router tell the others what it knows.
func tellAll(all []*router.Router) {
	now := time.Now()
	for i, from := range all {
		work, _ := from.Loads().Own()
		for _, to := range all {
			if to != from {
				to.Loads().Hear(now, strconv.Itoa(i), work, from.Loads().OwnDemand(now))
				to.Loads().HearAvoided(now, strconv.Itoa(i), from.Loads().Avoided(now))
			}
		}
	}
}

// TestOutageIsToldInFew: every engine of a large fleet fails at once, and what each
// entry tells all others of it fills their links.
func TestOutageIsToldInFew(t *testing.T) {
	l := router.NewLoads()
	now := time.Unix(1000, 0)
	for i := range 500 {
		l.Failed(now.Add(time.Duration(i)*time.Millisecond), "engine-"+strconv.Itoa(i))
		l.Silent(now.Add(time.Duration(i)*time.Millisecond), "other-"+strconv.Itoa(i))
	}
	told := l.Avoided(now.Add(500 * time.Millisecond))
	assert.Len(t, told, 32)
	assert.Equal(t, "engine-499", told[0].Endpoint, "the newest")
}
