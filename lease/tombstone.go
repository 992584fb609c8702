package lease

import (
	"time"

	"ebonypulley/wire"
)

// tombstones is a bounded set of IDs that must be refused. They expire in order
// of insertion.
//
// The first message of a request may arrive after its withdrawal, delayed on an
// old connection. Without a tombstone it would take memory that no one frees.
type tombstones struct {
	ttl     time.Duration
	max     int
	addedAt map[wire.ID]time.Time
	order   []wire.ID
}

func newTombstones(keep time.Duration, maxCount int) *tombstones {
	return &tombstones{ttl: keep, max: maxCount, addedAt: make(map[wire.ID]time.Time)}
}

func (s *tombstones) add(now time.Time, id wire.ID) {
	s.trim(now)
	if _, ok := s.addedAt[id]; ok {
		return
	}
	s.addedAt[id] = now
	s.order = append(s.order, id)
}

func (s *tombstones) has(now time.Time, id wire.ID) bool {
	at, ok := s.addedAt[id]
	return ok && now.Sub(at) < s.ttl
}

func (s *tombstones) trim(now time.Time) {
	n := 0
	for n < len(s.order) && (now.Sub(s.addedAt[s.order[n]]) >= s.ttl || len(s.order)-n >= s.max) {
		delete(s.addedAt, s.order[n])
		n++
	}
	s.order = s.order[n:]
}
