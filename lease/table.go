// Package lease implements admission control for one endpoint: which requests
// hold a lease on its capacity, which wait in the queue, and when a lease ends.
// It is a state machine without I/O. The agent at the endpoint is the only owner
// of a Table, which is authoritative; what entries know of the endpoint may be
// out of date.
package lease

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"ebonypulley/invariant"
	"ebonypulley/wire"
)

// Capacity is what an endpoint can hold at once.
type Capacity struct {
	// Requests is the maximum number of leases.
	Requests int
	// Tokens is the maximum number of tokens under lease; 0 means no limit.
	Tokens int
	// Headroom is the part of Requests that spare work must leave free.
	Headroom int
	// Queue is the maximum number of requests that wait.
	Queue int
}

// Request is a request for a lease.
type Request struct {
	ID wire.ID
	// Holder is the incarnation whose heartbeats renew the lease.
	Holder   wire.Incarnation
	Tokens   int
	Priority int
	// Spare marks work that may not use the headroom.
	Spare bool
	// WaitUntil is when the request leaves the queue if it has not been granted.
	WaitUntil time.Time
	// Deadline is when the lease expires, even if its holder renews it.
	Deadline time.Time
}

// Decision is the result of Table.Reserve.
type Decision struct {
	// Granted and Queued exclude each other; neither means refused.
	Granted bool
	Queued  bool
	// Reason is why a request was refused.
	Reason wire.Reason
	// RetryAfter is the estimated time until a refused request may be granted.
	RetryAfter time.Duration
}

// ChangeKind is the kind of a Change.
type ChangeKind int

const (
	// WasGranted means that a waiting request now holds a lease.
	WasGranted ChangeKind = iota
	// WaitEnded means that a waiting request was removed from the queue; nothing
	// ran for it.
	WaitEnded
	// Expired means that a lease expired, because its holder sent no heartbeat
	// for the lease time or because its deadline passed. The caller must free
	// the endpoint's memory and then call Release.
	Expired
)

// Change is a change of a request's state that was caused by the passing of
// time, a Release or a Drain.
type Change struct {
	ID     wire.ID
	Kind   ChangeKind
	Reason wire.Reason
}

// activeLease is a granted request.
type activeLease struct {
	Request
	grantedAt time.Time
	expiring  bool // reported as Expired, not yet released
}

// waiter is a queued request.
type waiter struct {
	Request
	seq uint64
}

// Table holds the leases and the queue of one endpoint. It is not safe for
// concurrent use.
type Table struct {
	capacity      Capacity
	ttl           time.Duration
	draining      bool
	leases        map[wire.ID]*activeLease
	tokens        int
	queue         []*waiter
	seq           uint64
	lastHeartbeat map[wire.Incarnation]time.Time
	tombstones    *tombstones
	meanLeaseTime time.Duration
}

const (
	// tombstoneTTL is how long a withdrawn ID stays refused. A delayed message
	// can only arrive on a connection that both sides have given up, which takes
	// a few seconds; a minute is far above that.
	tombstoneTTL = time.Minute
	// maxTombstones bounds the number of tombstones; beyond it the oldest are
	// dropped.
	maxTombstones = 20_000
	// initialLeaseTime is the assumed mean lease time before any lease has ended.
	initialLeaseTime = time.Second
	// leaseTimeWeight is the weight of one ended lease in the moving mean.
	leaseTimeWeight = 0.1
)

// NewTable returns an empty table. The leases of a holder that sends no
// heartbeat for ttl expire.
func NewTable(c Capacity, ttl time.Duration) *Table {
	return &Table{
		capacity:      c,
		ttl:           ttl,
		leases:        make(map[wire.ID]*activeLease),
		lastHeartbeat: make(map[wire.Incarnation]time.Time),
		tombstones:    newTombstones(tombstoneTTL, maxTombstones),
		meanLeaseTime: initialLeaseTime,
	}
}

// Configure changes the capacity and the lease time. If the capacity shrinks,
// existing leases stay, and nothing is granted until they fit.
func (t *Table) Configure(c Capacity, ttl time.Duration) {
	t.capacity = c
	t.ttl = ttl
}

// Open admits new work again after Drain.
func (t *Table) Open() { t.draining = false }

// Drain refuses all new work from now on and empties the queue.
//
// An entry with outdated state may keep sending work to an endpoint that is
// draining. The work is refused here, at the owner of the leases, so it does not
// matter what entries know.
func (t *Table) Drain() []Change {
	t.draining = true
	changes := make([]Change, 0, len(t.queue))
	for _, w := range t.queue {
		changes = append(changes, Change{ID: w.ID, Kind: WaitEnded, Reason: wire.ReasonDraining})
	}
	t.queue = nil
	return changes
}

// Reserve grants a lease, queues the request until WaitUntil, or refuses it.
// Repeating it for an ID that holds a lease or waits has no effect and gives the
// same result.
func (t *Table) Reserve(now time.Time, r Request) Decision {
	t.Renew(now, r.Holder)
	if _, ok := t.leases[r.ID]; ok {
		return Decision{Granted: true}
	}
	if t.isQueued(r.ID) {
		return Decision{Queued: true}
	}
	if reason := t.refusalReason(now, r); reason != "" {
		return Decision{Reason: reason, RetryAfter: t.retryAfter()}
	}
	if !t.blockedByQueue(r) && t.fits(r) {
		t.grant(now, r)
		return Decision{Granted: true}
	}
	if len(t.queue) >= t.capacity.Queue || !r.WaitUntil.After(now) {
		return Decision{Reason: wire.ReasonFull, RetryAfter: t.retryAfter()}
	}
	t.enqueue(r)
	return Decision{Queued: true}
}

// refusalReason returns why a request is refused regardless of free capacity, or
// "".
func (t *Table) refusalReason(now time.Time, r Request) wire.Reason {
	switch {
	case t.tombstones.has(now, r.ID):
		return wire.ReasonWithdrawn
	case t.draining:
		return wire.ReasonDraining
	case !r.Deadline.After(now):
		return wire.ReasonDeadlinePassed
	case r.Tokens < 0 || t.capacity.Tokens > 0 && r.Tokens > t.capacity.Tokens:
		return wire.ReasonFull
	default:
		return ""
	}
}

func (t *Table) isQueued(id wire.ID) bool {
	for _, w := range t.queue {
		if w.ID == id {
			return true
		}
	}
	return false
}

// blockedByQueue reports whether a request of the same or a higher priority is
// waiting, which must be granted first. A spare one does not block others, since it may
// be held back by the headroom alone.
func (t *Table) blockedByQueue(r Request) bool {
	for _, w := range t.queue {
		if w.Priority < r.Priority {
			return false
		}
		if r.Spare || !w.Spare {
			return true
		}
	}
	return false
}

func (t *Table) fits(r Request) bool {
	limit := t.capacity.Requests
	if r.Spare {
		limit -= t.capacity.Headroom
	}
	if len(t.leases)+1 > limit {
		return false
	}
	return t.capacity.Tokens == 0 || t.tokens+r.Tokens <= t.capacity.Tokens
}

func (t *Table) grant(now time.Time, r Request) {
	invariant.Check(!t.draining, invariant.NoGrantAfterDrain, "grant of %s", r.ID)
	t.leases[r.ID] = &activeLease{Request: r, grantedAt: now}
	t.tokens += r.Tokens
	invariant.Check(len(t.leases) <= t.capacity.Requests, invariant.GrantWithinMemory,
		"%d requests of %d", len(t.leases), t.capacity.Requests)
	invariant.Check(t.capacity.Tokens == 0 || t.tokens <= t.capacity.Tokens, invariant.GrantWithinMemory,
		"%d tokens of %d", t.tokens, t.capacity.Tokens)
	invariant.Check(!r.Spare || len(t.leases) <= t.capacity.Requests-t.capacity.Headroom, invariant.PaidHeadroom,
		"spare %s is lease %d", r.ID, len(t.leases))
}

// enqueue keeps the queue ordered by descending priority, then by arrival.
func (t *Table) enqueue(r Request) {
	t.seq++
	w := &waiter{Request: r, seq: t.seq}
	at := sort.Search(len(t.queue), func(i int) bool { return t.queue[i].Priority < r.Priority })
	t.queue = append(t.queue, nil)
	copy(t.queue[at+1:], t.queue[at:])
	t.queue[at] = w
}

// Renew records a heartbeat of a holder, which renews all its leases.
func (t *Table) Renew(now time.Time, holder wire.Incarnation) {
	if last, ok := t.lastHeartbeat[holder]; !ok || now.After(last) {
		t.lastHeartbeat[holder] = now
	}
}

// ExtendHolders lets no holder's leases expire for lack of heartbeats before now+d. It
// is called after a pause of this process, when heartbeats that arrived meanwhile
// have not been read yet.
func (t *Table) ExtendHolders(now time.Time, d time.Duration) {
	earliest := now.Add(d - t.ttl)
	for holder, at := range t.lastHeartbeat {
		if at.Before(earliest) {
			t.lastHeartbeat[holder] = earliest
		}
	}
}

// HolderAlive reports whether a holder's last heartbeat is at most the lease time ago.
func (t *Table) HolderAlive(now time.Time, holder wire.Incarnation) bool {
	at, ok := t.lastHeartbeat[holder]
	return ok && now.Sub(at) <= t.ttl
}

// Holds reports whether the ID holds a lease that is not expiring.
func (t *Table) Holds(id wire.ID) bool {
	h, ok := t.leases[id]
	return ok && !h.expiring
}

// Withdraw removes the ID from the queue and refuses it from now on. A lease that
// it holds stays until Release, because the endpoint's memory is still in use.
func (t *Table) Withdraw(now time.Time, id wire.ID) {
	t.tombstones.add(now, id)
	for i, w := range t.queue {
		if w.ID == id {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			return
		}
	}
}

// Release ends a lease after the endpoint has freed its memory. The ID stays
// refused afterwards.
func (t *Table) Release(now time.Time, id wire.ID) {
	t.tombstones.add(now, id)
	h, ok := t.leases[id]
	if !ok {
		return
	}
	delete(t.leases, id)
	t.tokens -= h.Tokens
	held := now.Sub(h.grantedAt)
	t.meanLeaseTime += time.Duration(leaseTimeWeight * float64(held-t.meanLeaseTime))
}

// Tick expires leases and waiting requests, and grants free capacity to the
// queue.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	changes = t.expireLeases(now, changes)
	changes = t.expireQueue(now, changes)
	changes = t.grantQueued(now, changes)
	t.forgetHolders(now)
	return changes
}

// expireLeases appends an Expired change for each lease whose holder is gone or
// whose deadline has passed.
//
// An entry may crash, lose its network or be paused while the engine works for
// its callers; the engine's memory would then stay in use for no one. Only the
// holder's own heartbeats extend its leases.
func (t *Table) expireLeases(now time.Time, changes []Change) []Change {
	for id, h := range t.leases {
		if h.expiring || t.alive(now, h.Request) {
			continue
		}
		h.expiring = true
		changes = append(changes, Change{ID: id, Kind: Expired, Reason: wire.ReasonLeaseLost})
	}
	// Sorted by ID, so that equal histories give equal results.
	slices.SortFunc(changes, func(a, b Change) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return changes
}

// alive reports whether the holder of a request has sent a heartbeat within the
// lease time and the request's deadline has not passed.
func (t *Table) alive(now time.Time, r Request) bool {
	return now.Sub(t.lastHeartbeat[r.Holder]) <= t.ttl && now.Before(r.Deadline)
}

func (t *Table) expireQueue(now time.Time, changes []Change) []Change {
	kept := t.queue[:0]
	for _, w := range t.queue {
		if t.alive(now, w.Request) && now.Before(w.WaitUntil) {
			kept = append(kept, w)
			continue
		}
		changes = append(changes, Change{ID: w.ID, Kind: WaitEnded, Reason: wire.ReasonQueueTimeout})
	}
	t.queue = kept
	return changes
}

// grantQueued grants leases in queue order. A request that does not fit blocks
// those behind it, because large requests would starve otherwise; a spare request
// blocks only other spare ones, since it may be held back by the headroom alone.
func (t *Table) grantQueued(now time.Time, changes []Change) []Change {
	if t.draining {
		return changes
	}
	kept := t.queue[:0]
	blocked, spareBlocked := false, false
	for _, w := range t.queue {
		waits := blocked || w.Spare && spareBlocked
		if !waits && t.fits(w.Request) {
			t.grant(now, w.Request)
			changes = append(changes, Change{ID: w.ID, Kind: WasGranted})
			continue
		}
		if w.Spare {
			spareBlocked = true
		} else {
			blocked = true
		}
		kept = append(kept, w)
	}
	t.queue = kept
	return changes
}

func (t *Table) forgetHolders(now time.Time) {
	for holder, at := range t.lastHeartbeat {
		if now.Sub(at) > t.ttl {
			delete(t.lastHeartbeat, holder)
		}
	}
}

// retryAfter estimates, from the mean lease time, how long a new request would
// have to wait for a lease.
func (t *Table) retryAfter() time.Duration {
	if t.capacity.Requests == 0 {
		return t.meanLeaseTime
	}
	return t.meanLeaseTime * time.Duration(len(t.queue)+1) / time.Duration(t.capacity.Requests)
}

// Active returns the number of leases.
func (t *Table) Active() int { return len(t.leases) }

// Waiting returns the number of queued requests.
func (t *Table) Waiting() int { return len(t.queue) }

// Tokens returns the number of tokens under lease.
func (t *Table) Tokens() int { return t.tokens }

// Idle reports whether there is neither a lease nor a waiting request.
func (t *Table) Idle() bool { return len(t.leases) == 0 && len(t.queue) == 0 }

// Draining reports whether Drain was called and Open was not called since.
func (t *Table) Draining() bool { return t.draining }

// MaxLeases returns the maximum number of leases.
func (t *Table) MaxLeases() int { return t.capacity.Requests }
