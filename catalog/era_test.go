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

// second is a revision of the store's second era.
func second(count uint64) revision.Revision { return revision.Revision{Era: 1, Count: count} }

// newEras returns a catalog of values whose writers count them by their first byte.
func newEras() *catalog.Catalog {
	c := catalog.New()
	c.Supersedes = func(_ string, value, than []byte) bool { return bytes.Compare(value, than) > 0 }
	return c
}

// TestCountsAreGivenOutAgain: the store comes back from a copy, and a change has a count that was
// known for another one. It is taken for old.
func TestCountsAreGivenOutAgain(t *testing.T) {
	now := time.Unix(100, 0)
	c := newEras()
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("5"), Revision: at(31)}}, at(31))
	c.Replace(now, []catalog.Entry{{Key: "k", Value: []byte("6"), Revision: second(30)}}, second(30))
	assert.Equal(t, "6", string(entries(c)["k"].Value))
	assert.Equal(t, second(30), c.Revision())
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("7"), Revision: second(31)}}, second(31))
	assert.Equal(t, "7", string(entries(c)["k"].Value))
}

// TestCopyBringsNothingBack: a copy holds an older value, or an entry that was removed since.
// They take the place of what is known.
func TestCopyBringsNothingBack(t *testing.T) {
	now := time.Unix(100, 0)
	c := newEras()
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: at(9)}, {Key: "gone", Value: []byte("1"), Revision: at(2)}}, at(9))
	c.Merge(now, []catalog.Entry{{Key: "gone", Removed: true, Revision: at(10)}}, at(10))
	c.Replace(now, []catalog.Entry{{Key: "k", Value: []byte("2"), Revision: second(5)}, {Key: "gone", Value: []byte("1"), Revision: second(2)}}, second(6))
	assert.Equal(t, "3", string(entries(c)["k"].Value))
	assert.True(t, entries(c)["gone"].Removed)
	_, until := c.All(now)
	assert.True(t, until.After(now))
	list, _ := c.All(until)
	for _, k := range list {
		assert.False(t, k.Removed, "%s: the store goes on listing it, so that it lives", k.Key)
	}
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("4"), Revision: second(7)}}, second(7))
	assert.Equal(t, "4", string(entries(c)["k"].Value))
}

// TestLostEntriesAreGone: an entry was written after the copy was made, and its writer is dead.
// It counts for ever on a process that learned of the new era from others.
func TestLostEntriesAreGone(t *testing.T) {
	now := time.Unix(100, 0)
	c := newEras()
	c.Merge(now, []catalog.Entry{{Key: "lost", Value: []byte("1"), Revision: at(9)}, {Key: "k", Value: []byte("1"), Revision: at(2)}}, at(9))
	c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("1"), Revision: second(2)}}, second(4))
	assert.False(t, entries(c)["lost"].Removed, "others may be about to hand it on")
	now = now.Add(4 * time.Second)
	c.Merge(now, nil, second(5))
	assert.True(t, entries(c)["lost"].Removed)
	assert.False(t, entries(c)["k"].Removed)
}

// TestErasInAnyOrder: processes hear changes of two eras in any order, some of them twice and
// some late. They agree once the newest is known to all.
func TestErasInAnyOrder(t *testing.T) {
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
			write(at(count + 1))
		}
		before := len(all)
		for count := range uint64(rapid.IntRange(1, 8).Draw(t, "after")) {
			write(second(copied + count + 1))
		}
		last := all[len(all)-1].Revision
		one, other := newEras(), newEras()
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

// TestEraIsHandedOn: an entry that can't reach the store learns the new era from one that does,
// also what did not change.
func TestEraIsHandedOn(t *testing.T) {
	now := time.Unix(100, 0)
	from, to := newEras(), newEras()
	same := func(a, b []byte) bool { return a[0] == b[0] }
	from.Same, to.Same = same, same
	first := []catalog.Entry{{Key: "a", Value: []byte("1a"), Revision: at(1)}, {Key: "b", Value: []byte("1"), Revision: at(2)}}
	from.Merge(now, first, at(9))
	to.Merge(now, first, at(9))
	from.Replace(now, []catalog.Entry{{Key: "a", Value: []byte("1b"), Revision: second(1)}, {Key: "b", Value: []byte("2"), Revision: second(3)}}, second(3))
	news, upTo, _ := from.Since(to.Revision())
	to.Merge(now, news, upTo)
	later := now.Add(10 * time.Second)
	to.Merge(later, nil, upTo)
	assert.Equal(t, entriesAt(from, later), entriesAt(to, later))
	back, _, _ := to.Since(at(9))
	assert.Len(t, back, 2, "and hands it on in turn")
}

// TestKeptIsHandedOn: the store comes back from a copy with an older value, which a process that
// starts then reads. It must take the newer one from one that kept it, in any order, and hand it on.
func TestKeptIsHandedOn(t *testing.T) {
	now := time.Unix(100, 0)
	listed := []catalog.Entry{{Key: "k", Value: []byte("2"), Revision: second(5)}, {Key: "same", Value: []byte("7"), Revision: second(5)}}
	former := newEras()
	former.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: at(9)}, {Key: "same", Value: []byte("6"), Revision: at(8)}}, at(9))
	assert.Empty(t, former.Kept())
	former.Replace(now, listed, second(6))
	kept := former.Kept()
	assert.Equal(t, []catalog.Entry{{Key: "k", Value: []byte("3"), Revision: second(5)}}, kept)

	after, before := newEras(), newEras()
	after.Replace(now, listed, second(6))
	assert.Len(t, after.Merge(now, kept, revision.Revision{}), 1)
	before.Merge(now, kept, second(6))
	before.Replace(now, listed, second(6))
	for _, c := range []*catalog.Catalog{after, before} {
		assert.Equal(t, "3", string(entries(c)["k"].Value))
		assert.Equal(t, kept, c.Kept())
		c.Merge(now, []catalog.Entry{{Key: "k", Value: []byte("4"), Revision: second(7)}}, second(7))
		assert.Empty(t, c.Kept())
	}
}
