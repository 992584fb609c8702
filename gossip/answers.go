package gossip

import (
	"time"

	"ebonypulley/wire"
)

// An answer tells what its sender knew at some moment after the report was sent, however long either
// waited on the way. So all that follows from it is dated by when the report was sent.

// sentAt returns Report.Sent for a report that is sent now.
func (n *Node) sentAt(now time.Time) time.Duration { return now.Sub(n.started) + 1 }

// recordAnswer records that an entry has answered a report, after its published entries were merged.
func (n *Node) recordAnswer(l *link, m *wire.Reply) {
	if m.Sent <= 0 {
		return // of a release that doesn't repeat it
	}
	asked := n.started.Add(m.Sent - 1)
	own := n.catalog.Revision()
	if m.Checked && !m.At().After(own) {
		n.OnChecked(asked.Add(-max(m.CheckedAge, 0)))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.answered, l.revision = asked, m.At()
	n.recordHeard(time.Now())
}

// checkHeard is called in each round: links may have ended since the last answer.
func (n *Node) checkHeard(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordHeard(now)
}

// recordHeard records when all other entries were heard, and if the store isn't, when none of them
// knew more than this one. The caller holds n.mu.
func (n *Node) recordHeard(now time.Time) {
	heard, any := n.members.OldestOf(n.answeredAt)
	if !any {
		return
	}
	n.Releases.HeardAll(heard)
	if n.Behind() && n.agree(now) {
		n.OnAgreed(heard)
	}
}

// answeredAt returns when the latest report was sent that an entry has answered, the zero time if it
// isn't connected; false for an entry that gets no reports. The caller holds n.mu.
func (n *Node) answeredAt(addr string) (time.Time, bool) {
	l := n.links[addr]
	if l == nil || l.conn == nil {
		return time.Time{}, l != nil
	}
	return l.answered, true
}

// FleetSize returns the largest recent number of entries, this one included.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most, _ := n.members.MaxEntries(time.Now())
	return max(most, 1)
}

// agree reports whether all entries that may serve callers are linked, and none told a later
// revision. The caller holds n.mu.
func (n *Node) agree(now time.Time) bool {
	own := n.catalog.Revision()
	for _, l := range n.links {
		if l.conn != nil && l.revision.After(own) {
			return false
		}
	}
	return !n.members.MayBeCutOff(now) && n.linkedToAll(now)
}

// linkedToAll reports whether all entries that may serve callers are linked, or in a large fleet all
// that get reports. The caller holds n.mu.
func (n *Node) linkedToAll(now time.Time) bool {
	addrs := n.members.Recent(now)
	if !n.members.TargetsAll(now) {
		addrs = n.members.Targets(now)
	}
	for _, addr := range addrs {
		if l := n.links[addr]; l == nil || l.conn == nil {
			return false
		}
	}
	return true
}
