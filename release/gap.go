package release

import "time"

// maxSilence is how long neither the store nor another entry may be heard until what is known of
// the endpoints counts as out of date. It covers a slow read of the store.
const maxSilence = 2 * time.Second

// contact is when an entry last heard what others know of the endpoints.
//
// A store that is away for all entries is no gap: none of them learns what the others don't.
type contact struct {
	// heard is when the store or another entry was last heard, zero if no other entry ever was.
	heard time.Time
	// settledAt is when the endpoints are known again after a gap.
	settledAt time.Time
	// checked is when CheckContact was last called.
	checked time.Time
}

// HearEntry records that another entry was heard.
func (t *Tracker) HearEntry(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(now)
}

// HearStore records that the store was read. A single entry needs no contact: no other entry
// begins streams.
func (t *Tracker) HearStore(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.contact.heard.IsZero() {
		t.hear(now)
	}
}

// hear records a contact. The caller holds t.mu.
func (t *Tracker) hear(now time.Time) {
	if t.contact.silent(now) {
		t.checkContact(now)
	}
	t.contact.heard = now
}

// CheckContact is to be called often. While the endpoints are out of date, nothing is worked out
// of streams that may have begun before now, and the streams at this entry are told to others.
func (t *Tracker) CheckContact(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact.checked = now
	t.checkContact(now)
}

// checkContact implements CheckContact. The caller holds t.mu.
func (t *Tracker) checkContact(now time.Time) {
	c := &t.contact
	if c.silent(now) {
		c.settledAt = now.Add(viewLag)
	}
	if !c.outdated(now) {
		return
	}
	for name, s := range t.services {
		s.since = now
		t.tellAffected(now, name)
	}
}

// silent reports whether nothing has been heard for too long.
func (c *contact) silent(now time.Time) bool {
	return !c.heard.IsZero() && now.Sub(c.heard) > maxSilence
}

// outdated reports whether endpoints may have come or gone of which this entry has not heard.
func (c *contact) outdated(now time.Time) bool { return now.Before(c.settledAt) }
