package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/gossip"
)

// TestOneQuestionAtATime: an entry that can't read the store asks all others for
// a large configuration, and the copies of the answer fill its link. It asks one,
// stays with it while something comes, and goes on to the next one when nothing
// does; first to those that are ahead, of these to the widest link.
func TestOneQuestionAtATime(t *testing.T) {
	var s gossip.Source
	candidates := func() []gossip.Candidate {
		return []gossip.Candidate{{Addr: "a", Link: 200}, {Addr: "b", Link: 10, Ahead: true}, {Addr: "c", Link: 200, Ahead: true}}
	}
	choose := func(d time.Duration) string { return s.Choose(at(d), "reader", true, candidates) }
	assert.Equal(t, "reader", s.Choose(at(0), "reader", false, candidates))
	assert.Equal(t, "c", choose(0))
	assert.Equal(t, "c", choose(300*time.Millisecond))
	s.Progress(at(300*time.Millisecond), "c")
	s.Progress(at(600*time.Millisecond), "b")
	assert.Equal(t, "c", choose(700*time.Millisecond))
	assert.Equal(t, "b", choose(800*time.Millisecond), "nothing came any more")
	assert.Equal(t, "c", choose(1300*time.Millisecond), "a is not ahead")
	late := []gossip.Candidate{{Addr: "a"}, {Addr: "b"}}
	assert.Equal(t, "b", s.Choose(at(1350*time.Millisecond), "reader", true, func() []gossip.Candidate { return []gossip.Candidate{{Addr: "b", Ahead: true}, {Addr: "c"}} }), "c has nothing to bring")
	assert.Equal(t, "b", s.Choose(at(1360*time.Millisecond), "reader", true, func() []gossip.Candidate { return late }))
	assert.Equal(t, "reader", s.Choose(at(1400*time.Millisecond), "reader", false, candidates))
	assert.Empty(t, s.Choose(at(1500*time.Millisecond), "reader", true, func() []gossip.Candidate { return nil }))
}

// TestWidestLinkReads: changes take a second longer because the entry that reads
// the store for its data centre has the narrowest link there. Its address was the
// lowest; the widest link reads, and of equal ones the lowest address.
func TestWidestLinkReads(t *testing.T) {
	m := gossip.NewMembers("b", "dc-1", nil)
	m.SetWay("b", gossip.Way{Link: 10})
	m.Hear(at(0), "a", "dc-1")
	m.SetWay("a", gossip.Way{Link: 10})
	assert.Equal(t, "a", m.Reader(at(0)))
	m.Hear(at(0), "c", "dc-1")
	m.SetWay("c", gossip.Way{Link: 200})
	m.Hear(at(0), "0", "dc-2")
	m.SetWay("0", gossip.Way{Link: 1000})
	assert.Equal(t, "c", m.Reader(at(0)))
	m.SetWay("c", gossip.Way{Link: 200, NoStore: true})
	assert.Equal(t, "a", m.Reader(at(0)), "the store turns c away")
	assert.Equal(t, "b", m.Reader(at(2*time.Second)))
}

// TestReaderIsATarget: with more entries than one reports to, the one that reads
// the store is among them, because it is asked over the same connection.
func TestReaderIsATarget(t *testing.T) {
	m := gossip.NewMembers("000", "dc-1", nil)
	for i := range 100 {
		addr := string(rune('a'+i/26)) + string(rune('a'+i%26))
		m.Hear(at(0), addr, "dc-1")
	}
	m.Hear(at(0), "zz", "dc-1")
	m.SetWay("zz", gossip.Way{Link: 200})
	assert.Contains(t, m.Targets(at(0)), "zz")
}
