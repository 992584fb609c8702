package release

import (
	"context"
	"time"

	"ebonypulley/rendezvous"
)

// MaxHeardWait is how long a new stream that may begin at another version than others work out waits
// until all have acknowledged that. An entry that is cut off is noticed later, and the caller should
// have its first event from the preferred version in time.
const MaxHeardWait = 400 * time.Millisecond

// Withheld is a stream whose version others no longer work out, once all have heard of it.
type Withheld struct {
	seq uint64
	by  time.Time
}

// acks is which of the withheld streams all other entries have heard of, by sequence number.
type acks struct {
	// newest is the last one that was withheld, heard the last one of which all have heard, and missed
	// the last one that was given up because they did not hear of it in time.
	newest, heard, missed uint64
	// changed is closed when heard rises.
	changed chan struct{}
	urgent  chan struct{}
}

func newAcks() acks { return acks{changed: make(chan struct{}), urgent: make(chan struct{}, 1)} }

// Withhold tells others that the version of a stream can't be worked out, before it begins at
// another one than they would work out. An entry that hears only this refuses to resume the stream,
// whether or not it then begins there; Begin tells the version.
func (t *Tracker) Withhold(now time.Time, name, request string) Withheld {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.contact.others {
		return Withheld{}
	}
	t.sweep(now)
	key := rendezvous.Hash(request)
	x := &stream{service: name, begun: now, own: true}
	t.streams[key] = x
	t.tell(now, key, x)
	t.acks.newest = t.latest
	select {
	case t.acks.urgent <- struct{}{}:
	default:
	}
	return Withheld{seq: t.latest, by: now.Add(MaxHeardWait)}
}

// AwaitHeard waits until all other entries have heard of a withheld stream. It returns false if they
// have not in time, or if ctx ends.
func (t *Tracker) AwaitHeard(ctx context.Context, w Withheld) bool {
	late := time.NewTimer(time.Until(w.by))
	defer late.Stop()
	for {
		changed, heard := t.heardOf(w)
		if heard {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-late.C:
			t.miss(w)
			return false
		}
	}
}

// heardOf reports whether all have heard of a withheld stream, and returns what is closed when they
// have heard more. One that others were told too much since to be told it was not heard.
func (t *Tracker) heardOf(w Withheld) (changed <-chan struct{}, heard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := w.seq == 0 || len(t.told) > 0 && t.told[0].seq <= w.seq
	return t.acks.changed, kept && w.seq <= t.acks.heard
}

// miss records that a withheld stream was given up. No other one is withheld until all have heard of it.
func (t *Tracker) miss(w Withheld) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acks.missed = max(t.acks.missed, w.seq)
}

// Urgent returns a channel that receives a value when a stream has been withheld.
func (t *Tracker) Urgent() <-chan struct{} { return t.acks.urgent }

// AwaitsHeard reports whether others have yet to acknowledge a withheld stream.
func (t *Tracker) AwaitsHeard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acks.heard < t.acks.newest
}

// SetHeard records the sequence number up to which all others have acknowledged what they were told.
func (t *Tracker) SetHeard(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := &t.acks; seq > a.heard {
		a.heard = seq
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// IsZero reports whether no other entry needs to hear of the stream.
func (w Withheld) IsZero() bool { return w.seq == 0 }

// NoteAlone records that this entry has heard no other one for so long that they may have forgotten
// it and no longer wait for its answer. Once it hears one again, they have yet to tell what they began.
func (t *Tracker) NoteAlone(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aloneUntil = now.Add(viewLag)
}

// isAlone reports whether others may have begun streams of which this entry has not heard. The caller
// holds t.mu.
func (t *Tracker) isAlone(now time.Time) bool { return t.contact.others && now.Before(t.aloneUntil) }

// mayHaveMissed reports whether a stream that began after a time may be at another version than is
// worked out. The caller holds t.mu.
func (t *Tracker) mayHaveMissed(now, after time.Time, name string) bool {
	if !t.isAlone(now) {
		return false
	}
	_, only := t.services[name].onlyVersion(after.Add(-viewLag))
	return !only
}
