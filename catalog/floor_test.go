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

// historyStore is a store that keeps its state at each revision count.
type historyStore struct {
	states []map[string]uint64
}

func (s *historyStore) count() uint64 { return uint64(len(s.states) - 1) }

func (s *historyStore) now() map[string]uint64 { return s.states[len(s.states)-1] }

// change writes a key, or removes it.
func (s *historyStore) change(key string, removed bool) {
	next := maps.Clone(s.now())
	s.states = append(s.states, next)
	next[key] = s.count()
	if removed {
		delete(next, key)
	}
}

// listing returns the entries of the store at a count.
func (s *historyStore) listing(count uint64) (list []catalog.Entry) {
	for key, changed := range s.states[count] {
		list = append(list, catalog.Entry{Key: key, Value: []byte(fmt.Sprint(changed)), Revision: revision.Revision{Count: changed}})
	}
	return list
}

// relay merges one batch of changes from another process.
func relay(now time.Time, to, from *catalog.Catalog) {
	at := from.Revision()
	if !at.After(to.Revision()) {
		return
	}
	entries, upTo, keys := from.ChangesSince(to.Revision())
	to.Merge(now, entries, upTo)
	if keys != nil {
		to.RemoveExcept(now, keys, at)
	}
}

// TestRemovalsReachAllProcesses: processes start, list the store or a part of it and relay
// changes in any order. None may keep a removed entry or lack a present one.
func TestRemovalsReachAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &historyStore{states: []map[string]uint64{{}}}
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
					processes[i].MergeListing(now, store.listing(store.count()), revision.Revision{Count: store.count()})
				}
			case 3:
				list := store.listing(store.count())
				processes[i].MergePartialListing(now, list[:len(list)/2])
			case 4:
				relay(now, processes[i], processes[anyOf.Draw(t, "source")])
			case 5:
				processes[i] = catalog.New()
			}
			for n, c := range processes {
				if c.Complete() {
					checkMatchesStore(t, c, store, n)
				}
			}
		}
	})
}

// checkMatchesStore compares a process's catalog with the state of the store at its revision.
func checkMatchesStore(t *rapid.T, c *catalog.Catalog, store *historyStore, process int) {
	want := store.states[c.Revision().Count]
	for _, key := range []string{"a", "b", "c", "d"} {
		e, ok := c.Get(key)
		if ok && e.Revision.After(c.Revision()) {
			continue // newer than the catalog's complete state
		}
		changed, there := want[key]
		assert.Equal(t, there, ok, "%s at process %d", key, process)
		if there && ok {
			assert.Equal(t, changed, e.Revision.Count)
		}
	}
}

// TestPartialListingIsNotComplete: a process that has a part of a listing must not take the
// changes from a process of an earlier version for the complete state, because it would
// keep entries that were removed in between.
func TestPartialListingIsNotComplete(t *testing.T) {
	at := func(n uint64) revision.Revision { return revision.Revision{Count: n} }
	now := time.Unix(1000, 0)
	c := catalog.New()
	c.MergePartialListing(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: at(1)}})
	c.Merge(now, []catalog.Entry{{Key: "a", Value: []byte("v"), Revision: at(3)}}, at(5))
	assert.False(t, c.Complete())
	c.RemoveExcept(now, []string{"a"}, at(5))
	assert.True(t, c.Complete())
	_, gone := c.Get("gone")
	_, there := c.Get("a")
	assert.False(t, gone)
	assert.True(t, there)
	c.MergePartialListing(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: at(1)}})
	assert.True(t, c.Complete())
}
