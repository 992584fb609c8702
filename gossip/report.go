package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ebonypulley/event"
	"ebonypulley/quota"
	"ebonypulley/wire"
)

const (
	// roundInterval is the pause between two rounds of reports, and the minimum between two
	// reports to one entry: work changes within tens of milliseconds.
	roundInterval = 50 * time.Millisecond
	// maxReportsPerSecond bounds the reports to all entries together, so that their cost does
	// not grow with the square of the fleet. With fewer, entries choose engines by state that
	// is too old.
	maxReportsPerSecond = 300
	// idleInterval is the pause between two reports to one entry while nothing changes.
	idleInterval = 500 * time.Millisecond
	// askInterval is the pause between two reports to the entry that is asked for published
	// entries: a fraction of the 2 s within which a change is to be applied.
	askInterval = 100 * time.Millisecond
	// memberListInterval is the pause between two reports to one entry that list members, and
	// newcomerListInterval the pause while there are newcomers that it has not been sent.
	memberListInterval   = 1500 * time.Millisecond
	newcomerListInterval = 300 * time.Millisecond
	// maxListed bounds the members that a report lists, maxListedFirst those in the first
	// report on a connection. The members listed per second must not grow with the fleet.
	maxListed      = 6
	maxListedFirst = 64
)

// sendReports reports to all linked entries until ctx ends.
func (n *Node) sendReports(ctx context.Context) error {
	next := time.NewTimer(roundInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.Releases.Urgent():
			n.sendUrgent(time.Now())
		case <-next.C:
			n.sendRound(time.Now())
			next.Reset(roundInterval)
		}
	}
}

// sendRound sends the reports that are due.
func (n *Node) sendRound(now time.Time) {
	n.Releases.CheckContact(now)
	work, changed := n.ownWork(now)
	n.checkHeard(now)
	asked := n.sourceToAsk(now)
	due := n.dueReports(now, changed, asked)
	// Only the first report of a round asks for corrections. It goes to the entry that has
	// waited longest for a report, so that each is asked in turn.
	if len(due) > 0 {
		due[0].unsure = n.corrections.due(now, n.catalog.Revision())
	}
	n.send(now, work, due, asked)
}

// send sends reports. One that goes to many entries is encoded once: hundreds of entries change
// their work all the time, and with one encoding for each of them an entry with a seventh of a
// core would spend a third of it on reports.
func (n *Node) send(now time.Time, work []wire.EndpointWork, due []dueReport, asked string) {
	uses, limits := n.Quotas.OwnUse(now), n.endpointLimits(now)
	frames := make(map[reportVariant][]byte)
	updates := make(map[uint64]crashUpdates)
	parts := make(map[uint64]partUpdates)
	streams := make(map[uint64]streamUpdates)
	for _, s := range due {
		crashes, ok := updates[s.crashSeq]
		if !ok {
			crashes = n.crashUpdates(now, s.crashSeq)
			updates[s.crashSeq] = crashes
		}
		suspects, ok := parts[s.partSeq]
		if !ok {
			suspects = n.partUpdates(now, s.partSeq)
			parts[s.partSeq] = suspects
		}
		begun, ok := streams[s.streamSeq]
		if !ok {
			begun = n.streamUpdates(now, s.streamSeq)
			streams[s.streamSeq] = begun
		}
		v := reportVariant{asksPublished: s.addr == asked, unsure: s.unsure, members: s.members, use: s.use && (len(uses) > 0 || len(limits) > 0), levels: s.use && s.levels && len(uses) > 0, crashSeq: s.crashSeq, partSeq: s.partSeq, streamSeq: s.streamSeq}
		if frames[v] == nil {
			frames[v] = n.encodeReport(now, work, uses, limits, v, crashes, suspects, begun)
		}
		n.recordTelling(s, now, begun.upTo)
		if n.sendFrame(s.conn, reportsSent, frames[v]) {
			n.recordUpdatesSent(s, crashes.upTo, suspects.upTo, begun.upTo)
		}
	}
}

// reportVariant distinguishes the reports of one round.
type reportVariant struct {
	// asksPublished asks for published entries; use includes the use of workspaces and the
	// limits of endpoints, levels those of their buckets.
	asksPublished, use, levels bool
	// unsure asks for corrections of published entries.
	unsure bool
	// members is the number of members listed.
	members int
	// crashSeq, partSeq and streamSeq are the sequence numbers up to which the receiver knows
	// updates about crashes and parts, and versions of streams.
	crashSeq, partSeq, streamSeq uint64
}

// dueReport is one report to send.
type dueReport struct {
	addr    string
	conn    *wire.Conn
	members int
	// use, levels and unsure are as in reportVariant.
	use, levels, unsure bool

	crashSeq, partSeq, streamSeq uint64
}

// dueReports returns the reports to send now, and records them as sent. Each round serves a
// fraction of the links, those that waited longest first, so that a round never delays
// requests for long. The entry that is asked for published entries is always included.
func (n *Node) dueReports(now, changed time.Time, asked string) []dueReport {
	interval, idle := n.reportInterval(now), n.idleReportInterval(now)
	newestCrash, newestPart, newestStream := n.Crashes.LatestSeq(), n.CrashingParts.LatestSeq(), n.Releases.LatestSeq()
	usePause := n.useReportInterval(now)
	if n.Releases.Awaited() {
		idle = interval
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := n.members.LastJoin()
	var list []*link
	for _, l := range n.links {
		if l.conn == nil {
			continue
		}
		if l.conn.IdleTime(now) > idleTimeout {
			l.conn.Close()
			continue
		}
		if l.conn.Unsent() > 0 {
			continue // it gets the next report once it has taken the last one
		}
		updatesDue := (newestCrash > l.crashSeq || newestPart > l.partSeq || newestStream > l.streamSeq) && now.Sub(l.sent) >= interval
		if updatesDue || l.due(now, changed, interval, idle, l.addr == asked) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *link) int { return cmp.Or(a.sent.Compare(b.sent), cmp.Compare(a.addr, b.addr)) })
	limit := 1 + int(time.Duration(len(n.links))*roundInterval/interval)
	reports := make([]dueReport, 0, len(list))
	for i, l := range list {
		if i >= limit && l.addr != asked {
			continue
		}
		members := l.membersDue(now, newest)
		l.sent, l.workSent = now, changed
		if members > 0 {
			l.membersSent = now
		}
		use := now.Sub(l.useSent) >= usePause
		if use {
			l.useSent = now
		}
		reports = append(reports, dueReport{addr: l.addr, conn: l.conn, members: members, use: use, levels: now.Sub(l.connected) <= levelTime, crashSeq: l.crashSeq, partSeq: l.partSeq, streamSeq: l.streamSeq})
	}
	return reports
}

// due reports whether an entry is to get a report now.
func (l *link) due(now, changed time.Time, interval, idle time.Duration, asked bool) bool {
	since := now.Sub(l.sent)
	return changed.After(l.workSent) && since >= interval || since >= idle || asked && since >= askInterval
}

// membersDue returns how many members the next report lists; newest is when the last newcomer
// became alive.
func (l *link) membersDue(now, newest time.Time) int {
	since := now.Sub(l.membersSent)
	switch {
	case l.membersSent.IsZero():
		return maxListedFirst
	case newest.After(l.membersSent) && since >= newcomerListInterval:
		return maxListed + maxNewcomersListed
	case since >= memberListInterval:
		return maxListed
	}
	return 0
}

// encodeReport returns an encoded report.
func (n *Node) encodeReport(now time.Time, work []wire.EndpointWork, uses []quota.Use, limits []wire.EndpointLimit, v reportVariant, crashes crashUpdates, parts partUpdates, begun streamUpdates) []byte {
	own := n.catalog.Revision()
	r := &wire.Report{
		From: n.self.Addr, DataCentre: n.self.DataCentre, Incarnation: n.incarnation, Work: work, Avoided: n.ownAvoided(now), Demand: n.ownDemand(now),
		Revision: own.Count, Era: own.Era, Behind: v.asksPublished,
		Link: n.self.LinkMbps, NoStore: n.StoreFailed(), Crashes: crashes.list, CrashRates: crashes.rates,
		Unsure: v.unsure, Begun: begun.streams, Prompts: begun.prompts, PartCrashes: parts.crashes, PartsBegun: parts.begun,
		PartCrashDepths: parts.depths, PartAnswersSurvived: parts.survived,
		Sent: n.sentAt(now), Refresh: n.Releases.Awaited() && n.StoreFailed(),
	}
	if v.use {
		r.Use, r.Limits = workspaceUses(uses), limits
	}
	if v.levels {
		r.Levels = workspaceLevels(uses)
	}
	n.addPressure(now, r)
	if v.members > 0 {
		r.Members, r.Centres, r.Links = n.membersToList(now, v.members)
		r.Most, r.MostAge = n.maxEntries(now)
		r.Counted = n.Quotas.FleetSizeSettled(now)
		r.PartsKnown = n.CrashingParts.KnownFor(now)
	}
	frame, err := wire.AppendFrame(nil, r)
	if err != nil {
		n.log.Emit(event.ReportEncodeFailed, event.Err(err))
	}
	return frame
}

// idleReportInterval returns the pause between two reports while nothing changes. An entry
// that is behind reports more often, because replies tell it which entries are ahead.
func (n *Node) idleReportInterval(now time.Time) time.Duration {
	if n.Behind() {
		return max(askInterval, n.reportInterval(now))
	}
	return idleInterval
}

// reportInterval returns the pause between two reports to one entry while work changes.
func (n *Node) reportInterval(now time.Time) time.Duration {
	others := len(n.alive(now))
	return max(roundInterval, time.Duration(others)*time.Second/maxReportsPerSecond)
}

// ownWork returns this entry's work in progress and when it last changed.
func (n *Node) ownWork(now time.Time) ([]wire.EndpointWork, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	loads, changed := n.loads.OwnLoads()
	if changed {
		n.workChanged = now
		n.work = make([]wire.EndpointWork, 0, len(loads))
		for id, l := range loads {
			n.work = append(n.work, wire.EndpointWork{Endpoint: id, Calls: l.Calls, Prefill: l.PrefillTokens, Decodes: l.Decodes, KV: l.KVTokens})
		}
	}
	return n.work, n.workChanged
}

// ownAvoided returns the endpoints that this entry itself found unresponsive or gone.
func (n *Node) ownAvoided(now time.Time) []wire.AvoidedEndpoint {
	var list []wire.AvoidedEndpoint
	for _, a := range n.loads.Avoided(now) {
		list = append(list, wire.AvoidedEndpoint(a))
	}
	return list
}

// ownDemand returns the demand that arrives at this entry.
func (n *Node) ownDemand(now time.Time) []wire.ServiceDemand {
	var list []wire.ServiceDemand
	for name, d := range n.loads.OwnDemand(now) {
		list = append(list, wire.ServiceDemand{Service: name, Calls: d.Calls, Tokens: d.Tokens})
	}
	return list
}
