package soak

import (
	"bytes"
	"slices"
	"time"

	"ebonypulley/wire"
)

// link is the connection between an entry and an agent. Each new connection is
// an epoch, within which messages keep their order. A cut loses the messages in
// transit, except that some reach the agent late, along with those of the next
// connection.
type link struct {
	w                *world
	pair             pair
	up               bool
	silent           bool
	epoch            int
	agentIncarnation wire.Incarnation // when the connection was made
	lastReceived     time.Time        // when the entry last received a message
	lastToAgent      time.Time        // when the last message to the agent arrives
	lastToEntry      time.Time        // when the last message to the entry arrives
}

// Timing of the network. The fractions are probabilities per message.
const (
	minDelay       = 200 * time.Microsecond
	maxDelay       = 5 * time.Millisecond
	slowDelay      = 400 * time.Millisecond
	slowFraction   = 0.02
	lateFraction   = 0.3
	maxLateDelay   = 4 * time.Second
	redialInterval = 50 * time.Millisecond
)

func (l *link) delay() time.Duration {
	if l.w.chance(slowFraction) {
		return l.w.between(minDelay, slowDelay)
	}
	return l.w.between(minDelay, maxDelay)
}

// delayAfter returns the delay of the next message in one direction, which
// arrives no earlier than the last one, and updates last.
func (l *link) delayAfter(last *time.Time) time.Duration {
	at := l.w.now.Add(l.delay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(l.w.now)
}

// partitioned reports whether a partition separates the two ends.
func (l *link) partitioned() bool { return l.w.partitioned && l.pair.entry%2 != l.pair.agent%2 }

func (l *link) toAgent(m wire.Message) {
	if !l.up {
		return
	}
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	epoch, holder, inc := l.epoch, e.incarnation, l.agentIncarnation
	l.w.after(l.delayAfter(&l.lastToAgent), func() {
		lost := l.silent || l.partitioned()
		current := l.up && l.epoch == epoch
		if lost {
			return
		}
		if !current {
			l.deliverLate(m, holder, inc)
			return
		}
		a.deliver(func() { a.handle(e, holder, m) })
	})
}

// deliverLate may deliver a message of a closed connection from the agent's
// socket buffer, if that agent process is still up.
func (l *link) deliverLate(m wire.Message, holder wire.Incarnation, inc wire.Incarnation) {
	if !l.w.chance(lateFraction) {
		return
	}
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	l.w.after(l.w.between(0, maxLateDelay), func() {
		if a.up && a.incarnation == inc {
			a.deliver(func() { a.handle(e, holder, m) })
		}
	})
}

func (l *link) toEntry(holder wire.Incarnation, m wire.Message) {
	if !l.up {
		return
	}
	e := l.w.entries[l.pair.entry]
	epoch := l.epoch
	l.w.after(l.delayAfter(&l.lastToEntry), func() {
		if !l.up || l.epoch != epoch || l.silent || l.partitioned() {
			return
		}
		l.lastReceived = l.w.now
		e.deliver(func() {
			if e.incarnation == holder {
				e.handle(m, l.pair.agent)
			}
		})
	})
}

// checkIdle cuts a connection on which the entry has received nothing for longer
// than idleTimeout.
func (l *link) checkIdle() {
	if l.up && l.w.now.Sub(l.lastReceived) > idleTimeout {
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
	e.deliver(func() { e.linkChanged(l.pair.agent, false, wire.Incarnation{}) })
	l.w.after(redialInterval+l.w.between(0, redialInterval), l.connect)
}

// connect dials until both processes run and no partition separates them.
func (l *link) connect() {
	e, a := l.w.entries[l.pair.entry], l.w.agents[l.pair.agent]
	if l.up {
		return
	}
	if !e.running() || !a.running() || l.partitioned() {
		l.w.after(redialInterval+l.w.between(0, 4*redialInterval), l.connect)
		return
	}
	l.up = true
	l.silent = false
	l.epoch++
	l.agentIncarnation = a.incarnation
	l.lastReceived = l.w.now
	a.leases.Renew(l.w.now, e.incarnation)
	e.linkChanged(l.pair.agent, true, a.incarnation)
}

// sortedIDs returns the IDs of a map in order, so that a seed determines the
// history.
func sortedIDs[V any](m map[wire.ID]V) []wire.ID {
	ids := make([]wire.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b wire.ID) int { return bytes.Compare(a[:], b[:]) })
	return ids
}
