package lease_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/invariant"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(n uint64) wire.ID {
	var x wire.ID
	binary.BigEndian.PutUint64(x[8:], n)
	return x
}

const ttl = 3 * time.Second

// oracle is a simple model of a Table, built from its results.
type oracle struct {
	held          map[wire.ID]lease.Request
	queued        map[wire.ID]lease.Request
	withdrawn     map[wire.ID]bool
	lastHeartbeat map[wire.Incarnation]time.Time
	draining      bool
}

func (o *oracle) apply(t *rapid.T, table *lease.Table, now time.Time, changes []lease.Change) {
	for _, c := range changes {
		switch c.Kind {
		case lease.WasGranted:
			r, ok := o.queued[c.ID]
			if !ok || o.draining || o.withdrawn[c.ID] {
				t.Fatalf("%s granted: queued %v, draining %v, withdrawn %v", c.ID, ok, o.draining, o.withdrawn[c.ID])
			}
			delete(o.queued, c.ID)
			o.held[c.ID] = r
		case lease.WaitEnded:
			if _, ok := o.queued[c.ID]; !ok {
				t.Fatalf("%s dropped although it was not queued", c.ID)
			}
			delete(o.queued, c.ID)
		case lease.Expired:
			r, ok := o.held[c.ID]
			if !ok || o.alive(now, r) {
				t.Fatalf("%s expired: held %v, alive %v", c.ID, ok, o.alive(now, r))
			}
			table.Release(now, c.ID)
			delete(o.held, c.ID)
		}
	}
}

func (o *oracle) alive(now time.Time, r lease.Request) bool {
	return now.Sub(o.lastHeartbeat[r.Holder]) <= ttl && now.Before(r.Deadline)
}

// TestTableAgainstOracle applies random sequences of operations to a Table. The
// capacity must never be exceeded; nothing may be granted after Drain or to a
// withdrawn ID; leases and queued requests of a dead holder must expire; and no
// request may be lost.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(r invariant.Rule, d string) { t.Fatalf("%s: %s", r, d) })()
		capacity := lease.Capacity{
			Requests: rapid.IntRange(1, 4).Draw(t, "requests"),
			Tokens:   rapid.IntRange(50, 200).Draw(t, "tokens"),
			Queue:    rapid.IntRange(0, 5).Draw(t, "queue"),
		}
		capacity.Headroom = rapid.IntRange(0, capacity.Requests-1).Draw(t, "headroom")
		table := lease.NewTable(capacity, ttl)
		o := &oracle{held: map[wire.ID]lease.Request{}, queued: map[wire.ID]lease.Request{}, withdrawn: map[wire.ID]bool{}, lastHeartbeat: map[wire.Incarnation]time.Time{}}
		now := epoch
		anyID := func() wire.ID { return id(rapid.Uint64Range(1, 12).Draw(t, "id")) }
		holder := func() wire.Incarnation { return id(rapid.Uint64Range(100, 102).Draw(t, "holder")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := lease.Request{
					ID: anyID(), Holder: holder(),
					Tokens:    rapid.IntRange(1, 120).Draw(t, "size"),
					Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
					Spare:     rapid.Bool().Draw(t, "spare"),
					WaitUntil: now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond),
					Deadline:  now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "deadline")) * time.Millisecond),
				}
				o.lastHeartbeat[r.Holder] = now
				_, held := o.held[r.ID]
				_, queued := o.queued[r.ID]
				d := table.Reserve(now, r)
				switch {
				case held || queued:
					assert.Equal(t, held, d.Granted)
					assert.Equal(t, queued, d.Queued)
				case d.Granted || d.Queued:
					if o.draining || o.withdrawn[r.ID] {
						t.Fatalf("%s admitted: draining %v, withdrawn %v", r.ID, o.draining, o.withdrawn[r.ID])
					}
					if d.Granted {
						o.held[r.ID] = r
					} else {
						o.queued[r.ID] = r
					}
				default:
					assert.NotEmpty(t, d.Reason)
				}
			},
			"renew": func(t *rapid.T) {
				h := holder()
				table.Renew(now, h)
				o.lastHeartbeat[h] = now
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"withdraw": func(t *rapid.T) {
				x := anyID()
				table.Withdraw(now, x)
				o.withdrawn[x] = true
				delete(o.queued, x)
			},
			"release": func(t *rapid.T) {
				x := anyID()
				if _, ok := o.held[x]; ok {
					table.Release(now, x)
					o.withdrawn[x] = true
					delete(o.held, x)
				}
			},
			"tick": func(t *rapid.T) {
				o.apply(t, table, now, table.Tick(now))
				for x, r := range o.held {
					if !o.alive(now, r) {
						t.Fatalf("%s holds a lease although its holder is dead or its deadline passed", x)
					}
				}
				for x, r := range o.queued {
					if !o.alive(now, r) || !now.Before(r.WaitUntil) {
						t.Fatalf("%s is still queued", x)
					}
				}
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "seldom") == 0 {
					o.draining = true
					o.apply(t, table, now, table.Drain())
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(o.held), table.Active())
				assert.Equal(t, len(o.queued), table.Waiting())
				assert.LessOrEqual(t, table.Active(), capacity.Requests)
				assert.LessOrEqual(t, table.Tokens(), capacity.Tokens)
			},
		})
	})
}

func request(n uint64, priority int, spare bool) lease.Request {
	return lease.Request{ID: id(n), Holder: id(100), Tokens: 1, Priority: priority, Spare: spare, WaitUntil: epoch.Add(time.Hour), Deadline: epoch.Add(time.Hour)}
}

// A burst of trial (spare) work fills an engine. The first paid request gets the
// headroom at once; the next one gets the first lease that becomes free, before
// trial requests that have waited longer.
func TestPaidBeforeTrial(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 3, Headroom: 1, Queue: 10}, ttl)
	for n := uint64(1); n <= 4; n++ {
		d := table.Reserve(epoch, request(n, 1, true))
		assert.Equal(t, n <= 2, d.Granted, "trial %d", n)
	}
	assert.True(t, table.Reserve(epoch, request(10, 10, false)).Granted)
	assert.True(t, table.Reserve(epoch, request(11, 10, false)).Queued)
	table.Release(epoch, id(1))
	assert.Equal(t, []lease.Change{{ID: id(11), Kind: lease.WasGranted}}, table.Tick(epoch))
}

// Requests of two priorities wait for a full engine. The one with the higher
// priority is granted first, although it arrived later.
func TestHigherPriorityFirst(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 1, Queue: 10}, ttl)
	table.Reserve(epoch, request(1, 1, false))
	table.Reserve(epoch, request(2, 1, false))
	table.Reserve(epoch, request(3, 10, false))
	table.Release(epoch, id(1))
	assert.Equal(t, []lease.Change{{ID: id(3), Kind: lease.WasGranted}}, table.Tick(epoch))
}

// After a long pause of the agent, heartbeats that arrived meanwhile are still in
// its socket buffers. The lease of a live holder must not expire because of that;
// the lease of a dead holder must expire a second later.
func TestGraceAfterPause(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 3, Queue: 10}, ttl)
	table.Reserve(epoch, request(1, 1, false))
	woken := epoch.Add(30 * time.Second)
	table.ExtendHolders(woken, time.Second)
	assert.Empty(t, table.Tick(woken))
	assert.Equal(t, []lease.Change{{ID: id(1), Kind: lease.Expired, Reason: wire.ReasonLeaseLost}}, table.Tick(woken.Add(1100*time.Millisecond)))
}

// A delayed Reserve arrives after its Cancel, on an old connection. It must not
// take memory that no one would free.
func TestWithdrawnStaysRefused(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 3, Queue: 10}, ttl)
	table.Withdraw(epoch, id(1))
	assert.Equal(t, wire.ReasonWithdrawn, table.Reserve(epoch.Add(5*time.Second), request(1, 1, false)).Reason)
}

func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			table := lease.NewTable(lease.Capacity{Requests: 20, Queue: waiting + 1}, ttl)
			for n := range uint64(20 + waiting) {
				table.Reserve(epoch, request(1000+n, 1, false))
			}
			oldest := uint64(1000)
			next := uint64(1_000_000)
			b.ReportAllocs()
			for b.Loop() {
				table.Release(epoch, id(oldest))
				table.Tick(epoch)
				table.Reserve(epoch, request(next, 1, false))
				oldest++
				if oldest == 1000+uint64(20+waiting) {
					oldest = 1_000_000
				}
				next++
			}
		})
	}
}

// A spare request that needs more memory than is free waits. Later spare requests that are
// smaller must not take each piece that becomes free, else it would never be granted.
func TestLargeSpareIsNotPassed(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 10, Tokens: 10, Queue: 10}, time.Hour)
	spare := func(n uint64, tokens int) lease.Request {
		r := request(n, 0, true)
		r.Tokens = tokens
		return r
	}
	assert.True(t, table.Reserve(epoch, spare(1, 4)).Granted)
	assert.True(t, table.Reserve(epoch, spare(2, 4)).Granted)
	assert.True(t, table.Reserve(epoch, spare(3, 8)).Queued)
	assert.True(t, table.Reserve(epoch, spare(4, 2)).Queued)
	assert.Empty(t, table.Tick(epoch))
	table.Release(epoch, id(1))
	assert.Empty(t, table.Tick(epoch))
	table.Release(epoch, id(2))
	assert.Equal(t, []lease.Change{{ID: id(3), Kind: lease.WasGranted}, {ID: id(4), Kind: lease.WasGranted}}, table.Tick(epoch))
}

// A request for less than no memory would make room for more than the engine has.
func TestOddTokens(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 10, Tokens: 10, Queue: 10}, time.Hour)
	for n, tokens := range []int{-1, math.MinInt, math.MaxInt, 10, 10} {
		r := request(uint64(n+1), 0, false)
		r.Tokens = tokens
		assert.Equal(t, tokens == 10 && n == 3, table.Reserve(epoch, r).Granted, tokens)
	}
	assert.Equal(t, 10, table.Tokens())
}

// The queue is full of a spare request that the headroom holds back. A paid request of the
// same priority must be granted the headroom, not refused.
func TestWaitingSpareDoesNotBlockPaid(t *testing.T) {
	table := lease.NewTable(lease.Capacity{Requests: 2, Headroom: 1, Queue: 1}, time.Hour)
	assert.True(t, table.Reserve(epoch, request(1, 0, true)).Granted)
	assert.True(t, table.Reserve(epoch, request(2, 0, true)).Queued)
	assert.True(t, table.Reserve(epoch, request(3, 0, false)).Granted)
}
