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

// mint makes a UUIDv7 of a moment.
func mint(at time.Time, n uint64) wire.ID {
	var x wire.ID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(x[:6], ms[2:])
	binary.BigEndian.PutUint64(x[8:], n)
	x[6] = 0x70
	x[8] = 0x80
	return x
}

var limits = attempt.KeyLimits{Window: 10 * time.Minute, Count: 5}

// history is what the world knows of the runs.
type history struct {
	runs    map[wire.ID]int
	denied  map[wire.ID]bool // told not-run
	keyRuns map[string]int
	keyOf   map[wire.ID]string
}

func (h *history) ran(t *rapid.T, id wire.ID) {
	h.runs[id]++
	if h.runs[id] > 1 {
		t.Fatalf("%s ran %d times", id, h.runs[id])
	}
	if h.denied[id] {
		t.Fatalf("%s ran after it was told not to have run", id)
	}
	if key := h.keyOf[id]; key != "" {
		h.keyRuns[key]++
		if h.keyRuns[key] > 1 {
			t.Fatalf("key %s ran %d times", key, h.keyRuns[key])
		}
	}
}

// TestTableAgainstHistory drives an agent's attempts through random orders of
// messages, repeats, restarts of the agent, changes of the owners and callers
// whose clocks are up to 1.9 s off. A call
// runs at most once, a key's call at most once over all its attempts and
// owners' restarts, and what was told "not run" never ran and never will.
func TestTableAgainstHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(r invariant.Rule, d string) { t.Fatalf("%s: %s", r, d) })()
		now := epoch
		table := attempt.NewTable(now, limits)
		h := &history{runs: map[wire.ID]int{}, denied: map[wire.ID]bool{}, keyRuns: map[string]int{}, keyOf: map[wire.ID]string{}}
		var minted uint64
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
				minted++
				x := mint(now, minted)
				var key *attempt.Key
				switch rapid.IntRange(0, 3).Draw(t, "key") {
				case 0: // a caller mints a new key
					skew := time.Duration(rapid.IntRange(-1900, 1900).Draw(t, "skew")) * time.Millisecond
					keys = append(keys, uuid.UUID(mint(now.Add(skew), uint64(1000+len(keys)))).String())
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
				if v.Admit {
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
					h.ran(t, x)
					running[x] = true
				}
				if !run && state == wire.NotRun {
					h.denied[x] = true
				}
			},
			"withdraw": func(t *rapid.T) {
				x, ok := pick(t)
				if !ok {
					return
				}
				// Only the incarnation that saw a start may deny it; the
				// entry drops the word of another.
				state, _ := table.Withdraw(now, x)
				if state == wire.NotRun {
					h.denied[x] = true
					if running[x] {
						t.Fatalf("%s runs and is told not to have run", x)
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
					table.MembersChanged(now)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
				table.Tick(now)
			},
		})
	})
}

// Each row is a moment at which something dies, and what the agent's word is
// then worth; docs/DESIGN.md has the same table.
func TestOutcomeTable(t *testing.T) {
	id := mint(epoch, 1)
	deadline := epoch.Add(time.Minute)
	rows := []struct {
		name string
		do   func(*attempt.Table)
		want wire.State
	}{
		{"entry lost before the offer", func(*attempt.Table) {}, wire.NotRun},
		{"entry lost after the offer", func(a *attempt.Table) { a.Offer(epoch, id, deadline, nil) }, wire.NotRun},
		{"connection lost after the start", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
		}, wire.Running},
		{"service refused the connection", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Fail(id, true)
		}, wire.NotRun},
		{"service lost before its answer", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Fail(id, false)
		}, wire.Unknown},
		{"connection lost after the answer", func(a *attempt.Table) {
			a.Offer(epoch, id, deadline, nil)
			a.Start(epoch, id)
			a.Finish(id, attempt.Answer{Status: 200})
		}, wire.Done},
		{"start arrives after its deadline", func(a *attempt.Table) {
			a.Offer(epoch, id, epoch.Add(-time.Second), nil)
			a.Start(epoch, id)
		}, wire.NotRun},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			table := attempt.NewTable(epoch, limits)
			row.do(table)
			state, _ := table.Withdraw(epoch, id)
			assert.Equal(t, row.want, state)
			run, _ := table.Start(epoch, id)
			assert.False(t, run, "ran after the word")
		})
	}
}

// Story: an entry slept for a quarter of an hour and now asks about a booking
// it had started. The record is forgotten by then; its absence proves nothing.
func TestForgottenIsNotNotRun(t *testing.T) {
	table := attempt.NewTable(epoch.Add(-time.Hour), limits)
	id := mint(epoch, 1)
	table.Offer(epoch, id, epoch.Add(time.Minute), nil)
	table.Start(epoch, id)
	table.Finish(id, attempt.Answer{Status: 200})
	later := epoch.Add(15 * time.Minute)
	table.Tick(later)
	state, _ := table.Withdraw(later, id)
	assert.Equal(t, wire.Unknown, state)
}

// Story: more keys than the memory holds. The new one is refused, because
// forgetting an old one early could run it twice.
func TestKeyMemoryIsBounded(t *testing.T) {
	table := attempt.NewTable(epoch.Add(-time.Hour), limits)
	for n := range uint64(6) {
		v := table.Offer(epoch, mint(epoch, n), epoch.Add(time.Minute), &attempt.Key{Value: uuid.UUID(mint(epoch, 100+n)).String()})
		assert.Equal(t, n < 5, v.Admit)
		if !v.Admit {
			assert.Equal(t, wire.KeyMemory, v.Reason)
		}
	}
}
