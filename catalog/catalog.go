// Package catalog holds what the platform publishes as versioned entries. It
// is a state machine without I/O: entries read from the store and entries
// heard from other processes are merged in any order and any repetition with
// the same result, and no entry ever goes back to an older revision.
//
// The store may come back from a copy. What it lists then was either in the copy or written
// since, and what it held in between is lost there, not here: an entry of the copy does not
// take the place of a later one, and entries that nobody names again are gone.
package catalog

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"ebonypulley/revision"
)

// Entry is one published value, or the fact that it was removed.
type Entry struct {
	Key string
	// Value is opaque here.
	Value []byte
	// Revision is the store's at the last change of the key.
	Revision revision.Revision
	// Removed says that the key is gone since Revision.
	Removed bool
}

// tombstoneLife is how long the removal of a key is remembered, so that a
// process that lags behind can't bring it back. It exceeds every bound on how
// long a process may be cut off and still count.
const tombstoneLife = 60 * time.Second

const (
	// outage is how long nothing may come from the store until entries that
	// are gone then are taken for lapsed: endpoints' entries lapse after three
	// missed heartbeats of about a second.
	outage = 3 * time.Second
	// lapsedFor is how long such entries still count. An endpoint that lives
	// is listed again within about two seconds of the store's return.
	lapsedFor = 1500 * time.Millisecond
	// confirmFor is how long entries of an era that is over still count if nobody names
	// them in the new one: some rounds in which another process hands it on.
	confirmFor = 3 * time.Second
	// doubtFor is how long an entry that was removed stays so when the store comes back from
	// a copy with it: longer than an endpoint that is gone stays there, which is three
	// missed heartbeats.
	doubtFor = 5 * time.Second
)

type slot struct {
	Entry
	// last is the value that a removed entry had, and lapsedUntil until when it may only
	// have lapsed.
	last        []byte
	lapsedUntil time.Time
	// doubtUntil is until when an entry of a copy counts as removed.
	doubtUntil time.Time
	// kept says that the value was kept over an older one that the store has.
	kept  bool
	since time.Time // when this process learned of it
	// changed is the revision of the last change that matters.
	changed revision.Revision
}

// lastValue is the value of the entry, or the one that it had before it was removed.
func (s *slot) lastValue() []byte {
	if s.Removed {
		return s.last
	}
	return s.Value
}

// Catalog is the merged state. It is safe for concurrent use.
type Catalog struct {
	// Same, if set before use, reports whether two values of a key differ in
	// nothing that matters, such as the counter of a heartbeat. Such a change
	// is no news and is not handed on: heartbeats of thousands of endpoints
	// would fill every process's share of the network.
	Same func(a, b []byte) bool
	// Supersedes, if set before use, reports whether a value of a key was written after
	// another one, by what their writers count. It decides where the store's revisions do
	// not, between what a copy held and what was known before.
	Supersedes func(key string, value, than []byte) bool

	mu    sync.Mutex
	slots map[string]slot
	read  revision.Revision // the store's up to which all is here
	// floor is the revision from which on all removals are here: those before a listing are
	// not in it. partial says that only a part of a listing is here.
	floor   revision.Revision
	partial bool
	version uint64
	changed chan struct{}
	// eraAt is when the era of read began here, zero for the first one.
	eraAt time.Time
	// heard is when the store's state last came here, from whomever.
	heard time.Time
	// lapsedUntil is until when entries that are gone may only have lapsed.
	//
	// Endpoints live, but their entries lapsed while the
	// store was away. It shows as refusals for want of endpoints right after its
	// return. The guard holds because their entries count until they had time to
	// come back; one that really is gone is avoided by its silence.
	lapsedUntil time.Time
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{slots: make(map[string]slot), changed: make(chan struct{}, 1)}
}

// Changed receives after one or more changes.
func (c *Catalog) Changed() <-chan struct{} { return c.changed }

// Revision returns the store's revision up to which everything is known.
func (c *Catalog) Revision() revision.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// Get returns the entry of a key, unless it is unknown or removed.
func (c *Catalog) Get(key string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.slots[key]
	return s.Entry, ok && !s.Removed
}

// Bytes returns the size of all values.
func (c *Catalog) Bytes() (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		sum += int64(len(s.Value))
	}
	return sum
}

// Part adds a part of a listing, which says nothing of what it lacks, while nothing else is here.
func (c *Catalog) Part(now time.Time, entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read.IsZero() {
		return
	}
	c.partial = true
	for _, e := range entries {
		c.merge(now, e)
	}
	c.signal(len(entries) > 0)
}

// Whole reports whether everything up to Revision is here.
func (c *Catalog) Whole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.read.IsZero() && !c.partial
}

// Partial reports whether a part of a listing is here that nobody completed yet.
func (c *Catalog) Partial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partial
}

// Merge adds entries that bring the catalog up to the store's revision upTo.
// It returns those that were news and matter.
func (c *Catalog) Merge(now time.Time, entries []Entry, upTo revision.Revision) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned(now)
	if upTo.Era > c.read.Era && !c.read.IsZero() {
		c.eraAt = now
		c.lapsedUntil = now.Add(lapsedFor)
	}
	c.read = revision.Max(c.read, upTo)
	var news []Entry
	for _, e := range entries {
		if c.merge(now, e) {
			news = append(news, e)
		}
	}
	gone := c.confirm(now)
	c.forget(now)
	c.signal(len(news) > 0 || gone)
	return news
}

// merge takes an entry and reports whether it is news; c.mu is held.
func (c *Catalog) merge(now time.Time, e Entry) bool {
	if e.Revision.Era < c.read.Era {
		return false // that era is over
	}
	old, known := c.slots[e.Key]
	if known && e.Revision == old.Revision {
		return c.mergeSame(now, old, e)
	}
	if known && !e.Revision.After(old.Revision) {
		return false
	}
	if known && c.copied(&old, e) {
		c.slots[e.Key] = old.again(now, e)
		return true
	}
	if since, same := c.unchanged(e); same {
		changed := old.changed
		if changed.Era < e.Revision.Era {
			changed = e.Revision // others are still to hear that it is there in this era
		}
		c.slots[e.Key] = slot{Entry: e, since: since, changed: changed}
		return false
	}
	next := slot{Entry: e, since: now, changed: e.Revision}
	if e.Removed {
		next.last, next.lapsedUntil = old.lastValue(), c.lapsedUntil
	}
	c.slots[e.Key] = next
	return true
}

// mergeSame takes an entry with the revision of the one that is here, and reports whether it is
// news. They differ after a copy, in which the store has an older value than entries that kept
// theirs; c.mu is held.
func (c *Catalog) mergeSame(now time.Time, old slot, e Entry) bool {
	if c.Supersedes == nil || old.Removed || e.Removed || bytes.Equal(old.Value, e.Value) {
		return false
	}
	newer, older := c.Supersedes(e.Key, e.Value, old.Value), c.Supersedes(e.Key, old.Value, e.Value)
	switch {
	case newer == older:
		return false
	case newer:
		old.Value, old.since = e.Value, now
	}
	old.kept = true
	c.slots[e.Key] = old
	return newer
}

// copied reports whether an entry is what a copy of the store held, and a later one was known;
// c.mu is held.
//
// The store comes back from a copy, in which an endpoint that said that it leaves is ready, or
// the configuration is an older one. It shows as requests to that endpoint, and as a
// configuration that reverts. The guard holds because writers count what they write.
func (c *Catalog) copied(old *slot, e Entry) bool {
	if e.Removed || e.Revision.Era == old.Revision.Era || c.Supersedes == nil {
		return false
	}
	last := old.lastValue()
	return len(last) > 0 && !c.Supersedes(e.Key, e.Value, last)
}

// again returns the slot of an entry that a copy holds as it was before. One that was removed
// meanwhile counts as removed for as long as an endpoint that is gone may stay listed.
func (s slot) again(now time.Time, e Entry) slot {
	if s.Removed {
		return slot{Entry: e, doubtUntil: now.Add(doubtFor), since: now, changed: e.Revision}
	}
	s.Revision, s.changed, s.kept = e.Revision, e.Revision, true
	return s
}

// confirm removes the entries of an era that is over which nobody named in the new one in
// time; c.mu is held.
func (c *Catalog) confirm(now time.Time) (gone bool) {
	if c.eraAt.IsZero() || now.Sub(c.eraAt) < confirmFor {
		return false
	}
	c.eraAt = time.Time{}
	for key, s := range c.slots {
		if s.Revision.Era < c.read.Era {
			c.slots[key] = slot{Entry: Entry{Key: key, Revision: c.read, Removed: true}, last: s.lastValue(), since: now, changed: c.read}
			gone = true
		}
	}
	return gone
}

// returned notes that the store's state came here; c.mu is held.
func (c *Catalog) returned(now time.Time) {
	if !c.heard.IsZero() && now.Sub(c.heard) >= outage {
		c.lapsedUntil = now.Add(lapsedFor)
	}
	c.heard = now
}

// unchanged reports whether an entry brings nothing that matters, and since when it is known;
// c.mu is held.
func (c *Catalog) unchanged(e Entry) (since time.Time, same bool) {
	old, ok := c.slots[e.Key]
	if !ok || c.Same == nil || old.Removed || e.Removed || !c.Same(old.Value, e.Value) {
		return time.Time{}, false
	}
	return old.since, true
}

// Replace merges a full listing taken at revision upTo: keys that it lacks and
// that have not changed since are gone.
func (c *Catalog) Replace(now time.Time, entries []Entry, upTo revision.Revision) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	return c.Merge(now, append(c.keep(listed, upTo), entries...), upTo)
}

// Keep removes the keys that another process does not have, which knows all up to a revision.
func (c *Catalog) Keep(now time.Time, keys []string, upTo revision.Revision) []Entry {
	has := make(map[string]bool, len(keys))
	for _, key := range keys {
		has[key] = true
	}
	return c.Merge(now, c.keep(has, upTo), revision.Revision{})
}

// keep returns the removals of all keys but some that have not changed since a revision.
func (c *Catalog) keep(keys map[string]bool, upTo revision.Revision) (gone []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floor, c.partial = revision.Max(c.floor, upTo), false
	for key, s := range c.slots {
		if !keys[key] && !s.Removed && !s.Revision.After(upTo) {
			gone = append(gone, Entry{Key: key, Revision: upTo, Removed: true})
		}
	}
	return gone
}

func (c *Catalog) signal(news bool) {
	if !news {
		return
	}
	c.version++
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *Catalog) forget(now time.Time) {
	for key, s := range c.slots {
		if s.Removed && now.Sub(s.since) > tombstoneLife {
			delete(c.slots, key)
		}
	}
}

// sinceMost bounds the entries of one answer of Since: some 50 kB.
const sinceMost = 256

// Since returns entries that changed in what matters after a revision, the
// oldest changes first and removals included, and the revision up to which they
// are all. Where removals before a listing are not known, keys are all that there are.
//
// A hundred processes start together and ask the one
// that reads the platform for thousands of entries each. It shows as a process
// that runs out of memory with copies of them. The guard holds because each
// answer is bounded and the next question goes on behind it.
func (c *Catalog) Since(after revision.Revision) (entries []Entry, upTo revision.Revision, keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []slot
	for _, s := range c.slots {
		if s.changed.After(after) && s.Revision.Era == c.read.Era {
			news = append(news, s)
		}
	}
	slices.SortFunc(news, func(a, b slot) int { return a.changed.Compare(b.changed) })
	upTo = c.read
	if len(news) > sinceMost {
		news = news[:cutAt(news, sinceMost)]
		upTo = news[len(news)-1].changed
	}
	for _, s := range news {
		entries = append(entries, s.Entry)
	}
	if c.floor.After(after) && !c.floor.After(upTo) {
		keys = c.keys()
	}
	return entries, upTo, keys
}

// Kept returns some of the entries whose values were written after those that the store has at
// the same revisions since it came back from a copy.
func (c *Catalog) Kept() (entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		if s.kept && len(entries) < sinceMost {
			entries = append(entries, s.Entry)
		}
	}
	return entries
}

// keys returns the keys of all entries; c.mu is held.
func (c *Catalog) keys() []string {
	keys := make([]string, 0, len(c.slots))
	for key, s := range c.slots {
		if !s.Removed {
			keys = append(keys, key)
		}
	}
	return keys
}

// cutAt returns how many of the news to hand on, about most: those of one
// revision, such as the keys that a listing lacked, stay together.
func cutAt(news []slot, most int) int {
	for most < len(news) && news[most].changed == news[most-1].changed {
		most++
	}
	return most
}

// Known is an entry with the time since which this process knows it.
type Known struct {
	Entry
	Since time.Time
	// Changed is the revision of the last change that matters.
	Changed revision.Revision
}

// All returns every entry, removals included. Entries that may only have
// lapsed are not yet removed, and those of a copy that were removed before are not yet back;
// until then is when that changes next, zero if there are none.
func (c *Catalog) All(now time.Time) (list []Known, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list = make([]Known, 0, len(c.slots))
	for _, s := range c.slots {
		k := Known{Entry: s.Entry, Since: s.since, Changed: s.changed}
		switch {
		case len(s.last) > 0 && now.Before(s.lapsedUntil):
			k.Value, k.Removed = s.last, false
			until = soonest(until, s.lapsedUntil)
		case now.Before(s.doubtUntil):
			k.Value, k.Removed = nil, true
			until = soonest(until, s.doubtUntil)
		}
		list = append(list, k)
	}
	return list, until
}

// soonest returns the earlier of two times, a zero one counting as none.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
