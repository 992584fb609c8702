package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// hearWait is how long an entry that starts waits to hear of another one that reads the
	// platform for it, and tellWait for what that one knows, before it lists all itself.
	hearWait = 600 * time.Millisecond
	tellWait = time.Second
)

// sourcePatience is how long an entry that is asked may bring nothing new
// before the next one is asked: some rounds of askInterval, and several times
// what one answer of answerBytes takes on a link of 10 Mbit/s that others use.
const sourcePatience = 400 * time.Millisecond

// Candidate is an entry that may know more than this one.
type Candidate struct {
	Addr string
	// Near says that it is in the same data centre.
	Near bool
	// Link is the capacity of its link in Mbit/s.
	Link float64
	// Ahead says that its catalog is known to be newer.
	Ahead bool
}

// Source chooses the one entry that is asked for what is published. It does no
// I/O and is not safe for concurrent use.
//
// An entry that is behind asks all others at once, and
// the copies of one large answer fill its link, so that none arrives in time and
// it stays behind. It shows as a configuration that is not in force and as late
// answers of everything else on that link. The guard holds because there is one
// question at a time, however long the entry is behind.
type Source struct {
	addr string
	// progress is when addr was chosen or last brought something.
	progress time.Time
	tried    map[string]time.Time
}

// Choose returns the entry to ask now, empty for none: the reader unless this
// entry is behind all the same, then one candidate after the other, those ahead
// and those not tried lately first, near ones before far ones and wide links before narrow ones.
func (s *Source) Choose(now time.Time, reader string, behind bool, candidates func() []Candidate) string {
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
	if s.addr != "" && now.Sub(s.progress) <= sourcePatience && !better(best, s.addr, list) {
		return s.addr
	}
	if s.tried == nil {
		s.tried = make(map[string]time.Time)
	}
	s.addr, s.progress = best.Addr, now
	s.tried[best.Addr] = now
	return s.addr
}

// better reports whether a candidate is ahead and the one asked now is not, which
// has nothing to bring then.
func better(best Candidate, asked string, list []Candidate) bool {
	return best.Ahead && !slices.ContainsFunc(list, func(c Candidate) bool { return c.Addr == asked && c.Ahead })
}

// compare orders candidates, the one to ask first as the least.
func (s *Source) compare(a, b Candidate) int {
	if a.Ahead != b.Ahead {
		if a.Ahead {
			return -1
		}
		return 1
	}
	if tried := s.tried[a.Addr].Compare(s.tried[b.Addr]); tried != 0 || a.Near == b.Near {
		return cmp.Or(tried, cmp.Compare(b.Link, a.Link), cmp.Compare(a.Addr, b.Addr))
	}
	if a.Near {
		return -1
	}
	return 1
}

// Progress records that an entry brought something new.
func (s *Source) Progress(now time.Time, addr string) {
	if addr == s.addr {
		s.progress = now
	}
}

// expects reports whether an entry that has waited for some time since it began to list is still
// to wait for others; reads says that nobody is known to read for it.
func expects(waited time.Duration, reads bool) bool {
	return waited < hearWait || waited < tellWait && !reads
}
