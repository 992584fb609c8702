package soak

import (
	"bytes"
	"slices"
	"time"

	"ebonypulley/wire"
)

// link is the connection between an entry and an agent. Within one epoch
// messages keep their order; a cut loses those under way, or lets some of
// them reach the agent late, beside the next connection.
type link struct {
	w      *world
	pair   pair
	up     bool
	silent bool
	epoch  int
	inc    wire.Incarnation // of the agent at the other end
	heard  time.Time        // by the entry
	out    time.Time        // arrival of the last message to the agent
	back   time.Time        // arrival of the last message to the entry
}

// Times of the network.
const (
	minDelay  = 200 * time.Microsecond
	maxDelay  = 5 * time.Millisecond
	slowDelay = 400 * time.Millisecond
	slowShare = 0.02
	lateShare = 0.3
	maxLate   = 4 * time.Second
	redial    = 50 * time.Millisecond
)

func (l *link) delay() time.Duration {
	if l.w.chance(slowShare) {
		return l.w.between(minDelay, slowDelay)
	}
	return l.w.between(minDelay, maxDelay)
}

// arrival keeps the order of a connection.
func (l *link) arrival(last *time.Time) time.Duration {
	at := l.w.now.Add(l.delay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(l.w.now)
}

// parted reports whether a partition lies between the two ends.
func (l *link) parted() bool { return l.w.parted && l.pair.entry%2 != l.pair.agent%2 }

func (l *link) toAgent(m wire.Message) {
	if !l.up {
		return
	}
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	epoch, holder, inc := l.epoch, e.inc, l.inc
	l.w.after(l.arrival(&l.out), func() {
		lost := l.silent || l.parted()
		current := l.up && l.epoch == epoch
		if lost {
			return
		}
		if !current {
			l.late(m, holder, inc)
			return
		}
		a.when(func() { a.handle(e, holder, m) })
	})
}

// late delivers a message of an ended connection from the agent's socket
// buffer, if that process still lives.
func (l *link) late(m wire.Message, holder wire.Incarnation, inc wire.Incarnation) {
	if !l.w.chance(lateShare) {
		return
	}
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	l.w.after(l.w.between(0, maxLate), func() {
		if a.up && a.inc == inc {
			a.when(func() { a.handle(e, holder, m) })
		}
	})
}

func (l *link) toEntry(holder wire.Incarnation, m wire.Message) {
	if !l.up {
		return
	}
	e := l.w.entries[l.pair.entry]
	epoch := l.epoch
	l.w.after(l.arrival(&l.back), func() {
		if !l.up || l.epoch != epoch || l.silent || l.parted() {
			return
		}
		l.heard = l.w.now
		e.when(func() {
			if e.inc == holder {
				e.handle(m, l.pair.agent)
			}
		})
	})
}

// watch replaces a connection on which nothing came for too long.
func (l *link) watch() {
	if l.up && l.w.now.Sub(l.heard) > silence {
		l.w.note("entry %d replaces its silent connection to agent %d", l.pair.entry, l.pair.agent)
		l.cut()
	}
}

func (l *link) cut() {
	if !l.up {
		return
	}
	l.up = false
	e := l.w.entries[l.pair.entry]
	e.when(func() { e.linkChanged(l.pair.agent, false, wire.Incarnation{}) })
	l.w.after(redial+l.w.between(0, redial), l.connect)
}

// connect dials until both ends are there.
func (l *link) connect() {
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	if l.up {
		return
	}
	if !e.awake() || !a.awake() || l.parted() {
		l.w.after(redial+l.w.between(0, 4*redial), l.connect)
		return
	}
	l.up = true
	l.silent = false
	l.epoch++
	l.inc = a.inc
	l.heard = l.w.now
	a.gate.Renew(l.w.now, e.inc)
	e.linkChanged(l.pair.agent, true, a.inc)
}

// sorted returns the IDs of a map in order, so that one seed gives one
// history.
func sorted[V any](m map[wire.ID]V) []wire.ID {
	ids := make([]wire.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b wire.ID) int { return bytes.Compare(a[:], b[:]) })
	return ids
}
