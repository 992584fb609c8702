package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/wire"
)

// trafficInterval is the pause between two log lines that summarize the traffic to other
// entries.
const trafficInterval = time.Minute

// Kinds of messages to other entries, as prefixes of metric names.
const (
	reportsSent = "reports"
	repliesSent = "replies"
	partsSent   = "parts"
)

// countSent counts a sent frame of a kind.
func (n *Node) countSent(kind string, frame []byte) {
	n.Metrics.Add(kind+"_out", 1)
	n.Metrics.Add(kind+"_bytes_out", int64(len(frame)))
}

// sendReply encodes, counts and sends an answer of a kind. It reports whether the answer was
// queued.
func (n *Node) sendReply(c *wire.Conn, kind string, m wire.Message) bool {
	frame, err := wire.AppendFrame(nil, m)
	if err != nil {
		n.log.Emit(event.ReportEncodeFailed, event.Err(err))
		return false
	}
	return n.sendFrame(c, kind, frame)
}

// sendFrame counts and sends a frame of a kind, and reports whether it was queued. If the
// connection has ended, or is closed because the budget has no room, the peer asks again.
func (n *Node) sendFrame(c *wire.Conn, kind string, frame []byte) bool {
	err := c.SendFrame(frame)
	if err != nil {
		n.recordRefusal(err)
		return false
	}
	n.countSent(kind, frame)
	return true
}

// logTraffic logs a summary of what was sent each trafficInterval until ctx ends.
func (n *Node) logTraffic(ctx context.Context) error {
	before := make(map[string]int64)
	for ebonypulley.Sleep(ctx, trafficInterval) {
		var fields []zap.Field
		for _, kind := range []string{reportsSent, repliesSent, partsSent} {
			for _, name := range []string{kind + "_out", kind + "_bytes_out"} {
				now := n.Metrics.Count(name)
				fields = append(fields, zap.Int64(name, now-before[name]))
				before[name] = now
			}
		}
		n.log.Emit(event.PeerTraffic, fields...)
	}
	return nil
}
