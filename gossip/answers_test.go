package gossip

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/release"
	"ebonypulley/revision"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// TestAnswersCountFromTheirQuestion guards against an answer that waited on the way, or was given by an
// entry that knows more than was received of it, and that counts as word of now.
func TestAnswersCountFromTheirQuestion(t *testing.T) {
	const own = 7
	const future = time.Hour
	cases := map[string]struct {
		reply   wire.Reply
		checked time.Duration // before the report was sent
		ok      bool
	}{
		"current":              {wire.Reply{Revision: own, Checked: true}, 0, true},
		"read a second ago":    {wire.Reply{Revision: own - 1, Checked: true, CheckedAge: time.Second}, time.Second, true},
		"never read":           {wire.Reply{Revision: own, CheckedAge: time.Second}, 0, false},
		"not sent yet":         {wire.Reply{Revision: own, Checked: true, Sent: future}, 0, false},
		"knows more":           {wire.Reply{Revision: own + 1, Checked: true}, 0, false},
		"of a former era":      {wire.Reply{Revision: own, Checked: true}, 0, false},
		"a read in the future": {wire.Reply{Revision: own, Checked: true, CheckedAge: -time.Hour}, 0, true},
	}
	for name, c := range cases {
		for _, repeats := range []bool{true, false} { // a former release doesn't repeat the time
			cat := catalog.New()
			n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), cat, event.Nop(), nil)
			cat.Merge(time.Now(), nil, revision.Revision{Era: 1, Count: own})
			if name != "of a former era" {
				c.reply.Era = 1
			}
			asked := time.Now()
			if repeats {
				c.reply.Sent += n.sentAt(asked)
			} else {
				c.reply.Sent = 0
			}
			var got []time.Time
			n.OnChecked = func(at time.Time) { got = append(got, at) }
			n.recordAnswer(&link{addr: "other:1"}, &c.reply)
			if !c.ok || !repeats {
				assert.Empty(t, got, name)
				continue
			}
			assert.Len(t, got, 1, name)
			assert.WithinDuration(t, asked.Add(-c.checked), got[0], 0, name)
		}
	}
}

// TestAgreementNeedsAll guards against entries that are cut off together and keep each other in step.
func TestAgreementNeedsAll(t *testing.T) {
	now := time.Now()
	n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
	n.catalog.Merge(now, nil, revision.Revision{Era: 1, Count: 7})
	for _, addr := range []string{"a:1", "b:1", "c:1"} {
		n.members.Observe(now, addr, "dc")
		n.links[addr] = &link{addr: addr, conn: new(wire.Conn), answered: now, revision: revision.Revision{Era: 1, Count: 7}}
	}
	n.links["b:1"].answered = now.Add(-time.Second)
	at, ok := n.agreedAt(now)
	assert.True(t, ok)
	assert.Equal(t, now.Add(-time.Second), at)
	for name, change := range map[string]func(l *link){
		"has not answered": func(l *link) { l.answered = time.Time{} },
		"not connected":    func(l *link) { l.conn = nil },
		"knows more":       func(l *link) { l.revision.Count = 8 },
		"of a former era":  func(l *link) { l.revision.Era = 0 },
	} {
		before := *n.links["c:1"]
		change(n.links["c:1"])
		_, ok = n.agreedAt(now)
		assert.False(t, ok, name)
		*n.links["c:1"] = before
	}
	_, ok = n.agreedAt(now.Add(aliveTimeout + time.Second))
	assert.False(t, ok, "most are not heard any more")
}

// TestOthersKnow guards against an entry that never read the store counting as one that knows what is
// published, and against one that is gone for good making changes count as recent for ever.
func TestOthersKnow(t *testing.T) {
	n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
	asked := time.Now()
	read := wire.Reply{Sent: n.sentAt(asked), Checked: true, CheckedAge: time.Second}
	n.recordAnswer(&link{addr: "a:1"}, &read)
	n.recordAnswer(&link{addr: "a:1"}, &wire.Reply{Sent: n.sentAt(asked)})
	n.recordAnswer(&link{addr: "b:1"}, &wire.Reply{Sent: n.sentAt(asked)})
	n.checkHeard(asked.Add(lateRetention - time.Second))
	assert.Len(t, n.knew, 1)
	assert.WithinDuration(t, asked.Add(-time.Second), n.knew["a:1"], 0)
	n.checkHeard(asked.Add(lateRetention))
	assert.Empty(t, n.knew)
}

// TestHeardFromWhenAsked guards against an answer that waited on the way, one on a connection that has
// ended, or that of one entry alone, that counts as having heard what others told.
func TestHeardFromWhenAsked(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		answered  map[string]time.Duration // how long ago the reports were sent
		reconnect string
		behind    bool
	}{
		"all since":          {answered: map[string]time.Duration{"a:1": second, "b:1": second}},
		"one asked before":   {answered: map[string]time.Duration{"a:1": second, "b:1": 3 * second}, behind: true},
		"other asked before": {answered: map[string]time.Duration{"a:1": 3 * second, "b:1": second}, behind: true},
		"one reconnected":    {answered: map[string]time.Duration{"a:1": second, "b:1": second}, reconnect: "a:1", behind: true},
		"one not connected":  {answered: map[string]time.Duration{"a:1": second, "b:1": -second}, behind: true},
	} {
		n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
		now := time.Now()
		n.started = now.Add(-time.Minute)
		woke := now.Add(-1500 * time.Millisecond)
		n.Releases.ExpectOthers()
		n.Releases.SetEndpoints(n.started, "llm", []release.Endpoint{{ID: "e", Version: "v1"}})
		n.Releases.CheckContact(woke.Add(-second)) // and then it stands still
		n.Releases.Confirm(woke, now)
		for addr, ago := range c.answered {
			n.members.Observe(now, addr, "dc")
			n.links[addr] = &link{addr: addr}
			if ago >= 0 {
				n.links[addr].conn = new(wire.Conn)
			}
		}
		for _, addr := range []string{"a:1", "b:1"} {
			if ago := c.answered[addr]; ago >= 0 {
				n.recordAnswer(n.links[addr], &wire.Reply{Sent: n.sentAt(now.Add(-ago))})
			}
			if addr == c.reconnect {
				n.setConn(n.links[addr], new(wire.Conn))
			}
		}
		n.checkHeard(now)
		for at := woke; at.Before(now); at = at.Add(100 * time.Millisecond) {
			n.Releases.CheckContact(at)
		}
		f := n.Releases.Find(now.Add(-50*time.Millisecond), release.Query{Service: "llm", Request: "x", After: now.Add(-second), Before: now.Add(-second)})
		assert.Equal(t, c.behind, f.Behind, name)
	}
}

// TestRefreshIsAskedOfReader guards against a request that waits for what is published now at an entry
// that the store refuses, while the reader of its data centre isn't asked, or entries that don't read are.
func TestRefreshIsAskedOfReader(t *testing.T) {
	for name, c := range map[string]struct{ awaited, refused, reader bool }{
		"waits and is refused":  {true, true, true},
		"waits and reads":       {true, false, true},
		"refused, nobody waits": {false, true, true},
		"another one reads":     {true, true, false},
	} {
		asking := NewNode(Self{Addr: "c:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
		asked := NewNode(Self{Addr: "b:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
		if c.awaited {
			defer asking.Releases.Await()()
		}
		asking.StoreFailed = func() bool { return c.refused }
		if !c.reader {
			asked.observe(time.Now(), "a:1", "dc", StoreAccess{}, nil)
		}
		refreshed := false
		asked.OnRefresh = func() { refreshed = true }
		frame := asking.encodeReport(time.Now(), nil, nil, nil, reportVariant{}, crashUpdates{}, partUpdates{}, streamUpdates{})
		m, err := wire.NewReader(bytes.NewReader(frame)).Next()
		assert.NoError(t, err)
		asked.mergeReport(time.Now(), m.(*wire.Report))
		assert.Equal(t, c.awaited && c.refused && c.reader, refreshed, name)
	}
}
