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
	// Age is how long the sender has known the endpoints.
	Age     time.Duration
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

// History returns what this entry knows of the services that have, or lately had, endpoints of
// several versions.
func (t *Tracker) History(now time.Time) []History {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []History
	for name, s := range t.services {
		if _, single := s.onlyVersion(); single {
			continue
		}
		h := History{Service: name, Age: now.Sub(s.since)}
		for _, m := range s.members {
			c := Change{Endpoint: m.hash, Version: m.version, Added: age(now, m.added), Removed: age(now, m.removed)}
			if c.recent() {
				h.Changes = append(h.Changes, c)
			}
		}
		list = append(list, h)
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

// MergeHistory merges what another entry knows.
func (t *Tracker) MergeHistory(now time.Time, list []History) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		s := t.services[h.Service]
		if s == nil {
			s = &service{since: now}
			t.services[h.Service] = s
		}
		for _, c := range h.Changes {
			s.merge(now, c)
		}
		if since := now.Add(-min(h.Age, historyTime)); since.Before(s.since) && !t.contact.outdated(now) {
			s.since = since
		}
	}
}

// merge merges a change that this entry has not seen itself. An endpoint that was removed may be
// published again.
func (s *service) merge(now time.Time, c Change) {
	m := s.member(c.Endpoint, c.Removed >= 0)
	if m == nil {
		if c.Removed < 0 && s.listed {
			return // it was removed since
		}
		m = &member{hash: c.Endpoint, version: c.Version}
		s.members = append(s.members, m)
		if c.Removed >= 0 {
			m.removed = now.Add(-c.Removed)
		}
	}
	if c.Added >= 0 && m.added.IsZero() {
		m.added = now.Add(-c.Added)
	}
}

// member returns the endpoint with an ID's hash that was removed, or is published; nil if there
// is none.
func (s *service) member(hash uint64, removed bool) *member {
	for _, m := range s.members {
		if m.hash == hash && m.removed.IsZero() != removed {
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
