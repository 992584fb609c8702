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
	// OnFleetSize is called with the largest recent fleet size, this entry included.
	OnFleetSize func(n int)
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

	mu          sync.Mutex
	members     *Members
	work        []wire.EndpointWork
	workChanged time.Time
	links       map[string]*link
	// revisions holds the catalog revision of each other entry.
	revisions map[string]revision.Revision
	// eraAnswers holds the last answer to each entry that asks from a former era.
	eraAnswers map[string]eraAnswer
	index      *parts.Index
	source     SourceSelector
	// corrections is used by sendReports only.
	corrections correctionRequests
	// fetch is the current fetch or the last abandoned one; nil if there is none.
	fetch *fetch
}

// NewNode returns the node of an entry.
func NewNode(self Self, seeds []string, loads *router.LoadTracker, cat *catalog.Catalog, log *event.Log, dial ebonypulley.Dialer) *Node {
	return &Node{
		self: self, incarnation: wire.NewID(), loads: loads, catalog: cat, log: log, dial: dial.OrTCP(),
		Behind: func() bool { return false }, StoreFailed: func() bool { return false }, OnFleetSize: func(int) {},
		CatalogAge: func() time.Duration { return 0 }, OnReceive: func(time.Duration) {},
		Metrics: metrics.NewSet(), Crashes: poison.NewDetector(), CrashingParts: poison.NewPartDetector(), Quotas: quota.NewLedger(quota.Settings{}),
		Paces: pace.NewTracker(), Shares: share.NewTable(), Returns: returns.NewCalendar(), Releases: release.NewTracker(),
		members: NewMembers(self.Addr, self.DataCentre, seeds), links: make(map[string]*link),
		revisions: make(map[string]revision.Revision), eraAnswers: make(map[string]eraAnswer), index: parts.NewIndex(),
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
	c := wire.NewConn(nc)
	introduced := false
	// The end of the connection is not logged: the loss of the entry is.
	_ = c.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Report:
			n.sendReply(c, repliesSent, n.handleReport(m, !introduced))
			introduced = true
		case *wire.PartsRequest:
			n.sendReply(c, partsSent, n.handlePartsRequest(m))
		}
	})
}

// handleReport merges a report and returns its reply. The first reply on a connection lists
// members.
func (n *Node) handleReport(r *wire.Report, first bool) *wire.Reply {
	now := time.Now()
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
	n.mergePartUpdates(now, r.PartCrashes, r.PartsBegun)
	n.mergeStreams(now, r.Begun)
	n.learnMaxEntries(now, r.Most, r.MostAge, r.Counted)
	own := n.catalog.Revision()
	reply := &wire.Reply{
		DataCentre: n.self.DataCentre, Age: n.CatalogAge(),
		Link: n.self.LinkMbps, NoStore: n.StoreFailed(), Revision: own.Count, Era: own.Era,
	}
	if first {
		reply.Members, reply.Centres, reply.Links = n.membersToList(now, maxListedFirst)
		reply.Most, reply.MostAge = n.maxEntries(now)
		reply.Counted = n.Quotas.FleetSizeSettled(now)
		reply.Versions, reply.Begun = n.versionHistory(now), streamVersions(n.Releases.Exceptions(now))
	}
	if r.Behind && !own.IsZero() && !r.At().After(own) && n.mayAnswer(now, r.From, r.At(), own) {
		n.addPublishedSince(reply, r.At())
	}
	if r.Unsure && len(reply.Entries) == 0 && !r.At().IsZero() && r.Era == own.Era {
		n.addCorrections(reply)
	}
	return reply
}

// observe records that an entry is alive, and what it says about itself and others.
func (n *Node) observe(now time.Time, addr, dataCentre string, access StoreAccess, members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.Observe(now, addr, dataCentre) {
		n.log.Emit(event.EntryAlive, zap.String("peer", addr))
	}
	n.members.SetStoreAccess(addr, access)
	n.members.Learn(now, members)
}

// membersOf returns the members listed in a message; what the sender left out is unknown.
func membersOf(addrs, centres []string, links []float64) []Member {
	list := make([]Member, 0, len(addrs))
	for i, addr := range addrs {
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
