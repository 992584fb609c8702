package attempt

import (
	"fmt"
	"time"

	"ebonypulley/lease"
	"ebonypulley/wire"
)

// Effects carries out the side effects that a Server requests.
type Effects interface {
	// Reply sends a message to the holder, an entry, on its latest connection.
	// Without a connection the message is dropped.
	Reply(holder wire.Incarnation, m wire.Message)
	// Run calls the service. Server.Ended must be called exactly once afterwards.
	Run(offer *wire.Offer, start *wire.Start, deadline time.Time)
	// Abort cancels a running idempotent call.
	Abort(id wire.ID)
	// Release ends the lease of an attempt and grants the freed capacity to
	// waiting requests.
	Release(id wire.ID)
}

// Server is the agent's side of all plain calls at one endpoint, a state
// machine without I/O. A call is offered, is granted a lease, and only then is
// started, at most once.
type Server struct {
	incarnation wire.Incarnation
	table       *Table
	leases      *lease.Table
	effects     Effects
	calls       map[wire.ID]*serverCall
}

// serverCall is a call that waits for its lease, runs, or has ended with a
// result that the entry has not acknowledged.
type serverCall struct {
	offer    *wire.Offer
	holder   wire.Incarnation
	deadline time.Time
	ended    bool
}

// NewServer returns a Server for the given incarnation of an agent, which started
// at now.
func NewServer(now time.Time, incarnation wire.Incarnation, leases *lease.Table, keys KeyLimits, effects Effects) *Server {
	return &Server{incarnation: incarnation, table: NewTable(now, keys), leases: leases, effects: effects, calls: make(map[wire.ID]*serverCall)}
}

// Table returns the table of attempts, so that it can be configured.
func (s *Server) Table() *Table { return s.table }

// Tracks reports whether the attempt waits for its lease, runs, or has ended with a
// result that the entry has not acknowledged.
func (s *Server) Tracks(id wire.ID) bool { return s.calls[id] != nil }

// Offer registers a call and asks for its lease.
func (s *Server) Offer(now time.Time, holder wire.Incarnation, m *wire.Offer) {
	if s.Tracks(m.ID) {
		if s.leases.Holds(m.ID) {
			s.Granted(m.ID)
		}
		return
	}
	deadline := now.Add(m.Deadline)
	d := s.table.Offer(now, m.ID, deadline, keyOf(m))
	switch {
	case d.Replay != nil:
		out := newOutcome(m.ID, wire.StateDone, d.Replay)
		out.Replayed = true
		s.effects.Reply(holder, out)
	case !d.Admitted:
		s.effects.Reply(holder, &wire.Refused{ID: m.ID, Reason: d.Reason})
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
	d := s.leases.Reserve(now, lease.Request{
		ID:        m.ID,
		Holder:    holder,
		Priority:  m.Priority,
		Spare:     m.Spare,
		WaitUntil: now.Add(m.Wait),
		Deadline:  deadline,
	})
	if !d.Granted && !d.Queued {
		s.table.Withdraw(now, m.ID)
		s.effects.Reply(holder, &wire.Refused{ID: m.ID, Reason: d.Reason, RetryAfter: d.RetryAfter})
		return
	}
	s.calls[m.ID] = &serverCall{offer: m, holder: holder, deadline: deadline}
	if d.Granted {
		s.Granted(m.ID)
	}
}

// Granted reports that a call has been granted its lease.
func (s *Server) Granted(id wire.ID) {
	if c, ok := s.calls[id]; ok {
		s.effects.Reply(c.holder, &wire.Granted{ID: id})
	}
}

// WaitEnded reports that a waiting call was removed from the queue.
func (s *Server) WaitEnded(now time.Time, id wire.ID, reason wire.Reason) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	s.table.Withdraw(now, id)
	delete(s.calls, id)
	s.effects.Reply(c.holder, &wire.Refused{ID: id, Reason: reason})
}

// Start runs a call that holds its lease. A repeated Start only gets the current
// state as its reply. A Start for another incarnation or without a lease
// withdraws the attempt, so that it never runs here, and gets the final state.
func (s *Server) Start(now time.Time, holder wire.Incarnation, m *wire.Start) {
	c, ok := s.calls[m.ID]
	if m.Incarnation != s.incarnation || !ok || !c.ended && !s.leases.Holds(m.ID) {
		s.Withdraw(now, holder, m.ID)
		return
	}
	run, _ := s.table.Start(now, m.ID)
	if !run {
		s.replyState(holder, m.ID)
		return
	}
	s.effects.Run(c.offer, m, c.deadline)
}

// Ended reports the end of a started call. If answer is nil, sent reports
// whether the service may have received the call.
func (s *Server) Ended(id wire.ID, answer *Answer, sent bool) {
	if answer != nil {
		s.table.Finish(id, *answer)
	} else {
		s.table.Fail(id, !sent)
	}
	s.effects.Release(id)
	if c, ok := s.calls[id]; ok {
		c.ended = true
		s.replyState(c.holder, id)
	}
}

// replyState sends the state of an attempt. StateRunning is sent as well, to
// acknowledge the entry's message.
func (s *Server) replyState(holder wire.Incarnation, id wire.ID) {
	state, answer, _ := s.table.State(id)
	s.effects.Reply(holder, newOutcome(id, state, answer))
}

func newOutcome(id wire.ID, state wire.State, answer *Answer) *wire.Outcome {
	out := &wire.Outcome{ID: id, State: state}
	if answer != nil {
		out.Status = answer.Status
		out.Headers = answer.Headers
		out.Body = answer.Body
	}
	return out
}

// Withdraw replies with the final state of an attempt. A call that has not
// started never will.
func (s *Server) Withdraw(now time.Time, holder wire.Incarnation, id wire.ID) {
	state, answer := s.table.Withdraw(now, id)
	if state == wire.StateNotRun {
		s.dropUnstarted(now, id)
	}
	s.effects.Reply(holder, newOutcome(id, state, answer))
}

// dropUnstarted removes a call that will never start, and frees its lease or its
// place in the queue.
func (s *Server) dropUnstarted(now time.Time, id wire.ID) {
	s.leases.Withdraw(now, id)
	delete(s.calls, id)
	s.effects.Release(id)
}

// Cancel reports that the caller has disconnected. A call that has not started
// never will. A running idempotent call is aborted; a running non-idempotent call
// continues to its end, because a partly executed call, such as half a booking,
// is of no use to anyone.
func (s *Server) Cancel(now time.Time, holder wire.Incarnation, id wire.ID) {
	state, _ := s.table.Withdraw(now, id)
	c, ok := s.calls[id]
	switch {
	case ok && state == wire.StateRunning:
		if c.offer.Idempotent {
			s.effects.Abort(id)
		}
		return // the entry repeats Cancel and gets Cancelled after the call's end
	case state == wire.StateNotRun:
		s.dropUnstarted(now, id)
	default:
		delete(s.calls, id)
		s.table.DropAnswer(id)
	}
	s.effects.Reply(holder, &wire.Cancelled{ID: id})
}

// LeaseExpired reports that a lease has expired. A started call continues and
// releases its lease at its end.
func (s *Server) LeaseExpired(now time.Time, id wire.ID) {
	state, _ := s.table.Withdraw(now, id)
	if state == wire.StateNotRun {
		s.dropUnstarted(now, id)
	}
}

// Tick drops ended calls whose deadline has passed or whose entry is gone, and
// expired records.
func (s *Server) Tick(now time.Time) {
	s.table.Tick(now)
	for id, c := range s.calls {
		if c.ended && (now.After(c.deadline) || !s.leases.HolderAlive(now, c.holder)) {
			delete(s.calls, id)
		}
	}
}

// Idle reports whether no call waits, runs or has an undelivered result.
func (s *Server) Idle() bool { return len(s.calls) == 0 }

// Summary returns a summary of the tracked calls by state, for the log.
func (s *Server) Summary() string {
	counts := make(map[wire.State]int)
	for id := range s.calls {
		state, _, _ := s.table.State(id)
		counts[state]++
	}
	return fmt.Sprintf("calls not started %d, running %d, answered %d, unknown %d",
		counts[wire.StateNotRun], counts[wire.StateRunning], counts[wire.StateDone], counts[wire.StateUnknown])
}
