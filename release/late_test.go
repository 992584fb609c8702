package release_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// TestLateEntriesReachBack guards against the version of a stream being worked out from a change that
// an entry that is late, or was until just now, had not heard of when it began the stream; and against
// refusals for entries that are late when nothing has changed since, or nothing is known of that time.
func TestLateEntriesReachBack(t *testing.T) {
	second := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	both := []release.Endpoint{{ID: "e0", Version: "v1"}, {ID: "e1", Version: "v2"}}
	// v2 joins service "s" and replaces v1 in "r" at 10 s, and streams that began after 25 s are resumed.
	cases := map[string]struct {
		changed, knownSince, othersKnew, heardAgain, at, after float64
		ambiguous                                              bool
	}{
		"as late as usual":            {changed: 26, othersKnew: 28.2, at: 30, after: 29},
		"none late":                   {othersKnew: 29, at: 30},
		"late since before":           {othersKnew: 5, at: 30, ambiguous: true},
		"late since it was published": {othersKnew: 12, at: 30, ambiguous: true},
		"late since after":            {othersKnew: 13, at: 30},
		"heard again just now":        {othersKnew: 5, heardAgain: 30, at: 32, ambiguous: true},
		"heard again before":          {othersKnew: 5, heardAgain: 30, at: 36},
		"not known for so long":       {othersKnew: 5, knownSince: 20, at: 30},
	}
	for name, c := range cases {
		tracker := release.NewTracker()
		for service, list := range map[string][]release.Endpoint{"s": both, "r": both[1:]} {
			if c.knownSince == 0 {
				tracker.SetEndpoints(second(0), service, both[:1])
			}
			tracker.SetEndpoints(second(max(10, c.changed, c.knownSince)), service, list)
		}
		for now := 22.0; now <= c.at; now += 0.25 {
			upTo := c.othersKnew
			if c.heardAgain > 0 && now >= c.heardAgain {
				upTo = now
			}
			tracker.OthersKnew(second(now), second(upTo))
		}
		found := make(map[string]int)
		for n := range 100 {
			f := tracker.Find(second(c.at), release.Query{Service: "s", Request: fmt.Sprint(n), After: second(cmp.Or(c.after, 25))})
			found[f.Version]++
		}
		assert.NotZero(t, found["v1"], name)
		f := tracker.Find(second(c.at), release.Query{Service: "r", After: second(cmp.Or(c.after, 25))})
		assert.Equal(t, c.ambiguous, !f.Found(), "%s: of whichever request", name)
		assert.Equal(t, c.ambiguous, found["v2"] == 0, "%s: %v", name, found)
		assert.Equal(t, c.ambiguous, found[""] > 0, "%s: %v", name, found)
	}
}

// TestLateEntryTellsNoBegin guards against a stream of which it is unknown when it began, and that goes on
// at another version because an entry that is late is known to have known the endpoints.
func TestLateEntryTellsNoBegin(t *testing.T) {
	now := time.Now()
	tracker := release.NewTracker()
	tracker.SetEndpoints(now.Add(-time.Minute), "s", []release.Endpoint{{ID: "b", Version: "v2"}})
	tracker.OthersKnew(now, now.Add(-5*time.Second))
	assert.False(t, tracker.Find(now, release.Query{Service: "s", Request: "x"}).Found())
}
