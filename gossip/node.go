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
	"ebonypulley/parts"
	"ebonypulley/poison"
	"ebonypulley/quota"
	"ebonypulley/revision"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// Self is the entry that a node belongs to.
type Self struct {
	// Addr is where it listens for others.
	Addr       string
	DataCentre string
	// Link is the capacity of its own link in Mbit/s, 0 if unknown.
	Link float64
}

// Node exchanges reports with other entries.
type Node struct {
	self    Self
	inc     wire.Incarnation
	loads   *router.Loads
	catalog *catalog.Catalog
	log     *event.Log
	dial    ebonypulley.Dialer
	// Behind reports whether this entry's knowledge of the platform is old, and
	// NoStore whether its own last read failed, however much it knows by others.
	Behind  func() bool
	NoStore func() bool
	// Age is how old this entry's knowledge of the platform is, and Heard is
	// told the age of what another one handed on.
	Age   func() time.Duration
	Heard func(age time.Duration)
	// Entries is told the most entries that anybody named at a time lately, this one
	// included.
	Entries func(n int)
	// Metrics takes counters of what is handed on.
	Metrics *metrics.Set
	// Crashes is what entries tell each other of requests that crash endpoints.
	Crashes *poison.Ledger
	// Quotas is what entries tell each other of the use of workspaces.
	Quotas *quota.Ledger

	mu      sync.Mutex
	members *Members
	work    []wire.EndpointWork
	changed time.Time
	links   map[string]*link
	// revisions holds how far the catalogs of other entries are.
	revisions map[string]revision.Revision
	// answered holds what others were answered that ask from an era that is over.
	answered map[string]answered
	index    *parts.Index
	source   Source
	// doubt is used by tell only.
	doubt doubt
	// fetch is what is fetched now, or was given up last; nil for nothing.
	fetch *fetch
}

// NewNode returns the node of an entry.
func NewNode(self Self, seeds []string, loads *router.Loads, cat *catalog.Catalog, log *event.Log, dial ebonypulley.Dialer) *Node {
	return &Node{
		self: self, inc: wire.NewID(), loads: loads, catalog: cat, log: log, dial: dial.OrTCP(),
		Behind: func() bool { return false }, NoStore: func() bool { return false }, Entries: func(int) {},
		Age: func() time.Duration { return 0 }, Heard: func(time.Duration) {},
		Metrics: metrics.NewSet(), Crashes: poison.NewLedger(), Quotas: quota.NewLedger(quota.Settings{}),
		members: NewMembers(self.Addr, self.DataCentre, seeds), links: make(map[string]*link),
		revisions: make(map[string]revision.Revision), answered: make(map[string]answered), index: parts.NewIndex(),
	}
}

// SetSeeds changes the entries to contact first.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetSeeds(seeds)
}

// Serve takes reports on ln, and sends them, until ctx ends.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	g := ebonypulley.NewGroup(ctx)
	g.Go(n.manage)
	g.Go(n.tell)
	g.Go(n.tellTraffic)
	g.Go(func(ctx context.Context) error {
		wire.Accept(ctx, ln, n.log, func(nc net.Conn) { go n.accept(ctx, nc) })
		return nil
	})
	return g.Wait()
}

// accept answers the reports of one entry.
func (n *Node) accept(ctx context.Context, nc net.Conn) {
	c := wire.NewConn(nc)
	introduced := false
	// The end of the connection needs no log line: losing the entry has one.
	_ = c.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Report:
			n.reply(c, repliesSent, n.answer(m, !introduced))
			introduced = true
		case *wire.Wanted:
			n.reply(c, partsSent, n.handOn(m))
		}
	})
}

// answer takes a report in. The first one on a connection is answered with names.
func (n *Node) answer(r *wire.Report, first bool) *wire.Reply {
	now := time.Now()
	n.hear(now, r.From, r.DataCentre, Way{Link: r.Link, NoStore: r.NoStore}, membersOf(r.Members, r.Centres, r.Links))
	n.heardRevision(r.From, r.At())
	work := make(map[string]router.Load, len(r.Work))
	for _, w := range r.Work {
		work[w.Endpoint] = router.Load{Calls: w.Calls, Prefill: w.Prefill, Decodes: w.Decodes, KV: w.KV}
	}
	demand := make(map[string]router.Demand, len(r.Demand))
	for _, d := range r.Demand {
		demand[d.Service] = router.Demand{Calls: d.Calls, Tokens: d.Tokens}
	}
	n.loads.Hear(now, r.From, work, demand)
	avoided := make([]router.Avoided, 0, len(r.Avoided))
	for _, a := range r.Avoided {
		avoided = append(avoided, router.Avoided(a))
	}
	n.loads.HearAvoided(now, r.From, avoided)
	n.hearUse(now, r)
	n.hearCrashes(now, r.Crashes, r.CrashRates)
	n.hearMost(now, r.Most, r.MostAge, r.Counted)
	own := n.catalog.Revision()
	reply := &wire.Reply{
		DataCentre: n.self.DataCentre, Age: n.Age(),
		Link: n.self.Link, NoStore: n.NoStore(), Revision: own.Count, Era: own.Era,
	}
	if first {
		reply.Members, reply.Centres, reply.Links = n.names(now, introductionMost)
		reply.Most, reply.MostAge = n.most(now)
		reply.Counted = n.Quotas.Counted(now)
	}
	if r.Behind && !own.IsZero() && !r.At().After(own) && n.mayAnswer(now, r.From, r.At(), own) {
		n.publish(reply, r.At())
	}
	if r.Unsure && len(reply.Entries) == 0 && !r.At().IsZero() && r.Era == own.Era {
		n.correct(reply)
	}
	return reply
}

// hear takes the word of an entry.
func (n *Node) hear(now time.Time, addr, dataCentre string, way Way, members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.Hear(now, addr, dataCentre) {
		n.log.Emit(event.EntryHeard, zap.String("peer", addr))
	}
	n.members.SetWay(addr, way)
	n.members.Learn(now, members)
}

// membersOf reads the names in a report; what the sender left out is unknown.
func membersOf(addrs, centres []string, links []float64) []Member {
	list := make([]Member, 0, len(addrs))
	for i, addr := range addrs {
		e := Member{Addr: addr}
		if i < len(centres) && i < len(links) {
			e.DataCentre, e.Link = centres[i], links[i]
		}
		list = append(list, e)
	}
	return list
}

// names returns so many entries to tell others, with their data centres and links.
func (n *Node) names(now time.Time, most int) (addrs, centres []string, links []float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.members.Named(now, most) {
		addrs = append(addrs, e.Addr)
		centres = append(centres, e.DataCentre)
		links = append(links, e.Link)
	}
	return addrs, centres, links
}

// hearMost takes what another entry says of the most entries that there were, and whether it
// takes them for all.
func (n *Node) hearMost(now time.Time, most int, age time.Duration, counted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.LearnMost(now, most, age)
	if counted && most > 0 {
		n.Entries(n.members.most)
		n.Quotas.Confirm()
	}
}

// most returns the most entries that there were lately, and how long ago.
func (n *Node) most(now time.Time) (int, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Most(now)
}

func (n *Node) living(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Living(now)
}

// Leads reports whether this entry gives orders.
func (n *Node) Leads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Leads(time.Now())
}
