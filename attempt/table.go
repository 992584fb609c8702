// Package attempt ensures that an attempt at a call to a plain service is
// executed at most once, and that an attempt is reported as not run only if it
// provably did not run. It consists of state machines without I/O: Client on the
// side of the entry, Server and Table on the side of the agent.
//
// An attempt is offered, started and done, or withdrawn, which leaves a
// tombstone. The agent at the service owns the Table, so the state that it
// reports is authoritative for as long as the agent does not restart, that is,
// within one incarnation.
package attempt

import (
	"time"

	"github.com/google/uuid"

	"ebonypulley/invariant"
	"ebonypulley/wire"
)

// Answer is what the service replied to a call.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
}

type phase int

const (
	offered phase = iota
	started
	done
	unknown
	withdrawn
)

type record struct {
	phase    phase
	deadline time.Time
	answer   *Answer
	key      *Key
	starts   int
}

// Table holds the state of all attempts at one agent. It is not safe for
// concurrent use.
type Table struct {
	began   time.Time
	records map[wire.ID]*record
	// newestDeleted is the latest creation time of the IDs of attempts that may have run
	// and whose records were deleted. Without a record, an attempt whose ID is not newer
	// can't be proved not to have run.
	newestDeleted time.Time
	keys          *keyTable
}

// recordRetention is how long an attempt is remembered after its deadline. An
// entry asks about an attempt until the deadline; the rest covers clock skew.
const recordRetention = time.Minute

// NewTable returns an empty table for an agent that started at now.
func NewTable(now time.Time, keys KeyLimits) *Table {
	return &Table{
		began:   now,
		records: make(map[wire.ID]*record),
		keys:    newKeyTable(now, keys),
	}
}

// Decision is the result of Table.Offer.
type Decision struct {
	// Admitted reports that the attempt is registered and may be started once it
	// holds a lease.
	Admitted bool
	// Replay is the answer to an earlier call with the same key, or nil.
	Replay *Answer
	// Reason is why the offer was refused; empty if Admitted or with a Replay.
	Reason wire.Reason
}

// Offer registers an attempt that has not started. It is idempotent.
func (t *Table) Offer(now time.Time, id wire.ID, deadline time.Time, key *Key) Decision {
	if rec, ok := t.records[id]; ok {
		if rec.phase == offered {
			return Decision{Admitted: true}
		}
		return Decision{Reason: wire.ReasonWithdrawn}
	}
	if key != nil {
		d := t.keys.offer(now, id, *key)
		if !d.Admitted {
			return d
		}
	}
	t.records[id] = &record{phase: offered, deadline: deadline, key: key}
	return Decision{Admitted: true}
}

// Start reports whether an offered attempt is to be run now. It returns true at
// most once for an ID; otherwise state is the attempt's current state.
//
// A Start may be repeated after a reconnect or arrive after its withdrawal. It
// can't run the call a second time, because the phase only moves forward and is
// kept in one place.
func (t *Table) Start(now time.Time, id wire.ID) (run bool, state wire.State) {
	rec, ok := t.records[id]
	if !ok {
		// Never offered to this incarnation, or its record has expired.
		return false, t.addTombstone(now, id).state()
	}
	if rec.phase != offered {
		return false, rec.state()
	}
	if !now.Before(rec.deadline) {
		rec.phase = withdrawn
		t.keys.release(id, rec.key)
		return false, wire.StateNotRun
	}
	rec.phase = started
	rec.starts++
	invariant.Check(rec.starts == 1, invariant.SingleStart, "attempt %s started %d times", id, rec.starts)
	t.keys.start(id, rec.key)
	return true, wire.StateRunning
}

// Withdraw returns the state of an attempt, which is final unless it is
// StateRunning. An attempt that has not started never will.
func (t *Table) Withdraw(now time.Time, id wire.ID) (wire.State, *Answer) {
	rec, ok := t.records[id]
	if !ok {
		return t.addTombstone(now, id).state(), nil
	}
	if rec.phase == offered {
		rec.phase = withdrawn
		t.keys.release(id, rec.key)
	}
	return rec.state(), rec.answer
}

// addTombstone adds the record of an ID that has none, so that the attempt can't be
// started later. Its state is StateUnknown if the attempt may have run and its record was
// deleted, else StateNotRun.
func (t *Table) addTombstone(now time.Time, id wire.ID) *record {
	rec := &record{phase: withdrawn, deadline: now.Add(recordRetention)}
	if !createdAt(id).After(t.newestDeleted) {
		rec.phase = unknown
	}
	t.records[id] = rec
	return rec
}

func createdAt(id wire.ID) time.Time {
	sec, nsec := uuid.UUID(id).Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Finish records the answer to a started attempt.
func (t *Table) Finish(id wire.ID, a Answer) {
	rec, ok := t.records[id]
	if !ok || rec.phase != started {
		return
	}
	rec.phase = done
	rec.answer = &a
	t.keys.finish(id, rec.key, &a)
}

// Fail ends a started attempt without an answer. If notRun is true, the service
// provably never received the call; otherwise its state is StateUnknown from now on.
func (t *Table) Fail(id wire.ID, notRun bool) {
	rec, ok := t.records[id]
	if !ok || rec.phase != started {
		return
	}
	if notRun {
		rec.phase = withdrawn
		t.keys.release(id, rec.key)
		return
	}
	rec.phase = unknown
	t.keys.fail(id, rec.key)
}

// State returns the state of an attempt without changing it; ok is false if the
// attempt has no record.
func (t *Table) State(id wire.ID) (state wire.State, answer *Answer, ok bool) {
	rec, ok := t.records[id]
	if !ok {
		return "", nil, false
	}
	return rec.state(), rec.answer, true
}

// DropAnswer drops the answer to an attempt whose entry has received it.
func (t *Table) DropAnswer(id wire.ID) {
	if rec, ok := t.records[id]; ok && rec.phase == done {
		rec.answer = nil
	}
}

// Tick deletes the records of attempts that are not running and whose deadline
// passed more than recordRetention ago, and expired idempotency keys.
func (t *Table) Tick(now time.Time) {
	for id, rec := range t.records {
		if rec.phase != started && now.After(rec.deadline.Add(recordRetention)) {
			t.deleteRecord(id, rec)
		}
	}
	t.keys.tick(now)
}

func (t *Table) deleteRecord(id wire.ID, rec *record) {
	switch rec.phase {
	case offered:
		t.keys.release(id, rec.key)
	case done, unknown:
		t.newestDeleted = latest(t.newestDeleted, createdAt(id))
	}
	delete(t.records, id)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// KeyOwnersChanged reports that the endpoints that own idempotency keys changed
// at now. Keys created before may have run at another owner.
func (t *Table) KeyOwnersChanged(now time.Time) { t.keys.completeSince = now.Add(ownerChangeMargin) }

// Configure changes the bounds of the table of idempotency keys.
func (t *Table) Configure(l KeyLimits) { t.keys.limits = l }

// Records returns the number of attempts remembered.
func (t *Table) Records() int { return len(t.records) }

func (r *record) state() wire.State {
	switch r.phase {
	case started:
		return wire.StateRunning
	case done:
		return wire.StateDone
	case unknown:
		return wire.StateUnknown
	default:
		return wire.StateNotRun
	}
}
