package catalog_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/catalog"
	"ebonypulley/revision"
)

// firstEra is a revision of the store's first era.
func firstEra(count uint64) revision.Revision { return revision.Revision{Count: count} }

func entries(c *catalog.Catalog) map[string]catalog.Entry { return entriesAt(c, time.Unix(100, 0)) }

func entriesAt(c *catalog.Catalog, now time.Time) map[string]catalog.Entry {
	out := make(map[string]catalog.Entry)
	list, _ := c.All(now)
	for _, k := range list {
		out[k.Key] = k.Entry
	}
	return out
}

// TestMergeInAnyOrder: two processes that receive the same changes in different orders,
// some of them twice, must not end with different configurations.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		var all []catalog.Entry
		for rev := range uint64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			all = append(all, catalog.Entry{
				Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Revision: firstEra(rev + 1),
				Removed:  rapid.Bool().Draw(t, "removed"),
			})
		}
		one, other := catalog.New(), catalog.New()
		one.Merge(now, all, firstEra(uint64(len(all))))
		shuffled := rapid.Permutation(append(all, all...)).Draw(t, "order")
		for _, e := range shuffled {
			other.Merge(now, []catalog.Entry{e}, e.Revision)
		}
		assert.Equal(t, entries(one), entries(other))
		assert.Equal(t, one.Revision(), other.Revision())
	})
}

// TestOlderRevisionIsIgnored: a process with stale state relays an older revision, or a
// value whose removal is known, and the configuration would revert.
func TestOlderRevisionIsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(7), Value: []byte("new")}, {Key: "gone", Revision: firstEra(8), Removed: true}}, firstEra(8))
	changes := c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(5), Value: []byte("old")}, {Key: "gone", Revision: firstEra(6)}}, firstEra(6))
	assert.Empty(t, changes)
	assert.Equal(t, "new", string(entries(c)["k"].Value))
	assert.True(t, entries(c)["gone"].Removed)
	assert.Equal(t, firstEra(8), c.Revision())
}

// TestMergeListing: after the store has compacted its history, only a listing shows which keys
// were removed. MergeListing must remove the keys that the listing lacks, as a removed
// endpoint would otherwise stay in use, but keep entries newer than the listing.
func TestMergeListing(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "old", Revision: firstEra(1)}, {Key: "kept", Revision: firstEra(2)}, {Key: "newer", Revision: firstEra(9)}}, firstEra(9))
	c.MergeListing(now, []catalog.Entry{{Key: "kept", Revision: firstEra(2)}}, firstEra(5))
	assert.True(t, entries(c)["old"].Removed)
	assert.False(t, entries(c)["kept"].Removed)
	assert.False(t, entries(c)["newer"].Removed)
}

// TestChangesSince: ChangesSince returns what changed after a revision, removals included.
func TestChangesSince(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "a", Revision: firstEra(3)}, {Key: "b", Revision: firstEra(6), Removed: true}}, firstEra(7))
	got, upTo, _ := c.ChangesSince(firstEra(3))
	assert.Equal(t, []catalog.Entry{{Key: "b", Revision: firstEra(6), Removed: true}}, got)
	assert.Equal(t, firstEra(7), upTo)
}

// TestHeartbeatsAreNotChanges: heartbeats of thousands of workers, which only change a
// counter, must not be relayed, because they would fill the network of each entry.
func TestHeartbeatsAreNotChanges(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Equivalent = func(_ string, a, b []byte) bool { return a[0] == b[0] }
	c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(1), Value: []byte("a1")}}, firstEra(1))
	assert.Empty(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(2), Value: []byte("a2")}}, firstEra(2)))
	changes, upTo, _ := c.ChangesSince(firstEra(1))
	assert.Empty(t, changes)
	assert.Equal(t, firstEra(2), upTo)
	assert.Len(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(3), Value: []byte("b3")}}, firstEra(3)), 1)
	assert.Len(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: firstEra(4), Removed: true}}, firstEra(4)), 1)
}

// TestExpiredEntriesCountAfterOutage: entries of live endpoints expire while the store is
// unavailable. They count until their endpoints had time to register again; otherwise
// requests would be refused for lack of endpoints right after the store's return. An
// entry that is removed while the store is available is removed at once.
func TestExpiredEntriesCountAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 5 * time.Second} {
		c := catalog.New()
		now := time.Unix(100, 0)
		c.Merge(now, []catalog.Entry{{Key: "lives", Value: []byte("v"), Revision: firstEra(1)}, {Key: "gone", Value: []byte("v"), Revision: firstEra(2)}}, firstEra(2))
		now = now.Add(outage)
		c.Merge(now, []catalog.Entry{{Key: "lives", Revision: firstEra(3), Removed: true}, {Key: "gone", Revision: firstEra(4), Removed: true}}, firstEra(4))
		removed := func() (n int) {
			list, _ := c.All(now)
			for _, k := range list {
				if k.Removed {
					n++
				}
			}
			return n
		}
		if outage < 3*time.Second {
			assert.Equal(t, 2, removed())
			continue
		}
		assert.Zero(t, removed())
		now = now.Add(time.Second)
		c.Merge(now, []catalog.Entry{{Key: "lives", Value: []byte("v"), Revision: firstEra(5)}}, firstEra(5))
		_, until := c.All(now)
		assert.True(t, until.After(now))
		now = until
		assert.Equal(t, 1, removed(), "the entry that was not listed again")
	}
}

// TestChangesSinceIsBounded: many processes that start together request thousands of entries
// from one process, which would run out of memory. Each gets them in batches, and all
// of them in the end.
func TestChangesSinceIsBounded(t *testing.T) {
	const keys = 1000
	now := time.Unix(100, 0)
	full, other := catalog.New(), catalog.New()
	for rev := range uint64(keys) {
		full.Merge(now, []catalog.Entry{{Key: strconv.FormatUint(rev, 10), Revision: firstEra(rev + 1)}}, firstEra(rev+1))
	}
	full.Merge(now, []catalog.Entry{{Key: "0", Revision: firstEra(keys + 1)}}, firstEra(keys+1))
	rounds := 0
	for full.Revision().After(other.Revision()) {
		part, upTo, _ := full.ChangesSince(other.Revision())
		assert.LessOrEqual(t, len(part), 300)
		other.Merge(now, part, upTo)
		rounds++
	}
	assert.Equal(t, entries(full), entries(other))
	assert.Equal(t, 4, rounds)
}

// TestRemovedEntryStaysRemovedInSecondOutage: an endpoint whose entry expired in an outage
// did not register again. In a second outage it must not receive requests.
func TestRemovedEntryStaysRemovedInSecondOutage(t *testing.T) {
	c := catalog.New()
	now := time.Unix(100, 0)
	c.Merge(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: firstEra(1)}}, firstEra(1))
	now = now.Add(5 * time.Second)
	c.Merge(now, []catalog.Entry{{Key: "gone", Revision: firstEra(2), Removed: true}}, firstEra(2))
	assert.False(t, entriesAt(c, now)["gone"].Removed, "it may only have expired")
	now = now.Add(5 * time.Second)
	c.Merge(now, nil, firstEra(3))
	assert.True(t, entriesAt(c, now)["gone"].Removed)
}
