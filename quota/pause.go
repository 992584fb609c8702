package quota

import (
	"time"

	"ebonypulley"
)

const (
	// maxRoundGap is the longest gap between two rounds of reports that is no pause: several
	// times the time between them.
	maxRoundGap = 250 * time.Millisecond
	// catchUpTime is how long after a pause messages are read that have waited in a socket, and
	// until the others have been heard again.
	catchUpTime = time.Second
)

// pauses knows how long the process stood still lately. The zero value knows of no pause.
type pauses struct {
	// detector is nil before the first round of reports.
	detector *ebonypulley.PauseDetector
	last     time.Duration
	wokeAt   time.Time
}

// beginRound records that the process, which reports in regular rounds, runs.
func (p *pauses) beginRound(now time.Time) {
	if p.detector == nil {
		p.detector = ebonypulley.NewPauseDetector(maxRoundGap)
	}
	p.before(now)
}

// before returns how long a pause lasted that has just ended, zero without one. What is read now
// may have waited in a socket so long. Of two pauses within catchUpTime it is the longer one.
func (p *pauses) before(now time.Time) time.Duration {
	if p.detector == nil {
		return 0
	}
	gap := p.detector.Tick(now)
	ended := now.Sub(p.wokeAt) >= catchUpTime
	if gap > 0 {
		p.wokeAt = now
	}
	if ended || gap > p.last {
		p.last = gap
	}
	return p.last
}

// span is the time within which something was true.
type span struct {
	first, last time.Time
}

// before returns the span that lies earlier by a duration.
func (s span) before(d time.Duration) span { return span{s.first.Add(-d), s.last.Add(-d)} }

// readAt returns when what is read now was sent: it may have waited in a socket since the beginning
// of a pause. The caller holds l.mu.
func (l *Ledger) readAt(now time.Time) span { return span{now.Add(-l.pauses.before(now)), now} }
