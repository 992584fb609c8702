package soak

import (
	"time"

	"ebonypulley/wire"
)

// Times of the failures.
const (
	meanFault    = 700 * time.Millisecond
	maxDown      = 6 * time.Second
	maxPartition = 8 * time.Second
	// pairShare is how often another failure follows at once.
	pairShare = 0.4
)

// fault brings about one failure, often two together.
func (w *world) fault() {
	w.after(w.between(0, 2*meanFault), w.fault)
	if !w.set.Faults {
		return
	}
	w.one()
	for w.chance(pairShare) {
		w.one()
	}
}

func (w *world) one() {
	e := w.entries[w.rnd.IntN(entryCount)]
	a := w.agents[w.rnd.IntN(agentCount)]
	l := w.links[pair{e.index, a.index}]
	f := Faults[w.rnd.IntN(len(Faults)-1)] // answer-lost comes with the runs
	w.note("fault %s: entry %d, agent %d", f, e.index, a.index)
	w.hit(f, func(id wire.ID) bool { return w.touches(f, id, e, a) })
	switch f {
	case Cut:
		l.cut()
	case Silence:
		l.silent = true
	case Partition:
		w.part()
	case Crash:
		if a.up {
			a.crash()
			w.after(w.between(0, maxDown), a.restart)
		}
	case EntryDown:
		if e.up {
			e.crash()
			w.after(w.between(0, maxDown), e.start)
		}
	case Pause:
		a.pauses++
		a.nap = w.now.Add(w.between(0, maxNap))
		w.after(a.nap.Sub(w.now), a.wake)
	case EntryNap:
		e.nap = w.now.Add(w.between(0, maxNap))
		w.after(e.nap.Sub(w.now), e.wake)
	case Drain:
		a.drain()
	}
}

func (w *world) part() {
	if w.parted {
		return
	}
	w.parted = true
	w.after(w.between(0, maxPartition), func() {
		w.parted = false
		w.note("the partition heals")
	})
}

// touches reports whether a failure concerns an attempt.
func (w *world) touches(f Fault, id wire.ID, e *entry, a *agent) bool {
	c, mine := e.attempts[id]
	switch f {
	case Cut, Silence:
		return mine && c.agent == a.index
	case Partition:
		return true
	case EntryDown, EntryNap:
		return mine
	default:
		return a.up && (a.server.Known(id) || mine && c.agent == a.index)
	}
}
