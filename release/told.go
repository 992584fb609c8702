package release

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTold bounds the exceptions and prompts that are remembered to be told to others.
	maxTold = 1 << 11
	// toldRetention is how long they are told to entries that have not heard of them.
	toldRetention = time.Minute
	// maxRelayed bounds the exceptions of all entries that are told to one that has started.
	maxRelayed = 128
)

// Update tells the version of a stream whose version others can't work out.
type Update struct {
	// Request is the hash of the ID of the request that began the stream, or if Prompt is set
	// the promptKey of its prompt.
	Request uint64
	Version string
	// Prompt says that engines of the version had the prompt in their cache.
	Prompt bool
}

// toldStream is an Update with its sequence number.
type toldStream struct {
	Update
	seq uint64
	at  time.Time
}

// tell adds a stream to the exceptions. The caller holds t.mu.
func (t *Tracker) tell(now time.Time, key uint64, x *stream) {
	x.told = true
	t.tellUpdate(now, Update{Request: key, Version: x.version})
}

// tellUpdate adds what is told to others. The caller holds t.mu.
func (t *Tracker) tellUpdate(now time.Time, u Update) {
	t.latest++
	t.told = append(t.told, toldStream{Update: u, seq: t.latest, at: now})
	if len(t.told) > maxTold {
		t.told = t.told[len(t.told)-maxTold:]
	}
}

// tellAffected tells the streams of this entry whose version can no longer be worked out after a
// change of the endpoints, also those that have just broken off. The caller holds t.mu.
func (t *Tracker) tellAffected(now time.Time, name string) {
	for key, x := range t.streams {
		ended := !x.own && now.Sub(x.begun) > toldRetention
		if ended || x.told || x.service != name {
			continue
		}
		if found, ok := t.compute(x.after, name, key); !ok || found != x.version {
			t.tell(now, key, x)
		}
	}
}

// SetReachesAll sets whether all other entries hear of this one's exceptions.
func (t *Tracker) SetReachesAll(all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreached = !all
}

// MayDiffer reports whether a new stream may begin at another version than the preferred one. If
// some entries don't hear of it, they would resume it at the preferred one. See also Withhold.
func (t *Tracker) MayDiffer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unreached && t.acks.missed <= t.acks.heard
}

// forgetTold forgets old exceptions. The caller holds t.mu.
func (t *Tracker) forgetTold(now time.Time) {
	for len(t.told) > 0 && now.Sub(t.told[0].at) > toldRetention {
		t.told = t.told[1:]
	}
}

// LatestSeq returns the sequence number of the last exception.
func (t *Tracker) LatestSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// Updates returns the exceptions after a sequence number, and the number up to which they are
// complete.
func (t *Tracker) Updates(now time.Time, after uint64) (list []Update, upTo uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetTold(now)
	for _, x := range t.told {
		if x.seq > after {
			list = append(list, x.Update)
		}
	}
	return list, t.latest
}

// Exceptions returns the latest exceptions of all entries and what engines were found to have
// cached, for an entry that has started: what entries that have died since told can be heard only
// from others.
func (t *Tracker) Exceptions(now time.Time) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []toldStream
	for key, x := range t.streams {
		if x.told && now.Sub(x.begun) <= toldRetention {
			list = append(list, toldStream{Update: Update{Request: key, Version: x.version}, at: x.begun})
		}
	}
	slices.SortFunc(list, func(a, b toldStream) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Request, b.Request)) })
	updates := t.cachedPrompts(now)
	for _, x := range list[:min(len(list), maxRelayed)] {
		updates = append(updates, x.Update)
	}
	return updates
}

// Merge merges what another entry told. Of a stream that runs here this entry knows more.
func (t *Tracker) Merge(now time.Time, list []Update) {
	t.merge(now, list, func(u Update, _ *stream) string { return u.Version })
}

// MergeRelayed merges what another entry has heard, which may be older than what this one knows: a
// stream of which they differ is at no version that can be told. That it was withheld says less than a
// version does; of a recovered stream, it says that engines of several versions ran it.
func (t *Tracker) MergeRelayed(now time.Time, list []Update) {
	t.merge(now, list, func(u Update, known *stream) string {
		switch {
		case known == nil || known.version == u.Version:
			return u.Version
		case u.Version == "" && !known.recovered:
			return known.version
		}
		return ""
	})
}

// merge merges updates; version returns that of a stream that may be known.
func (t *Tracker) merge(now time.Time, list []Update, version func(u Update, known *stream) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, u := range list {
		if u.Prompt {
			t.addPrompt(now, u)
			continue
		}
		x := t.streams[u.Request]
		if x != nil && x.own {
			continue
		}
		t.streams[u.Request] = &stream{version: version(u, x), begun: now, told: true}
	}
}
