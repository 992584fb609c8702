package catalog_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/catalog"
	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/revision"
)

// secondEra is a revision of the store's second era.
func secondEra(count uint64) revision.Revision { return revision.Revision{Era: 1, Count: count} }

// newVersioned returns a catalog of values whose first byte is their writer's counter.
func newVersioned() *catalog.Catalog {
	c := catalog.New()
	c.Supersedes = func(_ string, value, than []byte) bool { return bytes.Compare(value, than) > 0 }
	return c
}

// TestRevisionCountsReusedAfterRestore: a store restored from a backup assigns counts again
// that earlier changes had. A new change must not be taken for an old one.
func TestRevisionCountsReusedAfterRestore(t *testing.T) {
	now := time.Unix(100, 0)
	c := newVersioned()
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("5"), Revision: firstEra(31)}}, firstEra(31))
	c.MergeListing(now, []catalog.Entry{{Key: "k", Value: []byte("6"), Revision: secondEra(30)}}, secondEra(30))
	assert.Equal(t, "6", string(entries(c)["k"].Value))
	assert.Equal(t, secondEra(30), c.Revision())
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("7"), Revision: secondEra(31)}}, secondEra(31))
	assert.Equal(t, "7", string(entries(c)["k"].Value))
}

// TestRestoreDoesNotRevertEntries: a backup holds an older value, or an entry that was
// removed later. Neither may replace the known state.
func TestRestoreDoesNotRevertEntries(t *testing.T) {
	now := time.Unix(100, 0)
	c := newVersioned()
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: firstEra(9)}, {Key: "gone", Value: []byte("1"), Revision: firstEra(2)}}, firstEra(9))
	c.Merge(now, []catalog.Entry{{Key: "gone", Removed: true, Revision: firstEra(10)}}, firstEra(10))
	c.MergeListing(now, []catalog.Entry{{Key: "k", Value: []byte("2"), Revision: secondEra(5)}, {Key: "gone", Value: []byte("1"), Revision: secondEra(2)}}, secondEra(6))
	assert.Equal(t, "3", string(entries(c)["k"].Value))
	assert.True(t, entries(c)["gone"].Removed)
	_, until := c.All(now)
	assert.True(t, until.After(now))
	list, _ := c.All(until)
	for _, k := range list {
		assert.False(t, k.Removed, "%s: the store still lists it, so its endpoint is alive", k.Key)
	}
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("4"), Revision: secondEra(7)}}, secondEra(7))
	assert.Equal(t, "4", string(entries(c)["k"].Value))
}

// TestEntriesLostInRestoreAreRemoved: an entry was written after the backup, and its writer
// is gone. It must not stay on a process that learned of the new era from others.
func TestEntriesLostInRestoreAreRemoved(t *testing.T) {
	now := time.Unix(100, 0)
	c := newVersioned()
	c.Merge(now, []catalog.Entry{{Key: "lost", Value: []byte("1"), Revision: firstEra(9)}, {Key: "k", Value: []byte("1"), Revision: firstEra(2)}}, firstEra(9))
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("1"), Revision: secondEra(2)}}, secondEra(4))
	assert.False(t, entries(c)["lost"].Removed, "another process may still relay it")
	now = now.Add(4 * time.Second)
	c.Merge(now, nil, secondEra(5))
	assert.True(t, entries(c)["lost"].Removed)
	assert.False(t, entries(c)["k"].Removed)
}

// TestMergeErasInAnyOrder: processes receive changes of two eras in any order, some of them
// twice and some late. They agree once all have the newest.
func TestMergeErasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		var all []catalog.Entry
		written := byte(0)
		copied := uint64(rapid.IntRange(0, 5).Draw(t, "copied"))
		write := func(at revision.Revision) {
			written++
			all = append(all, catalog.Entry{
				Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Value: []byte{written}, Revision: at,
				Removed: rapid.IntRange(0, 4).Draw(t, "removed") == 0,
			})
		}
		for count := range copied + uint64(rapid.IntRange(0, 5).Draw(t, "lost")) {
			write(firstEra(count + 1))
		}
		before := len(all)
		for count := range uint64(rapid.IntRange(1, 8).Draw(t, "after")) {
			write(secondEra(copied + count + 1))
		}
		last := all[len(all)-1].Revision
		one, other := newVersioned(), newVersioned()
		one.Merge(now, all[before:], last)
		for _, e := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			other.Merge(now, []catalog.Entry{e}, e.Revision)
		}
		later := now.Add(10 * time.Second)
		other.Merge(later, nil, last)
		assert.Equal(t, last, other.Revision())
		got := entriesAt(other, later)
		for key, e := range entriesAt(one, later) {
			assert.Equal(t, e, got[key])
		}
		for key, e := range got {
			assert.True(t, e.Removed || e.Revision.Era == 1, key)
		}
	})
}

// TestEraIsRelayed: a process that can't reach the store receives the new era from one that
// can, unchanged entries included.
func TestEraIsRelayed(t *testing.T) {
	now := time.Unix(100, 0)
	from, to := newVersioned(), newVersioned()
	same := func(_ string, a, b []byte) bool { return a[0] == b[0] }
	from.Equivalent, to.Equivalent = same, same
	first := []catalog.Entry{{Key: "a", Value: []byte("1a"), Revision: firstEra(1)}, {Key: "b", Value: []byte("1"), Revision: firstEra(2)}}
	from.Merge(now, first, firstEra(9))
	to.Merge(now, first, firstEra(9))
	from.MergeListing(now, []catalog.Entry{{Key: "a", Value: []byte("1b"), Revision: secondEra(1)}, {Key: "b", Value: []byte("2"), Revision: secondEra(3)}}, secondEra(3))
	changes, upTo, _ := from.ChangesSince(to.Revision())
	to.Merge(now, changes, upTo)
	later := now.Add(10 * time.Second)
	to.Merge(later, nil, upTo)
	assert.Equal(t, entriesAt(from, later), entriesAt(to, later))
	back, _, _ := to.ChangesSince(firstEra(9))
	assert.Len(t, back, 2, "it relays them in turn")
}

// TestSupersedingValueIsRelayed: the store is restored from a backup with an older value,
// which a starting process reads. It must take the newer value from a process that kept
// it, whichever comes first, and relay it.
func TestSupersedingValueIsRelayed(t *testing.T) {
	now := time.Unix(100, 0)
	listed := []catalog.Entry{{Key: "k", Value: []byte("2"), Revision: secondEra(5)}, {Key: "same", Value: []byte("7"), Revision: secondEra(5)}}
	former := newVersioned()
	former.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: firstEra(9)}, {Key: "same", Value: []byte("6"), Revision: firstEra(8)}}, firstEra(9))
	assert.Empty(t, former.SupersedingEntries())
	former.MergeListing(now, listed, secondEra(6))
	kept := former.SupersedingEntries()
	assert.Equal(t, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: secondEra(5)}}, kept)

	after, before := newVersioned(), newVersioned()
	after.MergeListing(now, listed, secondEra(6))
	assert.Len(t, after.Merge(now, kept, revision.Revision{}), 1)
	before.Merge(now, kept, secondEra(6))
	before.MergeListing(now, listed, secondEra(6))
	for _, c := range []*catalog.Catalog{after, before} {
		assert.Equal(t, "3", string(entries(c)["k"].Value))
		assert.Equal(t, kept, c.SupersedingEntries())
		c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("4"), Revision: secondEra(7)}}, secondEra(7))
		assert.Empty(t, c.SupersedingEntries())
	}
}
