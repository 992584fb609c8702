package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
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
		"a read in the future": {wire.Reply{Revision: own, Checked: true, CheckedAge: -time.Hour}, 0, true},
	}
	for name, c := range cases {
		for _, repeats := range []bool{true, false} { // a former release doesn't repeat the time
			cat := catalog.New()
			n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), cat, event.Nop(), nil)
			cat.Merge(time.Now(), nil, revision.Revision{Count: own})
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
	n.catalog.Merge(now, nil, revision.Revision{Count: 7})
	for _, addr := range []string{"a:1", "b:1", "c:1"} {
		n.members.Observe(now, addr, "dc")
		n.links[addr] = &link{addr: addr, conn: new(wire.Conn), answered: now, revision: revision.Revision{Count: 7}}
	}
	n.links["b:1"].answered = now.Add(-time.Second)
	at, ok := n.agreedAt(now)
	assert.True(t, ok)
	assert.Equal(t, now.Add(-time.Second), at)
	for name, change := range map[string]func(l *link){
		"has not answered": func(l *link) { l.answered = time.Time{} },
		"not connected":    func(l *link) { l.conn = nil },
		"knows more":       func(l *link) { l.revision = revision.Revision{Count: 8} },
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
