package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/memory"
	"ebonypulley/metrics"
	"ebonypulley/pace"
	"ebonypulley/parts"
	"ebonypulley/poison"
	"ebonypulley/quota"
	"ebonypulley/release"
	"ebonypulley/returns"
	"ebonypulley/revision"
	"ebonypulley/router"
	"ebonypulley/share"
	"ebonypulley/wire"
)

// Self describes the entry that a node belongs to.
type Self struct {
	// Addr is the address on which it listens for other entries.
	Addr       string
	DataCentre string
	// LinkMbps is the capacity of its own link in Mbit/s, 0 if unknown.
	LinkMbps float64
}

// Node exchanges reports with other entries.
type Node struct {
	self        Self
	incarnation wire.Incarnation
	loads       *router.LoadTracker
	catalog     *catalog.Catalog
	log         *event.Log
	dial        ebonypulley.Dialer
	// Behind reports whether this entry's copy of the published entries is stale. StoreFailed
	// reports whether its own last read of the store failed, even if others keep its copy
	// fresh.
	Behind      func() bool
	StoreFailed func() bool
	// CatalogAge returns the age of this entry's copy of the published entries. OnReceive is
	// called with the age of a copy that another entry relayed.
	CatalogAge func() time.Duration
	OnReceive  func(age time.Duration)
	// CheckedAge returns how long ago this entry's copy of the published entries was complete, by
	// what the store answered; false if that was never so. OnChecked is called with when it was, by
	// what another entry answered, OnAgreed with when none of the other entries knew more.
	CheckedAge func() (time.Duration, bool)
	OnChecked  func(at time.Time)
	OnAgreed   func(at time.Time)
	// OnRefresh is called when another entry needs a read of the store.
	OnRefresh func()
	// OnFleetSize is called with the largest recent fleet size, this entry included.
	OnFleetSize func(n int)
	// Budget, if set, bounds the memory of the frames that are queued for other entries.
	Budget *memory.Budget
	// Metrics counts what is sent to and received from other entries.
	Metrics *metrics.Set
	// Crashes holds the requests that crash endpoints, which entries share.
	Crashes *poison.Detector
	// CrashingParts holds the parts of prompts that crash endpoints, which entries share.
	CrashingParts *poison.PartDetector
	// Quotas holds the use of workspaces, which entries share.
	Quotas *quota.Ledger
	// Paces, Shares and Returns hold the load that endpoints say they have, the demand for
	// services whose room is short, and the returns promised to refused callers.
	Paces   *pace.Tracker
	Shares  *share.Table
	Returns *returns.Calendar
	// Releases holds the software versions of streams.
	Releases *release.Tracker

	// started is what the times in reports count from.
	started     time.Time
	mu          sync.Mutex
	members     *Members
	work        []wire.EndpointWork
	workChanged time.Time
	links       map[string]*link
	// conns holds all open connections to other entries.
	conns map[*wire.Conn]peerConn
	// stalledAt holds when a connection to each entry that read nothing was closed last.
	stalledAt map[string]time.Time
	// answering serializes answers with published entries, because the buffers in which they are
	// encoded are not part of the budget.
	answering sync.Mutex
	// revisions holds the catalog revision of each other entry.
	revisions map[string]revision.Revision
	// knew holds up to when each other entry had read the store when it last answered.
	knew map[string]time.Time
	// formerKnew holds up to when the former process of each entry had, if that was late when it
	// ended. toldKnew holds what each entry told of the others when this one had just started.
	formerKnew, toldKnew map[string]time.Time
	// eraAnswers holds the last answer to each entry that asks from a former era.
	eraAnswers map[string]eraAnswer
	index      *parts.Index
	source     SourceSelector
	// corrections is used by sendReports only.
	corrections correctionRequests
	// urgentSent is when reports were last sent ahead of their time; it is used by sendReports only.
	urgentSent time.Time
	// fetch is the current fetch or the last abandoned one; nil if there is none.
	fetch *fetch
}

// NewNode returns the node of an entry.
func NewNode(self Self, seeds []string, loads *router.LoadTracker, cat *catalog.Catalog, log *event.Log, dial ebonypulley.Dialer) *Node {
	return &Node{
		self: self, started: time.Now(), incarnation: wire.NewID(), loads: loads, catalog: cat, log: log, dial: dial.OrTCP(),
		Behind: func() bool { return false }, StoreFailed: func() bool { return false }, OnFleetSize: func(int) {},
		CatalogAge: func() time.Duration { return 0 }, OnReceive: func(time.Duration) {},
		CheckedAge: func() (time.Duration, bool) { return 0, false }, OnChecked: func(time.Time) {}, OnAgreed: func(time.Time) {}, OnRefresh: func() {},
		Metrics: metrics.NewSet(), Crashes: poison.NewDetector(), CrashingParts: poison.NewPartDetector(), Quotas: quota.NewLedger(quota.Settings{}),
		Paces: pace.NewTracker(), Shares: share.NewTable(), Returns: returns.NewCalendar(), Releases: release.NewTracker(),
		members: NewMembers(self.Addr, self.DataCentre, seeds), links: make(map[string]*link), conns: make(map[*wire.Conn]peerConn), stalledAt: make(map[string]time.Time),
		revisions: make(map[string]revision.Revision), knew: make(map[string]time.Time), formerKnew: make(map[string]time.Time), toldKnew: make(map[string]time.Time), eraAnswers: make(map[string]eraAnswer), index: parts.NewIndex(),
	}
}

// SetSeeds replaces the entries to contact first.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetSeeds(seeds)
}

// Serve accepts reports on ln, and sends reports, until ctx ends.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	g := ebonypulley.NewGroup(ctx)
	g.Go(n.manageLinks)
	g.Go(n.sendReports)
	g.Go(n.logTraffic)
	g.Go(func(ctx context.Context) error {
		wire.Accept(ctx, ln, n.log, func(nc net.Conn) { go n.serveConn(ctx, nc) })
		return nil
	})
	return g.Wait()
}

// serveConn answers the reports on one connection.
func (n *Node) serveConn(ctx context.Context, nc net.Conn) {
	c := n.openConn(nc, peerConn{addr: nc.RemoteAddr().String(), incoming: true})
	defer n.forgetConn(c)
	introduced := false
	err := c.Serve(ctx, func(m wire.Message) {
		now := time.Now()
		switch m := m.(type) {
		case *wire.Report:
			if !introduced {
				n.introduce(c, m.From)
			}
			n.mergeReport(now, m)
			if takesAnswers(c) && n.answerReport(now, c, m, !introduced) {
				introduced = true
			}
		case *wire.PartsRequest:
			if takesAnswers(c) && n.hasRoomToPublish(now, c) {
				n.sendReply(c, partsSent, n.handlePartsRequest(m))
			}
		}
	})
	n.recordRefusal(err)
}

// takesAnswers reports whether the peer has taken earlier answers. One that has not gets no
// others: it asks again.
func takesAnswers(c *wire.Conn) bool { return c.Unsent() <= maxPartsBytes }

// answerReport sends the reply to a report and reports whether it could be queued.
func (n *Node) answerReport(now time.Time, c *wire.Conn, r *wire.Report, first bool) bool {
	reply := n.replyTo(now, r, first)
	if !r.Behind && !r.Unsure {
		return n.sendReply(c, repliesSent, reply)
	}
	n.answering.Lock()
	defer n.answering.Unlock()
	if n.hasRoomToPublish(now, c) {
		n.addPublishedFor(now, reply, r)
	}
	return n.sendReply(c, repliesSent, reply)
}

// mergeReport merges a report.
func (n *Node) mergeReport(now time.Time, r *wire.Report) {
	if !isAddr(r.From) {
		n.Metrics.Add("peer_reports_refused", 1)
		return
	}
	n.observe(now, r.From, r.DataCentre, StoreAccess{LinkMbps: r.Link, StoreFailed: r.NoStore}, membersOf(r.Members, r.Centres, r.Links))
	n.recordRevision(r.From, r.At())
	work := make(map[string]router.Load, len(r.Work))
	for _, w := range r.Work {
		work[w.Endpoint] = router.Load{Calls: w.Calls, PrefillTokens: w.Prefill, Decodes: w.Decodes, KVTokens: w.KV}
	}
	demand := make(map[string]router.Demand, len(r.Demand))
	for _, d := range r.Demand {
		demand[d.Service] = router.Demand{Calls: d.Calls, Tokens: d.Tokens}
	}
	n.loads.SetPeerReport(now, r.From, work, demand)
	avoided := make([]router.AvoidedEndpoint, 0, len(r.Avoided))
	for _, a := range r.Avoided {
		avoided = append(avoided, router.AvoidedEndpoint(a))
	}
	n.loads.MergeAvoided(now, r.From, avoided)
	n.mergeUse(now, r)
	n.mergePressure(now, r)
	n.mergeCrashes(now, r.Crashes, r.CrashRates)
	n.mergePartUpdates(now, r)
	n.mergeStreams(now, r.Begun, r.Prompts)
	n.learnMaxEntries(now, r.Most, r.MostAge, r.Counted)
	if r.Refresh && n.IsReader() {
		n.OnRefresh()
	}
}

// replyTo returns the reply to a report. The first reply on a connection lists members.
func (n *Node) replyTo(now time.Time, r *wire.Report, first bool) *wire.Reply {
	age, checked := n.CheckedAge() // before the revision, which may rise meanwhile
	own := n.catalog.Revision()
	reply := &wire.Reply{
		DataCentre: n.self.DataCentre, Age: n.CatalogAge(),
		Link: n.self.LinkMbps, NoStore: n.StoreFailed(), Revision: own.Count, Era: own.Era, Sent: r.Sent, CheckedAge: age, Checked: checked,
		UpFor: n.upFor(now), LateAge: n.lateAge(now),
	}
	if first {
		reply.Members, reply.Centres, reply.Links = n.membersToList(now, maxListedFirst)
		reply.Most, reply.MostAge = n.maxEntries(now)
		reply.Counted = n.Quotas.FleetSizeSettled(now)
		reply.Versions, reply.Published = n.versionHistory(now)
		reply.Begun, reply.Prompts = streamVersions(n.Releases.Exceptions(now))
	}
	return reply
}

// addPublishedFor adds to the reply to a report the published entries that the report asks for.
func (n *Node) addPublishedFor(now time.Time, reply *wire.Reply, r *wire.Report) {
	own := n.catalog.Revision()
	if r.Behind && !own.IsZero() && !r.At().After(own) && n.mayAnswer(now, r.From, r.At(), own) {
		n.addPublishedSince(reply, r.At())
	}
	if r.Unsure && len(reply.Entries) == 0 && !r.At().IsZero() && r.Era == own.Era {
		n.addCorrections(reply)
	}
}

// observe records that an entry is alive, and what it says about itself and others.
func (n *Node) observe(now time.Time, addr, dataCentre string, access StoreAccess, members []Member) {
	n.Releases.ExpectOthers()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.Observe(now, addr, dataCentre) {
		n.log.Emit(event.EntryAlive, zap.String("peer", addr))
	}
	n.members.SetStoreAccess(addr, access)
	n.members.Learn(now, members)
}

// membersOf returns the members listed in a message; what the sender left out is unknown. None are
// there if it lists more than any fleet has.
func membersOf(addrs, centres []string, links []float64) []Member {
	if len(addrs) > maxIncoming {
		return nil
	}
	list := make([]Member, 0, len(addrs))
	for i, addr := range addrs {
		if !isAddr(addr) {
			continue
		}
		e := Member{Addr: addr}
		if i < len(centres) && i < len(links) {
			e.DataCentre, e.LinkMbps = centres[i], links[i]
		}
		list = append(list, e)
	}
	return list
}

// membersToList returns up to limit members to list, with their data centres and links.
func (n *Node) membersToList(now time.Time, limit int) (addrs, centres []string, links []float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.members.MembersToList(now, limit) {
		addrs = append(addrs, e.Addr)
		centres = append(centres, e.DataCentre)
		links = append(links, e.LinkMbps)
	}
	return addrs, centres, links
}

// learnMaxEntries merges the largest fleet size that another entry reports; counted says that
// the sender takes it for the size of the whole fleet.
func (n *Node) learnMaxEntries(now time.Time, most int, age time.Duration, counted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if most > maxIncoming {
		return
	}
	n.members.LearnMaxEntries(now, most, age)
	if counted && most > 0 {
		n.OnFleetSize(n.members.maxEntries)
		n.Quotas.ConfirmFleetSize()
	}
}

// maxEntries returns the largest recent fleet size, and how long ago it was seen.
func (n *Node) maxEntries(now time.Time) (int, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.MaxEntries(now)
}

func (n *Node) alive(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Alive(now)
}

// IsLeader reports whether this entry gives orders.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.IsLeader(time.Now())
}
