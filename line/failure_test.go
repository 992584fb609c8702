package line_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/line"
	"ebonypulley/queue"
	"ebonypulley/share"
)

// failAt is when a failure begins, two seconds into the burst.
const failAt = calm + 2*time.Second

// compare plays a failure at 24 entries in line and with local decisions only, and returns
// the worth of both and the room used in line.
func compare(fail func(p *play)) (worth [2]float64, busy float64) {
	const seeds = 2
	for seed := range uint64(seeds) {
		for _, m := range []mode{inLine, local} {
			p := newPlay(m, 24, seed)
			p.slots = 100
			fail(p)
			p.run()
			worth[m] += p.worth() / seeds
			if m == inLine {
				busy += p.busy / p.steps / seeds
			}
		}
	}
	return worth, busy
}

// notWorse requires that the line serves at least what local decisions would, and leaves no
// room unused.
func notWorse(t *testing.T, fail func(p *play)) {
	t.Helper()
	worth, busy := compare(fail)
	t.Logf("worth in line and local %.3f, room used %.3f", worth, busy)
	assert.GreaterOrEqual(t, worth[inLine], worth[local])
	assert.GreaterOrEqual(t, busy, 0.97)
}

// TestEntryKilledWithFullQueue: the others must not keep room free for what waited there.
func TestEntryKilledWithFullQueue(t *testing.T) {
	t.Parallel()
	notWorse(t, func(p *play) {
		p.onStep = func() {
			if p.now.Sub(p.begun) >= failAt {
				p.entries[0].dead = true
				p.entries[0].queue = queue.New(queue.ByUrgency)
			}
		}
	})
}

// TestEntriesCutApart: two entries and the others hear nothing of each other.
func TestEntriesCutApart(t *testing.T) {
	t.Parallel()
	notWorse(t, func(p *play) {
		p.cut = func(from, to int) bool { return p.now.Sub(p.begun) >= failAt && from < 2 != (to < 2) }
	})
}

// TestNewsOneWay: two entries are heard by the others, and hear nothing.
func TestNewsOneWay(t *testing.T) {
	t.Parallel()
	notWorse(t, func(p *play) {
		p.cut = func(from, to int) bool { return p.now.Sub(p.begun) >= failAt && from >= 2 && to < 2 }
	})
}

// TestAllEntriesRestarted: entries that know nothing must decide as well as without a line.
func TestAllEntriesRestarted(t *testing.T) {
	t.Parallel()
	notWorse(t, func(p *play) {
		done := false
		p.onStep = func() {
			if done || p.now.Sub(p.begun) < failAt {
				return
			}
			done = true
			for _, e := range p.entries {
				e.queue, e.line, e.table = queue.New(queue.ByUrgency), line.New(), share.NewTable()
			}
		}
	})
}

// TestWrongNews: an entry that claims that urgent requests wait there must not stop the others
// from serving theirs.
func TestWrongNews(t *testing.T) {
	t.Parallel()
	notWorse(t, func(p *play) {
		p.claim = func(from int) []share.Demand {
			if from != 0 || p.now.Sub(p.begun) < failAt || p.now.Sub(p.begun) > failAt+time.Second {
				return nil
			}
			return []share.Demand{{Service: "llm", Rank: 0, Waiting: 1e6}}
		}
	})
}

// TestUnusedRoomIsTaken: what is said to wait elsewhere can't use the room, for example because
// its prompts are too large. The room must not stay unused.
func TestUnusedRoomIsTaken(t *testing.T) {
	l, now := line.New(), time.Unix(1000, 0)
	others := []share.Demand{{Service: "llm", Rank: 0, Waiting: 1000}}
	leaves := func(free float64) bool {
		l.Update(now, line.Room{Capacity: 1000, Free: free, FreedPerSecond: 100}, nil, others, nil, nil)
		return l.Admit(now, line.Request{Rank: 1, Cost: 30}).Leave
	}
	for range 20 { // less than becomes free in the time in which others take it
		assert.True(t, leaves(45))
		now = now.Add(20 * time.Millisecond)
	}
	took := time.Duration(0)
	for took < time.Second && leaves(60) {
		took += 20 * time.Millisecond
		now = now.Add(20 * time.Millisecond)
	}
	assert.InDelta(t, 0.3, took.Seconds(), 0.1)
}
