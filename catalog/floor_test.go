package catalog_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/catalog"
	"ebonypulley/revision"
)

// listedStore is a store with all states that it ever had, by its count.
type listedStore struct {
	states []map[string]uint64
}

func (s *listedStore) count() uint64 { return uint64(len(s.states) - 1) }

func (s *listedStore) now() map[string]uint64 { return s.states[len(s.states)-1] }

// change writes a key, or removes it.
func (s *listedStore) change(key string, removed bool) {
	next := maps.Clone(s.now())
	s.states = append(s.states, next)
	next[key] = s.count()
	if removed {
		delete(next, key)
	}
}

// listing returns the entries of the store at a count.
func (s *listedStore) listing(count uint64) (list []catalog.Entry) {
	for key, changed := range s.states[count] {
		list = append(list, catalog.Entry{Key: key, Value: []byte(fmt.Sprint(changed)), Revision: revision.Revision{Count: changed}})
	}
	return list
}

// tell hands on to a process what another one knows, in one answer.
func tell(now time.Time, to, from *catalog.Catalog) {
	at := from.Revision()
	if !at.After(to.Revision()) {
		return
	}
	entries, upTo, keys := from.Since(to.Revision())
	to.Merge(now, entries, upTo)
	if keys != nil {
		to.Keep(now, keys, at)
	}
}

// TestEveryoneKnowsWhatIsGone: processes start, list the store or a part of it and tell each other
// in any order, and one of them goes on using what is gone, or misses what is there.
func TestEveryoneKnowsWhatIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &listedStore{states: []map[string]uint64{{}}}
		store.change("a", false)
		now := time.Unix(1000, 0)
		processes := make([]*catalog.Catalog, 4)
		for i := range processes {
			processes[i] = catalog.New()
		}
		anyOf := rapid.IntRange(0, len(processes)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			i := anyOf.Draw(t, "process")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				store.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "removed"))
			case 2:
				if !processes[i].Revision().After(revision.Revision{Count: store.count()}) {
					processes[i].Replace(now, store.listing(store.count()), revision.Revision{Count: store.count()})
				}
			case 3:
				list := store.listing(store.count())
				processes[i].Part(now, list[:len(list)/2])
			case 4:
				tell(now, processes[i], processes[anyOf.Draw(t, "teller")])
			case 5:
				processes[i] = catalog.New()
			}
			for n, c := range processes {
				if c.Whole() {
					knowsExactly(t, c, store, n)
				}
			}
		}
	})
}

// knowsExactly compares what a process knows with the state of the store at its revision.
func knowsExactly(t *rapid.T, c *catalog.Catalog, store *listedStore, process int) {
	want := store.states[c.Revision().Count]
	for _, key := range []string{"a", "b", "c", "d"} {
		e, ok := c.Get(key)
		if ok && e.Revision.After(c.Revision()) {
			continue // newer than all that is known
		}
		changed, there := want[key]
		assert.Equal(t, there, ok, "%s at process %d", key, process)
		if there && ok {
			assert.Equal(t, changed, e.Revision.Count)
		}
	}
}

// TestPartIsNotWhole: a process that has a part of a listing takes what an entry of an earlier
// version tells for all, and keeps what was removed in between.
func TestPartIsNotWhole(t *testing.T) {
	at := func(n uint64) revision.Revision { return revision.Revision{Count: n} }
	now := time.Unix(1000, 0)
	c := catalog.New()
	c.Part(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: at(1)}})
	c.Merge(now, []catalog.Entry{{Key: "a", Value: []byte("v"), Revision: at(3)}}, at(5))
	assert.False(t, c.Whole())
	c.Keep(now, []string{"a"}, at(5))
	assert.True(t, c.Whole())
	_, gone := c.Get("gone")
	_, there := c.Get("a")
	assert.False(t, gone)
	assert.True(t, there)
	c.Part(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: at(1)}})
	assert.True(t, c.Whole())
}
