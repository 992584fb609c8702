package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/gossip"
)

// TestOneLeader guards against two entries that give orders to the same engine in turns. An
// entry does not lead when it hears nobody any more, or when others still hear of one with a
// lower address.
func TestOneLeader(t *testing.T) {
	a := gossip.NewMembers("a", "dc", []string{"a", "b"})
	b := gossip.NewMembers("b", "dc", []string{"a", "b"})
	c := gossip.NewMembers("c", "dc", []string{"a", "b"})
	now := start
	step := func(d time.Duration, hear func()) {
		for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
			hear()
		}
	}
	all := func() {
		a.Observe(now, "b", "dc")
		a.Observe(now, "c", "dc")
		b.Observe(now, "a", "dc")
		b.Observe(now, "c", "dc")
		c.Observe(now, "a", "dc")
		c.Observe(now, "b", "dc")
		a.IsLeader(now)
		b.IsLeader(now)
		c.IsLeader(now)
	}
	step(4*time.Second, all)
	assert.True(t, a.IsLeader(now))
	assert.False(t, b.IsLeader(now))

	step(20*time.Second, func() { // a and b don't hear each other, c hears both
		a.Observe(now, "c", "dc")
		b.Observe(now, "c", "dc")
		b.Learn(now, []gossip.Member{{Addr: "a"}})
		c.Observe(now, "a", "dc")
		c.Observe(now, "b", "dc")
		assert.False(t, b.IsLeader(now))
	})
	step(20*time.Second, func() { // a is partitioned from the others
		b.Observe(now, "c", "dc")
		c.Observe(now, "b", "dc")
		b.IsLeader(now)
		a.IsLeader(now)
	})
	assert.False(t, a.IsLeader(now))
	assert.True(t, b.IsLeader(now))
}

// leader returns an entry that hears two others and has just begun to lead, because one with a
// lower address is silent.
func leader() (m *gossip.Members, now time.Time) {
	m = gossip.NewMembers("b", "dc", []string{"a", "b"})
	m.Observe(at(0), "a", "dc")
	for now = at(0); !m.IsLeader(now) && now.Before(at(time.Minute)); now = now.Add(250 * time.Millisecond) {
		m.Observe(now, "c", "dc")
		m.Observe(now, "d", "dc")
		m.ExpireSilent(now)
	}
	return m, now
}

// TestLeaderThatWasStopped guards against orders in turns with another leader: the entry was
// stopped, another one with a lower address has led meanwhile, and word of others that waited in
// a socket is read first.
func TestLeaderThatWasStopped(t *testing.T) {
	wake := map[string]func(m *gossip.Members, stopped, now time.Time){
		"orders first": func(_ *gossip.Members, _, _ time.Time) {},
		"hears first":  func(m *gossip.Members, stopped, now time.Time) { m.Observe(now, "c", "dc"); m.Observe(now, "d", "dc") },
		"checks first": func(m *gossip.Members, stopped, now time.Time) {
			m.ExpireSilent(now)
			m.Observe(now, "c", "dc")
			m.Observe(now, "d", "dc")
		},
		"read the time": func(m *gossip.Members, stopped, now time.Time) {
			m.Observe(stopped, "c", "dc")
			m.Observe(now, "d", "dc")
		},
		"checked in past": func(m *gossip.Members, stopped, now time.Time) {
			m.ExpireSilent(stopped)
			m.Observe(now, "c", "dc")
			m.Observe(now, "d", "dc")
		},
	}
	for name, hear := range wake {
		for stop := 1100 * time.Millisecond; stop <= 12*time.Second; stop += 100 * time.Millisecond {
			m, now := leader()
			assert.True(t, m.IsLeader(now), name)
			stopped := now
			now = now.Add(stop)
			hear(m, stopped, now)
			for end := now.Add(3 * time.Second); !now.After(end); now = now.Add(100 * time.Millisecond) {
				require.False(t, m.IsLeader(now), "%s, %v after a stop of %v", name, 3*time.Second-end.Sub(now), stop)
				m.ExpireSilent(now)
			}
		}
	}
}

// TestLeaderGoesOn guards against a leader that takes short pauses and late checks for a stop, so
// that nobody gives orders.
func TestLeaderGoesOn(t *testing.T) {
	m, now := leader()
	for range 20 {
		assert.True(t, m.IsLeader(now))
		now = now.Add(time.Second)
		m.Observe(now, "c", "dc")
		m.Observe(now, "d", "dc")
		m.ExpireSilent(now)
	}
	now = now.Add(4 * time.Second)
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(250 * time.Millisecond) {
		m.Observe(now, "c", "dc")
		m.Observe(now, "d", "dc")
		m.ExpireSilent(now)
	}
	assert.True(t, m.IsLeader(now), "it leads again once it has heard others for a while")
}

// TestLeaderThatSendsSlowOrders guards against a leader that takes the time in which it sends orders,
// and does not ask whether it leads, for a stop.
func TestLeaderThatSendsSlowOrders(t *testing.T) {
	m, now := leader()
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		m.Observe(now, "c", "dc")
		m.Observe(now, "d", "dc")
		m.ExpireSilent(now)
	}
	assert.True(t, m.IsLeader(now))
}

// TestLeaderThatIsNotAsked guards against an entry that leads at once because the conditions to
// lead lapsed and came back while it sent orders and did not ask.
func TestLeaderThatIsNotAsked(t *testing.T) {
	m, now := leader()
	assert.True(t, m.IsLeader(now))
	for range 20 { // a leads meanwhile
		now = now.Add(250 * time.Millisecond)
		m.Observe(now, "a", "dc")
		m.ExpireSilent(now)
	}
	for range 25 { // a is silent for just over 6 s
		now = now.Add(250 * time.Millisecond)
		m.Observe(now, "c", "dc")
		m.Observe(now, "d", "dc")
		m.ExpireSilent(now)
	}
	assert.False(t, m.IsLeader(now))
}

// TestMinorityDoesNotLead guards against two of five entries that are partitioned from the
// others and give orders to engines that the others also control.
func TestMinorityDoesNotLead(t *testing.T) {
	m := gossip.NewMembers("a", "dc", []string{"a", "b"})
	for d := time.Duration(0); d < 5*time.Second; d += time.Second {
		for _, other := range []string{"b", "c", "d", "e"} {
			m.Observe(at(d), other, "dc")
		}
		m.IsLeader(at(d))
	}
	assert.True(t, m.IsLeader(at(5*time.Second)))
	for d := 5 * time.Second; d < 20*time.Second; d += time.Second {
		m.Observe(at(d), "b", "dc")
		if d > 9*time.Second {
			assert.False(t, m.IsLeader(at(d)))
		}
	}
}

// TestLeadershipWithoutPeers guards against an entry that starts in a partition and leads
// although it hears none of its seeds. An entry whose only seed is itself does lead.
func TestLeadershipWithoutPeers(t *testing.T) {
	isolated := gossip.NewMembers("b", "dc", []string{"a", "b"})
	alone := gossip.NewMembers("b", "dc", []string{"b"})
	for d := time.Duration(0); d < 10*time.Second; d += time.Second {
		assert.False(t, isolated.IsLeader(at(d)))
		alone.IsLeader(at(d))
	}
	assert.True(t, alone.IsLeader(at(10*time.Second)))
}
