package attempt

import (
	"fmt"
	"time"

	"ebonypulley/lease"
	"ebonypulley/wire"
)

// Effects is what a Server asks of the process around it.
type Effects interface {
	// Reply sends a message to the entry that is the holder, on its latest
	// connection, if it has one.
	Reply(holder wire.Incarnation, m wire.Message)
	// Run calls the service; Ended must follow once.
	Run(offer *wire.Offer, start *wire.Start, deadline time.Time)
	// Abort cuts off a running idempotent call.
	Abort(id wire.ID)
	// Release ends the lease of an attempt and hands on what became free.
	Release(id wire.ID)
}

// Server is the agent's side of all plain calls at one endpoint, a state
// machine without I/O: a call is offered, granted a lease, and only then
// started, once.
type Server struct {
	inc   wire.Incarnation
	table *Table
	gate  *lease.Table
	out   Effects
	calls map[wire.ID]*served
}

// served is an admitted or waiting call.
type served struct {
	offer    *wire.Offer
	holder   wire.Incarnation
	deadline time.Time
	ended    bool
}

// NewServer returns the machine of an agent's incarnation that began at now.
func NewServer(now time.Time, inc wire.Incarnation, gate *lease.Table, keys KeyLimits, out Effects) *Server {
	return &Server{inc: inc, table: NewTable(now, keys), gate: gate, out: out, calls: make(map[wire.ID]*served)}
}

// Table returns the attempts, for their configuration.
func (s *Server) Table() *Table { return s.table }

// Known reports whether the attempt is admitted or waits.
func (s *Server) Known(id wire.ID) bool { return s.calls[id] != nil }

// Offer registers a call and asks for its lease.
func (s *Server) Offer(now time.Time, holder wire.Incarnation, m *wire.Offer) {
	if s.Known(m.ID) {
		if s.gate.Holds(m.ID) {
			s.Granted(m.ID)
		}
		return
	}
	deadline := now.Add(m.Deadline)
	v := s.table.Offer(now, m.ID, deadline, keyOf(m))
	switch {
	case v.Replay != nil:
		out := outcome(m.ID, wire.Done, v.Replay)
		out.Replayed = true
		s.out.Reply(holder, out)
	case !v.Admit:
		s.out.Reply(holder, &wire.Refused{ID: m.ID, Reason: v.Reason})
	default:
		s.admit(now, holder, m, deadline)
	}
}

func keyOf(m *wire.Offer) *Key {
	if m.Key == "" {
		return nil
	}
	return &Key{Workspace: m.Workspace, Value: m.Key, Fingerprint: m.Fingerprint}
}

func (s *Server) admit(now time.Time, holder wire.Incarnation, m *wire.Offer, deadline time.Time) {
	d := s.gate.Reserve(now, lease.Request{
		ID:        m.ID,
		Holder:    holder,
		Priority:  m.Priority,
		Spare:     m.Spare,
		WaitUntil: now.Add(m.Wait),
		Deadline:  deadline,
	})
	if !d.Granted && !d.Queued {
		s.table.Withdraw(now, m.ID)
		s.out.Reply(holder, &wire.Refused{ID: m.ID, Reason: d.Reason, RetryAfter: d.RetryAfter})
		return
	}
	s.calls[m.ID] = &served{offer: m, holder: holder, deadline: deadline}
	if d.Granted {
		s.Granted(m.ID)
	}
}

// Granted tells that a call has its lease.
func (s *Server) Granted(id wire.ID) {
	if c, ok := s.calls[id]; ok {
		s.out.Reply(c.holder, &wire.Granted{ID: id})
	}
}

// Dropped tells that a waiting call was refused.
func (s *Server) Dropped(now time.Time, id wire.ID, reason wire.Reason) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	s.table.Withdraw(now, id)
	delete(s.calls, id)
	s.out.Reply(c.holder, &wire.Refused{ID: id, Reason: reason})
}

// Start runs a call that holds its lease; a repeated Start only asks for the
// outcome. One for another incarnation, or without a lease, gets the final
// word instead: it never runs here.
func (s *Server) Start(now time.Time, holder wire.Incarnation, m *wire.Start) {
	c, ok := s.calls[m.ID]
	if m.Incarnation != s.inc || !ok || !c.ended && !s.gate.Holds(m.ID) {
		s.Withdraw(now, holder, m.ID)
		return
	}
	run, _ := s.table.Start(now, m.ID)
	if !run {
		s.report(holder, m.ID)
		return
	}
	s.out.Run(c.offer, m, c.deadline)
}

// Ended tells how a started call ended: with an answer, or without one; then
// sent tells whether the service may have seen the call.
func (s *Server) Ended(id wire.ID, answer *Answer, sent bool) {
	if answer != nil {
		s.table.Finish(id, *answer)
	} else {
		s.table.Fail(id, !sent)
	}
	s.out.Release(id)
	if c, ok := s.calls[id]; ok {
		c.ended = true
		s.report(c.holder, id)
	}
}

// report sends the state of an attempt; Running is sent as well, so that the
// entry knows it was heard.
func (s *Server) report(holder wire.Incarnation, id wire.ID) {
	state, answer, _ := s.table.State(id)
	s.out.Reply(holder, outcome(id, state, answer))
}

func outcome(id wire.ID, state wire.State, answer *Answer) *wire.Outcome {
	out := &wire.Outcome{ID: id, State: state}
	if answer != nil {
		out.Status = answer.Status
		out.Headers = answer.Headers
		out.Body = answer.Body
	}
	return out
}

// Withdraw gives the final word; a call that did not start never will.
func (s *Server) Withdraw(now time.Time, holder wire.Incarnation, id wire.ID) {
	state, answer := s.table.Withdraw(now, id)
	if state == wire.NotRun {
		s.drop(now, id)
	}
	s.out.Reply(holder, outcome(id, state, answer))
}

func (s *Server) drop(now time.Time, id wire.ID) {
	s.gate.Withdraw(now, id)
	delete(s.calls, id)
	s.out.Release(id)
}

// Cancel tells that the caller is gone. A call that did not start never will;
// an idempotent one is cut off; a non-idempotent one runs to its end, because
// half a booking helps nobody.
func (s *Server) Cancel(now time.Time, holder wire.Incarnation, id wire.ID) {
	state, _ := s.table.Withdraw(now, id)
	c, ok := s.calls[id]
	switch {
	case ok && state == wire.Running:
		if c.offer.Idempotent {
			s.out.Abort(id)
		}
		return // the entry repeats; the acknowledgement comes after the end
	case state == wire.NotRun:
		s.drop(now, id)
	default:
		delete(s.calls, id)
		s.table.Forget(id)
	}
	s.out.Reply(holder, &wire.Cancelled{ID: id})
}

// Expired tells that a lease ended without its holder. A started call ends by
// itself and releases then.
func (s *Server) Expired(now time.Time, id wire.ID) {
	state, _ := s.table.Withdraw(now, id)
	if state == wire.NotRun {
		s.drop(now, id)
	}
}

// Tick forgets what nobody will ask for any more.
func (s *Server) Tick(now time.Time) {
	s.table.Tick(now)
	for id, c := range s.calls {
		if c.ended && (now.After(c.deadline) || !s.gate.Heard(now, c.holder)) {
			delete(s.calls, id)
		}
	}
}

// Idle reports whether all answers have been delivered.
func (s *Server) Idle() bool { return len(s.calls) == 0 }

// Pending describes the calls that are not delivered yet, for the log.
func (s *Server) Pending() string {
	counts := make(map[wire.State]int)
	for id := range s.calls {
		state, _, _ := s.table.State(id)
		counts[state]++
	}
	return fmt.Sprintf("calls not started %d, running %d, answered %d, unknown %d",
		counts[wire.NotRun], counts[wire.Running], counts[wire.Done], counts[wire.Unknown])
}
