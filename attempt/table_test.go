package attempt_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/attempt"
	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/invariant"
	"ebonypulley/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newID returns a UUIDv7 created at the given time; n makes it unique.
func newID(at time.Time, n uint64) wire.ID {
	var x wire.ID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(x[:6], ms[2:])
	binary.BigEndian.PutUint64(x[8:], n)
	x[6] = 0x70
	x[8] = 0x80
	return x
}

var limits = attempt.KeyLimits{Window: 10 * time.Minute, MaxKeys: 5}

// history records what ran and what was reported, independently of the Table.
type history struct {
	runs           map[wire.ID]int
	reportedNotRun map[wire.ID]bool // reported as StateNotRun
	keyRuns        map[string]int
	keyOf          map[wire.ID]string
}

func (h *history) recordRun(t *rapid.T, id wire.ID) {
	h.runs[id]++
	if h.runs[id] > 1 {
		t.Fatalf("%s ran %d times", id, h.runs[id])
	}
	if h.reportedNotRun[id] {
		t.Fatalf("%s ran after it was reported as not run", id)
	}
	if key := h.keyOf[id]; key != "" {
		h.keyRuns[key]++
		if h.keyRuns[key] > 1 {
			t.Fatalf("key %s ran %d times", key, h.keyRuns[key])
		}
	}
}

// TestTableAgainstHistory applies random sequences of messages, repeats, agent
// restarts and key owner changes, with callers whose clocks are up to 1.9 s off.
// An attempt must run at most once; a call with a key at most once over all its
// attempts and the owner's restarts; and an attempt that was reported as not run
// must neither have run nor run later.
func TestTableAgainstHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(r invariant.Rule, d string) { t.Fatalf("%s: %s", r, d) })()
		now := epoch
		table := attempt.NewTable(now, limits)
		h := &history{runs: map[wire.ID]int{}, reportedNotRun: map[wire.ID]bool{}, keyRuns: map[string]int{}, keyOf: map[wire.ID]string{}}
		var created uint64
		var ids []wire.ID
		var keys []string
		running := map[wire.ID]bool{}
		pick := func(t *rapid.T) (wire.ID, bool) {
			if len(ids) == 0 {
				return wire.ID{}, false
			}
			return rapid.SampledFrom(ids).Draw(t, "id"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				created++
				x := newID(now, created)
				var key *attempt.Key
				switch rapid.IntRange(0, 3).Draw(t, "key") {
				case 0: // a caller creates a new key
					skew := time.Duration(rapid.IntRange(-1900, 1900).Draw(t, "skew")) * time.Millisecond
					keys = append(keys, uuid.UUID(newID(now.Add(skew), uint64(1000+len(keys)))).String())
					key = &attempt.Key{Workspace: "w", Value: keys[len(keys)-1]}
				case 1: // a caller repeats an earlier one
					if len(keys) > 0 {
						key = &attempt.Key{Workspace: "w", Value: rapid.SampledFrom(keys).Draw(t, "which")}
					}
				}
				v := table.Offer(now, x, now.Add(30*time.Second), key)
				if v.Replay != nil && h.keyRuns[key.Value] != 1 {
					t.Fatalf("replay of a key that ran %d times", h.keyRuns[key.Value])
				}
				if v.Admitted {
					ids = append(ids, x)
					if key != nil {
						h.keyOf[x] = key.Value
					}
				}
			},
			"start": func(t *rapid.T) {
				x, ok := pick(t)
				if !ok {
					return
				}
				run, state := table.Start(now, x)
				if run {
					h.recordRun(t, x)
					running[x] = true
				}
				if !run && state == wire.StateNotRun {
					h.reportedNotRun[x] = true
					if h.runs[x] > 0 {
						t.Fatalf("%s ran and was reported as not run", x)
					}
				}
			},
			"withdraw": func(t *rapid.T) {
				x, ok := pick(t)
				if !ok {
					return
				}
				// Only the incarnation that accepted a start may report it as
				// not run; the entry ignores the states that another reports.
				state, _ := table.Withdraw(now, x)
				if state == wire.StateNotRun {
					h.reportedNotRun[x] = true
					if running[x] || h.runs[x] > 0 {
						t.Fatalf("%s ran and was reported as not run", x)
					}
				}
			},
			"finish": func(t *rapid.T) {
				x, ok := pick(t)
				if ok && running[x] {
					delete(running, x)
					if rapid.Bool().Draw(t, "answer") {
						table.Finish(x, attempt.Answer{Status: 200})
					} else {
						table.Fail(x, false)
					}
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 10).Draw(t, "seldom") != 0 {
					return
				}
				table = attempt.NewTable(now, limits)
				ids = nil // their connections are bound to the old incarnation
				running = map[wire.ID]bool{}
			},
			"members": func(t *rapid.T) {
				if rapid.IntRange(0, 10).Draw(t, "seldom") == 0 {
					table.KeyOwnersChanged(now)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
				table.Tick(now)
			},
		})
	})
}

// TestOutcomeTable checks the state that the agent reports after each possible
// point of failure, and that the call does not run after it was withdrawn.
// docs/DESIGN.md has the same table.
func TestOutcomeTable(t *testing.T) {
	id := newID(epoch, 1)
	deadline := epoch.Add(time.Minute)
	rows := []struct {
		name string
		do   func(*attempt.Table)
		want wire.State
	}{
		{"entry lost before the offer", func(*attempt.Table) {}, wire.StateNotRun},
		{"entry lost after the offer", func(a *attempt.Table) { a.Offer(epoch, id, deadline, nil) }, wire.StateNotRun},
		{"connection lost after the start", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
		}, wire.StateRunning},
		{"service refused the connection", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Fail(id, true)
		}, wire.StateNotRun},
		{"service lost before its answer", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Fail(id, false)
		}, wire.StateUnknown},
		{"connection lost after the answer", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Finish(id, attempt.Answer{Status: 200})
		}, wire.StateDone},
		{"start arrives after its deadline", func(a *attempt.Table) {
			a.Offer(epoch, id, epoch.Add(-time.Second), nil)
			a.Start(epoch, id)
		}, wire.StateNotRun},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			table := attempt.NewTable(epoch, limits)
			row.do(table)
			state, _ := table.Withdraw(epoch, id)
			assert.Equal(t, row.want, state)
			run, _ := table.Start(epoch, id)
			assert.False(t, run, "ran after it was withdrawn")
		})
	}
}

// An entry whose VM was suspended asks for the state of a call that it had started,
// after the record was deleted. A missing record does not prove that the call did not run.
func TestDeletedRecordIsUnknown(t *testing.T) {
	for _, suspended := range []time.Duration{2*time.Minute + time.Second, 15 * time.Minute} {
		table := attempt.NewTable(epoch.Add(-time.Hour), limits)
		id := newID(epoch, 1)
		table.Offer(epoch, id, epoch.Add(time.Minute), nil)
		table.Start(epoch, id)
		table.Finish(id, attempt.Answer{Status: 200})
		later := epoch.Add(suspended)
		table.Tick(later)
		for range 2 {
			state, _ := table.Withdraw(later, id)
			assert.Equal(t, wire.StateUnknown, state, suspended)
		}
		run, state := table.Start(later, id)
		assert.False(t, run)
		assert.Equal(t, wire.StateUnknown, state, suspended)
	}
}

// After the records of other calls were deleted, a call that was never offered is still
// reported as not run.
func TestNeverOfferedIsNotRun(t *testing.T) {
	table := attempt.NewTable(epoch, limits)
	ran, withdrawn := newID(epoch, 1), newID(epoch.Add(time.Minute), 2)
	table.Offer(epoch, ran, epoch.Add(time.Second), nil)
	table.Start(epoch, ran)
	table.Finish(ran, attempt.Answer{Status: 200})
	table.Withdraw(epoch, withdrawn)
	later := epoch.Add(10 * time.Minute)
	table.Tick(later)
	assert.Zero(t, table.Records())
	state, _ := table.Withdraw(later, newID(epoch.Add(time.Second), 3))
	assert.Equal(t, wire.StateNotRun, state)
}

// With the table full, a new key is refused: deleting an old key early would
// allow its call to run twice.
func TestKeyTableIsBounded(t *testing.T) {
	table := attempt.NewTable(epoch.Add(-time.Hour), limits)
	for n := range uint64(6) {
		v := table.Offer(epoch, newID(epoch, n), epoch.Add(time.Minute), &attempt.Key{Value: uuid.UUID(newID(epoch, 100+n)).String()})
		assert.Equal(t, n < 5, v.Admitted)
		if !v.Admitted {
			assert.Equal(t, wire.ReasonKeyMemoryFull, v.Reason)
		}
	}
}
