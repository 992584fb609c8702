package gossip

import (
	"maps"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/memory"
	"ebonypulley/wire"
)

const (
	// stallTimeout is how long a peer may take no byte before its connection may be closed to
	// make room for others.
	stallTimeout = time.Second
	// stalledShare is the part of the peers' share of memory up to which published entries are
	// sent to peers that stalled lately.
	stalledShare = 0.25
	// stallMemory is how long a peer counts as one that stalled lately.
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
	if n.stalledLately(now, c) {
		return float64(n.Budget.Used(memory.Peers)) <= stalledShare*float64(n.Budget.Limit(memory.Peers))
	}
	room := wire.HasRoomForLarge(n.Budget, 0)
	if !room {
		n.closeStalled(now)
	}
	return room
}

func (n *Node) stalledLately(now time.Time, c *wire.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.stalledAt[n.conns[c]]
	return ok && now.Sub(at) <= stallMemory
}

// closeStalled closes the connection that holds the most memory of those whose peers neither
// read nor complete what they send. The peer, if it is alive, connects again.
func (n *Node) closeStalled(now time.Time) {
	n.mu.Lock()
	var worst *wire.Conn
	held := int64(0)
	for c := range n.conns {
		if c.Stall(now) >= stallTimeout && c.Held() > held {
			worst, held = c, c.Held()
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
	n.log.Emit(event.PeerStalled, zap.String("peer", addr), zap.Int64("held", held), zap.Duration("stalled", worst.Stall(now)))
	worst.Close()
}

// recordRefusal makes room if a frame could not be queued or read for lack of memory. The end
// of a connection for other reasons is not logged: the loss of the entry is.
func (n *Node) recordRefusal(err error) {
	if errorx.IsOfType(err, wire.ErrFull) {
		n.Metrics.Add("peer_frames_refused", 1)
		n.log.Emit(event.PeerFrameRefused, event.Err(err))
		n.closeStalled(time.Now())
	}
}
