package soak

import (
	"time"

	"github.com/google/uuid"

	"ebonypulley/attempt"
	"ebonypulley/wire"
)

// entry is an entry process around the real client machines.
type entry struct {
	w        *world
	index    int
	inc      wire.Incarnation
	up       bool
	nap      time.Time
	inbox    []func()
	attempts map[wire.ID]*call
	cancels  map[wire.ID]int // attempt -> agent, repeated until acknowledged
	leaving  [agentCount]bool
}

// call is one attempt of an entry.
type call struct {
	id      wire.ID
	agent   int
	machine *attempt.Client
	// downSince is when its connection was lost.
	downSince time.Time
}

func newEntry(w *world, index int) *entry {
	e := &entry{w: w, index: index}
	e.start()
	return e
}

func (e *entry) start() {
	e.inc = e.w.newID()
	e.up = true
	e.inbox = nil
	e.attempts = make(map[wire.ID]*call)
	e.cancels = make(map[wire.ID]int)
	e.leaving = [agentCount]bool{}
}

func (e *entry) awake() bool { return e.up && !e.w.now.Before(e.nap) }

func (e *entry) when(do func()) {
	switch {
	case !e.up:
	case e.awake():
		do()
	default:
		e.inbox = append(e.inbox, do)
	}
}

func (e *entry) wake() {
	if !e.awake() {
		return
	}
	inbox := e.inbox
	e.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// beat sends heartbeats, repeats cancels and notices silent connections.
func (e *entry) beat() {
	e.w.after(heartbeat, e.beat)
	if !e.awake() {
		return
	}
	for a := range agentCount {
		l := e.w.links[pair{e.index, a}]
		l.watch()
		l.toAgent(&wire.Ping{})
	}
	for _, id := range sorted(e.cancels) {
		e.w.links[pair{e.index, e.cancels[id]}].toAgent(&wire.Cancel{ID: id})
	}
}

// Shares of the callers' habits.
const (
	keyShare     = 0.6
	repeatShare  = 0.4
	giveUpShare  = 0.15
	meanArrival  = 120 * time.Millisecond
	minDeadline  = 500 * time.Millisecond
	maxDeadline  = 12 * time.Second
	spareShare   = 0.3
	maxQueueWait = 3 * time.Second
	// maxSkew is how far callers' clocks are off.
	maxSkew = 1900 * time.Millisecond
)

// arrive is a caller with a booking.
func (e *entry) arrive() {
	e.w.after(e.w.between(0, 2*meanArrival), e.arrive)
	if !e.awake() {
		return
	}
	key := e.chooseKey()
	target := e.w.rnd.IntN(agentCount)
	if key != "" {
		target = owner(key)
	}
	l := e.w.links[pair{e.index, target}]
	if !l.up || e.leaving[target] {
		return // refused without an attempt
	}
	e.open(l, target, key)
}

// chooseKey returns no key, a new one, or one that some caller used before,
// perhaps through another entry.
func (e *entry) chooseKey() string {
	w := e.w
	if !w.chance(keyShare) {
		return ""
	}
	if len(w.keys) > 0 && w.chance(repeatShare) {
		return w.keys[w.rnd.IntN(len(w.keys))]
	}
	key := uuid.UUID(w.mint(w.now.Add(w.between(-maxSkew, maxSkew)))).String()
	w.keys = append(w.keys, key)
	if len(w.keys) > keysKept {
		w.keys = w.keys[1:]
	}
	return key
}

// owner is the agent that a key's calls go to.
func owner(key string) int { return int(key[len(key)-1]) % agentCount }

func (e *entry) open(l *link, target int, key string) {
	w := e.w
	id := w.newID()
	life := w.between(minDeadline, maxDeadline)
	offer := &wire.Offer{
		ID: id, Workspace: "w", Key: key,
		Spare:    w.chance(spareShare),
		Priority: w.rnd.IntN(2),
		Wait:     w.between(0, maxQueueWait),
		Deadline: life,
	}
	c := &call{id: id, agent: target, machine: attempt.NewClient(l.inc, offer, new(wire.Start))}
	e.attempts[id] = c
	w.calls[id] = &truth{key: key, phase: Offering}
	w.report.Requests++
	w.note("entry %d offers %s to agent %d, key %q", e.index, id, target, key)
	e.step(c, c.machine.Begin())
	inc := e.inc
	alive := func(do func()) func() {
		return func() {
			e.when(func() {
				if e.inc == inc && e.attempts[id] == c {
					do()
				}
			})
		}
	}
	if w.chance(giveUpShare) {
		w.after(w.between(0, life), alive(func() { e.giveUp(c) }))
	}
	w.after(life, alive(func() {
		e.step(c, c.machine.Expire())
		w.after(settleTime, alive(func() { e.step(c, c.machine.Settled()) }))
	}))
}

// step carries out what a machine wants.
func (e *entry) step(c *call, s attempt.Step) {
	if s.Send != nil {
		e.w.links[pair{e.index, c.agent}].toAgent(s.Send)
	}
	if s.End == nil {
		return
	}
	e.w.note("entry %d ends %s: %s", e.index, c.id, fates[s.End.Fate])
	e.w.report.Outcomes[fates[s.End.Fate]]++
	switch s.End.Fate {
	case attempt.Refused, attempt.NotRun:
		e.w.denied(c.id)
	case attempt.Answered:
		e.answered(c, s.End.Outcome)
	}
	e.giveUp(c)
}

var fates = map[attempt.Fate]string{
	attempt.Answered: "answered", attempt.Refused: "refused", attempt.NotRun: "not-run", attempt.Unknown: "unknown",
}

// answered checks that the answer is that of this call or of its key.
func (e *entry) answered(c *call, out *wire.Outcome) {
	t := e.w.calls[c.id]
	if out.Replayed && e.w.keyRuns[t.key] == 1 {
		return
	}
	if t.runs != 1 || string(out.Body) != string(c.id[:]) {
		e.w.violate("%s is answered, ran %d times, with the answer of %x", c.id, t.runs, out.Body)
	}
}

// giveUp ends the entry's interest and has the agent free what it holds.
func (e *entry) giveUp(c *call) {
	delete(e.attempts, c.id)
	e.w.calls[c.id].gone = e.w.now
	e.cancels[c.id] = c.agent
	e.w.links[pair{e.index, c.agent}].toAgent(&wire.Cancel{ID: c.id})
}

func (e *entry) handle(m wire.Message, agent int) {
	switch m := m.(type) {
	case *wire.Pong:
		e.leaving[agent] = m.Load.Draining
	case *wire.Cancelled:
		delete(e.cancels, m.ID)
		if t := e.w.calls[m.ID]; t != nil {
			t.phase = Ended
		}
	case wire.Attempted:
		if c, ok := e.attempts[m.Attempt()]; ok {
			e.step(c, c.machine.Receive(m))
		}
	}
}

// linkChanged tells the attempts of an agent about their connection.
func (e *entry) linkChanged(agent int, up bool, inc wire.Incarnation) {
	e.leaving[agent] = false
	for _, id := range sorted(e.attempts) {
		c := e.attempts[id]
		if c == nil || c.agent != agent {
			continue
		}
		if up {
			c.downSince = time.Time{}
			e.step(c, c.machine.Connected(inc))
			continue
		}
		since := e.w.now
		c.downSince = since
		e.w.after(linkGrace, func() {
			e.when(func() {
				if e.attempts[c.id] == c && c.downSince.Equal(since) {
					e.step(c, c.machine.Lost())
				}
			})
		})
	}
}

func (e *entry) crash() {
	e.w.note("entry %d ends", e.index)
	e.up = false
	for id := range e.attempts {
		e.w.calls[id].gone = e.w.now
	}
	for a := range agentCount {
		e.w.links[pair{e.index, a}].cut()
	}
}
