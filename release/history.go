package release

import (
	"time"

	"ebonypulley/rendezvous"
)

// historyTime is how far back entries tell each other of changes of the endpoints. Of streams
// that began before it, an entry that has started may not know the version.
const historyTime = time.Minute

// History is what an entry knows of the versions of a service, for an entry that has started.
type History struct {
	Service string
	// Age is how long the sender has known the endpoints, at most historyTime.
	Age time.Duration
	// Published is the digest of the published endpoints; see service.digest.
	Published uint64
	// Changes are empty if all endpoints have one version.
	Changes []Change
}

// Change is an endpoint that was added or removed lately.
type Change struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	Version  string
	// Added and Removed are how long ago it was added and removed, negative if it was not.
	Added, Removed time.Duration
}

// History returns what this entry knows of the services that have engines.
func (t *Tracker) History(now time.Time) []History {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]History, 0, len(t.services))
	for name, s := range t.services {
		h := History{Service: name, Age: min(now.Sub(s.since), historyTime), Published: s.digest()}
		if _, single := s.onlyVersion(s.since); !single {
			h.Changes = s.recentChanges(now)
		}
		list = append(list, h)
	}
	return list
}

// recentChanges returns the changes within historyTime.
func (s *service) recentChanges(now time.Time) (list []Change) {
	for _, m := range s.members {
		c := Change{Endpoint: m.hash, Version: m.version, Added: age(now, m.added), Removed: age(now, m.removed)}
		if c.recent() {
			list = append(list, c)
		}
	}
	return list
}

// age returns how long ago something happened, negative if it did not.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

func (c Change) recent() bool {
	return c.Added >= 0 && c.Added <= historyTime || c.Removed >= 0 && c.Removed <= historyTime
}

// digest returns a digest of the published endpoints and their versions.
func (s *service) digest() (sum uint64) {
	for _, m := range s.members {
		if m.removed.IsZero() {
			sum ^= rendezvous.Score(m.hash, rendezvous.Hash(m.version))
		}
	}
	return sum
}

const (
	// pendingTime is how long a history that does not fit yet is kept, maxPending how many are.
	pendingTime = 5 * time.Second
	maxPending  = 8
)

// pendingHistory is a history that another entry sent at a time.
type pendingHistory struct {
	History
	at time.Time
}

// MergeHistory merges what another entry knows, once this entry lists the same endpoints: those
// that the other one has not seen may have been published just now.
func (t *Tracker) MergeHistory(now time.Time, list []History) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		s := t.services[h.Service]
		if s == nil {
			s = &service{since: now}
			t.services[h.Service] = s
		}
		s.pending = append(s.pending, pendingHistory{h, now})
		s.pending = s.pending[max(0, len(s.pending)-maxPending):]
		t.mergePending(now, s)
	}
}

// mergePending merges the histories of entries that saw the endpoints that are published now. The
// caller holds t.mu.
func (t *Tracker) mergePending(now time.Time, s *service) {
	if !s.listed || len(s.pending) == 0 || t.contact.outdated(now) {
		return
	}
	published := s.digest()
	kept := s.pending[:0]
	for _, h := range s.pending {
		switch {
		case h.Published == published:
			s.mergeHistory(h)
		case now.Sub(h.at) <= pendingTime:
			kept = append(kept, h)
		}
	}
	s.pending = kept
}

func (s *service) mergeHistory(h pendingHistory) {
	for _, c := range h.Changes {
		s.merge(h.at, c)
	}
	if since := h.at.Add(-min(max(h.Age, 0), historyTime)); since.Before(s.since) {
		s.since = since
	}
}

// merge merges a change that this entry has not seen itself. An endpoint that was removed may be
// published again.
func (s *service) merge(now time.Time, c Change) {
	m := s.member(c.Endpoint, c.Version, c.Removed >= 0)
	if m == nil {
		if c.Removed < 0 {
			return // it was removed since
		}
		m = &member{hash: c.Endpoint, version: c.Version, removed: now.Add(-c.Removed)}
		s.members = append(s.members, m)
	}
	if c.Added >= 0 && m.added.IsZero() {
		m.added = now.Add(-c.Added)
	}
}

// member returns the endpoint with an ID's hash and a version that was removed, or is published;
// nil if there is none.
func (s *service) member(hash uint64, version string, removed bool) *member {
	for _, m := range s.members {
		if m.hash == hash && m.version == version && m.removed.IsZero() != removed {
			return m
		}
	}
	return nil
}

// hashes returns the versions of endpoints by the hash of their IDs.
func hashes(list []Endpoint) map[uint64]string {
	published := make(map[uint64]string, len(list))
	for _, e := range list {
		published[rendezvous.Hash(e.ID)] = e.Version
	}
	return published
}
