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

// TestWithheldWordsOfSender guards against a version that doesn't replace the sender's earlier word that
// the stream was withheld, one that is lost when a new connection resends both, and one that is joined
// although the sender has withheld the stream again.
func TestWithheldWordsOfSender(t *testing.T) {
	now := epoch
	at, to := twoVersions(now.Add(-time.Minute)), twoVersions(now.Add(-time.Minute))
	to.Confirm(now, now)
	find := func() string {
		return to.Find(now, release.Query{Service: "llm", Request: "x", After: now.Add(-time.Second), Before: now}).Version
	}
	tell := func(after uint64) {
		list, _ := at.Updates(now, after)
		to.Merge(now, list)
	}
	at.Withhold(now, "llm", "x")
	tell(0)
	assert.Empty(t, find(), "withheld")
	at.Begin(now, now, "llm", "x", "v1")
	tell(1)
	assert.Equal(t, "v1", find(), "begun")
	tell(0)
	assert.Equal(t, "v1", find(), "resent")
	at.Withhold(now, "llm", "x")
	tell(2)
	assert.Empty(t, find(), "withheld again")
	at.Begin(now, now, "llm", "x", "v2")
	tell(0)
	assert.Equal(t, "v2", find(), "begun again")
}

// TestRelayedVersions guards against a version of two that differ, one that replaces what the sender has withheld
// since, and a recovered stream that is joined although engines of several versions ran it.
func TestRelayedVersions(t *testing.T) {
	now := epoch
	key := updatesAbout(now, "x", "v1")[0].Request
	for _, c := range []struct{ known, relayed, want string }{
		{"v1", "v2", ""}, {"v1", "v1", "v1"}, {"v1", "", "v1"}, {"", "v1", ""}, {"", "", ""},
	} {
		e := twoVersions(now.Add(-time.Minute))
		e.Confirm(now, now)
		e.Merge(now, []release.Update{{Request: key, Version: c.known}})
		e.MergeRelayed(now, []release.Update{{Request: key, Version: c.relayed}})
		f := e.Find(now, release.Query{Service: "llm", Request: "x", After: now.Add(-time.Second), Before: now})
		assert.Equal(t, c.want, f.Version, "%q, relayed %q", c.known, c.relayed)
	}
	e := twoVersions(now.Add(-time.Minute))
	e.Recover(now, release.EngineState{Service: "llm", Version: "v1", Requests: []string{"x"}})
	e.MergeRelayed(now, []release.Update{{Request: key}})
	assert.Empty(t, e.Find(now, release.Query{Service: "llm", Request: "x", After: now, Before: now}).Version, "recovered")
}
