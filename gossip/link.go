package gossip

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/revision"
	"ebonypulley/wire"
)

const (
	// idleTimeout is how long a connection may bring no reply before it is replaced. Every
	// report is answered, so silence means that the connection is dead. Without the timeout
	// an entry would miss the work of others and overload the engines that they use.
	idleTimeout = 1200 * time.Millisecond
	// dialTimeout and redialPause bound the attempts to reach an entry. The first startDials
	// attempts time out sooner and their pauses double, because an entry that is just
	// starting answers soon.
	dialTimeout      = 500 * time.Millisecond
	redialPause      = 500 * time.Millisecond
	startDials       = 4
	startDialTimeout = 200 * time.Millisecond
	startRedialPause = 50 * time.Millisecond
	// linkCheckInterval is the pause between two checks of which entries are alive,
	// newcomerLinkCheckInterval the pause while there are newcomers.
	linkCheckInterval         = 250 * time.Millisecond
	newcomerLinkCheckInterval = 100 * time.Millisecond
)

// link is the connection to one entry that gets reports; Node.mu guards it.
type link struct {
	addr   string
	cancel context.CancelFunc
	// conn is nil while disconnected.
	conn *wire.Conn
	// sent is when the last report was sent on conn, workSent when the work in it had last
	// changed; both are zero before the first report.
	sent, workSent time.Time
	// membersSent is when a report on conn last listed members.
	membersSent time.Time
	// useSent is when a report on conn last contained the use of workspaces.
	useSent time.Time
	// connected is when conn was opened.
	connected time.Time
	// crashSeq is the sequence number up to which crash updates were sent on conn.
	crashSeq uint64
	// partSeq is the sequence number up to which updates about parts were sent on conn.
	partSeq uint64
	// streamSeq is the sequence number up to which versions of streams were sent on conn.
	streamSeq uint64
	// answered is when the latest report was sent that has an answer on conn, revision the other
	// entry's catalog revision in it.
	answered time.Time
	revision revision.Revision
	told     toldReports
}

// manageLinks keeps a link to each target until ctx ends.
func (n *Node) manageLinks(ctx context.Context) error {
	for {
		for _, addr := range n.checkLinks(ctx, time.Now()) {
			n.log.Emit(event.EntryLost, zap.String("peer", addr))
		}
		if !ebonypulley.Sleep(ctx, n.linkCheckPause(time.Now())) {
			return nil
		}
	}
}

// linkCheckPause returns the pause until the next check of which entries are alive.
func (n *Node) linkCheckPause(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.members.LastJoin()) <= newcomerPeriod {
		return newcomerLinkCheckInterval
	}
	return linkCheckInterval
}

// checkLinks updates the links and the fleet size, and returns the entries that have fallen
// silent.
func (n *Node) checkLinks(ctx context.Context, now time.Time) (lost []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeSilent(now)
	lost = n.members.ExpireSilent(now)
	n.reconcileLinks(ctx, n.members.Targets(now))
	n.Releases.SetReachesAll(n.reachesAll(now))
	if now.Sub(n.members.heardAt) > aloneTimeout && now.Sub(n.started) > aloneTimeout {
		n.Releases.NoteAlone(now)
	}
	for _, addr := range lost {
		delete(n.revisions, addr)
		delete(n.eraAnswers, addr)
	}
	if len(n.members.Alive(now)) > 0 || len(n.members.seeds) == 0 {
		most, _ := n.members.MaxEntries(now)
		n.OnFleetSize(most)
	} else {
		n.Quotas.ExpectOthers(now)
	}
	return lost
}

// reconcileLinks starts and ends links so that there is one to each target. The caller holds
// n.mu.
func (n *Node) reconcileLinks(ctx context.Context, targets []string) {
	wanted := make(map[string]bool, len(targets))
	for _, addr := range targets {
		wanted[addr] = true
		if n.links[addr] == nil {
			lctx, cancel := context.WithCancel(ctx)
			l := &link{addr: addr, cancel: cancel}
			n.links[addr] = l
			go n.maintainLink(lctx, l)
		}
	}
	for addr, l := range n.links {
		if !wanted[addr] {
			l.cancel()
			delete(n.links, addr)
			if n.members.Heard(addr) {
				delete(n.knew, addr) // in a large fleet: it no longer tells
			}
		}
	}
}

// maintainLink keeps a connection to one entry, redialing as needed, until ctx ends.
func (n *Node) maintainLink(ctx context.Context, l *link) {
	for failed := 0; ctx.Err() == nil; failed++ {
		dctx, cancel := context.WithTimeout(ctx, dialTimeoutAfter(failed))
		nc, err := n.dial(dctx, "tcp", l.addr)
		cancel()
		if err == nil && n.readReplies(ctx, l, nc) >= redialPause {
			failed = 0
		}
		ebonypulley.Sleep(ctx, min(startRedialPause<<min(failed, startDials), redialPause))
	}
}

// dialTimeoutAfter returns the timeout of an attempt that follows a number of failed ones.
func dialTimeoutAfter(failed int) time.Duration {
	if failed < startDials {
		return startDialTimeout
	}
	return dialTimeout
}

// readReplies handles the replies on one connection until it ends, and returns how long that
// took; sendReports sends the reports.
func (n *Node) readReplies(ctx context.Context, l *link, nc net.Conn) time.Duration {
	began := time.Now()
	c := n.openConn(nc, peerConn{addr: l.addr})
	defer n.forgetConn(c)
	n.setConn(l, c)
	defer n.setConn(l, nil)
	err := c.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Reply:
			n.observe(time.Now(), l.addr, m.DataCentre, StoreAccess{LinkMbps: m.Link, StoreFailed: m.NoStore}, membersOf(m.Members, m.Centres, m.Links))
			n.learnMaxEntries(time.Now(), m.Most, m.MostAge, m.Counted)
			n.mergeVersionHistory(time.Now(), m.Versions, m.Published)
			n.mergeRelayed(time.Now(), m.Begun, m.Prompts)
			n.recordRevision(l.addr, m.At())
			n.handlePublished(l.addr, m, c)
			n.recordAnswer(l, m)
		case *wire.Parts:
			n.handleParts(l.addr, m, c)
		}
	})
	n.recordRefusal(err)
	return time.Since(began)
}

// setConn sets the connection of a link, on which nothing has been sent yet.
func (n *Node) setConn(l *link, c *wire.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.conn = c
	l.sent, l.workSent, l.membersSent, l.useSent = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	l.crashSeq, l.partSeq, l.streamSeq = 0, 0, 0
	l.answered, l.told = time.Time{}, toldReports{}
	l.connected = time.Now()
}
