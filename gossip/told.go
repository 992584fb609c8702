package gossip

import "time"

// maxToldReports bounds the reports on a connection that are remembered until they are answered.
const maxToldReports = 64

// toldReports is what an entry is known to have heard of the versions of streams. An entry answers a
// report once it has merged it.
type toldReports struct {
	// open holds the reports that bring more than the answered ones, the oldest first.
	open []toldReport
	// heard is the sequence number of the answered ones.
	heard uint64
	// silent says that the entry doesn't tell which report it answers.
	silent bool
}

// toldReport is a report with the sequence number up to which it and those before it told.
type toldReport struct {
	at  time.Time
	seq uint64
}

// sent records a report.
func (t *toldReports) sent(at time.Time, seq uint64) {
	last := len(t.open) - 1
	if seq <= t.heard || last >= 0 && !at.After(t.open[last].at) {
		return // an answer to the earlier of two reports of the same time must not count for the later
	}
	t.open = append(t.open, toldReport{at: at, seq: seq})
	t.open = t.open[max(0, len(t.open)-maxToldReports):]
}

// answered records an answer to the report that was sent at a time.
func (t *toldReports) answered(at time.Time) {
	for len(t.open) > 0 && !t.open[0].at.After(at) {
		t.heard = max(t.heard, t.open[0].seq)
		t.open = t.open[1:]
	}
}

// recordTelling records what a report tells, before it is sent: its answer may come at once.
func (n *Node) recordTelling(s dueReport, at time.Time, seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[s.addr]; l != nil && l.conn == s.conn {
		l.told.sent(at, seq)
	}
}

// recordTold records that an entry has answered the report that was sent at a time, or if silent is
// set, one that it doesn't tell.
func (n *Node) recordTold(l *link, silent bool, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.told.silent = silent
	l.told.answered(at)
	n.updateHeard(time.Now())
}

// updateHeard tells what all entries have heard that may serve callers. The caller holds n.mu.
func (n *Node) updateHeard(now time.Time) {
	if !n.Releases.AwaitsHeard() || !n.reachesAll(now) {
		return
	}
	heard := n.Releases.LatestSeq()
	for _, addr := range n.mayServe(now) {
		l := n.links[addr]
		if l.told.silent {
			heard = min(heard, l.streamSeq)
		} else {
			heard = min(heard, l.told.heard)
		}
	}
	n.Releases.SetHeard(heard)
}

// sendUrgent tells at once what others have to acknowledge, at most once in the time within which
// they get reports anyway.
func (n *Node) sendUrgent(now time.Time) {
	if now.Sub(n.urgentSent) < n.reportInterval(now) {
		return
	}
	n.urgentSent = now
	n.mu.Lock()
	var due []dueReport
	for _, l := range n.links {
		if l.conn != nil && l.conn.Unsent() == 0 && !l.sent.IsZero() && now.After(l.sent) {
			due = append(due, dueReport{addr: l.addr, conn: l.conn, crashSeq: l.crashSeq, partSeq: l.partSeq, streamSeq: l.streamSeq})
		}
	}
	n.mu.Unlock()
	work, _ := n.ownWork(now)
	n.send(now, work, due, "")
}
