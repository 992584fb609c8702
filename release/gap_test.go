package release_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/release"
)

const (
	gapService = "s"
	gapStep    = 50 * time.Millisecond
	// gapLag bounds how late an entry hears of a change while it is in contact.
	gapLag = 500 * time.Millisecond
	// gapDuration is how long streams run.
	gapDuration = 5 * time.Second
	// gapTimeout is how long ago a resumed stream may have begun at the most.
	gapTimeout = 12 * time.Second
)

// gapEntry is an entry of gapPlay. At due it hears of the changes since changed.
type gapEntry struct {
	*release.Tracker
	cut, stopped bool
	changed, due time.Time
	seq          uint64
}

// gapStream is a stream that began at an entry.
type gapStream struct {
	knownStream
	at     int
	hidden bool
}

// gapPlay plays entries of which the first is cut off from the store and from the others.
type gapPlay struct {
	rnd       *rand.Rand
	now       time.Time
	published map[string]string
	entries   []*gapEntry
	streams   []gapStream
	begun     int
	// cutAt is when the first entry was cut off, connectsAt when others tell it what they tell
	// an entry that connects.
	cutAt, connectsAt time.Time
	// noRoom makes some streams begin at another version than the preferred one.
	noRoom bool

	found, unknown, wrong int
}

func newGapPlay(seed uint64) *gapPlay {
	p := &gapPlay{rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch, published: map[string]string{"e0": "v1", "e1": "v1", "e2": "v2", "e3": "v2"}}
	for range 3 {
		e := &gapEntry{Tracker: release.NewTracker()}
		e.ExpectOthers()
		e.SetEndpoints(p.now, gapService, p.list())
		p.entries = append(p.entries, e)
	}
	return p
}

func (p *gapPlay) list() (list []release.Endpoint) {
	for id, version := range p.published {
		list = append(list, release.Endpoint{ID: id, Version: version})
	}
	return list
}

// publish changes the endpoints. Entries in contact hear of it a little later.
func (p *gapPlay) publish(change func()) {
	change()
	for _, e := range p.entries {
		if !e.cut && e.due.IsZero() {
			e.changed, e.due = p.now, p.now.Add(time.Duration(p.rnd.Int64N(int64(gapLag))))
		}
	}
}

// setCut cuts the first entry off, or brings it back.
func (p *gapPlay) setCut(cut bool) {
	p.entries[0].cut = cut
	if cut {
		p.cutAt = p.now
		return
	}
	p.connectsAt = p.now.Add(time.Duration(p.rnd.Int64N(int64(gapLag))))
	p.publish(func() {})
}

// connect has the first entry and the others tell each other what they tell an entry that connects.
func (p *gapPlay) connect() {
	if p.connectsAt.IsZero() || p.now.Before(p.connectsAt) {
		return
	}
	p.connectsAt = time.Time{}
	first := p.entries[0]
	for _, other := range p.entries[1:] {
		first.MergeHistory(p.now, other.History(p.now))
		first.Merge(p.now, other.Exceptions(p.now))
		other.MergeHistory(p.now, first.History(p.now))
		other.Merge(p.now, first.Exceptions(p.now))
	}
}

// play plays for some time; each step begins a stream and resumes some at any entry.
func (p *gapPlay) play(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(gapStep) {
		for _, e := range p.entries {
			p.step(e)
		}
		p.tell()
		p.connect()
		p.begin()
		p.resume()
	}
}

func (p *gapPlay) step(e *gapEntry) {
	if e.stopped {
		return
	}
	defer e.CheckContact(p.now)
	if e.cut {
		return
	}
	current := p.now
	switch {
	case !e.due.IsZero() && p.now.Before(e.due):
		current = e.changed
	case !e.due.IsZero():
		e.SetEndpoints(p.now, gapService, p.list())
		e.due = time.Time{}
	}
	e.Confirm(p.now, current)
	e.HeardAll(p.now)
}

// tell tells the exceptions of entries in contact to the others.
func (p *gapPlay) tell() {
	for i, e := range p.entries {
		if e.cut || e.stopped {
			continue
		}
		var list []release.Update
		list, e.seq = e.Updates(p.now, e.seq)
		for k, other := range p.entries {
			if k != i && !other.cut && !other.stopped {
				other.Merge(p.now, list)
			}
		}
	}
}

func (p *gapPlay) begin() {
	p.begun++
	at := p.rnd.IntN(len(p.entries))
	if p.entries[at].stopped {
		at++
	}
	e := p.entries[at]
	x := gapStream{knownStream: knownStream{id: fmt.Sprint("r", p.begun), begun: p.now}, at: at, hidden: e.cut}
	x.version = e.Preferred(gapService, x.id)
	if x.version == "" || p.noRoom && p.rnd.IntN(3) == 0 {
		x.version = p.list()[0].Version
	}
	e.Begin(p.now, p.now, gapService, x.id, x.version)
	p.streams = append(p.streams, x)
}

// resume resumes streams. Of those that began at the entry while it was cut off, others can't
// know before it is back.
func (p *gapPlay) resume() {
	p.streams = slices.DeleteFunc(p.streams, func(x gapStream) bool { return p.now.Sub(x.begun) > gapTimeout })
	for _, x := range p.streams {
		at := p.rnd.IntN(len(p.entries))
		age := p.now.Sub(x.begun)
		if age == gapDuration {
			p.entries[x.at].End(x.id)
		}
		untold := x.hidden && (p.entries[0].cut || !p.connectsAt.IsZero())
		if age < 2*gapLag || at == x.at || untold || p.entries[at].stopped {
			continue
		}
		p.resumeAt(p.entries[at], x)
	}
}

// resumeAt resumes a stream at an entry.
func (p *gapPlay) resumeAt(e *gapEntry, x gapStream) {
	f := e.Find(p.now, release.Query{Service: gapService, Request: x.id, After: x.begun.Add(-time.Duration(p.rnd.Int64N(int64(gapLag)))), Before: p.now})
	switch {
	case !f.Found():
		p.unknown++
	case f.Version == x.version:
		p.found++
	default:
		p.wrong++
	}
}

// TestStreamsBegunInGapAreNotGuessed guards against an entry that was cut off while endpoints came
// and went, and works out the version of streams from those that it knows.
func TestStreamsBegunInGapAreNotGuessed(t *testing.T) {
	for name, changes := range map[string][]func(published map[string]string){
		"replaced":      {func(e map[string]string) { delete(e, "e0"); e["e4"] = "v2" }},
		"came and went": {func(e map[string]string) { e["e4"] = "v3"; e["e5"] = "v3" }, func(e map[string]string) { delete(e, "e4"); delete(e, "e5") }},
		"absent":        {func(e map[string]string) { delete(e, "e0"); delete(e, "e1") }, func(e map[string]string) { e["e0"], e["e1"] = "v1", "v1" }},
	} {
		t.Run(name, func(t *testing.T) {
			found, unknown, wrong := 0, 0, 0
			for seed := range uint64(8) {
				p := newGapPlay(seed)
				p.play(20 * time.Second)
				p.setCut(true)
				p.play(gapLag)
				for _, change := range changes {
					p.publish(func() { change(p.published) })
					p.play(4 * time.Second)
				}
				p.setCut(false)
				p.play(20 * time.Second)
				found, unknown, wrong = found+p.found, unknown+p.unknown, wrong+p.wrong
			}
			t.Logf("%d found, %d unknown, %d wrong", found, unknown, wrong)
			assert.Zero(t, wrong)
		})
	}
}

// TestStreamsAreToldAfterGap guards against streams that no entry knows when all were frozen at once
// and the one where they run is lost afterwards.
func TestStreamsAreToldAfterGap(t *testing.T) {
	p := newGapPlay(1)
	p.play(20 * time.Second)
	first, second := p.entries[0], p.entries[1]
	first.Begin(p.now, p.now, gapService, "x", first.Preferred(gapService, "x"))
	frozen := p.now.Add(4 * time.Second)
	for now := frozen; now.Before(frozen.Add(gapDuration)); now = now.Add(gapStep) {
		first.Confirm(now, now)
		second.Confirm(now, now)
	}
	list, _ := first.Updates(frozen, first.seq)
	second.Merge(frozen, list)
	f := second.Find(frozen, release.Query{After: p.now, Before: frozen, Service: gapService, Request: "x"})
	assert.Equal(t, release.Told, f.Source)
	assert.Equal(t, first.Preferred(gapService, "x"), f.Version)
}

// TestSingleEntryHasNoGap guards against a single entry that refuses resumed streams since the
// store is away.
func TestSingleEntryHasNoGap(t *testing.T) {
	tracker := release.NewTracker()
	tracker.SetEndpoints(epoch, gapService, endpoints("v1", "v2"))
	tracker.Confirm(epoch, epoch)
	now := epoch.Add(20 * time.Second)
	tracker.CheckContact(now)
	_, ok := find(tracker, now.Add(-5*time.Second), gapService, "x")
	assert.True(t, ok)
}

// TestStreamsAreFoundWhileStoreIsAway guards against entries that refuse all resumed streams since
// the store is away, although they hear each other.
func TestStreamsAreFoundWhileStoreIsAway(t *testing.T) {
	p := newGapPlay(1)
	p.play(20 * time.Second)
	found, unknown := p.found, p.unknown
	p.play(20 * time.Second) // nothing is published: only other entries are heard
	assert.Greater(t, p.found-found, 10000)
	assert.Zero(t, p.unknown-unknown)
}

// stop stops the first entry for a time, in which nothing reaches it and it does nothing, while
// endpoints of another version come. It returns the streams that began there meanwhile.
func (p *gapPlay) stop(d time.Duration) (begun []gapStream) {
	p.entries[0].stopped, p.noRoom = true, true
	p.publish(func() { p.published["e4"], p.published["e5"] = "v3", "v3" })
	from := p.now
	p.play(d)
	p.entries[0].stopped, p.noRoom = false, false
	for _, x := range p.streams {
		if !x.begun.Before(from) {
			begun = append(begun, x)
		}
	}
	return begun
}

// TestStoppedEntryDoesNotGuess guards against an entry that stood still while endpoints of another
// version came, and takes up streams that began there, whatever it handles first when it goes on:
// what it was told before, a new list, or requests.
func TestStoppedEntryDoesNotGuess(t *testing.T) {
	words := map[string]func(e *gapEntry, p *gapPlay, stoppedAt time.Time){
		"requests first":      func(*gapEntry, *gapPlay, time.Time) {},
		"round first":         func(e *gapEntry, p *gapPlay, _ time.Time) { e.CheckContact(p.now) },
		"old words first":     func(e *gapEntry, p *gapPlay, at time.Time) { e.Confirm(p.now, at); e.HeardAll(at) },
		"heard, list unheard": func(e *gapEntry, p *gapPlay, at time.Time) { e.HeardAll(p.now); e.Confirm(p.now, at) },
		"new list first": func(e *gapEntry, p *gapPlay, at time.Time) {
			e.SetEndpoints(p.now, gapService, p.list())
			e.Confirm(p.now, at.Add(p.now.Sub(at)/2))
		},
		"list current, exceptions unheard": func(e *gapEntry, p *gapPlay, at time.Time) {
			e.SetEndpoints(p.now, gapService, p.list())
			e.Confirm(p.now, p.now)
			e.HeardAll(at)
		},
	}
	for name, word := range words {
		for _, length := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 1950 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprint(name, ", ", length), func(t *testing.T) {
				p := newGapPlay(1)
				p.play(20 * time.Second)
				stoppedAt := p.now
				begun := p.stop(length)
				wrong := p.wrong
				word(p.entries[0], p, stoppedAt)
				for _, x := range begun {
					p.resumeAt(p.entries[0], x)
				}
				assert.Equal(t, wrong, p.wrong)
				for _, other := range p.entries[1:] {
					p.entries[0].Merge(p.now, other.Exceptions(p.now))
				}
				found := p.found
				p.step(p.entries[0])
				p.play(gapTimeout)
				assert.Greater(t, p.found-found, 100, "streams go on there")
				assert.Zero(t, p.wrong)
			})
		}
	}
}

// TestLateRoundsDoNotRefuseForEver guards against an entry on a slow machine, whose rounds come 0.25 s
// apart, that is never caught up although each entry answers each report within 0.3 s.
func TestLateRoundsDoNotRefuseForEver(t *testing.T) {
	const round, answer = 250 * time.Millisecond, 300 * time.Millisecond
	tracker := release.NewTracker()
	tracker.ExpectOthers()
	tracker.SetEndpoints(epoch, gapService, endpoints("v1", "v2"))
	refused, asked := 0, 0
	for d := time.Duration(0); d < time.Minute; d += round {
		now := epoch.Add(d)
		tracker.CheckContact(now)
		tracker.Confirm(now, now)
		tracker.HeardAll(now.Add(-answer))
		if d < 30*time.Second {
			continue
		}
		if asked++; tracker.Find(now, release.Query{Service: gapService, Request: "x", After: now.Add(-gapTimeout), Before: now}).Behind {
			refused++
		}
	}
	assert.Less(t, refused, asked/2, "of %d", asked)
}
