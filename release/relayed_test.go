package release_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// TestOldExceptionsDoNotReplaceNewOnes guards against an entry that stood still and relays, when others
// connect again, a version at which a stream no longer is.
func TestOldExceptionsDoNotReplaceNewOnes(t *testing.T) {
	at, stopped, other := release.NewTracker(), release.NewTracker(), release.NewTracker()
	for _, e := range []*release.Tracker{at, stopped, other} {
		e.ExpectOthers()
		e.SetEndpoints(epoch, gapService, endpoints("v1", "v2"))
		e.Confirm(epoch, epoch)
	}
	now := epoch.Add(20 * time.Second)
	first, second := "v1", "v2"
	if at.Preferred(gapService, "x") == first {
		first, second = second, first
	}
	at.Confirm(now, now)
	at.Begin(now, now, gapService, "x", first)
	list, seq := at.Updates(now, 0)
	stopped.Merge(now, list)
	other.Merge(now, list)
	now = now.Add(50 * time.Millisecond)
	at.Begin(now, now, gapService, "x", second)
	list, _ = at.Updates(now, seq)
	other.Merge(now, list)
	now = now.Add(2 * time.Second)
	other.MergeRelayed(now, stopped.Exceptions(now)) // the first reply on a new connection
	f := other.Find(now, release.Query{Service: gapService, Request: "x", After: now.Add(-gapTimeout), Before: now})
	if f.Found() {
		assert.Equal(t, second, f.Version, "source %s", f.Source)
	}
}
