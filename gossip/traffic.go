package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/wire"
)

// trafficInterval is the pause between two lines of log that tell what went to other entries.
const trafficInterval = time.Minute

// Kinds of what this entry sends to others, as they are counted in its metrics.
const (
	reportsSent = "reports"
	repliesSent = "replies"
	partsSent   = "parts"
)

// sent counts a frame of a kind.
func (n *Node) sent(kind string, frame []byte) {
	n.Metrics.Add(kind+"_out", 1)
	n.Metrics.Add(kind+"_bytes_out", int64(len(frame)))
}

// reply encodes, counts and sends an answer of a kind.
func (n *Node) reply(c *wire.Conn, kind string, m wire.Message) {
	frame, err := wire.AppendFrame(nil, m)
	if err != nil {
		n.log.Emit(event.ReportUnsent, event.Err(err))
		return
	}
	n.sent(kind, frame)
	// A connection that has ended needs no answer.
	_ = c.SendFrame(frame)
}

// tellTraffic logs what was sent until ctx ends.
func (n *Node) tellTraffic(ctx context.Context) error {
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
		n.log.Emit(event.TrafficBetweenEntries, fields...)
	}
	return nil
}
