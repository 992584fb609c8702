// Package catalog holds what the platform publishes as versioned entries. It
// is a state machine without I/O: entries read from the store and entries
// heard from other processes are merged in any order and any repetition with
// the same result, and no entry ever goes back to an older revision.
package catalog

import (
	"sync"
	"time"
)

// Entry is one published value, or the fact that it was removed.
type Entry struct {
	Key string
	// Value is opaque here.
	Value []byte
	// Revision is the store's counter at the last change of the key.
	Revision uint64
	// Removed says that the key is gone since Revision.
	Removed bool
}

// tombstoneLife is how long the removal of a key is remembered, so that a
// process that lags behind can't bring it back. It exceeds every bound on how
// long a process may be cut off and still count.
const tombstoneLife = 60 * time.Second

type slot struct {
	Entry
	since time.Time // when this process learned of it
	// changed is the revision of the last change that matters.
	changed uint64
}

// Catalog is the merged state. It is safe for concurrent use.
type Catalog struct {
	// Same, if set before use, reports whether two values of a key differ in
	// nothing that matters, such as the counter of a heartbeat. Such a change
	// is no news and is not handed on: heartbeats of thousands of endpoints
	// would fill every process's share of the network.
	Same func(a, b []byte) bool

	mu      sync.Mutex
	slots   map[string]slot
	read    uint64 // the store's revision up to which all is here
	version uint64
	changed chan struct{}
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{slots: make(map[string]slot), changed: make(chan struct{}, 1)}
}

// Changed receives after one or more changes.
func (c *Catalog) Changed() <-chan struct{} { return c.changed }

// Revision returns the store's revision up to which everything is known.
func (c *Catalog) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// Merge adds entries that bring the catalog up to the store's revision upTo.
// It returns those that were news and matter.
func (c *Catalog) Merge(now time.Time, entries []Entry, upTo uint64) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []Entry
	for _, e := range entries {
		if old, ok := c.slots[e.Key]; ok && old.Revision >= e.Revision {
			continue
		}
		if changed, since, same := c.unchanged(e); same {
			c.slots[e.Key] = slot{Entry: e, since: since, changed: changed}
			continue
		}
		c.slots[e.Key] = slot{Entry: e, since: now, changed: e.Revision}
		news = append(news, e)
	}
	c.read = max(c.read, upTo)
	c.forget(now)
	c.signal(len(news) > 0)
	return news
}

// unchanged reports whether an entry brings nothing that matters, with the
// former change; c.mu is held.
func (c *Catalog) unchanged(e Entry) (changed uint64, since time.Time, same bool) {
	old, ok := c.slots[e.Key]
	if !ok || c.Same == nil || old.Removed || e.Removed || !c.Same(old.Value, e.Value) {
		return 0, time.Time{}, false
	}
	return old.changed, old.since, true
}

// Replace merges a full listing taken at revision upTo: keys that it lacks and
// that have not changed since are gone.
func (c *Catalog) Replace(now time.Time, entries []Entry, upTo uint64) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	c.mu.Lock()
	gone := make([]Entry, 0)
	for key, s := range c.slots {
		if !listed[key] && !s.Removed && s.Revision <= upTo {
			gone = append(gone, Entry{Key: key, Revision: upTo, Removed: true})
		}
	}
	c.mu.Unlock()
	return c.Merge(now, append(gone, entries...), upTo)
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

// Since returns the entries that changed in what matters after a revision, removals included, and
// the revision up to which all is known.
func (c *Catalog) Since(revision uint64) (entries []Entry, upTo uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		if s.changed > revision {
			entries = append(entries, s.Entry)
		}
	}
	return entries, c.read
}

// Known is an entry with the time since which this process knows it.
type Known struct {
	Entry
	Since time.Time
}

// All returns every entry, removals included.
func (c *Catalog) All() []Known {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Known, 0, len(c.slots))
	for _, s := range c.slots {
		list = append(list, Known{Entry: s.Entry, Since: s.since})
	}
	return list
}
