// Package release decides at which software version a stream goes on while endpoints of several
// versions serve a service side by side. What two versions write doesn't fit together.
//
// Every entry can work out the version of most streams from the ID of the request that began
// them and the published endpoints: it is that of the endpoint that ranks first for the ID. The
// exceptions are told to other entries: streams that found no room at that version, and those
// whose first endpoint has changed since. After a restart of all entries, what engines still run
// or keep tells where streams began. An entry that can't tell the version says so. The package
// does no I/O.
package release

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/rendezvous"
)

const (
	// viewLag is how much later than another entry one may begin streams by a change of the
	// endpoints. One whose endpoints have not been confirmed for so long tells all that it begins.
	viewLag = 2500 * time.Millisecond
	// retention is how long removed endpoints and streams are remembered.
	retention = 5 * time.Minute
	// sweepInterval is the pause between two searches for what is to be forgotten.
	sweepInterval = 5 * time.Second
	// maxStreams bounds the streams that are remembered, keptStreams is how many are kept of too many.
	maxStreams  = 1 << 14
	keptStreams = maxStreams * 3 / 4
)

// Endpoint is a published endpoint that can write streams.
type Endpoint struct {
	ID      string
	Version string
}

// Tracker holds what an entry knows of versions. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*service
	// streams holds streams by the hash of the ID of the request that began them.
	streams map[uint64]*stream
	// prompts holds prompts that engines had cached, by promptKey.
	prompts map[uint64]*prompt
	swept   time.Time
	// displaced is when the latest of the exceptions began, or was told, that were forgotten because
	// there were too many.
	displaced time.Time
	// told holds what this entry tells others in the order of the sequence numbers; latest is
	// the last number.
	told   []toldStream
	latest uint64
	// toldPrompts counts the prompts among all that this entry has told.
	toldPrompts int
	// unreached says that not all entries hear of exceptions.
	unreached bool
	// aloneUntil is until when others may have begun streams without this entry having heard of them.
	aloneUntil time.Time
	acks       acks
	contact    contact
	late       late
	// awaited counts the requests that wait until this entry is in step.
	awaited atomic.Int32
}

// service holds the endpoints of a service.
type service struct {
	// since is from when on all changes are known; listed says that the endpoints
	// were set.
	since   time.Time
	listed  bool
	members []*member
	// pending holds histories of entries that saw other endpoints than those published here.
	pending []pendingHistory
}

// member is one endpoint, published from added to removed. A zero time means before since, or
// that it is published still.
type member struct {
	hash           uint64
	version        string
	added, removed time.Time
}

// stream is a stream that began at an entry. own says that it runs at this one.
type stream struct {
	service string
	// version is empty if engines of several versions ran it.
	version string
	begun   time.Time
	// after is when others assume that it began at the earliest.
	after time.Time
	own   bool
	told  bool
	// recovered says that an engine ran it when all entries had been restarted.
	recovered bool
}

// source returns how the version became known.
func (x *stream) source() Source {
	if x.recovered {
		return Asked
	}
	return Told
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{services: make(map[string]*service), streams: make(map[uint64]*stream), prompts: make(map[uint64]*prompt), acks: newAcks()}
}

// SetEndpoints sets the published endpoints of a service.
func (t *Tracker) SetEndpoints(now time.Time, name string, list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	switch {
	case s == nil && len(list) == 0:
		return
	case s == nil:
		s = &service{since: now}
		t.services[name] = s
	}
	changed := s.update(now, list)
	t.mergePending(now, s)
	if changed {
		t.tellAffected(now, name)
	}
}

// update applies a list of endpoints. It reports whether any has changed.
func (s *service) update(now time.Time, list []Endpoint) (changed bool) {
	added := now
	if !s.listed {
		added, s.listed = time.Time{}, true
	}
	published := hashes(list)
	kept := s.members[:0]
	for _, m := range s.members {
		if version, ok := published[m.hash]; m.removed.IsZero() && ok && version == m.version {
			delete(published, m.hash)
		} else if m.removed.IsZero() {
			m.removed, changed = now, true
		}
		if m.removed.IsZero() || now.Sub(m.removed) <= retention {
			kept = append(kept, m)
		} else if m.removed.After(s.since) {
			s.since = m.removed
		}
	}
	s.members = kept
	for hash, version := range published {
		s.members = append(s.members, &member{hash: hash, version: version, added: added})
		changed = true
	}
	return changed
}

// Preferred returns the version at which a new stream should begin, empty for any.
func (t *Tracker) Preferred(name, request string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return ""
	}
	key := rendezvous.Hash(request)
	var first *member
	var lowest uint64
	several := false
	for _, m := range s.members {
		if !m.removed.IsZero() {
			continue
		}
		several = several || first != nil && first.version != m.version
		if score := rendezvous.Score(key, m.hash); first == nil || score < lowest {
			first, lowest = m, score
		}
	}
	if !several {
		return ""
	}
	return first.version
}

// Begin records that a stream begins at this entry, at a version. request is the ID of the
// request that brings, or brought, its first event; others assume that it began after a time.
func (t *Tracker) Begin(now, after time.Time, name, request, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	key := rendezvous.Hash(request)
	before, x := t.streams[key], &stream{service: name, version: version, begun: now, after: after, own: true}
	t.streams[key] = x
	moved := before != nil && before.version != version
	t.contact.noteRunning(now)
	if found, ok := t.compute(after, name, key); moved || !ok || found != version || !t.contact.confirmedWithin(now, viewLag) || t.isAlone(now) {
		t.tell(now, key, x)
	}
}

// End records that a stream no longer runs at this entry.
func (t *Tracker) End(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.streams[rendezvous.Hash(request)]; x != nil {
		x.own = false
	}
}

// Find returns the version of a stream.
func (t *Tracker) Find(now time.Time, q Query) Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := Finding{Source: Unknown, Current: t.contact.current, Checked: t.contact.checked}
	if s := t.services[q.Service]; s != nil {
		f.Since = s.since
	}
	if x := t.streams[rendezvous.Hash(q.Request)]; x != nil && q.Request != "" {
		if x.version != "" {
			f.Version, f.Source = x.version, x.source()
		}
		return f
	}
	if f.Behind = !t.contact.inStep(now, q.Before); f.Behind {
		return f
	}
	if q.Request != "" && !t.displaced.IsZero() && !q.After.After(t.displaced) {
		return f // it may be an exception that was forgotten
	}
	if version, ok := t.find(q.After, q.Service, q.Request); ok && !t.mayHaveMissed(now, q.After, q.Service) {
		f.Version, f.Source = version, Computed
		return f
	}
	if version, ok := t.promptVersion(q.After, q.Service, q.Session); ok {
		f.Version, f.Source = version, Cached
	}
	return f
}

// find works out the version of a stream that began after a time. The caller holds t.mu.
func (t *Tracker) find(after time.Time, name, request string) (version string, ok bool) {
	if request != "" {
		return t.compute(after, name, rendezvous.Hash(request))
	}
	s := t.services[name]
	return s.onlyVersion(t.reach(after, s).Add(-viewLag))
}

// knows reports whether all endpoints are known that were published after a time.
func (s *service) knows(after time.Time) bool {
	return s != nil && !s.since.After(after)
}

// onlyVersion returns the version of all endpoints that were published after a time. It returns
// false if there were several versions, or if not all of these endpoints are known.
func (s *service) onlyVersion(after time.Time) (version string, ok bool) {
	if !s.knows(after) {
		return "", false
	}
	for _, m := range s.members {
		if !m.publishedAfter(after) {
			continue
		}
		if ok && m.version != version {
			return "", false
		}
		version, ok = m.version, true
	}
	return version, ok
}

// compute works out the version at which a stream began that began after a time, unless that
// depends on when, or on endpoints that were removed before this entry knew them. The caller
// holds t.mu.
func (t *Tracker) compute(after time.Time, name string, key uint64) (version string, ok bool) {
	s := t.services[name]
	after = t.reach(after, s).Add(-viewLag)
	if !s.knows(after) {
		return "", false
	}
	stable, lowest := s.firstStable(after, key)
	if stable == nil {
		return s.onlyVersion(after)
	}
	for _, m := range s.members {
		if m.publishedAfter(after) && m.version != stable.version && rendezvous.Score(key, m.hash) < lowest {
			return "", false
		}
	}
	return stable.version, true
}

// firstStable returns the first endpoint for a key, and its score, of those that have been
// published ever since a time.
func (s *service) firstStable(after time.Time, key uint64) (first *member, lowest uint64) {
	for _, m := range s.members {
		if !m.removed.IsZero() || m.added.After(after) {
			continue
		}
		if score := rendezvous.Score(key, m.hash); first == nil || score < lowest {
			first, lowest = m, score
		}
	}
	return first, lowest
}

// publishedAfter reports whether an endpoint was published at any moment after a time.
func (m *member) publishedAfter(after time.Time) bool {
	return m.removed.IsZero() || m.removed.After(after)
}

// sweep forgets old streams. Of too many, those are forgotten first whose version can be worked
// out, then the oldest. The caller holds t.mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval && len(t.streams) < maxStreams {
		return
	}
	t.swept = now
	t.forgetTold(now)
	t.forgetPrompts(now)
	t.forget(func(x *stream) bool { return now.Sub(x.begun) > retention })
	if len(t.streams) >= maxStreams {
		t.forget(func(x *stream) bool { return !x.told })
	}
	if len(t.streams) >= maxStreams {
		t.forgetOldest(len(t.streams) - keptStreams)
	}
}

// forgetOldest forgets the n oldest exceptions. The caller holds t.mu.
func (t *Tracker) forgetOldest(n int) {
	var begun []time.Time
	for _, x := range t.streams {
		if !x.own {
			begun = append(begun, x.begun)
		}
	}
	n = min(n, len(begun))
	if n == 0 {
		return
	}
	slices.SortFunc(begun, time.Time.Compare)
	last := begun[n-1]
	if last.After(t.displaced) {
		t.displaced = last
	}
	t.forget(func(x *stream) bool {
		if n == 0 || x.begun.After(last) {
			return false
		}
		n--
		return true
	})
}

// forget forgets the streams, other than those that run at this entry, for which old reports true.
func (t *Tracker) forget(old func(*stream) bool) {
	maps.DeleteFunc(t.streams, func(_ uint64, x *stream) bool { return !x.own && old(x) })
}
