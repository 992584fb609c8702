package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// TestAllHaveHeardWhatTheyAnswered guards against entries that count as having heard of a stream although
// they have not: another report was answered, on another connection, or by others alone.
func TestAllHaveHeardWhatTheyAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		// answer lets c:1 hear, or not, of the last stream, of which a:1 and b:1 have heard.
		answer func(n *Node, l *link, answered func(at time.Time))
		heard  bool
	}{
		"answers":          {func(_ *Node, l *link, answered func(time.Time)) { answered(l.sent) }, true},
		"answers nothing":  {func(*Node, *link, func(time.Time)) {}, false},
		"answers before":   {func(_ *Node, l *link, answered func(time.Time)) { answered(l.sent.Add(-1)) }, false},
		"answers too much": {func(_ *Node, _ *link, answered func(time.Time)) { answered(time.Now().Add(time.Hour)) }, false},
		"answers the first of two of the same time": {func(n *Node, l *link, answered func(time.Time)) {
			l.told.open[0].seq--
			n.recordTelling(dueReport{addr: l.addr, conn: l.conn}, l.sent, n.Releases.LatestSeq())
			answered(l.sent)
		}, false},
		"connects anew": {func(n *Node, l *link, answered func(time.Time)) {
			sent := l.sent
			n.setConn(l, new(wire.Conn))
			answered(sent)
		}, false},
		"is not connected":           {func(n *Node, l *link, answered func(time.Time)) { n.setConn(l, nil); answered(l.sent) }, false},
		"of a release before":        {func(n *Node, l *link, _ func(time.Time)) { n.recordAnswer(l, &wire.Reply{}) }, true},
		"of a release before, later": {func(n *Node, l *link, _ func(time.Time)) { l.streamSeq--; n.recordAnswer(l, &wire.Reply{}) }, false},
		"another one is mentioned": {func(n *Node, l *link, answered func(time.Time)) {
			n.members.Learn(time.Now(), []Member{{Addr: "d:1"}})
			answered(l.sent)
		}, false},
		"most may be cut off": {func(n *Node, l *link, answered func(time.Time)) {
			n.members.LearnMaxEntries(time.Now(), 9, 0)
			answered(l.sent)
		}, false},
	} {
		n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
		n.Releases.ExpectOthers()
		n.Releases.Withhold(time.Now(), "llm", "r")
		addrs := []string{"a:1", "b:1", "c:1"}
		for _, addr := range addrs {
			n.members.Observe(time.Now(), addr, "dc")
		}
		for _, addr := range addrs {
			l := &link{addr: addr, conn: new(wire.Conn), sent: time.Now()}
			n.links[addr] = l
			s := dueReport{addr: addr, conn: l.conn}
			n.recordTelling(s, l.sent, n.Releases.LatestSeq())
			n.recordUpdatesSent(s, 0, 0, n.Releases.LatestSeq())
			answered := func(at time.Time) { n.recordAnswer(l, &wire.Reply{Sent: n.sentAt(at)}) }
			if addr != "c:1" {
				answered(l.sent)
				continue
			}
			assert.True(t, n.Releases.AwaitsHeard(), name)
			c.answer(n, l, answered)
			n.checkHeard(time.Now())
			assert.Equal(t, c.heard, !n.Releases.AwaitsHeard(), name)
		}
	}
}
