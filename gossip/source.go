package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readerDiscoveryWait is how long an entry that starts waits until it hears of another
	// one that reads the store for it, and readerAnswerWait how long it waits for that one's
	// published entries, before it lists the store itself.
	readerDiscoveryWait = 600 * time.Millisecond
	readerAnswerWait    = time.Second
)

// sourceTimeout is how long the asked entry may send nothing new before the next one is
// asked: a few times askInterval, and several times as long as one answer of maxPartsBytes
// takes on a 10 Mbit/s link that is used for other things too.
const sourceTimeout = 400 * time.Millisecond

// Candidate is an entry that may have newer published entries.
type Candidate struct {
	Addr string
	// SameDataCentre says that it is in the same data centre as this entry.
	SameDataCentre bool
	// LinkMbps is the capacity of its link.
	LinkMbps float64
	// Ahead says that its catalog is known to be newer.
	Ahead bool
}

// SourceSelector chooses the one entry to ask for published entries. It does no I/O and is
// not safe for concurrent use.
//
// Only one entry is asked at a time, however long this one is behind. If all were asked at
// once, the copies of one large answer would fill the link: none would arrive in time, the
// configuration would not be applied, and all other traffic on that link would be late.
type SourceSelector struct {
	addr string
	// progress is when addr was chosen or last sent something new.
	progress time.Time
	tried    map[string]time.Time
}

// Choose returns the entry to ask now, empty for none: the reader, or if this entry is behind
// nevertheless, one candidate after another. Candidates that are ahead come first, then those
// not tried lately, those in the same data centre, and those with a wider link.
func (s *SourceSelector) Choose(now time.Time, reader string, behind bool, candidates func() []Candidate) string {
	if !behind {
		s.addr = ""
		s.tried = nil
		return reader
	}
	list := candidates()
	if len(list) == 0 {
		return ""
	}
	best := slices.MinFunc(list, s.compare)
	if s.addr != "" && now.Sub(s.progress) <= sourceTimeout && !worthSwitching(best, s.addr, list) {
		return s.addr
	}
	if s.tried == nil {
		s.tried = make(map[string]time.Time)
	}
	s.addr, s.progress = best.Addr, now
	s.tried[best.Addr] = now
	return s.addr
}

// worthSwitching reports whether a candidate is ahead and the entry asked now is not, which
// then has nothing new to send.
func worthSwitching(best Candidate, asked string, list []Candidate) bool {
	return best.Ahead && !slices.ContainsFunc(list, func(c Candidate) bool { return c.Addr == asked && c.Ahead })
}

// compare orders candidates, the one to ask first as the smallest.
func (s *SourceSelector) compare(a, b Candidate) int {
	if a.Ahead != b.Ahead {
		if a.Ahead {
			return -1
		}
		return 1
	}
	if tried := s.tried[a.Addr].Compare(s.tried[b.Addr]); tried != 0 || a.SameDataCentre == b.SameDataCentre {
		return cmp.Or(tried, cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Addr, b.Addr))
	}
	if a.SameDataCentre {
		return -1
	}
	return 1
}

// RecordProgress records that an entry sent something new.
func (s *SourceSelector) RecordProgress(now time.Time, addr string) {
	if addr == s.addr {
		s.progress = now
	}
}

// shouldWait reports whether an entry that began to wait some time ago is still to wait for
// others before it lists the store; reads says that it knows of no other entry that reads the
// store for it.
func shouldWait(waited time.Duration, reads bool) bool {
	return waited < readerDiscoveryWait || waited < readerAnswerWait && !reads
}
