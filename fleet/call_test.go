package fleet_test

import (
	"encoding/binary"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"

	"ebonypulley/entry"
	"ebonypulley/jsonc"
	"ebonypulley/load"
	"ebonypulley/standin"
)

func (s *sim) runsOf(call string) int { return s.Runs()[call] }

// newKey mints a UUIDv7 by the virtual clock; uuid.NewV7 never goes back and
// so would carry the time of one test into the next.
func newKey() string {
	u := uuid.Must(uuid.NewRandom())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(u[:6], ms[2:])
	u[6] = u[6]&0x0f | 0x70
	return u.String()
}

// slow makes calls take about a second.
func (s *sim) slow() {
	for _, p := range s.Services {
		p.Fault(standin.Fault{Kind: standin.FaultSlow, Factor: 200})
	}
}

// Story: a booking reaches the service, which books the seat; then the
// connection breaks before the answer, so that net/http would by itself send
// the request again, because it carries an Idempotency-Key. The caller must
// learn that the outcome is unknown, and the seat must be booked once.
func TestServiceCutsBooking(t *testing.T) {
	simulate(t, func(s *sim) {
		for range 4 { // kept connections, if any, are warm
			whole(t, s.book(load.CallSpec{IdempotencyKey: newKey()}))
		}
		for _, p := range s.Services {
			p.Fault(standin.Fault{Kind: standin.FaultNoAnswer})
		}
		for range 4 {
			res := s.book(load.CallSpec{IdempotencyKey: newKey()})
			assert.Equal(t, entry.Unknown, res.Outcome)
			assert.Equal(t, 1, s.runsOf(res.Call))
		}
	})
}

// Story: the agent dies while a booking runs. Nobody can say whether it ran:
// the caller is told so, at once and truthfully, and it is not tried again.
func TestAgentLostDuringBooking(t *testing.T) {
	simulate(t, func(s *sim) {
		s.slow()
		res := during(300*time.Millisecond, func() {
			s.crash("alm-a-app-1")
			s.crash("alm-b-app-1")
		}, func() load.Result { return s.book(load.CallSpec{}) })
		assert.Equal(t, entry.Unknown, res.Outcome)
		assert.LessOrEqual(t, s.runsOf(res.Call), 1)
	})
}

// Story: the connection between entry and agent is cut while a booking runs,
// then goes silent. The entry comes back on a fresh connection and repeats
// its Start; the agent knows the attempt and reports, but does not run it.
func TestConnectionLostDuringBooking(t *testing.T) {
	for name, fault := range map[string]func(s *sim, agent string){
		"cut":     func(s *sim, agent string) { s.net.Cut(s.entry(0), agent) },
		"silence": func(s *sim, agent string) { s.net.Silence(s.entry(0), agent) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(s *sim) {
				s.slow()
				s.only(0)
				res := during(300*time.Millisecond, func() {
					fault(s, "alm-a-app-1")
					fault(s, "alm-b-app-1")
				}, func() load.Result { return s.book(load.CallSpec{}) })
				whole(t, res)
				assert.Equal(t, 1, s.runsOf(res.Call))
			})
		})
	}
}

// Story: the plain service's process is gone; its port refuses connections.
// The agents prove that nothing was sent, so the entry may say "not run".
func TestServiceGoneIsNotRun(t *testing.T) {
	simulate(t, func(s *sim) {
		s.crash("alm-a-app-1-engine")
		s.crash("alm-b-app-1-engine")
		res := s.book(load.CallSpec{})
		assert.Equal(t, entry.NotRun, res.Outcome)
		assert.Zero(t, s.runsOf(res.Call))
	})
}

// Story: a lookup's agent dies while it runs. Lookups are idempotent, so the
// secretary gets the answer from the other worker.
func TestLookupIsRetried(t *testing.T) {
	simulate(t, func(s *sim) {
		s.slow()
		res := during(300*time.Millisecond, func() {
			for name, p := range s.Services {
				if len(p.Runs()) == 0 && s.Agents[name[:len(name)-len("-engine")]].Stats().Active > 0 {
					s.crash(name[:len(name)-len("-engine")])
				}
			}
		}, func() load.Result {
			return s.caller.Call(s.t.Context(), s.random(), load.CallSpec{Key: paidKey, Kind: load.Lookup})
		})
		whole(t, res)
	})
}

// Story: a parent's page sends one booking four times, with one key, through
// different entries at once, and once more later. One seat is booked; whoever
// is told an answer is told that one. When the key's owner is lost, the other
// worker must not book it again.
func TestOneKeyManyEntries(t *testing.T) {
	simulate(t, func(s *sim) {
		spec := load.CallSpec{ID: "one-call", IdempotencyKey: newKey()}
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { s.book(spec) })
		}
		wg.Wait()
		whole(t, s.book(spec))
		assert.Equal(t, 1, s.runsOf("one-call"))
		for name, p := range s.Services {
			if p.Runs()["one-call"] > 0 {
				s.crash(strings.TrimSuffix(name, "-engine"))
			}
		}
		assert.NotEqual(t, entry.Answered, s.book(spec).Outcome)
		assert.Equal(t, 1, s.runsOf("one-call"))
	})
}

// Story: a booking is made; the key's owner is replaced and has lost its
// memory; the impatient caller repeats the booking with its key. It must be
// refused as unknown, not run again. A new key works.
func TestKeyOwnerRestarted(t *testing.T) {
	simulate(t, func(s *sim) {
		spec := load.CallSpec{ID: "one-call", IdempotencyKey: newKey()}
		whole(t, s.book(spec))
		for _, name := range []string{"alm-a-app-1", "alm-b-app-1"} {
			s.crash(name)
			s.StartAgent(name)
		}
		time.Sleep(3 * time.Second)
		res := s.book(spec)
		assert.Equal(t, entry.Unknown, res.Outcome)
		assert.Equal(t, 1, s.runsOf("one-call"))
		whole(t, s.book(load.CallSpec{IdempotencyKey: newKey()}))
	})
}

// Story: a booking waits for a full worker when its caller gives up. It is
// withdrawn and never starts, though a place becomes free right afterwards.
func TestWithdrawnBookingNeverStarts(t *testing.T) {
	simulate(t, func(s *sim) {
		for _, p := range s.Services {
			p.Fault(standin.Fault{Kind: standin.FaultStall, For: jsonc.Duration(3 * time.Second)})
		}
		// The health checks stall as well, so this books while they have
		// not failed yet: the call starts or is refused, but at most once.
		res := s.book(load.CallSpec{})
		assert.LessOrEqual(t, s.runsOf(res.Call), 1)
		if res.Outcome == entry.NotRun {
			time.Sleep(10 * time.Second)
			assert.Zero(t, s.runsOf(res.Call))
		}
	})
}

// Story: everything behind the entries is gone for a while and callers keep
// coming. Each gets its final answer, and what reaches the agents is at most
// 1.1 times the first attempts: no retry storm keeps the outage going.
func TestTotalOutageAmplification(t *testing.T) {
	simulate(t, func(s *sim) {
		for _, p := range s.Services {
			p.Fault(standin.Fault{Kind: standin.FaultNoAnswer})
		}
		const calls = 1000
		for range calls {
			res := s.caller.Call(s.t.Context(), s.random(), load.CallSpec{Key: paidKey, Kind: load.Lookup})
			assert.Equal(t, entry.Unknown, res.Outcome)
		}
		runs := 0
		for _, n := range s.Runs() {
			runs += n
		}
		t.Logf("amplification %.3f", float64(runs)/calls)
		const entries = 2 // each begins with one retry
		assert.LessOrEqual(t, float64(runs), 1.1*calls+entries)
	})
}
