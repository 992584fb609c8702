package release_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// TestDisplacedExceptionsAreNotWorkedOut guards against a stream that others told, and that goes on at its
// preferred version once so many others were told that it is forgotten: 1,000 streams a second are
// told for 20 s, as in a release beside an entry that is gone, and each is resumed 2 s after it began.
func TestDisplacedExceptionsAreNotWorkedOut(t *testing.T) {
	const streams, perSecond, breaksAfter, timeout = 20_000, 1000, 2 * time.Second, 3 * time.Second
	began := time.Now()
	from, to := twoVersions(began.Add(-time.Hour)), twoVersions(began.Add(-time.Hour))
	sent := uint64(0)
	var unknown, wrong int
	for n := range streams {
		now := began.Add(time.Duration(n) * time.Second / perSecond)
		id := fmt.Sprint(n)
		other := map[string]string{"v1": "v2", "v2": "v1"}
		from.Begin(now, now, "llm", id, other[from.Preferred("llm", id)])
		from.End(id)
		updates, upTo := from.Updates(now, sent)
		to.Merge(now, updates)
		sent = upTo
		if earlier := n - int(breaksAfter.Seconds()*perSecond); earlier >= 0 {
			to.Confirm(now, now)
			resumed := fmt.Sprint(earlier)
			f := to.Find(now, release.Query{Service: "llm", Request: resumed, After: now.Add(-timeout), Before: now})
			switch {
			case !f.Found():
				unknown++
			case f.Version != other[to.Preferred("llm", resumed)]:
				wrong++
			}
		}
	}
	t.Logf("%d of %d unknown, %d at another version", unknown, streams, wrong)
	assert.Zero(t, wrong, "streams that go on at another version")
}

// TestRelayedWithheldStreamIsStillKnown guards against a stream that an entry knows, or has begun itself,
// and that it no longer finds because another one relays that it was withheld, when it connects anew.
func TestRelayedWithheldStreamIsStillKnown(t *testing.T) {
	now := time.Now()
	at, behind, other := twoVersions(now.Add(-time.Minute)), twoVersions(now.Add(-time.Minute)), twoVersions(now.Add(-time.Minute))
	version := map[string]string{"v1": "v2", "v2": "v1"}[at.Preferred("llm", "x")]
	at.Withhold(now, "llm", "x")
	list, _ := at.Updates(now, 0)
	behind.Merge(now, list)
	at.Begin(now, now, "llm", "x", version)
	list, _ = at.Updates(now, 0)
	other.Merge(now, list)
	at.End("x")
	for name, e := range map[string]*release.Tracker{"began it": at, "was told": other} {
		e.MergeRelayed(now, behind.Exceptions(now))
		e.Confirm(now, now)
		f := e.Find(now, release.Query{Service: "llm", Request: "x", After: now.Add(-time.Second), Before: now})
		assert.Equal(t, version, f.Version, "the entry that %s", name)
	}
}

// TestLateEntryReachesNoLessFarBack guards against a change that came after a stream may have begun, and
// does not count because an entry that is a little late knew of it.
func TestLateEntryReachesNoLessFarBack(t *testing.T) {
	const timeout = 9 * time.Second
	began := time.Now()
	r := release.NewTracker()
	r.SetEndpoints(began, "llm", []release.Endpoint{{ID: "a", Version: "v1"}})
	changed := began.Add(time.Minute)
	r.SetEndpoints(changed, "llm", []release.Endpoint{{ID: "b", Version: "v2"}})
	now := changed.Add(8 * time.Second)
	r.OthersKnew(now, now.Add(-2100*time.Millisecond))
	f := r.Find(now, release.Query{Service: "llm", Request: "r", After: now.Add(-timeout), Before: now})
	assert.False(t, f.Found(), f.Version)
}
