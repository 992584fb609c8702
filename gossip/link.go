package gossip

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/wire"
)

const (
	// silentFor is how long a connection may bring no reply before it is
	// replaced.
	//
	// A connection goes silent for good while new
	// ones work. It shows as entries that overload the same engines. The
	// guard holds because each report is answered.
	silentFor = 1200 * time.Millisecond
	// dialTimeout and redialPause bound attempts to reach an entry. The first startDials are
	// shorter, and pauses double, because one that is just starting answers soon.
	dialTimeout      = 500 * time.Millisecond
	redialPause      = 500 * time.Millisecond
	startDials       = 4
	startDialTimeout = 200 * time.Millisecond
	startRedialPause = 50 * time.Millisecond
	// membersInterval is the pause between two looks at who lives, startInterval that
	// while newcomers are heard.
	membersInterval = 250 * time.Millisecond
	startInterval   = 100 * time.Millisecond
)

// link is the way to one entry that is reported to; Node.mu guards it.
type link struct {
	addr string
	end  context.CancelFunc
	// conn is nil while there is none.
	conn *wire.Conn
	// sent is when the last report went on conn, and told when the work in it had
	// changed; both are zero before the first.
	sent, told time.Time
	// named is when a report on conn last named the members.
	named time.Time
	// used is when a report on conn last told the use of workspaces.
	used time.Time
	// crashes is the number up to which the news of crashes went on conn.
	crashes uint64
}

// manage keeps a link to each target.
func (n *Node) manage(ctx context.Context) error {
	for {
		for _, addr := range n.manageOnce(ctx, time.Now()) {
			n.log.Emit(event.EntryLost, zap.String("peer", addr))
		}
		if !ebonypulley.Sleep(ctx, n.lookPause(time.Now())) {
			return nil
		}
	}
}

// lookPause is the pause until the next look at who lives.
func (n *Node) lookPause(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.members.Newest()) <= newcomerFor {
		return startInterval
	}
	return membersInterval
}

// manageOnce returns the entries that have fallen silent.
func (n *Node) manageOnce(ctx context.Context, now time.Time) (lost []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost = n.members.Lost(now)
	n.link(ctx, n.members.Targets(now))
	for _, addr := range lost {
		delete(n.revisions, addr)
	}
	if len(n.members.Living(now)) > 0 || len(n.members.seeds) == 0 {
		most, _ := n.members.Most(now)
		n.Entries(most)
	}
	return lost
}

// link starts and ends links so that there is one to each target; n.mu is
// held.
func (n *Node) link(ctx context.Context, targets []string) {
	wanted := make(map[string]bool, len(targets))
	for _, addr := range targets {
		wanted[addr] = true
		if n.links[addr] == nil {
			lctx, cancel := context.WithCancel(ctx)
			l := &link{addr: addr, end: cancel}
			n.links[addr] = l
			go n.keep(lctx, l)
		}
	}
	for addr, l := range n.links {
		if !wanted[addr] {
			l.end()
			delete(n.links, addr)
		}
	}
}

// keep holds a connection to one entry until ctx ends, one after another.
func (n *Node) keep(ctx context.Context, l *link) {
	for failed := 0; ctx.Err() == nil; failed++ {
		dctx, cancel := context.WithTimeout(ctx, dialPatience(failed))
		nc, err := n.dial(dctx, "tcp", l.addr)
		cancel()
		if err == nil && n.converse(ctx, l, nc) >= redialPause {
			failed = 0
		}
		ebonypulley.Sleep(ctx, min(startRedialPause<<min(failed, startDials), redialPause))
	}
}

// dialPatience is how long an attempt may take after so many that failed.
func dialPatience(failed int) time.Duration {
	if failed < startDials {
		return startDialTimeout
	}
	return dialTimeout
}

// converse takes the replies of one connection until it ends, and returns how long that was;
// reports are sent by tell.
func (n *Node) converse(ctx context.Context, l *link, nc net.Conn) time.Duration {
	began := time.Now()
	c := wire.NewConn(nc)
	n.attach(l, c)
	defer n.attach(l, nil)
	// The end of the connection needs no log line: losing the entry has one.
	_ = c.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Reply:
			n.hear(time.Now(), l.addr, m.DataCentre, Way{Link: m.Link, NoStore: m.NoStore}, membersOf(m.Members, m.Centres, m.Links))
			n.hearMost(time.Now(), m.Most, m.MostAge, m.Counted)
			n.heardRevision(l.addr, m.At())
			n.takePublished(l.addr, m, c)
		case *wire.Parts:
			n.takeParts(l.addr, m, c)
		}
	})
	return time.Since(began)
}

// attach sets the connection of a link, on which nothing was sent yet.
func (n *Node) attach(l *link, c *wire.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.conn = c
	l.sent, l.told, l.named, l.used = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	l.crashes = 0
}
