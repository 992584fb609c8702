package gossip

import (
	"slices"
	"time"

	"ebonypulley/release"
	"ebonypulley/revision"
	"ebonypulley/wire"
)

// An answer tells what its sender knew at some moment after the report was sent, however long either
// waited on the way. So all that follows from it is dated by when the report was sent.

// sentAt returns Report.Sent for a report that is sent now.
func (n *Node) sentAt(now time.Time) time.Duration { return now.Sub(n.started) + 1 }

// recordAnswer records that an entry has answered a report, after its published entries were merged.
func (n *Node) recordAnswer(l *link, m *wire.Reply) {
	asked := n.started.Add(m.Sent - 1)
	if m.Sent <= 0 || asked.After(time.Now()) {
		n.recordTold(l, m.Sent == 0, time.Time{})
		return // of a release that doesn't repeat it, or none that this entry sent
	}
	n.recordTold(l, false, asked)
	own := n.catalog.Revision()
	if m.Checked && covers(own, m.At()) {
		n.OnChecked(asked.Add(-max(m.CheckedAge, 0)))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.answered, l.revision = asked, m.At()
	n.mergeLate(l.addr, asked, m)
	if m.Checked {
		n.knew[l.addr] = asked.Add(-max(m.CheckedAge, 0))
	}
	n.recordHeard(time.Now())
}

// covers reports whether a copy of what is published at a revision has all that one at another revision
// has. What a former era had may be missing in a later one.
func covers(own, other revision.Revision) bool { return own.Era == other.Era && !other.After(own) }

// checkHeard is called in each round: links may have ended since the last answer.
func (n *Node) checkHeard(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordHeard(now)
	n.updateHeard(now)
	n.recordKnew(now)
}

// lateRetention is for how long an entry that isn't heard, or hears of no changes, is expected to
// begin streams by what it knew.
const lateRetention = time.Minute

// recordKnew records up to when all others knew what was published. The caller holds n.mu.
func (n *Node) recordKnew(now time.Time) {
	var oldest time.Time
	for _, known := range []map[string]time.Time{n.knew, n.formerKnew, n.toldKnew} {
		for addr, at := range known {
			if now.Sub(at) > lateRetention {
				delete(known, addr)
			} else if oldest.IsZero() || at.Before(oldest) {
				oldest = at
			}
		}
	}
	n.Releases.OthersKnew(now, oldest)
}

// mergeLate keeps, for the rest of lateRetention, up to when the former process of an entry knew what
// was published, as nobody tells what that one began; and what the entry tells of the others, if
// this one can't know it. The caller holds n.mu.
func (n *Node) mergeLate(addr string, asked time.Time, m *wire.Reply) {
	knew, known := n.knew[addr]
	if known && m.UpFor > 0 && asked.Add(-m.UpFor).Sub(knew) > release.LateAfter {
		setIfAbsent(n.formerKnew, addr, knew)
	}
	if m.LateAge > 0 && m.LateAge <= lateRetention && asked.Sub(n.started) <= lateRetention {
		setIfAbsent(n.toldKnew, addr, asked.Add(-m.LateAge))
	}
}

// setIfAbsent sets a time that isn't set: entries that tell each other must not make it ever older.
func setIfAbsent(times map[string]time.Time, addr string, at time.Time) {
	if _, ok := times[addr]; !ok {
		times[addr] = at
	}
}

// upFor returns Reply.UpFor.
func (n *Node) upFor(now time.Time) time.Duration {
	if up := now.Sub(n.started); up <= lateRetention {
		return up
	}
	return 0
}

// lateAge returns Reply.LateAge.
func (n *Node) lateAge(now time.Time) time.Duration {
	if knew := n.Releases.LateKnew(); !knew.IsZero() {
		return now.Sub(knew)
	}
	return 0
}

// recordHeard records when all other entries were heard, and if the store isn't, when none of them
// knew more than this one. The caller holds n.mu.
func (n *Node) recordHeard(now time.Time) {
	heard, any := n.members.OldestOf(n.answeredAt)
	if !any {
		return
	}
	n.Releases.HeardAll(heard)
	if !n.Behind() {
		return
	}
	if at, ok := n.agreedAt(now); ok {
		n.OnAgreed(at)
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

// agreedAt returns when all entries that may serve callers were sent a report that they have answered
// with no later revision than this entry's; false if one has not. The caller holds n.mu.
func (n *Node) agreedAt(now time.Time) (at time.Time, ok bool) {
	if n.members.MayBeCutOff(now) {
		return at, false
	}
	own := n.catalog.Revision()
	for i, addr := range n.mayServe(now) {
		l := n.links[addr]
		if l == nil || l.conn == nil || l.answered.IsZero() || !covers(own, l.revision) {
			return at, false
		}
		if i == 0 || l.answered.Before(at) {
			at = l.answered
		}
	}
	return at, !at.IsZero()
}

// mayServe returns the other entries that may serve callers, in a large fleet those that get reports.
// The caller holds n.mu.
func (n *Node) mayServe(now time.Time) []string {
	if n.members.TargetsAll(now) {
		return n.members.Recent(now)
	}
	return n.members.Targets(now)
}

// linkedToAll reports whether all entries that may serve callers are linked. The caller holds n.mu.
func (n *Node) linkedToAll(now time.Time) bool {
	return !slices.ContainsFunc(n.mayServe(now), func(addr string) bool { return n.links[addr] == nil || n.links[addr].conn == nil })
}
