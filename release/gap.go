package release

import "time"

const (
	// maxGap is the longest time between two confirmations of the endpoints in which none can have
	// come and gone unseen: endpoints serve for longer than that.
	maxGap = 3 * time.Second
	// maxPause is how long this process may go without running until what waits in its connections
	// counts as unheard.
	maxPause = 200 * time.Millisecond
	// catchUpTime is within what time that has been heard, or its connection replaced.
	catchUpTime = 1500 * time.Millisecond
)

// contact is up to when an entry knows what others know.
type contact struct {
	// others says that other entries are expected. A single entry needs no contact: nobody else
	// begins streams.
	others bool
	// current is when the endpoints were known to be complete last: a question that was sent then
	// has been answered, and its answer is set.
	current time.Time
	// heardAll is when all other entries were sent a question that each has answered.
	heardAll time.Time
	// checked is when this process ran last, woke when it last did so after a pause. behindSince is
	// when it first did since it had heard all others.
	checked, woke, behindSince time.Time
	// settledAt is when others have told what they did during a gap.
	settledAt time.Time
}

// ExpectOthers records that other entries may begin streams.
func (t *Tracker) ExpectOthers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact.others = true
}

// Confirm records that all changes of the endpoints up to a time are set.
func (t *Tracker) Confirm(now, upTo time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkContact(now)
	if upTo.After(t.contact.current) {
		t.contact.current = upTo
	}
}

// Current returns up to when all changes of the endpoints are set.
func (t *Tracker) Current() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contact.current
}

// HeardAll records that each other entry has answered a question that was sent at a time or later.
func (t *Tracker) HeardAll(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.contact
	if c.heardAll = at; !at.Before(c.woke) {
		c.behindSince = time.Time{}
	}
}

// Await records that a request waits until this entry is in step, until end is called.
func (t *Tracker) Await() (end func()) {
	t.awaited.Add(1)
	return func() { t.awaited.Add(-1) }
}

// Awaited reports whether a request waits until this entry is in step.
func (t *Tracker) Awaited() bool { return t.awaited.Load() > 0 }

// CheckContact is to be called often. While the endpoints are out of date, nothing is worked out
// of streams that may have begun before now, and the streams at this entry are told to others.
func (t *Tracker) CheckContact(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkContact(now)
}

// checkContact implements CheckContact. The caller holds t.mu.
func (t *Tracker) checkContact(now time.Time) {
	c := &t.contact
	c.noteRunning(now)
	if !c.current.IsZero() && !c.confirmedWithin(now, maxGap) {
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

// noteRunning records that this process runs.
func (c *contact) noteRunning(now time.Time) {
	if !c.checked.IsZero() && now.Sub(c.checked) > maxPause {
		c.woke = now
		if c.behindSince.IsZero() {
			c.behindSince = now
		}
	}
	c.checked = now
}

// inStep reports whether all is known that others knew at a time: the endpoints, and what waited in
// connections while this process didn't run.
func (c *contact) inStep(now, at time.Time) bool {
	c.noteRunning(now)
	caughtUp := !c.heardAll.Before(c.woke) || now.Sub(c.behindSince) > catchUpTime
	return !c.others || caughtUp && !c.current.Before(at)
}

// confirmedWithin reports whether the endpoints have been confirmed within a time.
func (c *contact) confirmedWithin(now time.Time, d time.Duration) bool {
	return !c.others || now.Sub(c.current) <= d
}

// outdated reports whether endpoints may have come and gone of which this entry has not heard.
func (c *contact) outdated(now time.Time) bool { return now.Before(c.settledAt) }
