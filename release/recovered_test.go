package release_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
	"ebonypulley/rendezvous"
)

// TestRecoveredVersions guards against streams that are lost, or joined, after a restart of all
// entries: what engines run and have cached tells versions, at each entry that hears of it and at
// one that starts later, unless engines of several versions have a prompt.
func TestRecoveredVersions(t *testing.T) {
	own, other := release.NewTracker(), release.NewTracker()
	for _, tracker := range []*release.Tracker{own, other} {
		tracker.SetEndpoints(epoch, "s", endpoints("v1", "v2"))
	}
	own.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Requests: []string{"r1"}, Sessions: []string{"p1", "shared"}})
	other.Recover(epoch, release.EngineState{Service: "s", Version: "v2", Requests: []string{"r2"}, Sessions: []string{"p2", "shared"}})
	toOther, _ := own.Updates(epoch, 0)
	toOwn, _ := other.Updates(epoch, 0)
	own.Merge(epoch, toOwn)
	other.Merge(epoch, toOther)
	newcomer := release.NewTracker()
	newcomer.Merge(epoch, own.Exceptions(epoch))

	before := epoch.Add(-5 * time.Second)
	for _, tracker := range []*release.Tracker{own, other, newcomer} {
		sources := map[string]release.Source{"r1": release.Told, "r2": release.Told}
		switch tracker {
		case own:
			sources["r1"] = release.Asked
		case other:
			sources["r2"] = release.Asked
		}
		for request, want := range map[string]release.Finding{
			"r1": {Version: "v1", Source: sources["r1"]}, "r2": {Version: "v2", Source: sources["r2"]}, "r3": {Source: release.Unknown},
		} {
			f := tracker.Find(time.Now(), release.Query{After: before, Service: "s", Request: request, Session: ""})
			assert.Equal(t, want, release.Finding{Version: f.Version, Source: f.Source}, request)
		}
		for session, want := range map[string]string{"p1": "v1", "p2": "v2", "shared": "", "": ""} {
			assert.Equal(t, want, tracker.Find(time.Now(), release.Query{After: before, Service: "s", Request: "r4", Session: session}).Version, session)
			assert.Empty(t, tracker.Find(time.Now(), release.Query{After: before, Service: "another", Request: "r4", Session: session}).Version, session)
		}
	}
}

// TestRecoveredVersionsDontReplaceOwn guards against what an engine ran before the restart of all
// entries and is taken for the version of a stream that runs here.
func TestRecoveredVersionsDontReplaceOwn(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v2"))
	tracker.Begin(epoch, epoch, "s", "r1", "v2")
	tracker.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Requests: []string{"r1"}})
	assert.Equal(t, "v2", tracker.Find(time.Now(), release.Query{After: epoch, Service: "s", Request: "r1", Session: ""}).Version)
}

// TestPromptsLeaveRoomForExceptions guards against exceptions that are never told because engines
// had many prompts cached.
func TestPromptsLeaveRoomForExceptions(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v2"))
	tracker.Begin(epoch, epoch, "s", "r1", "v2")
	var sessions []string
	for i := range 5000 {
		sessions = append(sessions, fmt.Sprint("p", i))
	}
	tracker.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Sessions: sessions})
	updates, _ := tracker.Updates(epoch, 0)
	assert.Contains(t, updates, release.Update{Request: rendezvous.Hash("r1"), Version: "v2"})
	assert.Equal(t, "v1", tracker.Find(time.Now(), release.Query{After: epoch, Service: "s", Request: "r2", Session: "p4999"}).Version)
}
