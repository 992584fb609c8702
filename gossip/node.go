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
	"ebonypulley/router"
	"ebonypulley/wire"
)

const (
	// busyInterval is the least pause between two reports to one entry while
	// work changes: work moves within tens of milliseconds.
	busyInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports to all entries together, so that
	// their cost does not grow with the square of the fleet: 29 entries then
	// get one each 97 ms. Measured with 30 entries on a day of high load: 0.62
	// GB between data centres without the bound, 0.35 with it; at 100 a second
	// 0.16 GB, but worth fell from 0.66 to 0.59 for want of news.
	reportsPerSecond = 300
	// idleInterval is the pause while nothing changes.
	idleInterval = 500 * time.Millisecond
	// askInterval is the pause to the entry that reads the platform for this
	// one: a part of the 2 s in which a change is to be in force.
	askInterval = 100 * time.Millisecond
	// silentFor is how long a connection may bring no reply before it is
	// replaced.
	//
	// Failure guarded against: a connection goes silent for good while new
	// ones work. It shows as entries that overload the same engines. The
	// guard holds because each report is answered.
	silentFor = 1200 * time.Millisecond
	// dialTimeout and redialPause bound attempts to reach an entry.
	dialTimeout = 500 * time.Millisecond
	redialPause = 500 * time.Millisecond
	// membersInterval is the pause between two looks at who lives.
	membersInterval = 250 * time.Millisecond
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
	// Entries is told the number of living entries, this one included.
	Entries func(n int)
	// Metrics takes counters of what is handed on.
	Metrics *metrics.Set

	mu      sync.Mutex
	members *Members
	work    []wire.EndpointWork
	changed time.Time
	links   map[string]context.CancelFunc
	// revisions holds how far the catalogs of other entries are.
	revisions map[string]uint64
	index     *parts.Index
	source    Source
	// fetch is what is fetched now, or was given up last; nil for nothing.
	fetch *fetch
}

// NewNode returns the node of an entry.
func NewNode(self Self, seeds []string, loads *router.Loads, cat *catalog.Catalog, log *event.Log, dial ebonypulley.Dialer) *Node {
	return &Node{
		self: self, inc: wire.NewID(), loads: loads, catalog: cat, log: log, dial: dial.OrTCP(),
		Behind: func() bool { return false }, NoStore: func() bool { return false }, Entries: func(int) {},
		Age: func() time.Duration { return 0 }, Heard: func(time.Duration) {},
		Metrics: metrics.NewSet(),
		members: NewMembers(self.Addr, self.DataCentre, seeds), links: make(map[string]context.CancelFunc),
		revisions: make(map[string]uint64), index: parts.NewIndex(),
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
	g.Go(func(ctx context.Context) error {
		wire.Accept(ctx, ln, n.log, func(nc net.Conn) { go n.accept(ctx, nc) })
		return nil
	})
	return g.Wait()
}

// accept answers the reports of one entry.
func (n *Node) accept(ctx context.Context, nc net.Conn) {
	c := wire.NewConn(nc)
	// The end of the connection needs no log line: losing the entry has one.
	_ = c.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Report:
			_ = c.Send(n.answer(m))
		case *wire.Wanted:
			_ = c.Send(n.handOn(m))
		}
	})
}

// answer takes a report in.
func (n *Node) answer(r *wire.Report) *wire.Reply {
	now := time.Now()
	n.hear(now, r.From, r.DataCentre, Way{Link: r.Link, NoStore: r.NoStore}, r.Members)
	n.heardRevision(r.From, r.Revision)
	work := make(map[string]router.Load, len(r.Work))
	for _, w := range r.Work {
		work[w.Endpoint] = router.Load{Calls: w.Calls, Prefill: w.Prefill, Decodes: w.Decodes, KV: w.KV}
	}
	demand := make(map[string]router.Demand, len(r.Demand))
	for _, d := range r.Demand {
		demand[d.Service] = router.Demand{Calls: d.Calls, Tokens: d.Tokens}
	}
	n.loads.Hear(now, r.From, work, demand)
	for _, a := range r.Avoided {
		n.loads.HearAvoided(now, router.Avoided(a))
	}
	reply := &wire.Reply{
		DataCentre: n.self.DataCentre, Members: n.living(now), Age: n.Age(),
		Link: n.self.Link, NoStore: n.NoStore(), Revision: n.catalog.Revision(),
	}
	if r.Behind && reply.Revision >= max(r.Revision, 1) {
		reply.Entries, reply.UpTo = n.published(r.Revision)
	}
	return reply
}

func (n *Node) hear(now time.Time, addr, dataCentre string, way Way, members []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.Hear(now, addr, dataCentre) {
		n.log.Emit(event.EntryHeard, zap.String("peer", addr))
	}
	n.members.SetWay(addr, way)
	n.members.Learn(now, members)
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

// manage keeps a link to each target.
func (n *Node) manage(ctx context.Context) error {
	for {
		now := time.Now()
		n.mu.Lock()
		lost := n.members.Lost(now)
		targets := n.members.Targets(now)
		living := len(n.members.Living(now))
		alone := len(n.members.seeds) == 0
		n.link(ctx, targets)
		for _, addr := range lost {
			delete(n.revisions, addr)
		}
		n.mu.Unlock()
		for _, addr := range lost {
			n.log.Emit(event.EntryLost, zap.String("peer", addr))
		}
		if living > 0 || alone {
			n.Entries(living + 1)
		}
		if !ebonypulley.Sleep(ctx, membersInterval) {
			return nil
		}
	}
}

// link starts and ends links so that there is one to each target; n.mu is
// held.
func (n *Node) link(ctx context.Context, targets []string) {
	wanted := make(map[string]bool, len(targets))
	for _, addr := range targets {
		wanted[addr] = true
		if n.links[addr] == nil {
			lctx, cancel := context.WithCancel(ctx)
			n.links[addr] = cancel
			go n.keep(lctx, addr)
		}
	}
	for addr, cancel := range n.links {
		if !wanted[addr] {
			cancel()
			delete(n.links, addr)
		}
	}
}

// keep reports to one entry until ctx ends, over one connection after another.
func (n *Node) keep(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		nc, err := n.dial(dctx, "tcp", addr)
		cancel()
		if err == nil {
			n.report(ctx, addr, nc)
		}
		ebonypulley.Sleep(ctx, redialPause)
	}
}

// report sends reports on one connection until it ends or falls silent.
func (n *Node) report(ctx context.Context, addr string, nc net.Conn) {
	c := wire.NewConn(nc)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = c.Serve(ctx, func(m wire.Message) {
			switch m := m.(type) {
			case *wire.Reply:
				n.hear(time.Now(), addr, m.DataCentre, Way{Link: m.Link, NoStore: m.NoStore}, m.Members)
				n.heardRevision(addr, m.Revision)
				n.takePublished(addr, m, c)
			case *wire.Parts:
				n.takeParts(addr, m, c)
			}
		})
	}()
	var sent, seen time.Time
	for {
		now := time.Now()
		work, changed := n.ownWork(now)
		asks := n.asks(now, addr)
		if changed.After(seen) && now.Sub(sent) >= n.interval(now) || now.Sub(sent) >= n.quietInterval(now, asks) {
			sent, seen = now, changed
			err := c.Send(&wire.Report{
				From: n.self.Addr, DataCentre: n.self.DataCentre, Incarnation: n.inc, Members: n.living(now), Work: work, Avoided: n.avoided(now), Demand: n.demand(now),
				Revision: n.catalog.Revision(), Behind: asks,
				Link: n.self.Link, NoStore: n.NoStore(),
			})
			if err != nil {
				return
			}
		}
		if !ebonypulley.Sleep(ctx, busyInterval) || c.Silence(time.Now()) > silentFor {
			return
		}
	}
}

// quietInterval is the pause between two reports while nothing changes. An entry
// that is behind reports more often, because replies tell it who is ahead.
func (n *Node) quietInterval(now time.Time, asks bool) time.Duration {
	switch {
	case asks:
		return askInterval
	case n.Behind():
		return max(askInterval, n.interval(now))
	default:
		return idleInterval
	}
}

// interval is the pause between two reports to one entry while work changes.
func (n *Node) interval(now time.Time) time.Duration {
	others := len(n.living(now))
	return max(busyInterval, time.Duration(others)*time.Second/reportsPerSecond)
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
