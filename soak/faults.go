package soak

import (
	"time"

	"ebonypulley/wire"
)

// Timing of the faults.
const (
	meanFaultInterval = 700 * time.Millisecond
	maxDown           = 6 * time.Second
	maxPartition      = 8 * time.Second
	// anotherFaultFraction is the probability of one more fault at the same time.
	anotherFaultFraction = 0.4
)

// injectFaults injects one fault, often several at the same time, and schedules
// the next.
func (w *world) injectFaults() {
	w.after(w.between(0, 2*meanFaultInterval), w.injectFaults)
	if !w.set.Faults {
		return
	}
	w.injectFault()
	for w.chance(anotherFaultFraction) {
		w.injectFault()
	}
}

// injectFault injects a random fault at a random entry and agent.
func (w *world) injectFault() {
	e := w.entries[w.rnd.IntN(entryCount)]
	a := w.agents[w.rnd.IntN(agentCount)]
	l := w.links[pair{e.index, a.index}]
	f := Faults[w.rnd.IntN(len(Faults)-1)] // without AnswerLost, which agent.Run injects
	w.note("fault %s: entry %d, agent %d", f, e.index, a.index)
	w.recordFault(f, func(id wire.ID) bool { return w.affects(f, id, e, a) })
	switch f {
	case Cut:
		l.cut()
	case Silence:
		l.silent = true
	case Partition:
		w.startPartition()
	case AgentCrash:
		if a.up {
			a.crash()
			w.after(w.between(0, maxDown), a.restart)
		}
	case EntryCrash:
		if e.up {
			e.crash()
			w.after(w.between(0, maxDown), e.start)
		}
	case AgentPause:
		a.pauses++
		a.pausedUntil = w.now.Add(w.between(0, maxPause))
		w.after(a.pausedUntil.Sub(w.now), a.resume)
	case EntryPause:
		e.pausedUntil = w.now.Add(w.between(0, maxPause))
		w.after(e.pausedUntil.Sub(w.now), e.resume)
	case Drain:
		a.drain()
	}
}

func (w *world) startPartition() {
	if w.partitioned {
		return
	}
	w.partitioned = true
	w.after(w.between(0, maxPartition), func() {
		w.partitioned = false
		w.note("the partition heals")
	})
}

// affects reports whether a fault at an entry and an agent affects an attempt.
func (w *world) affects(f Fault, id wire.ID, e *entry, a *agent) bool {
	c, ofEntry := e.attempts[id]
	switch f {
	case Cut, Silence:
		return ofEntry && c.agent == a.index
	case Partition:
		return true
	case EntryCrash, EntryPause:
		return ofEntry
	default:
		return a.up && (a.server.Tracks(id) || ofEntry && c.agent == a.index)
	}
}
