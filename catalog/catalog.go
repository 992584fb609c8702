// Package catalog holds a process's copy of the entries that the platform publishes
// in its store. It is a state machine without I/O: entries read from the store or
// received from other processes may be merged in any order and repeatedly, with the
// same result, and an entry never reverts to an older revision.
//
// The store may be restored from a backup, which begins a new era of revisions. Its
// listings then lack the changes made after the backup, but the catalog still has
// them: a restored entry does not replace a later one, and an entry of the former era
// is removed unless the store or another process lists it in the new era.
package catalog

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"ebonypulley/revision"
)

// Entry is one published value, or a tombstone for a removed one.
type Entry struct {
	Key string
	// Value is opaque to this package.
	Value []byte
	// Revision is the store's revision at the last change of the key.
	Revision revision.Revision
	// Removed says that the key was removed at Revision.
	Removed bool
}

// tombstoneTTL is how long the removal of a key is remembered, so that a
// process with stale state can't restore the entry. It exceeds every bound on how
// long a process may be partitioned and still count as alive.
const tombstoneTTL = 60 * time.Second

const (
	// outageThreshold is the time without updates from the store after which removals
	// are taken for expired leases: endpoints' entries expire after three missed
	// heartbeats of about a second.
	outageThreshold = 3 * time.Second
	// expiredGrace is how long expired entries still count after an outage. A live
	// endpoint is listed again within about two seconds of the store's return.
	expiredGrace = 1500 * time.Millisecond
	// eraConfirmTimeout is how long entries of a former era still count without being
	// listed in the new one: several rounds in which another process may relay them.
	eraConfirmTimeout = 3 * time.Second
	// restoredSuppression is how long a removed entry still counts as removed when the
	// store is restored from a backup that contains it. It exceeds the three missed
	// heartbeats after which the store removes the entry of an endpoint that is gone.
	restoredSuppression = 5 * time.Second
)

// record is an entry with the state that its merging needs.
type record struct {
	Entry
	// removedValue is the value that a removed entry had. Until graceUntil the entry
	// counts as present with that value, because it may only have expired.
	removedValue []byte
	graceUntil   time.Time
	// suppressUntil is until when an entry from a backup still counts as removed.
	suppressUntil time.Time
	// supersedesStore says that the store has an older value at the same revision.
	supersedesStore bool
	learnedAt       time.Time // when this process received the value
	// changedAt is the revision of the last relevant change.
	changedAt revision.Revision
}

// lastValue returns the value of the entry, or the one that it had before its removal.
func (r *record) lastValue() []byte {
	if r.Removed {
		return r.removedValue
	}
	return r.Value
}

// Catalog is the merged state. It is safe for concurrent use.
type Catalog struct {
	// Equivalent, if set before use, reports whether two values of a key differ only in
	// irrelevant fields, such as the counter of a heartbeat. Such a change is not
	// reported or relayed: the heartbeats of thousands of endpoints would fill every
	// process's share of the network.
	Equivalent func(key string, a, b []byte) bool
	// Supersedes, if set before use, reports whether value was written after other,
	// by the counters that their writers put in them. It decides between a value from
	// a backup and the value known before, where the store's revisions can't.
	Supersedes func(key string, value, other []byte) bool

	mu       sync.Mutex
	records  map[string]record
	revision revision.Revision // the store's revision up to which the catalog is complete
	// removalFloor is the revision from which on all removals are known; a listing does
	// not contain earlier ones. partial says that only a part of a listing was merged.
	removalFloor revision.Revision
	partial      bool
	version      uint64
	changed      chan struct{}
	// eraBegan is when this process learned of the revision's era, zero for the first era.
	eraBegan time.Time
	// lastUpdate is when the store's state was last received, directly or relayed.
	lastUpdate time.Time
	// graceUntil is until when removed entries may only have expired.
	//
	// The entries of live endpoints expire while the store is unavailable. They keep
	// counting until their endpoints had time to register again; otherwise requests
	// would be refused for lack of endpoints right after the store's return. Endpoints
	// that are really gone are avoided because they are unresponsive.
	graceUntil time.Time
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{records: make(map[string]record), changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a signal after one or more changes.
func (c *Catalog) Changed() <-chan struct{} { return c.changed }

// Revision returns the store's revision up to which the catalog is complete.
func (c *Catalog) Revision() revision.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Version returns a number that rises with each change.
func (c *Catalog) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Get returns the entry of a key, unless it is unknown or removed.
func (c *Catalog) Get(key string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[key]
	return r.Entry, ok && !r.Removed
}

// ValueBytes returns the total size of all values in bytes.
func (c *Catalog) ValueBytes() (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		sum += int64(len(r.Value))
	}
	return sum
}

// MergePartialListing merges a part of a listing into a catalog that has no complete state
// yet. Keys that the part lacks are not removed.
func (c *Catalog) MergePartialListing(now time.Time, entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.revision.IsZero() {
		return
	}
	c.partial = true
	for _, e := range entries {
		c.merge(now, e)
	}
	c.notify(len(entries) > 0)
}

// Complete reports whether the catalog is complete up to Revision.
func (c *Catalog) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.revision.IsZero() && !c.partial
}

// Partial reports whether only a part of a listing was merged so far.
func (c *Catalog) Partial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partial
}

// Merge adds entries that bring the catalog up to the store's revision upTo.
// It returns those that made a relevant change.
func (c *Catalog) Merge(now time.Time, entries []Entry, upTo revision.Revision) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteUpdate(now)
	if upTo.Era > c.revision.Era && !c.revision.IsZero() {
		c.eraBegan = now
		c.graceUntil = now.Add(expiredGrace)
	}
	c.revision = revision.Max(c.revision, upTo)
	var changes []Entry
	for _, e := range entries {
		if c.merge(now, e) {
			changes = append(changes, e)
		}
	}
	removed := c.removeUnconfirmed(now)
	c.deleteTombstones(now)
	c.notify(len(changes) > 0 || removed)
	return changes
}

// merge adds an entry and reports whether it is a relevant change. The caller holds c.mu.
func (c *Catalog) merge(now time.Time, e Entry) bool {
	if e.Revision.Era < c.revision.Era {
		return false // of a former era
	}
	old, known := c.records[e.Key]
	if known && e.Revision == old.Revision {
		return c.mergeSameRevision(now, old, e)
	}
	if known && !e.Revision.After(old.Revision) {
		return false
	}
	if known && c.isRestored(&old, e) {
		c.records[e.Key] = old.reconfirm(now, e)
		return true
	}
	if since, same := c.unchanged(e); same {
		changed := old.changedAt
		if changed.Era < e.Revision.Era {
			changed = e.Revision // relay it, so that other processes know that it exists in this era
		}
		c.records[e.Key] = record{Entry: e, learnedAt: since, changedAt: changed}
		return false
	}
	next := record{Entry: e, learnedAt: now, changedAt: e.Revision}
	if e.Removed {
		next.removedValue, next.graceUntil = old.lastValue(), c.graceUntil
	}
	c.records[e.Key] = next
	return true
}

// mergeSameRevision merges an entry that has the revision of the known one, and reports
// whether it is a relevant change. The two differ after the store was restored from a
// backup, where it has an older value than processes that kept theirs. The caller holds
// c.mu.
func (c *Catalog) mergeSameRevision(now time.Time, old record, e Entry) bool {
	if c.Supersedes == nil || old.Removed || e.Removed || bytes.Equal(old.Value, e.Value) {
		return false
	}
	newer, older := c.Supersedes(e.Key, e.Value, old.Value), c.Supersedes(e.Key, old.Value, e.Value)
	switch {
	case newer == older:
		return false
	case newer:
		old.Value, old.learnedAt = e.Value, now
	}
	old.supersedesStore = true
	c.records[e.Key] = old
	return newer
}

// isRestored reports whether e comes from a backup of the store and is not newer than the
// value known before. The caller holds c.mu.
//
// Writers count their writes, so that values of different eras can be compared. Otherwise
// requests would be sent to an endpoint that had begun to drain after the backup, and the
// configuration would revert to an older one.
func (c *Catalog) isRestored(old *record, e Entry) bool {
	if e.Removed || e.Revision.Era == old.Revision.Era || c.Supersedes == nil {
		return false
	}
	last := old.lastValue()
	return len(last) > 0 && !c.Supersedes(e.Key, e.Value, last)
}

// reconfirm returns the record of a known entry of which a restored store has an older
// value or the same. An entry that was removed after the backup counts as removed for as
// long as the store may list an endpoint that is gone.
func (r record) reconfirm(now time.Time, e Entry) record {
	if r.Removed {
		return record{Entry: e, suppressUntil: now.Add(restoredSuppression), learnedAt: now, changedAt: e.Revision}
	}
	r.Revision, r.changedAt, r.supersedesStore = e.Revision, e.Revision, true
	return r
}

// removeUnconfirmed removes the entries of a former era that were not listed in the new
// era in time, and reports whether there were any. The caller holds c.mu.
func (c *Catalog) removeUnconfirmed(now time.Time) (removed bool) {
	if c.eraBegan.IsZero() || now.Sub(c.eraBegan) < eraConfirmTimeout {
		return false
	}
	c.eraBegan = time.Time{}
	for key, r := range c.records {
		if r.Revision.Era < c.revision.Era {
			c.records[key] = record{Entry: Entry{Key: key, Revision: c.revision, Removed: true}, removedValue: r.lastValue(), learnedAt: now, changedAt: c.revision}
			removed = true
		}
	}
	return removed
}

// noteUpdate records that the store's state was received. The caller holds c.mu.
func (c *Catalog) noteUpdate(now time.Time) {
	if !c.lastUpdate.IsZero() && now.Sub(c.lastUpdate) >= outageThreshold {
		c.graceUntil = now.Add(expiredGrace)
	}
	c.lastUpdate = now
}

// unchanged reports whether an entry differs from the known one in nothing relevant, and
// when the known one was received. The caller holds c.mu.
func (c *Catalog) unchanged(e Entry) (since time.Time, same bool) {
	old, ok := c.records[e.Key]
	if !ok || c.Equivalent == nil || old.Removed || e.Removed || !c.Equivalent(e.Key, old.Value, e.Value) {
		return time.Time{}, false
	}
	return old.learnedAt, true
}

// MergeListing merges a complete listing taken at revision upTo. Keys that it lacks are
// removed, unless they changed after upTo.
func (c *Catalog) MergeListing(now time.Time, entries []Entry, upTo revision.Revision) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	return c.Merge(now, append(c.removalsExcept(listed, upTo), entries...), upTo)
}

// RemoveExcept removes all keys but the given ones, unless they changed after upTo. The keys
// are those of another process whose catalog is complete up to that revision.
func (c *Catalog) RemoveExcept(now time.Time, keys []string, upTo revision.Revision) []Entry {
	has := make(map[string]bool, len(keys))
	for _, key := range keys {
		has[key] = true
	}
	return c.Merge(now, c.removalsExcept(has, upTo), revision.Revision{})
}

// removalsExcept returns removals, at revision upTo, of all keys that are not in keys and
// did not change after upTo.
func (c *Catalog) removalsExcept(keys map[string]bool, upTo revision.Revision) (removals []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removalFloor, c.partial = revision.Max(c.removalFloor, upTo), false
	for key, r := range c.records {
		if !keys[key] && !r.Removed && !r.Revision.After(upTo) {
			removals = append(removals, Entry{Key: key, Revision: upTo, Removed: true})
		}
	}
	return removals
}

// notify signals a change. The caller holds c.mu.
func (c *Catalog) notify(changed bool) {
	if !changed {
		return
	}
	c.version++
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// deleteTombstones deletes tombstones older than tombstoneTTL. The caller holds c.mu.
func (c *Catalog) deleteTombstones(now time.Time) {
	for key, r := range c.records {
		if r.Removed && now.Sub(r.learnedAt) > tombstoneTTL {
			delete(c.records, key)
		}
	}
}

// maxBatch is the number of entries in one result of ChangesSince or SupersedingEntries: some
// 50 kB.
const maxBatch = 256

// ChangesSince returns the entries with a relevant change after a revision, removals included
// and the oldest changes first, and the revision up to which they are complete. If
// removals between the two revisions may be unknown, because they preceded a listing,
// keys are the keys of all present entries, to be passed to RemoveExcept.
//
// The number of entries is bounded, and the caller continues from upTo. Otherwise a
// hundred processes that start together and request thousands of entries each would
// exhaust the memory of the process that reads the store.
func (c *Catalog) ChangesSince(after revision.Revision) (entries []Entry, upTo revision.Revision, keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []record
	for _, r := range c.records {
		if r.changedAt.After(after) && r.Revision.Era == c.revision.Era {
			changes = append(changes, r)
		}
	}
	slices.SortFunc(changes, func(a, b record) int { return a.changedAt.Compare(b.changedAt) })
	upTo = c.revision
	if len(changes) > maxBatch {
		changes = changes[:batchEnd(changes, maxBatch)]
		upTo = changes[len(changes)-1].changedAt
	}
	for _, r := range changes {
		entries = append(entries, r.Entry)
	}
	if c.removalFloor.After(after) && !c.removalFloor.After(upTo) {
		keys = c.keys()
	}
	return entries, upTo, keys
}

// SupersedingEntries returns entries whose values are newer than those that the store has at
// the same revisions since it was restored from a backup, at most maxBatch of them.
func (c *Catalog) SupersedingEntries() (entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if r.supersedesStore && len(entries) < maxBatch {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}

// keys returns the keys of all present entries. The caller holds c.mu.
func (c *Catalog) keys() []string {
	keys := make([]string, 0, len(c.records))
	for key, r := range c.records {
		if !r.Removed {
			keys = append(keys, key)
		}
	}
	return keys
}

// batchEnd returns the length of the first batch of changes: size, or more if needed to
// keep changes of one revision together, such as the removals by a listing.
func batchEnd(changes []record, size int) int {
	for size < len(changes) && changes[size].changedAt == changes[size-1].changedAt {
		size++
	}
	return size
}

// KnownEntry is an entry with the time at which this process received its value.
type KnownEntry struct {
	Entry
	LearnedAt time.Time
	// ChangedAt is the revision of the last relevant change.
	ChangedAt revision.Revision
}

// All returns every entry, removals included. Entries that may only have expired count
// as present, and those from a backup that had been removed before as removed; until is
// when the next of them changes, zero if there are none.
func (c *Catalog) All(now time.Time) (list []KnownEntry, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list = make([]KnownEntry, 0, len(c.records))
	for _, r := range c.records {
		k := KnownEntry{Entry: r.Entry, LearnedAt: r.learnedAt, ChangedAt: r.changedAt}
		switch {
		case len(r.removedValue) > 0 && now.Before(r.graceUntil):
			k.Value, k.Removed = r.removedValue, false
			until = earliest(until, r.graceUntil)
		case now.Before(r.suppressUntil):
			k.Value, k.Removed = nil, true
			until = earliest(until, r.suppressUntil)
		}
		list = append(list, k)
	}
	return list, until
}

// earliest returns the earlier of a and b, or b if a is zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
