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

// at is a revision of the store's first era.
func at(count uint64) revision.Revision { return revision.Revision{Count: count} }

func entries(c *catalog.Catalog) map[string]catalog.Entry { return entriesAt(c, time.Unix(100, 0)) }

func entriesAt(c *catalog.Catalog, now time.Time) map[string]catalog.Entry {
	out := make(map[string]catalog.Entry)
	list, _ := c.All(now)
	for _, k := range list {
		out[k.Key] = k.Entry
	}
	return out
}

// TestMergeInAnyOrder: two entries disagree for ever about the configuration.
// They heard the same changes in another order, some of them twice.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		var all []catalog.Entry
		for rev := range uint64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			all = append(all, catalog.Entry{
				Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Revision: at(rev + 1),
				Removed:  rapid.Bool().Draw(t, "removed"),
			})
		}
		one, other := catalog.New(), catalog.New()
		one.Merge(now, all, at(uint64(len(all))))
		shuffled := rapid.Permutation(append(all, all...)).Draw(t, "order")
		for _, e := range shuffled {
			other.Merge(now, []catalog.Entry{e}, e.Revision)
		}
		assert.Equal(t, entries(one), entries(other))
		assert.Equal(t, one.Revision(), other.Revision())
	})
}

// TestNeverBack: a configuration reverts. A stale reader hands on an older
// revision, or a value whose removal is known.
func TestNeverBack(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(7), Value: []byte("new")}, {Key: "gone", Revision: at(8), Removed: true}}, at(8))
	news := c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(5), Value: []byte("old")}, {Key: "gone", Revision: at(6)}}, at(6))
	assert.Empty(t, news)
	assert.Equal(t, "new", string(entries(c)["k"].Value))
	assert.True(t, entries(c)["gone"].Removed)
	assert.Equal(t, at(8), c.Revision())
}

// TestReplace: a worker that left stays in use. The store dropped its history,
// so that only a listing tells what is gone; what is newer than the listing
// stays.
func TestReplace(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "old", Revision: at(1)}, {Key: "kept", Revision: at(2)}, {Key: "newer", Revision: at(9)}}, at(9))
	c.Replace(now, []catalog.Entry{{Key: "kept", Revision: at(2)}}, at(5))
	assert.True(t, entries(c)["old"].Removed)
	assert.False(t, entries(c)["kept"].Removed)
	assert.False(t, entries(c)["newer"].Removed)
}

func TestSince(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Merge(now, []catalog.Entry{{Key: "a", Revision: at(3)}, {Key: "b", Revision: at(6), Removed: true}}, at(7))
	got, upTo, _ := c.Since(at(3))
	assert.Equal(t, []catalog.Entry{{Key: "b", Revision: at(6), Removed: true}}, got)
	assert.Equal(t, at(7), upTo)
}

// TestHeartbeatsAreNoNews: the network of each entry fills with the heartbeats
// of thousands of workers, which change a counter only.
func TestHeartbeatsAreNoNews(t *testing.T) {
	now := time.Unix(100, 0)
	c := catalog.New()
	c.Same = func(a, b []byte) bool { return a[0] == b[0] }
	c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(1), Value: []byte("a1")}}, at(1))
	assert.Empty(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(2), Value: []byte("a2")}}, at(2)))
	news, upTo, _ := c.Since(at(1))
	assert.Empty(t, news)
	assert.Equal(t, at(2), upTo)
	assert.Len(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(3), Value: []byte("b3")}}, at(3)), 1)
	assert.Len(t, c.Merge(now, []catalog.Entry{{Key: "k", Revision: at(4), Removed: true}}, at(4)), 1)
}

// TestLapsedEntriesComeBack: callers are refused for want of endpoints right
// after the store's return. Entries lapsed while it was away and their
// endpoints live; they count for as long as they may take to be listed again.
// What is removed while the store is there is gone at once.
func TestLapsedEntriesComeBack(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 5 * time.Second} {
		c := catalog.New()
		now := time.Unix(100, 0)
		c.Merge(now, []catalog.Entry{{Key: "lives", Value: []byte("v"), Revision: at(1)}, {Key: "gone", Value: []byte("v"), Revision: at(2)}}, at(2))
		now = now.Add(away)
		c.Merge(now, []catalog.Entry{{Key: "lives", Revision: at(3), Removed: true}, {Key: "gone", Revision: at(4), Removed: true}}, at(4))
		removed := func() (n int) {
			list, _ := c.All(now)
			for _, k := range list {
				if k.Removed {
					n++
				}
			}
			return n
		}
		if away < 3*time.Second {
			assert.Equal(t, 2, removed())
			continue
		}
		assert.Zero(t, removed())
		now = now.Add(time.Second)
		c.Merge(now, []catalog.Entry{{Key: "lives", Value: []byte("v"), Revision: at(5)}}, at(5))
		_, until := c.All(now)
		assert.True(t, until.After(now))
		now = until
		assert.Equal(t, 1, removed(), "the one that did not come back")
	}
}

// TestSinceIsBounded: an entry runs out of memory. Others started together and
// ask it for thousands of entries; each gets them in parts, and has all of them
// in the end.
func TestSinceIsBounded(t *testing.T) {
	const keys = 1000
	now := time.Unix(100, 0)
	full, other := catalog.New(), catalog.New()
	for rev := range uint64(keys) {
		full.Merge(now, []catalog.Entry{{Key: strconv.FormatUint(rev, 10), Revision: at(rev + 1)}}, at(rev+1))
	}
	full.Merge(now, []catalog.Entry{{Key: "0", Revision: at(keys + 1)}}, at(keys+1))
	rounds := 0
	for full.Revision().After(other.Revision()) {
		part, upTo, _ := full.Since(other.Revision())
		assert.LessOrEqual(t, len(part), 300)
		other.Merge(now, part, upTo)
		rounds++
	}
	assert.Equal(t, entries(full), entries(other))
	assert.Equal(t, 4, rounds)
}

// TestGoneStaysGoneInASecondOutage: an endpoint whose entry lapsed in an outage did not come back.
// The store is away once more, and requests go to the endpoint again.
func TestGoneStaysGoneInASecondOutage(t *testing.T) {
	c := catalog.New()
	now := time.Unix(100, 0)
	c.Merge(now, []catalog.Entry{{Key: "gone", Value: []byte("v"), Revision: at(1)}}, at(1))
	now = now.Add(5 * time.Second)
	c.Merge(now, []catalog.Entry{{Key: "gone", Revision: at(2), Removed: true}}, at(2))
	assert.False(t, entriesAt(c, now)["gone"].Removed, "it may only have lapsed")
	now = now.Add(5 * time.Second)
	c.Merge(now, nil, at(3))
	assert.True(t, entriesAt(c, now)["gone"].Removed)
}
