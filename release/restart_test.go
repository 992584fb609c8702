package release_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// TestListedVersionIsNotGuessed guards against an entry that has started after a stream began and
// takes the only version on its list for that of the stream.
func TestListedVersionIsNotGuessed(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v2", "v2", "v2"))
	for _, id := range []string{"r1", ""} {
		_, ok := find(tracker, epoch.Add(-time.Second), "s", id)
		assert.False(t, ok, id)
		_, ok = find(tracker, epoch.Add(5*time.Second), "s", id)
		assert.True(t, ok, id)
	}
}

// TestNewcomerLearnsOfServicesOfOneVersion guards against an entry that starts beside others and
// refuses resumed streams of services whose endpoints all have one version.
func TestNewcomerLearnsOfServicesOfOneVersion(t *testing.T) {
	old := release.NewTracker()
	old.SetEndpoints(epoch, "s", endpoints("v1", "v1"))
	now := epoch.Add(30 * time.Second)
	newcomer := release.NewTracker()
	newcomer.SetEndpoints(now, "s", endpoints("v1", "v1"))
	newcomer.MergeHistory(now, old.History(now))
	for _, id := range []string{"r1", ""} {
		version, ok := find(newcomer, now.Add(-14*time.Second), "s", id)
		assert.True(t, ok, id)
		assert.Equal(t, "v1", version)
	}
	assert.Equal(t, 30*time.Second, old.History(now)[0].Age)
}
