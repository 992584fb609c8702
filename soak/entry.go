package soak

import (
	"time"

	"github.com/google/uuid"

	"ebonypulley/attempt"
	"ebonypulley/wire"
)

// entry simulates an entry process around the real attempt clients.
type entry struct {
	w           *world
	index       int
	incarnation wire.Incarnation
	up          bool
	pausedUntil time.Time
	inbox       []func()
	attempts    map[wire.ID]*clientAttempt
	cancels     map[wire.ID]int // attempt -> agent, sent again until acknowledged
	draining    [agentCount]bool
}

// clientAttempt is an attempt as its entry sees it.
type clientAttempt struct {
	id      wire.ID
	agent   int
	machine *attempt.Client
	// downSince is when the connection to its agent was lost.
	downSince time.Time
}

func newEntry(w *world, index int) *entry {
	e := &entry{w: w, index: index}
	e.start()
	return e
}

func (e *entry) start() {
	e.incarnation = e.w.newID()
	e.up = true
	e.inbox = nil
	e.attempts = make(map[wire.ID]*clientAttempt)
	e.cancels = make(map[wire.ID]int)
	e.draining = [agentCount]bool{}
}

func (e *entry) running() bool { return e.up && !e.w.now.Before(e.pausedUntil) }

func (e *entry) deliver(fn func()) {
	switch {
	case !e.up:
	case e.running():
		fn()
	default:
		e.inbox = append(e.inbox, fn)
	}
}

func (e *entry) resume() {
	if !e.running() {
		return
	}
	inbox := e.inbox
	e.inbox = nil
	for _, fn := range inbox {
		fn()
	}
}

// sendHeartbeats runs at each heartbeat interval: it replaces idle connections,
// sends heartbeats, and sends unacknowledged cancels again.
func (e *entry) sendHeartbeats() {
	e.w.after(heartbeatInterval, e.sendHeartbeats)
	if !e.running() {
		return
	}
	for a := range agentCount {
		l := e.w.links[pair{e.index, a}]
		l.checkIdle()
		l.toAgent(&wire.Ping{})
	}
	for _, id := range sortedIDs(e.cancels) {
		e.w.links[pair{e.index, e.cancels[id]}].toAgent(&wire.Cancel{ID: id})
	}
}

// Behaviour of the simulated callers. The fractions are probabilities.
const (
	keyFraction        = 0.6
	reuseFraction      = 0.4
	disconnectFraction = 0.15
	meanInterval       = 120 * time.Millisecond
	minDeadline        = 500 * time.Millisecond
	maxDeadline        = 12 * time.Second
	spareFraction      = 0.3
	maxQueueWait       = 3 * time.Second
	// maxSkew is the maximum difference between a caller's clock and the world's.
	maxSkew = 1900 * time.Millisecond
)

// sendRequests simulates callers: each time it runs, it sends one non-idempotent
// call and schedules the next.
func (e *entry) sendRequests() {
	e.w.after(e.w.between(0, 2*meanInterval), e.sendRequests)
	if !e.running() {
		return
	}
	key := e.chooseKey()
	target := e.w.rnd.IntN(agentCount)
	if key != "" {
		target = keyOwner(key)
	}
	l := e.w.links[pair{e.index, target}]
	if !l.up || e.draining[target] {
		return // the entry refuses the call without an attempt
	}
	e.startAttempt(l, target, key)
}

// chooseKey returns the idempotency key of a new call: none, a new one, or one
// that was used before, possibly through another entry.
func (e *entry) chooseKey() string {
	w := e.w
	if !w.chance(keyFraction) {
		return ""
	}
	if len(w.keys) > 0 && w.chance(reuseFraction) {
		return w.keys[w.rnd.IntN(len(w.keys))]
	}
	key := uuid.UUID(w.newIDAt(w.now.Add(w.between(-maxSkew, maxSkew)))).String()
	w.keys = append(w.keys, key)
	if len(w.keys) > reusableKeys {
		w.keys = w.keys[1:]
	}
	return key
}

// keyOwner returns the agent that receives all calls with a key.
func keyOwner(key string) int { return int(key[len(key)-1]) % agentCount }

// startAttempt offers a call to an agent and schedules the caller's disconnect
// and its deadline.
func (e *entry) startAttempt(l *link, target int, key string) {
	w := e.w
	id := w.newID()
	timeout := w.between(minDeadline, maxDeadline)
	offer := &wire.Offer{
		ID: id, Workspace: "w", Key: key,
		Spare:    w.chance(spareFraction),
		Priority: w.rnd.IntN(2),
		Wait:     w.between(0, maxQueueWait),
		Deadline: timeout,
	}
	c := &clientAttempt{id: id, agent: target, machine: attempt.NewClient(l.agentIncarnation, offer, new(wire.Start))}
	e.attempts[id] = c
	w.attempts[id] = &groundTruth{key: key, phase: Offering}
	w.report.Requests++
	w.note("entry %d offers %s to agent %d, key %q", e.index, id, target, key)
	e.apply(c, c.machine.Begin())
	inc := e.incarnation
	ifOpen := func(fn func()) func() {
		return func() {
			e.deliver(func() {
				if e.incarnation == inc && e.attempts[id] == c {
					fn()
				}
			})
		}
	}
	if w.chance(disconnectFraction) {
		w.after(w.between(0, timeout), ifOpen(func() { e.abandon(c) }))
	}
	w.after(timeout, ifOpen(func() {
		e.apply(c, c.machine.DeadlinePassed())
		w.after(withdrawTimeout, ifOpen(func() { e.apply(c, c.machine.Abandon()) }))
	}))
}

// apply sends the message of a step and handles the end of the attempt.
func (e *entry) apply(c *clientAttempt, s attempt.Step) {
	if s.Send != nil {
		e.w.links[pair{e.index, c.agent}].toAgent(s.Send)
	}
	if s.Result == nil {
		return
	}
	e.w.note("entry %d ends %s: %s", e.index, c.id, dispositions[s.Result.Disposition])
	e.w.report.Outcomes[dispositions[s.Result.Disposition]]++
	switch s.Result.Disposition {
	case attempt.Refused, attempt.NotRun:
		e.w.recordNotRun(c.id)
	case attempt.Answered:
		e.checkAnswer(c, s.Result.Outcome)
	}
	e.abandon(c)
}

var dispositions = map[attempt.Disposition]string{
	attempt.Answered: "answered", attempt.Refused: "refused", attempt.NotRun: "not-run", attempt.Unknown: "unknown",
}

// checkAnswer checks that the answer belongs to this call, or to the one call
// that ran with its key.
func (e *entry) checkAnswer(c *clientAttempt, out *wire.Outcome) {
	t := e.w.attempts[c.id]
	if out.Replayed && e.w.keyRuns[t.key] == 1 {
		return
	}
	if t.runs != 1 || string(out.Body) != string(c.id[:]) {
		e.w.violation("%s ran %d times and got the answer of %x", c.id, t.runs, out.Body)
	}
}

// abandon deletes an attempt and makes its agent free what it holds for it.
func (e *entry) abandon(c *clientAttempt) {
	delete(e.attempts, c.id)
	e.w.attempts[c.id].disconnectedAt = e.w.now
	e.cancels[c.id] = c.agent
	e.w.links[pair{e.index, c.agent}].toAgent(&wire.Cancel{ID: c.id})
}

func (e *entry) handle(m wire.Message, agent int) {
	switch m := m.(type) {
	case *wire.Pong:
		e.draining[agent] = m.Load.Draining
	case *wire.Cancelled:
		delete(e.cancels, m.ID)
		if t := e.w.attempts[m.ID]; t != nil {
			t.phase = Ended
		}
	case wire.AttemptMessage:
		if c, ok := e.attempts[m.AttemptID()]; ok {
			e.apply(c, c.machine.Receive(m))
		}
	}
}

// linkChanged notifies the attempts at an agent that the connection to it is up
// or down.
func (e *entry) linkChanged(agent int, up bool, inc wire.Incarnation) {
	e.draining[agent] = false
	for _, id := range sortedIDs(e.attempts) {
		c := e.attempts[id]
		if c == nil || c.agent != agent {
			continue
		}
		if up {
			c.downSince = time.Time{}
			e.apply(c, c.machine.Connected(inc))
			continue
		}
		since := e.w.now
		c.downSince = since
		e.w.after(reconnectTimeout, func() {
			e.deliver(func() {
				if e.attempts[c.id] == c && c.downSince.Equal(since) {
					e.apply(c, c.machine.AgentLost())
				}
			})
		})
	}
}

func (e *entry) crash() {
	e.w.note("entry %d ends", e.index)
	e.up = false
	for id := range e.attempts {
		e.w.attempts[id].disconnectedAt = e.w.now
	}
	for a := range agentCount {
		e.w.links[pair{e.index, a}].cut()
	}
}
