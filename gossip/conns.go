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
	// silenceTimeout is how long a connection may bring nothing, not even the rest of a message:
	// each entry reports several times in it.
	silenceTimeout = aliveTimeout
	// maxIncoming bounds the connections that other entries make to this one, each of which takes
	// some 16 kB of memory. It is above the largest fleet.
	maxIncoming = 1024
	// stallMemory is how long a peer counts as one that stalled lately.
	stallMemory = 30 * time.Second
)

// peerConn is an open connection to another entry.
type peerConn struct {
	// addr is the address of the entry, or of its end of the connection until it has introduced
	// itself.
	addr string
	// incoming says that the entry made the connection, introduced that it has sent a report.
	incoming, introduced bool
}

// openConn returns a connection to an entry; forgetConn must be called when it ends.
func (n *Node) openConn(nc net.Conn, peer peerConn) *wire.Conn {
	c := wire.NewConn(nc, wire.WithBudget(n.Budget))
	n.mu.Lock()
	defer n.mu.Unlock()
	if peer.incoming {
		n.makeRoomForIncoming(time.Now())
	}
	n.conns[c] = peer
	return c
}

// makeRoomForIncoming closes a connection if there are maxIncoming: the one that has been
// silent for longest of those that were never introduced or, without any, of all. The caller
// holds n.mu.
func (n *Node) makeRoomForIncoming(now time.Time) {
	count := 0
	var silent *wire.Conn
	for c, peer := range n.conns {
		if !peer.incoming {
			continue
		}
		count++
		if silent == nil || n.closesBefore(now, c, silent) {
			silent = c
		}
	}
	if count >= maxIncoming {
		silent.Close()
		delete(n.conns, silent)
	}
}

// closesBefore reports whether to close connection a rather than b. The caller holds n.mu.
func (n *Node) closesBefore(now time.Time, a, b *wire.Conn) bool {
	if x, y := n.conns[a].introduced, n.conns[b].introduced; x != y {
		return !x
	}
	return a.IdleTime(now) > b.IdleTime(now)
}

// closeSilent closes the connections that bring nothing any more. The caller holds n.mu.
func (n *Node) closeSilent(now time.Time) {
	for c := range n.conns {
		if c.IdleTime(now) > silenceTimeout {
			c.Close()
		}
	}
}

// introduce records which entry made a connection.
func (n *Node) introduce(c *wire.Conn, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, open := n.conns[c]; open {
		n.conns[c] = peerConn{addr: addr, incoming: true, introduced: true}
	}
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
	at, ok := n.stalledAt[n.conns[c].addr]
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
	addr := n.conns[worst].addr
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

// recordRefusal counts a frame that could not be decoded, and makes room if one could not be queued
// or read for lack of memory. The end of a connection for other reasons is not logged: the loss of
// the entry is.
func (n *Node) recordRefusal(err error) {
	if errorx.IsOfType(err, wire.ErrFrame) {
		n.Metrics.Add("peer_frames_malformed", 1)
	}
	if errorx.IsOfType(err, wire.ErrFull) {
		n.Metrics.Add("peer_frames_refused", 1)
		n.log.Emit(event.PeerFrameRefused, event.Err(err))
		n.closeStalled(time.Now())
	}
}
