package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/gossip"
)

// TestOneSourceAtATime guards against an entry without access to the store that asks all
// others for a large configuration, so that the copies of the answer fill its link. It asks
// one, stays with it while it makes progress, and otherwise continues with the next: first
// those that are ahead, of these the one with the widest link.
func TestOneSourceAtATime(t *testing.T) {
	var s gossip.SourceSelector
	candidates := func() []gossip.Candidate {
		return []gossip.Candidate{{Addr: "a", LinkMbps: 200}, {Addr: "b", LinkMbps: 10, Ahead: true}, {Addr: "c", LinkMbps: 200, Ahead: true}}
	}
	choose := func(d time.Duration) string { return s.Choose(at(d), "reader", true, candidates) }
	assert.Equal(t, "reader", s.Choose(at(0), "reader", false, candidates))
	assert.Equal(t, "c", choose(0))
	assert.Equal(t, "c", choose(300*time.Millisecond))
	s.RecordProgress(at(300*time.Millisecond), "c")
	s.RecordProgress(at(600*time.Millisecond), "b")
	assert.Equal(t, "c", choose(700*time.Millisecond))
	assert.Equal(t, "b", choose(800*time.Millisecond), "c made no progress")
	assert.Equal(t, "c", choose(1300*time.Millisecond), "a is not ahead")
	late := []gossip.Candidate{{Addr: "a"}, {Addr: "b"}}
	assert.Equal(t, "b", s.Choose(at(1350*time.Millisecond), "reader", true, func() []gossip.Candidate { return []gossip.Candidate{{Addr: "b", Ahead: true}, {Addr: "c"}} }), "c is not ahead")
	assert.Equal(t, "b", s.Choose(at(1360*time.Millisecond), "reader", true, func() []gossip.Candidate { return late }))
	assert.Equal(t, "reader", s.Choose(at(1400*time.Millisecond), "reader", false, candidates))
	assert.Empty(t, s.Choose(at(1500*time.Millisecond), "reader", true, func() []gossip.Candidate { return nil }))
}

// TestWidestLinkReads guards against a delay of a second for each change because the reader
// of a data centre has the narrowest link there, though the lowest address. The entry with
// the widest link reads; of equal links, the lowest address.
func TestWidestLinkReads(t *testing.T) {
	m := gossip.NewMembers("b", "dc-1", nil)
	m.SetStoreAccess("b", gossip.StoreAccess{LinkMbps: 10})
	m.Observe(at(0), "a", "dc-1")
	m.SetStoreAccess("a", gossip.StoreAccess{LinkMbps: 10})
	assert.Equal(t, "a", m.Reader(at(0)))
	m.Observe(at(0), "c", "dc-1")
	m.SetStoreAccess("c", gossip.StoreAccess{LinkMbps: 200})
	m.Observe(at(0), "0", "dc-2")
	m.SetStoreAccess("0", gossip.StoreAccess{LinkMbps: 1000})
	assert.Equal(t, "c", m.Reader(at(0)))
	m.SetStoreAccess("c", gossip.StoreAccess{LinkMbps: 200, StoreFailed: true})
	assert.Equal(t, "a", m.Reader(at(0)), "c has no access to the store")
	assert.Equal(t, "b", m.Reader(at(2*time.Second)))
}

// TestReaderIsATarget: in a fleet larger than maxPeers the reader is among the targets,
// because it is asked over the same connection.
func TestReaderIsATarget(t *testing.T) {
	m := gossip.NewMembers("000", "dc-1", nil)
	for i := range 100 {
		addr := string(rune('a'+i/26)) + string(rune('a'+i%26))
		m.Observe(at(0), addr, "dc-1")
	}
	m.Observe(at(0), "zz", "dc-1")
	m.SetStoreAccess("zz", gossip.StoreAccess{LinkMbps: 200})
	assert.Contains(t, m.Targets(at(0)), "zz")
}
