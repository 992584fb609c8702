package release_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// twoVersions returns a tracker that knows endpoints of two versions and expects other entries.
func twoVersions(now time.Time) *release.Tracker {
	r := release.NewTracker()
	r.ExpectOthers()
	r.SetEndpoints(now, "llm", []release.Endpoint{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}})
	return r
}

// TestWithheldVersionIsNotWorkedOut guards against an entry that has heard that a stream may begin at
// another version, and resumes it at the preferred one before it hears where it began.
func TestWithheldVersionIsNotWorkedOut(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		now := time.Now()
		from, to := twoVersions(now.Add(-time.Minute)), twoVersions(now.Add(-time.Minute))
		sent := uint64(0)
		tell := func() {
			updates, upTo := from.Updates(now, sent)
			to.Merge(now, updates)
			sent = upTo
		}
		find := func() release.Finding {
			return to.Find(now, release.Query{Service: "llm", Request: "r", After: now, Before: now})
		}
		to.Confirm(now, now)
		assert.True(t, find().Found(), "worked out")
		from.Withhold(now, "llm", "r")
		tell()
		assert.False(t, find().Found(), "withheld")
		from.Begin(now, now, "llm", "r", version)
		tell()
		assert.Equal(t, version, find().Version)
		assert.Equal(t, release.Told, find().Source)
	}
}

// TestWithheldStreamWaitsForAll guards against streams that begin although not all have heard of them,
// callers that wait for an entry that is cut off one after the other, and waits of a single entry.
func TestWithheldStreamWaitsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxWait = 400 * time.Millisecond
		r := twoVersions(time.Now())
		wait := func(want bool, took time.Duration) {
			t.Helper()
			began := time.Now()
			assert.Equal(t, want, r.AwaitHeard(t.Context(), r.Withhold(began, "llm", "r")))
			assert.Equal(t, took, time.Since(began))
		}
		assert.True(t, r.MayDiffer())
		r.SetHeard(r.LatestSeq())
		assert.False(t, r.AwaitsHeard())
		wait(false, maxWait)
		assert.True(t, r.AwaitsHeard())
		assert.False(t, r.MayDiffer(), "the next ones don't wait")
		r.SetHeard(r.LatestSeq() - 1)
		assert.False(t, r.MayDiffer())
		r.SetHeard(r.LatestSeq())
		assert.True(t, r.MayDiffer(), "all have heard")

		time.AfterFunc(time.Millisecond, func() { r.SetHeard(r.LatestSeq()) })
		wait(true, time.Millisecond)

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		assert.False(t, r.AwaitHeard(gone, r.Withhold(time.Now(), "llm", "r")))
		assert.True(t, r.MayDiffer(), "its caller left")

		w := r.Withhold(time.Now(), "llm", "r")
		for i := range 1 << 11 {
			r.Withhold(time.Now(), "llm", fmt.Sprint(i))
		}
		r.SetHeard(r.LatestSeq())
		assert.False(t, r.AwaitHeard(t.Context(), w), "displaced by others, so that it is not told")

		r = release.NewTracker()
		wait(true, 0)
	})
}

// TestEntryThatIsAloneDoesNotWorkOutVersions guards against an entry that others have forgotten, reads the
// store, and resumes streams of which it could not hear; and against refusals where it can't be wrong.
func TestEntryThatIsAloneDoesNotWorkOutVersions(t *testing.T) {
	const catchUp = 2500 * time.Millisecond
	now := time.Now()
	for _, c := range []struct {
		others, several bool
		later           time.Duration
		found           bool
	}{
		{true, true, 0, false}, {true, true, catchUp - 1, false}, {true, true, catchUp, true},
		{true, false, 0, true}, {false, true, 0, true},
	} {
		r := release.NewTracker()
		list := []release.Endpoint{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}
		if !c.several {
			list = list[:1]
		}
		r.SetEndpoints(now.Add(-time.Minute), "llm", list)
		if c.others {
			r.ExpectOthers()
		}
		r.NoteAlone(now)
		at := now.Add(c.later)
		r.Confirm(at, at)
		r.Begin(at, at, "llm", "own", cmp.Or(r.Preferred("llm", "own"), "v1"))
		_, told := r.Updates(at, 0)
		assert.Equal(t, !c.found, told > 0 && c.several, "its own streams are told")
		assert.Equal(t, c.found, r.Find(at, release.Query{Service: "llm", Request: "r", After: at, Before: at}).Found(), c)
		assert.True(t, r.Find(at, release.Query{Service: "llm", Request: "own", After: at, Before: at}).Found(), "its own")
	}
}
