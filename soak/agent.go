package soak

import (
	"time"

	"ebonypulley/attempt"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

// Timing of the world's processes, as in the daemons.
const (
	leaseTTL    = 3 * time.Second
	agentTick   = 100 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	silence     = 1500 * time.Millisecond
	linkGrace   = 2500 * time.Millisecond
	settleTime  = 200 * time.Millisecond
	maxNap      = 8 * time.Second
	pauseLength = time.Second
	keyWindow   = 10 * time.Minute
	keyCount    = 1000
	maxService  = 1500 * time.Millisecond
)

var capacity = lease.Capacity{Requests: 3, Headroom: 1, Queue: 4}

// agent is the process beside a plain service, around the real machines.
type agent struct {
	w       *world
	index   int
	inc     wire.Incarnation
	up      bool
	nap     time.Time // asleep until
	inbox   []func()  // what arrived while asleep
	gate    *lease.Table
	server  *attempt.Server
	held    map[wire.ID]bool
	seen    map[wire.ID]bool // attempts that were offered here
	leaving bool
	ticked  time.Time
	pauses  int
	overdue map[wire.ID]*overdue
}

var _ attempt.Effects = (*agent)(nil)

func newAgent(w *world, index int) *agent {
	a := &agent{w: w, index: index}
	a.start()
	return a
}

func (a *agent) start() {
	a.inc = a.w.newID()
	a.up = true
	a.leaving = false
	a.inbox = nil
	a.ticked = a.w.now
	a.held = make(map[wire.ID]bool)
	a.seen = make(map[wire.ID]bool)
	a.overdue = make(map[wire.ID]*overdue)
	a.gate = lease.NewTable(capacity, leaseTTL)
	a.server = attempt.NewServer(a.w.now, a.inc, a.gate, attempt.KeyLimits{Window: keyWindow, Count: keyCount}, a)
	a.w.note("agent %d starts as %s", a.index, a.inc)
}

func (a *agent) awake() bool { return a.up && !a.w.now.Before(a.nap) }

// when runs do now, or when the process wakes; what a crash swallows is lost.
func (a *agent) when(do func()) {
	switch {
	case !a.up:
	case a.awake():
		do()
	default:
		a.inbox = append(a.inbox, do)
	}
}

func (a *agent) wake() {
	if !a.awake() {
		return
	}
	a.w.note("agent %d wakes with %d messages", a.index, len(a.inbox))
	a.pauseOver()
	inbox := a.inbox
	a.inbox = nil
	for _, do := range inbox {
		do()
	}
}

func (a *agent) tick() {
	a.w.after(agentTick, a.tick)
	if !a.awake() {
		return
	}
	a.pauseOver()
	a.apply(a.gate.Tick(a.w.now))
	a.server.Tick(a.w.now)
	if a.leaving && a.gate.Idle() && a.server.Idle() {
		a.w.note("agent %d has drained", a.index)
		a.crash()
		a.w.after(a.w.between(0, 2*time.Second), a.restart)
	}
}

// pauseOver gives holders a moment to be heard after a pause.
func (a *agent) pauseOver() {
	if a.w.now.Sub(a.ticked) > pauseLength {
		a.gate.Grace(a.w.now, pauseLength)
	}
	a.ticked = a.w.now
}

func (a *agent) apply(changes []lease.Change) {
	for _, c := range changes {
		switch c.Kind {
		case lease.WasGranted:
			a.server.Granted(c.ID)
		case lease.WaitEnded:
			a.server.Dropped(a.w.now, c.ID, c.Reason)
		case lease.Expired:
			a.w.note("agent %d: lease of %s expired", a.index, c.ID)
			a.server.Expired(a.w.now, c.ID)
		}
	}
	a.follow()
}

// follow mirrors the gate's holds for the world's checks.
func (a *agent) follow() {
	for id := range a.seen {
		t := a.w.calls[id]
		if t == nil {
			delete(a.seen, id)
			continue
		}
		holds := a.gate.Holds(id)
		if holds && !a.held[id] && t.phase == Offering || holds && t.phase == Waiting {
			t.phase = Granted
		}
		if holds {
			a.held[id] = true
		} else {
			delete(a.held, id)
			delete(a.overdue, id)
		}
	}
}

// handle takes a message of an entry.
func (a *agent) handle(e *entry, holder wire.Incarnation, m wire.Message) {
	now := a.w.now
	switch m := m.(type) {
	case *wire.Ping:
		a.gate.Renew(now, holder)
		a.w.links[pair{e.index, a.index}].toEntry(holder, &wire.Pong{Load: wire.Load{Draining: a.leaving}})
	case *wire.Offer:
		if a.leaving && !a.server.Known(m.ID) {
			a.Reply(holder, &wire.Refused{ID: m.ID, Reason: wire.Draining})
			return
		}
		a.seen[m.ID] = true
		a.server.Offer(now, holder, m)
		if t := a.w.calls[m.ID]; t != nil && t.phase == Offering && a.server.Known(m.ID) {
			t.phase = Waiting
		}
	case *wire.Start:
		a.server.Start(now, holder, m)
	case *wire.Withdraw:
		a.server.Withdraw(now, holder, m.ID)
	case *wire.Cancel:
		a.server.Cancel(now, holder, m.ID)
	}
	a.follow()
}

// Reply implements attempt.Effects.
func (a *agent) Reply(holder wire.Incarnation, m wire.Message) {
	for _, e := range a.w.entries {
		if e.inc == holder {
			a.w.links[pair{e.index, a.index}].toEntry(holder, m)
		}
	}
}

// Run implements attempt.Effects: the service runs the call, at once and for
// certain; its answer may be lost.
func (a *agent) Run(offer *wire.Offer, _ *wire.Start, deadline time.Time) {
	w, id, server := a.w, offer.ID, a.server
	w.note("agent %d runs %s", a.index, id)
	w.ran(id)
	take := w.between(time.Millisecond, maxService)
	lost := w.set.Faults && w.chance(0.05)
	if left := deadline.Sub(w.now); take > left {
		take, lost = max(left, 0), true
	}
	if lost {
		w.hit(Lost, func(x wire.ID) bool { return x == id })
	}
	w.after(take, func() {
		a.when(func() {
			if a.server != server {
				return // another incarnation
			}
			if t := w.calls[id]; t != nil {
				t.phase = Ended
			}
			if lost {
				server.Ended(id, nil, true)
			} else {
				server.Ended(id, &attempt.Answer{Status: 200, Body: id[:]}, true)
			}
			a.follow()
		})
	})
}

// Abort implements attempt.Effects; the calls of this world are not
// idempotent.
func (a *agent) Abort(wire.ID) {}

// Release implements attempt.Effects.
func (a *agent) Release(id wire.ID) {
	a.gate.Release(a.w.now, id)
	a.apply(a.gate.Tick(a.w.now))
}

func (a *agent) crash() {
	a.w.note("agent %d ends", a.index)
	a.up = false
	a.inbox = nil
	for id := range a.held {
		if t := a.w.calls[id]; t != nil && t.phase != Running {
			t.phase = Ended
		}
	}
	for e := range entryCount {
		a.w.links[pair{e, a.index}].cut()
	}
}

func (a *agent) restart() {
	if !a.up {
		a.start()
	}
}

// drain is SIGTERM.
func (a *agent) drain() {
	if a.leaving || !a.awake() {
		return
	}
	a.w.note("agent %d drains", a.index)
	a.leaving = true
	a.apply(a.gate.Drain())
}
