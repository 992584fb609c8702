package release_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
)

// TestLateResumesOfDisplacedExceptions guards against exceptions that go on at the preferred version
// when there were too many to remember, resumed as late as callers may: 40,000 in 40 s, a timeout of
// 30 s; and against the latest of them being forgotten.
func TestLateResumesOfDisplacedExceptions(t *testing.T) {
	const streams, perSecond, timeout, kept = 40_000, 1000, 30 * time.Second, 12_000
	began := time.Now()
	from, to := twoVersions(began.Add(-time.Hour)), twoVersions(began.Add(-time.Hour))
	other := map[string]string{"v1": "v2", "v2": "v1"}
	now, sent := began, uint64(0)
	for n := range streams {
		now = began.Add(time.Duration(n) * time.Second / perSecond)
		id := fmt.Sprint(n)
		from.Begin(now, now, "llm", id, other[from.Preferred("llm", id)])
		from.End(id)
		updates, upTo := from.Updates(now, sent)
		to.Merge(now, updates)
		sent = upTo
	}
	for name, e := range map[string]*release.Tracker{"began them": from, "was told": to} {
		e.Confirm(now, now)
		find := func(id string, timeout time.Duration) release.Finding {
			return e.Find(now, release.Query{Service: "llm", Request: id, After: now.Add(-timeout), Before: now})
		}
		var unknown, wrong, lost int
		for n := streams - int(timeout.Seconds()*perSecond); n < streams; n++ {
			id := fmt.Sprint(n)
			f := find(id, timeout)
			switch {
			case !f.Found() && n >= streams-kept:
				lost++
			case !f.Found():
				unknown++
			case f.Version != other[e.Preferred("llm", id)]:
				wrong++
			}
		}
		t.Logf("the entry that %s: %d unknown, %d at another version", name, unknown, wrong)
		assert.Zero(t, wrong, "at another version")
		assert.Zero(t, lost, "of the latest")
		assert.NotZero(t, unknown, "more than are remembered")
		assert.False(t, find("untold", timeout).Found(), "may be one that was forgotten")
		assert.Equal(t, e.Preferred("llm", "untold"), find("untold", 10*time.Second).Version, "began later than those")
	}
}

// TestExceptionsAtOneTimeAreBounded guards against exceptions that are remembered without a bound, or
// all forgotten, because all were told at the same time.
func TestExceptionsAtOneTimeAreBounded(t *testing.T) {
	const streams, most, least = 50_000, 1 << 14, 12_000
	now := time.Now()
	r := twoVersions(now.Add(-time.Hour))
	r.Confirm(now, now)
	other := map[string]string{"v1": "v2", "v2": "v1"}
	for n := range streams {
		id := fmt.Sprint(n)
		r.Merge(now, updatesAbout(now, id, other[r.Preferred("llm", id)]))
	}
	var known, wrong int
	for n := range streams {
		id := fmt.Sprint(n)
		f := r.Find(now, release.Query{Service: "llm", Request: id, After: now, Before: now})
		switch {
		case f.Found() && f.Version == other[r.Preferred("llm", id)]:
			known++
		case f.Found():
			wrong++
		}
	}
	assert.Zero(t, wrong, "at another version")
	assert.LessOrEqual(t, known, most)
	assert.GreaterOrEqual(t, known, least)
}

// updatesAbout returns what an entry tells of a stream that begins there.
func updatesAbout(now time.Time, id, version string) []release.Update {
	r := release.NewTracker()
	r.Begin(now, now, "llm", id, version)
	list, _ := r.Updates(now, 0)
	return list
}

// TestPromptOfStreamThatBeganAtAnyTime guards against a cached prompt that doesn't count because it is
// unknown when the stream began, although no exception was forgotten.
func TestPromptOfStreamThatBeganAtAnyTime(t *testing.T) {
	now := time.Now()
	r := twoVersions(now.Add(-time.Hour))
	r.Confirm(now, now)
	r.Recover(now, release.EngineState{Service: "llm", Version: "v1", Sessions: []string{"p"}})
	f := r.Find(now, release.Query{Service: "llm", Request: "r", Session: "p", Before: now})
	assert.Equal(t, "v1", f.Version)
	assert.Equal(t, release.Cached, f.Source)
}
