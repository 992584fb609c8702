package gossip

import (
	"maps"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/memory"
	"ebonypulley/wire"
)

const (
	// stallTimeout is how long a peer may take no byte before its connection may be closed to
	// make room for others.
	stallTimeout = time.Second
	// publishedShare is the part of the peers' share of memory up to which published entries
	// are sent, and stalledShare the part for peers that read nothing lately. The rest is for
	// reports, without which entries overload engines.
	publishedShare = 0.5
	stalledShare   = 0.25
	// stallMemory is how long a peer counts as one that read nothing.
	stallMemory = 30 * time.Second
)

// openConn returns a connection to another entry; forgetConn must be called when it ends.
func (n *Node) openConn(nc net.Conn, addr string) *wire.Conn {
	c := wire.NewConn(nc, wire.WithBudget(n.Budget))
	n.nameConn(c, addr)
	return c
}

// nameConn sets the address of the entry at the other end of a connection.
func (n *Node) nameConn(c *wire.Conn, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = addr
}

func (n *Node) forgetConn(c *wire.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// hasRoomToPublish reports whether published entries may be sent on a connection, and makes
// room for a peer that reads.
func (n *Node) hasRoomToPublish(now time.Time, c *wire.Conn) bool {
	limit := n.Budget.Limit(memory.Peers)
	if limit == 0 {
		return true
	}
	used := float64(n.Budget.Used(memory.Peers)) / float64(limit)
	if n.stalledLately(now, c) {
		return used <= stalledShare
	}
	if used > publishedShare {
		n.closeStalled(now)
	}
	return used <= publishedShare
}

func (n *Node) stalledLately(now time.Time, c *wire.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.stalledAt[n.conns[c]]
	return ok && now.Sub(at) <= stallMemory
}

// closeStalled closes the connection that has the most to send of those whose peers read
// nothing. The peer, if it is alive, connects again.
func (n *Node) closeStalled(now time.Time) {
	n.mu.Lock()
	var worst *wire.Conn
	unsent := 0
	for c := range n.conns {
		if c.SendStall(now) >= stallTimeout && c.Unsent() > unsent {
			worst, unsent = c, c.Unsent()
		}
	}
	addr := n.conns[worst]
	if worst != nil {
		maps.DeleteFunc(n.stalledAt, func(_ string, at time.Time) bool { return now.Sub(at) > stallMemory })
		n.stalledAt[addr] = now
	}
	n.mu.Unlock()
	if worst == nil {
		return
	}
	n.log.Emit(event.PeerStalled, zap.String("peer", addr), zap.Int("unsent", unsent), zap.Duration("stalled", worst.SendStall(now)))
	worst.Close()
}
