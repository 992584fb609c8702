package release_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// confirmedTracker returns the tracker of an entry among others whose endpoints of two versions are
// known since a minute before epoch, and confirmed at epoch.
func confirmedTracker() *release.Tracker {
	tracker := release.NewTracker()
	tracker.ExpectOthers()
	tracker.SetEndpoints(epoch.Add(-time.Minute), gapService, endpoints("v1", "v2"))
	tracker.Confirm(epoch, epoch)
	return tracker
}

// TestStreamsOfOldListAreTold guards against streams that begin by a list that others may have replaced
// and that nobody is told of.
func TestStreamsOfOldListAreTold(t *testing.T) {
	for age, told := range map[time.Duration]int{0: 0, 2500 * time.Millisecond: 0, 2501 * time.Millisecond: 1} {
		tracker, now := confirmedTracker(), epoch.Add(age)
		tracker.Begin(now, now, gapService, "x", tracker.Preferred(gapService, "x"))
		list, _ := tracker.Updates(now, 0)
		assert.Len(t, list, told, "confirmed %v ago", age)
	}
}

// TestBrokenStreamsAreToldAfterChange guards against a stream that broke off just before the endpoint
// that began it was removed, and is resumed where that can't be worked out.
func TestBrokenStreamsAreToldAfterChange(t *testing.T) {
	for age, told := range map[time.Duration]int{time.Second: 1, time.Minute: 1, time.Minute + time.Second: 0} {
		tracker := confirmedTracker()
		tracker.Begin(epoch, epoch, gapService, "x", tracker.Preferred(gapService, "x"))
		tracker.End("x")
		now := epoch.Add(age)
		tracker.Confirm(now, now)
		tracker.SetEndpoints(now, gapService, nil)
		list, _ := tracker.Updates(now, 0)
		assert.Len(t, list, told, "began %v ago", age)
	}
}

// TestPauseEnds guards against an entry that stood still and refuses resumes for as long as one entry
// that has died since doesn't answer; and against one that takes streams up before what waited in its
// connections is read.
func TestPauseEnds(t *testing.T) {
	const pause, round = time.Second, 50 * time.Millisecond
	tracker := confirmedTracker()
	tracker.HeardAll(epoch)
	tracker.CheckContact(epoch)
	woke := epoch.Add(pause)
	for d := time.Duration(0); d < 4*time.Second; d += round {
		now := woke.Add(d)
		tracker.Confirm(now, now)
		tracker.CheckContact(now)
		f := tracker.Find(now, release.Query{Service: gapService, Request: "x", After: now, Before: now})
		assert.Equal(t, d <= 1500*time.Millisecond, f.Behind, "%v after the pause", d)
	}
}
