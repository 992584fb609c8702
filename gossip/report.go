package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/wire"
)

const (
	// roundInterval is the pause between two rounds of reports, and the least
	// between two to one entry: work moves within tens of milliseconds.
	roundInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports to all entries together, so that
	// their cost does not grow with the square of the fleet; with fewer, entries
	// choose engines by news that is too old.
	reportsPerSecond = 300
	// idleInterval is the pause while nothing changes.
	idleInterval = 500 * time.Millisecond
	// askInterval is the pause to the entry that reads the platform for this
	// one: a part of the 2 s in which a change is to be in force.
	askInterval = 100 * time.Millisecond
	// namesInterval is the pause between two reports to one entry that name members,
	// and newcomerInterval while there are some that it was not told of.
	namesInterval    = 1500 * time.Millisecond
	newcomerInterval = 300 * time.Millisecond
	// namesMost and introductionMost bound the members that a report names: on a connection that
	// stands and in the first one on it. What is told in a second must not grow with the
	// fleet.
	namesMost        = 6
	introductionMost = 64
)

// tell reports to all linked entries until ctx ends.
func (n *Node) tell(ctx context.Context) error {
	for ebonypulley.Sleep(ctx, roundInterval) {
		n.round(time.Now())
	}
	return nil
}

// round sends the reports that are due. What goes to many is encoded once.
//
// Work changes all the time on hundreds of entries. With a
// loop and an encoding for each other entry, an entry of a seventh of a core spends
// a third of it on telling.
func (n *Node) round(now time.Time) {
	work, changed := n.ownWork(now)
	use, limits := n.ownUse(now), n.limits(now)
	asked := n.asked(now)
	frames := make(map[variant][]byte)
	news := make(map[uint64]crashNews)
	for i, s := range n.due(now, changed, asked) {
		crashes, ok := news[s.crashes]
		if !ok {
			crashes = n.crashNews(now, s.crashes)
			news[s.crashes] = crashes
		}
		v := variant{asks: s.addr == asked, names: s.names, use: s.use && (len(use) > 0 || len(limits) > 0), crashes: s.crashes}
		// Those that waited longest come first, so that each is asked in turn.
		v.unsure = i == 0 && n.doubt.due(now, n.catalog.Revision())
		if frames[v] == nil {
			frames[v] = n.frame(now, work, use, limits, v, crashes)
		}
		// A connection that has ended is replaced by its own loop.
		_ = s.conn.SendFrame(frames[v])
		n.sent(reportsSent, frames[v])
		n.toldCrashes(s, crashes.upTo)
	}
}

// variant tells reports of one round apart.
type variant struct {
	// asks for what is published, tells what is counted over all entries.
	asks, use bool
	// unsure asks for corrections of what is published.
	unsure bool
	// names is how many members are named.
	names int
	// crashes is the number up to which its receiver knows them.
	crashes uint64
}

// sending is one report that is due.
type sending struct {
	addr    string
	conn    *wire.Conn
	names   int
	use     bool
	crashes uint64
}

// due returns the reports to send now, and notes them as sent. Each round takes
// its part of the links, those that waited longest first, so that a round never
// holds up requests for long; the entry that is asked is not left out.
func (n *Node) due(now, changed time.Time, asked string) []sending {
	interval, quiet := n.interval(now), n.quietInterval(now)
	newestCrash, usePause := n.Crashes.Seq(), n.usePause(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := n.members.Newest()
	var list []*link
	for _, l := range n.links {
		if l.conn == nil {
			continue
		}
		if l.conn.Silence(now) > silentFor {
			l.conn.Close()
			continue
		}
		news := newestCrash > l.crashes && now.Sub(l.sent) >= interval
		if news || l.due(now, changed, interval, quiet, l.addr == asked) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *link) int { return cmp.Or(a.sent.Compare(b.sent), cmp.Compare(a.addr, b.addr)) })
	most := 1 + int(time.Duration(len(n.links))*roundInterval/interval)
	sendings := make([]sending, 0, len(list))
	for i, l := range list {
		if i >= most && l.addr != asked {
			continue
		}
		names := l.names(now, newest)
		l.sent, l.told = now, changed
		if names > 0 {
			l.named = now
		}
		use := now.Sub(l.used) >= usePause
		if use {
			l.used = now
		}
		sendings = append(sendings, sending{addr: l.addr, conn: l.conn, names: names, use: use, crashes: l.crashes})
	}
	return sendings
}

// due reports whether an entry is to get a report now.
func (l *link) due(now, changed time.Time, interval, quiet time.Duration, asked bool) bool {
	since := now.Sub(l.sent)
	return changed.After(l.told) && since >= interval || since >= quiet || asked && since >= askInterval
}

// names returns how many members the next report names; newest is when the last newcomer was
// first heard.
func (l *link) names(now, newest time.Time) int {
	since := now.Sub(l.named)
	switch {
	case l.named.IsZero():
		return introductionMost
	case newest.After(l.named) && since >= newcomerInterval:
		return namesMost + newcomersNamed
	case since >= namesInterval:
		return namesMost
	}
	return 0
}

// frame returns an encoded report.
func (n *Node) frame(now time.Time, work []wire.EndpointWork, use []wire.WorkspaceUse, limits []wire.EndpointLimit, v variant, crashes crashNews) []byte {
	own := n.catalog.Revision()
	r := &wire.Report{
		From: n.self.Addr, DataCentre: n.self.DataCentre, Incarnation: n.inc, Work: work, Avoided: n.avoided(now), Demand: n.demand(now),
		Revision: own.Count, Era: own.Era, Behind: v.asks,
		Link: n.self.Link, NoStore: n.NoStore(), Crashes: crashes.list, CrashRates: crashes.rates,
		Unsure: v.unsure,
	}
	if v.use {
		r.Use, r.Limits = use, limits
	}
	if v.names > 0 {
		r.Members, r.Centres, r.Links = n.names(now, v.names)
		r.Most, r.MostAge = n.most(now)
		r.Counted = n.Quotas.Counted(now)
	}
	frame, err := wire.AppendFrame(nil, r)
	if err != nil {
		n.log.Emit(event.ReportUnsent, event.Err(err))
	}
	return frame
}

// quietInterval is the pause between two reports while nothing changes. An entry
// that is behind reports more often, because replies tell it who is ahead.
func (n *Node) quietInterval(now time.Time) time.Duration {
	if n.Behind() {
		return max(askInterval, n.interval(now))
	}
	return idleInterval
}

// interval is the pause between two reports to one entry while work changes.
func (n *Node) interval(now time.Time) time.Duration {
	others := len(n.living(now))
	return max(roundInterval, time.Duration(others)*time.Second/reportsPerSecond)
}

// ownWork returns this entry's work and when it last changed.
func (n *Node) ownWork(now time.Time) ([]wire.EndpointWork, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	loads, changed := n.loads.Own()
	if changed {
		n.changed = now
		n.work = make([]wire.EndpointWork, 0, len(loads))
		for id, l := range loads {
			n.work = append(n.work, wire.EndpointWork{Endpoint: id, Calls: l.Calls, Prefill: l.Prefill, Decodes: l.Decodes, KV: l.KV})
		}
	}
	return n.work, n.changed
}

// avoided returns the endpoints that this entry itself found silent or gone.
func (n *Node) avoided(now time.Time) []wire.AvoidedEndpoint {
	var list []wire.AvoidedEndpoint
	for _, a := range n.loads.Avoided(now) {
		list = append(list, wire.AvoidedEndpoint(a))
	}
	return list
}

// demand returns what comes to this entry.
func (n *Node) demand(now time.Time) []wire.ServiceDemand {
	var list []wire.ServiceDemand
	for name, d := range n.loads.OwnDemand(now) {
		list = append(list, wire.ServiceDemand{Service: name, Calls: d.Calls, Tokens: d.Tokens})
	}
	return list
}
