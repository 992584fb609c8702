package release_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// versions returns endpoints by ID and version.
func versions(m map[string]string) (list []release.Endpoint) {
	for id, v := range m {
		list = append(list, release.Endpoint{ID: id, Version: v})
	}
	return list
}

// TestNewcomerListsWhatOthersHaveNotSeen guards against a newcomer that takes an endpoint, which the sender of its history has not
// seen yet, for one that was always there.
func TestNewcomerListsWhatOthersHaveNotSeen(t *testing.T) {
	old := release.NewTracker()
	old.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1", "b": "v1"}))
	now := epoch.Add(60 * time.Second)
	both := versions(map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2"})
	n := release.NewTracker()
	n.SetEndpoints(now, "s", both)
	n.MergeHistory(now, old.History(now))
	old.SetEndpoints(now.Add(300*time.Millisecond), "s", both)
	joined := 0
	for i := range 100 {
		f := n.Find(time.Now(), release.Query{After: now.Add(-5 * time.Second), Service: "s", Request: fmt.Sprint("r", i), Session: ""})
		if f.Found() && f.Version == "v2" {
			joined++
		}
	}
	assert.Zero(t, joined, "of 100 streams that began at v1 five seconds before v2 was published")
}

// TestHistoryBeforeFirstList guards against a newcomer that hears how long others have known the endpoints before it
// lists those that have replaced them.
func TestHistoryBeforeFirstList(t *testing.T) {
	old := release.NewTracker()
	old.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1", "b": "v1"}))
	now := epoch.Add(60 * time.Second)
	n := release.NewTracker()
	n.MergeHistory(now, old.History(now))
	n.SetEndpoints(now.Add(1500*time.Millisecond), "s", versions(map[string]string{"c": "v2", "d": "v2"}))
	f := n.Find(time.Now(), release.Query{After: now.Add(-5 * time.Second), Service: "s", Request: "r1", Session: ""})
	assert.NotEqual(t, "v2", f.Version, "began at v1, %s", f.Source)
}

// TestEndpointRestartsAtAnotherVersion guards against an endpoint that takes over the history of its former version.
func TestEndpointRestartsAtAnotherVersion(t *testing.T) {
	old := release.NewTracker()
	old.SetEndpoints(epoch, "s", versions(map[string]string{"z": "v0"}))
	old.SetEndpoints(epoch.Add(20*time.Second), "s", versions(map[string]string{"a": "v1", "b": "v1"}))
	now := epoch.Add(40 * time.Second)
	n := release.NewTracker()
	n.SetEndpoints(now, "s", versions(map[string]string{"a": "v2", "b": "v2"})) // restarted under their names, sender has not seen
	n.MergeHistory(now, old.History(now))
	f := n.Find(time.Now(), release.Query{After: now.Add(-5 * time.Second), Service: "s", Request: "r1", Session: ""})
	assert.NotEqual(t, "v2", f.Version, "began at v1, %s", f.Source)
}

// TestEndpointLeftAtTwoVersions guards against a newcomer that misses one of two versions that an endpoint had.
func TestEndpointLeftAtTwoVersions(t *testing.T) {
	old := release.NewTracker()
	old.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1", "z": "v3"}))
	old.SetEndpoints(epoch.Add(40*time.Second), "s", versions(map[string]string{"a": "v2", "z": "v3"}))
	old.SetEndpoints(epoch.Add(56*time.Second), "s", versions(map[string]string{"z": "v3"}))
	now := epoch.Add(60 * time.Second)
	n := release.NewTracker()
	n.SetEndpoints(now, "s", versions(map[string]string{"z": "v3"}))
	n.MergeHistory(now, old.History(now))
	wrong := 0
	for i := range 100 {
		id := fmt.Sprint("r", i)
		o, f := old.Find(time.Now(), release.Query{After: now.Add(-10 * time.Second), Service: "s", Request: id, Session: ""}), n.Find(time.Now(), release.Query{After: now.Add(-10 * time.Second), Service: "s", Request: id, Session: ""})
		if f.Found() && !o.Found() {
			wrong++
		}
	}
	assert.Zero(t, wrong, "newcomer computes v3 where streams may have begun at v2")
}

// TestRequestRanAtTwoVersions guards against a stream that goes on at either version after engines of both ran it.
func TestRequestRanAtTwoVersions(t *testing.T) {
	tr := release.NewTracker()
	tr.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1", "b": "v2"}))
	tr.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Requests: []string{"r1"}})
	tr.Recover(epoch, release.EngineState{Service: "s", Version: "v2", Requests: []string{"r1"}})
	assert.False(t, tr.Find(time.Now(), release.Query{After: epoch.Add(-5 * time.Second), Service: "s", Request: "r1", Session: ""}).Found())
}

// TestRecoveredPromptsAge guards against prompts that were cached long ago and are relayed from restart to restart.
func TestRecoveredPromptsAge(t *testing.T) {
	tr := release.NewTracker()
	tr.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1", "b": "v2"}))
	tr.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Sessions: []string{"p"}})
	now := epoch
	for range 10 {
		now = now.Add(50 * time.Second)
		next := release.NewTracker()
		next.SetEndpoints(now, "s", versions(map[string]string{"a": "v1", "b": "v2"}))
		next.Merge(now, tr.Exceptions(now))
		tr = next
	}
	f := tr.Find(time.Now(), release.Query{After: now.Add(-5 * time.Second), Service: "s", Request: "later-request-of-session", Session: "p"})
	assert.False(t, f.Found(), "evidence of %s before", now.Sub(epoch))
}

// TestPromptWasCachedBeforeStream guards against a prompt that was found at an engine before the stream began.
func TestPromptWasCachedBeforeStream(t *testing.T) {
	tr := release.NewTracker()
	tr.SetEndpoints(epoch, "s", versions(map[string]string{"a": "v1"}))
	tr.Recover(epoch, release.EngineState{Service: "s", Version: "v1", Sessions: []string{"p"}})
	tr.SetEndpoints(epoch.Add(40*time.Second), "s", versions(map[string]string{"a": "v1", "b": "v2", "c": "v2"}))
	tr.SetEndpoints(epoch.Add(44*time.Second), "s", versions(map[string]string{"b": "v2", "c": "v2"}))
	f := tr.Find(time.Now(), release.Query{After: epoch.Add(42 * time.Second), Service: "s", Request: "r-told-lost", Session: "p"})
	assert.False(t, f.Found() && f.Source == release.Cached, "evidence is 42 s older than the stream")
}
