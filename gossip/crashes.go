package gossip

import (
	"time"

	"ebonypulley/event"
	"ebonypulley/poison"
	"ebonypulley/wire"
)

const (
	// refusedWithin is how soon an entry that does not know a kind of message ends the
	// connection that brought one, and mutedFor how long it gets no other.
	refusedWithin = time.Second
	mutedFor      = 30 * time.Second
	// refusalsMost is how often in a row it does that first: one that is killed may end
	// a connection at such a moment too.
	refusalsMost = 2
)

// mute stops the news of crashes to an entry that ends its connections at once.
//
// Failure guarded against: in a roll, entries of the version before get a kind of message
// that they refuse, and are dialled and told again each half second. It shows as reports
// of work that hardly arrive while two versions run. The guard holds because such an
// entry is left alone with it for longer than its reports need.
func (l *link) mute(now time.Time) {
	if now.Sub(l.crashesAt) >= refusedWithin {
		l.refusals = 0
		return
	}
	l.refusals++
	if l.refusals >= refusalsMost {
		l.mutedUntil = now.Add(mutedFor)
	}
}

// crashNews are the news for a link.
type crashNews struct {
	frame []byte
	upTo  uint64
}

// tellCrashes sends each linked entry the news of crashes that it was not told. What
// goes to many is encoded once.
func (n *Node) tellCrashes(now time.Time) {
	newest := n.Crashes.Seq()
	n.mu.Lock()
	defer n.mu.Unlock()
	news := make(map[uint64]crashNews)
	for _, l := range n.links {
		if l.conn == nil || l.crashes >= newest || now.Before(l.mutedUntil) {
			continue
		}
		w, ok := news[l.crashes]
		if !ok {
			w = n.crashNews(now, l.crashes)
			news[l.crashes] = w
		}
		l.crashes = w.upTo
		if len(w.frame) > 0 {
			l.crashesAt = now
			// A connection that has ended is replaced by its own loop.
			_ = l.conn.SendFrame(w.frame)
		}
	}
}

// crashNews encodes the news after a number; the frame is empty if there are none.
func (n *Node) crashNews(now time.Time, after uint64) crashNews {
	words, upTo := n.Crashes.News(now, after)
	if len(words) == 0 {
		return crashNews{upTo: upTo}
	}
	m := &wire.Crashes{List: make([]wire.Crash, 0, len(words))}
	for _, w := range words {
		m.List = append(m.List, wire.Crash{Content: w.Content, Endpoint: w.Endpoint, Age: w.Age, Lasted: w.Lasted, Ran: w.Ran})
	}
	frame, err := wire.AppendFrame(nil, m)
	if err != nil {
		n.log.Emit(event.ReportUnsent, event.Err(err))
	}
	return crashNews{frame: frame, upTo: upTo}
}

// hearCrashes takes the news of another entry.
func (n *Node) hearCrashes(now time.Time, m *wire.Crashes) {
	words := make([]poison.Word, 0, len(m.List))
	for _, c := range m.List {
		words = append(words, poison.Word{Content: c.Content, Age: c.Age, Attempt: poison.Attempt{Endpoint: c.Endpoint, Lasted: c.Lasted, Ran: c.Ran}})
	}
	n.Crashes.Hear(now, words)
}
