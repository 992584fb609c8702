package soak

import (
	"time"

	"ebonypulley/attempt"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

// Timing of the simulated processes, as in the daemons.
const (
	leaseTTL          = 3 * time.Second
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	idleTimeout       = 1500 * time.Millisecond
	reconnectTimeout  = 2500 * time.Millisecond
	withdrawTimeout   = 200 * time.Millisecond
	maxPause          = 8 * time.Second
	pauseThreshold    = time.Second
	keyWindow         = 10 * time.Minute
	maxKeys           = 1000
	maxServiceTime    = 1500 * time.Millisecond
)

var capacity = lease.Capacity{Requests: 3, Headroom: 1, Queue: 4}

// agent simulates the agent of a plain service around the real lease table and
// attempt server.
type agent struct {
	w           *world
	index       int
	incarnation wire.Incarnation
	up          bool
	pausedUntil time.Time
	inbox       []func() // deliveries that arrived during a pause
	leases      *lease.Table
	server      *attempt.Server
	leased      map[wire.ID]bool
	offered     map[wire.ID]bool // attempts offered to this agent
	draining    bool
	lastTick    time.Time
	pauses      int
	staleLeases map[wire.ID]*staleLease
}

var _ attempt.Effects = (*agent)(nil)

func newAgent(w *world, index int) *agent {
	a := &agent{w: w, index: index}
	a.start()
	return a
}

func (a *agent) start() {
	a.incarnation = a.w.newID()
	a.up = true
	a.draining = false
	a.inbox = nil
	a.lastTick = a.w.now
	a.leased = make(map[wire.ID]bool)
	a.offered = make(map[wire.ID]bool)
	a.staleLeases = make(map[wire.ID]*staleLease)
	a.leases = lease.NewTable(capacity, leaseTTL)
	a.server = attempt.NewServer(a.w.now, a.incarnation, a.leases, attempt.KeyLimits{Window: keyWindow, MaxKeys: maxKeys}, a)
	a.w.note("agent %d starts as %s", a.index, a.incarnation)
}

func (a *agent) running() bool { return a.up && !a.w.now.Before(a.pausedUntil) }

// deliver runs fn now, or after the pause if the process is paused. It drops fn
// if the process is down or crashes during the pause.
func (a *agent) deliver(fn func()) {
	switch {
	case !a.up:
	case a.running():
		fn()
	default:
		a.inbox = append(a.inbox, fn)
	}
}

func (a *agent) resume() {
	if !a.running() {
		return
	}
	a.w.note("agent %d wakes with %d messages", a.index, len(a.inbox))
	a.extendAfterPause()
	inbox := a.inbox
	a.inbox = nil
	for _, fn := range inbox {
		fn()
	}
}

func (a *agent) tick() {
	a.w.after(tickInterval, a.tick)
	if !a.running() {
		return
	}
	a.extendAfterPause()
	a.apply(a.leases.Tick(a.w.now))
	a.server.Tick(a.w.now)
	if a.draining && a.leases.Idle() && a.server.Idle() {
		a.w.note("agent %d has drained", a.index)
		a.crash()
		a.w.after(a.w.between(0, 2*time.Second), a.restart)
	}
}

// extendAfterPause extends all leases after a pause of this process, so that
// their holders' heartbeats can be read first.
func (a *agent) extendAfterPause() {
	if a.w.now.Sub(a.lastTick) > pauseThreshold {
		a.leases.ExtendHolders(a.w.now, pauseThreshold)
	}
	a.lastTick = a.w.now
}

func (a *agent) apply(changes []lease.Change) {
	for _, c := range changes {
		switch c.Kind {
		case lease.WasGranted:
			a.server.Granted(c.ID)
		case lease.WaitEnded:
			a.server.WaitEnded(a.w.now, c.ID, c.Reason)
		case lease.Expired:
			a.w.note("agent %d: lease of %s expired", a.index, c.ID)
			a.server.LeaseExpired(a.w.now, c.ID)
		}
	}
	a.updatePhases()
}

// updatePhases copies the state of the lease table to the world's records of the
// attempts offered to this agent.
func (a *agent) updatePhases() {
	for id := range a.offered {
		t := a.w.attempts[id]
		if t == nil {
			delete(a.offered, id)
			continue
		}
		holds := a.leases.Holds(id)
		if holds && !a.leased[id] && t.phase == Offering || holds && t.phase == Waiting {
			t.phase = Granted
		}
		if holds {
			a.leased[id] = true
		} else {
			delete(a.leased, id)
			delete(a.staleLeases, id)
		}
	}
}

// handle handles a message from an entry.
func (a *agent) handle(e *entry, holder wire.Incarnation, m wire.Message) {
	now := a.w.now
	switch m := m.(type) {
	case *wire.Ping:
		a.leases.Renew(now, holder)
		a.w.links[pair{e.index, a.index}].toEntry(holder, &wire.Pong{Load: wire.Load{Draining: a.draining}})
	case *wire.Offer:
		if a.draining && !a.server.Tracks(m.ID) {
			a.Reply(holder, &wire.Refused{ID: m.ID, Reason: wire.ReasonDraining})
			return
		}
		a.offered[m.ID] = true
		a.server.Offer(now, holder, m)
		if t := a.w.attempts[m.ID]; t != nil && t.phase == Offering && a.server.Tracks(m.ID) {
			t.phase = Waiting
		}
	case *wire.Start:
		a.server.Start(now, holder, m)
	case *wire.Withdraw:
		a.server.Withdraw(now, holder, m.ID)
	case *wire.Cancel:
		a.server.Cancel(now, holder, m.ID)
	}
	a.updatePhases()
}

// Reply implements attempt.Effects.
func (a *agent) Reply(holder wire.Incarnation, m wire.Message) {
	for _, e := range a.w.entries {
		if e.incarnation == holder {
			a.w.links[pair{e.index, a.index}].toEntry(holder, m)
		}
	}
}

// Run implements attempt.Effects: the service always starts the call, at once;
// its answer may be lost.
func (a *agent) Run(offer *wire.Offer, _ *wire.Start, deadline time.Time) {
	w, id, server := a.w, offer.ID, a.server
	w.note("agent %d runs %s", a.index, id)
	w.recordRun(id)
	take := w.between(time.Millisecond, maxServiceTime)
	lost := w.set.Faults && w.chance(0.05)
	if left := deadline.Sub(w.now); take > left {
		take, lost = max(left, 0), true
	}
	if lost {
		w.recordFault(AnswerLost, func(x wire.ID) bool { return x == id })
	}
	w.after(take, func() {
		a.deliver(func() {
			if a.server != server {
				return // the agent has restarted
			}
			if t := w.attempts[id]; t != nil {
				t.phase = Ended
			}
			if lost {
				server.Ended(id, nil, true)
			} else {
				server.Ended(id, &attempt.Answer{Status: 200, Body: id[:]}, true)
			}
			a.updatePhases()
		})
	})
}

// Abort implements attempt.Effects. It does nothing, because the simulated calls
// are not idempotent.
func (a *agent) Abort(wire.ID) {}

// Release implements attempt.Effects.
func (a *agent) Release(id wire.ID) {
	a.leases.Release(a.w.now, id)
	a.apply(a.leases.Tick(a.w.now))
}

func (a *agent) crash() {
	a.w.note("agent %d ends", a.index)
	a.up = false
	a.inbox = nil
	for id := range a.leased {
		if t := a.w.attempts[id]; t != nil && t.phase != Running {
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

// drain simulates SIGTERM.
func (a *agent) drain() {
	if a.draining || !a.running() {
		return
	}
	a.w.note("agent %d drains", a.index)
	a.draining = true
	a.apply(a.leases.Drain())
}
