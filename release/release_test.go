package release_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/release"
	"ebonypulley/rendezvous"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(versions ...string) (list []release.Endpoint) {
	for i, v := range versions {
		list = append(list, release.Endpoint{ID: fmt.Sprint("e", i), Version: v})
	}
	return list
}

// find returns the version of a stream and whether it was found.
func find(t *release.Tracker, after time.Time, service, request string) (version string, ok bool) {
	f := t.Find(time.Now(), release.Query{After: after, Service: service, Request: request, Session: ""})
	return f.Version, f.Found()
}

// trackerStep is one step of TestFoundVersionsAreRight.
type trackerStep struct {
	PauseMS, Kind, Entry, Endpoint, Version, Earlier int
}

func drawTrackerStep(t *rapid.T) trackerStep {
	return trackerStep{
		PauseMS: rapid.IntRange(50, 900).Draw(t, "pause"), Kind: rapid.IntRange(0, 9).Draw(t, "kind"), Entry: rapid.IntRange(0, 2).Draw(t, "entry"),
		Endpoint: rapid.IntRange(0, 7).Draw(t, "endpoint"), Version: rapid.IntRange(1, 3).Draw(t, "version"), Earlier: rapid.IntRange(0, 2000).Draw(t, "earlier"),
	}
}

// knownStream is a stream of TestFoundVersionsAreRight.
type knownStream struct {
	id, version string
	begun       time.Time
}

// TestFoundVersionsAreRight guards against a stream that goes on at another version than the one
// that began it, whichever endpoints come and go, when entries hear of that within half a second
// of each other, begin streams at any version, and are restarted.
func TestFoundVersionsAreRight(t *testing.T) {
	const service, entries = "s", 3
	rapid.Check(t, func(t *rapid.T) {
		published := map[int]string{0: "v1", 1: "v1", 2: "v2"}
		list := func() (list []release.Endpoint) {
			for i, v := range published {
				list = append(list, release.Endpoint{ID: fmt.Sprint("e", i, v), Version: v})
			}
			return list
		}
		now := epoch
		var trackers [entries]*release.Tracker
		for i := range trackers {
			trackers[i] = release.NewTracker()
			trackers[i].SetEndpoints(now, service, list())
		}
		var streams []knownStream
		tell := func() {
			for i, from := range trackers {
				for k, to := range trackers {
					if i != k {
						to.Merge(now, from.Exceptions(now))
					}
				}
			}
		}
		steps := rapid.SliceOfN(rapid.Custom(drawTrackerStep), 1, 60).Draw(t, "steps")
		for n, s := range steps {
			now = now.Add(time.Duration(s.PauseMS) * time.Millisecond)
			own := trackers[s.Entry]
			switch {
			case s.Kind < 2: // entries hear one after another of a change
				if _, ok := published[s.Endpoint]; ok && len(published) > 1 {
					delete(published, s.Endpoint)
				} else {
					published[s.Endpoint] = fmt.Sprint("v", s.Version)
				}
				for i := range trackers {
					trackers[(s.Entry+i)%entries].SetEndpoints(now, service, list())
					now = now.Add(250 * time.Millisecond)
				}
			case s.Kind < 6:
				x := knownStream{id: fmt.Sprint("r", n), begun: now}
				x.version = own.Preferred(service, x.id)
				if x.version == "" || s.Kind == 2 {
					x.version = list()[0].Version
				}
				own.Begin(now, now, service, x.id, x.version)
				streams = append(streams, x)
			case s.Kind == 6:
				trackers[s.Entry] = release.NewTracker()
				for i, other := range trackers {
					if i != s.Entry {
						trackers[s.Entry].MergeHistory(now, other.History(now))
					}
				}
				trackers[s.Entry].SetEndpoints(now, service, list())
			default:
				for _, x := range streams {
					if now.Sub(x.begun) > 12*time.Second {
						continue
					}
					if got, ok := find(own, x.begun.Add(-time.Duration(s.Earlier)*time.Millisecond), service, x.id); ok {
						assert.Equal(t, x.version, got, x.id)
					}
				}
			}
			tell()
		}
	})
}

// TestStreamsOfOneVersionAreFound guards against streams that are refused although all endpoints
// have one version: at an entry that has known them for long enough, without an ID, and without a
// word of another entry.
func TestStreamsOfOneVersionAreFound(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v1", "v1"))
	assert.Empty(t, tracker.Preferred("s", "r1"))
	assert.Empty(t, tracker.History(epoch)[0].Changes)
	for _, id := range []string{"r1", "r2", ""} {
		version, ok := find(tracker, epoch.Add(2500*time.Millisecond), "s", id)
		assert.True(t, ok)
		assert.Equal(t, "v1", version)
		_, ok = find(tracker, epoch.Add(-time.Minute), "s", id)
		assert.False(t, ok, "begun before any entry is known to have listed the endpoints")
	}
}

// TestStreamsOfTheFirstSecondsAreFound guards against streams that can't be resumed because they
// began at the first entry of all in its first seconds, at that entry and at another one.
func TestStreamsOfTheFirstSecondsAreFound(t *testing.T) {
	for _, list := range [][]release.Endpoint{endpoints("v1", "v1"), endpoints("v1", "v2", "v2")} {
		first, other := release.NewTracker(), release.NewTracker()
		for _, tracker := range []*release.Tracker{first, other} {
			tracker.SetEndpoints(epoch, "s", list)
		}
		for i := range 40 {
			now, id := epoch.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint(i)
			begun := list[i%len(list)].Version
			first.Begin(now, now, "s", id, begun)
			updates, _ := first.Updates(now, 0)
			other.Merge(now, updates)
			for _, tracker := range []*release.Tracker{first, other} {
				version, ok := find(tracker, now, "s", id)
				assert.True(t, ok, "begun after %v", now.Sub(epoch))
				assert.Equal(t, begun, version)
			}
		}
	}
}

// TestUnknownVersionIsNotGuessed guards against an entry that has just started and takes the first
// of several versions for that of any stream.
func TestUnknownVersionIsNotGuessed(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v2"))
	_, ok := find(tracker, epoch.Add(-time.Second), "s", "r1")
	assert.False(t, ok)
	_, ok = find(tracker, epoch.Add(5*time.Second), "s", "")
	assert.False(t, ok)
	version, ok := find(tracker, epoch.Add(5*time.Second), "s", "r1")
	assert.True(t, ok)
	assert.Equal(t, tracker.Preferred("s", "r1"), version)
}

// TestVersionsAreSharedByEndpoints guards against a version that gets more or fewer new streams
// than its part of the endpoints.
func TestVersionsAreSharedByEndpoints(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v1", "v1", "v1", "v2"))
	const streams = 5000
	second := 0
	for i := range streams {
		if tracker.Preferred("s", fmt.Sprint(i)) == "v2" {
			second++
		}
	}
	assert.InDelta(t, streams/5, second, streams/25)
}

// TestOnlyExceptionsAreTold guards against news of every stream, whose bytes would grow with the
// square of the fleet.
func TestOnlyExceptionsAreTold(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v1", "v2"))
	now := epoch.Add(5 * time.Second)
	for i := range 100 {
		id := fmt.Sprint(i)
		tracker.Begin(now, now, "s", id, tracker.Preferred("s", id))
	}
	list, _ := tracker.Updates(now, 0)
	assert.Empty(t, list)
	tracker.Begin(now, now, "s", "x", "v3")
	list, upTo := tracker.Updates(now, 0)
	assert.Len(t, list, 1)
	list, _ = tracker.Updates(now, upTo)
	assert.Empty(t, list)
}

// TestExceptionsAreForgottenLast guards against an entry with many streams that forgets the version
// of those that it can't work out.
func TestExceptionsAreForgottenLast(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v1", "v2"))
	now := epoch.Add(5 * time.Second)
	tracker.Begin(now, now, "s", "own", "v3")
	tracker.End("own")
	for i := range 1 << 15 {
		id := fmt.Sprint(i)
		tracker.Begin(now, now, "s", id, tracker.Preferred("s", id))
		tracker.End(id)
	}
	version, ok := find(tracker, now, "s", "own")
	assert.True(t, ok)
	assert.Equal(t, "v3", version)
}

// TestToldVersionKeepsOwnStream guards against a stream in progress that an entry no longer tells to
// others after a change of the endpoints, because another entry told it before.
func TestToldVersionKeepsOwnStream(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, "s", endpoints("v1", "v1", "v2"))
	now := epoch.Add(5 * time.Second)
	tracker.Begin(now, now, "s", "r1", tracker.Preferred("s", "r1"))
	version := tracker.Find(time.Now(), release.Query{After: now, Service: "s", Request: "r1", Session: ""}).Version
	tracker.Merge(now, []release.Update{{Request: rendezvous.Hash("r1"), Version: "v3"}})
	assert.Equal(t, version, tracker.Find(time.Now(), release.Query{After: now, Service: "s", Request: "r1", Session: ""}).Version)
	tracker.SetEndpoints(now.Add(time.Second), "s", endpoints("v4", "v4", "v4"))
	updates, _ := tracker.Updates(now.Add(time.Second), 0)
	assert.Equal(t, []release.Update{{Request: rendezvous.Hash("r1"), Version: version}}, updates)
}
