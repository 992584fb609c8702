package gossip

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/wire"
)

// TestFormerProcessStaysLate guards against streams that a process began by an old list before it ended,
// whose version is worked out as soon as the next process of that entry answers; against an entry that
// is just restarted counting as late, and against odd times of a neighbour.
func TestFormerProcessStaysLate(t *testing.T) {
	for name, c := range map[string]struct {
		knew, upFor time.Duration // before the answer
		kept        bool
	}{
		"ended while late":     {20 * time.Second, time.Second, true},
		"same process":         {20 * time.Second, 21 * time.Second, false},
		"restarted in touch":   {2 * time.Second, time.Second, false},
		"release before":       {20 * time.Second, 0, false},
		"below zero":           {20 * time.Second, math.MinInt64, false},
		"beyond the retention": {20 * time.Second, math.MaxInt64, false},
	} {
		n := newOddNode()
		asked := time.Now()
		n.knew["a:1"] = asked.Add(-c.knew)
		n.recordAnswer(&link{addr: "a:1"}, &wire.Reply{Sent: n.sentAt(asked), Checked: true, UpFor: c.upFor})
		assert.WithinDuration(t, asked, n.knew["a:1"], 0, name)
		at, kept := n.formerKnew["a:1"]
		assert.Equal(t, c.kept, kept, name)
		if kept {
			assert.WithinDuration(t, asked.Add(-c.knew), at, 0, name)
			n.checkHeard(asked)
			assert.WithinDuration(t, at, n.Releases.LateKnew(), 0, name)
		}
		n.checkHeard(asked.Add(lateRetention))
		assert.Empty(t, n.formerKnew, name)
	}
}

// TestLateIsTold guards against an entry that has just started not knowing that another one is late;
// against one that has run for longer taking the word of others, which are told by others in turn, and
// against odd ages of a neighbour.
func TestLateIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		upFor, age time.Duration
		kept       bool
	}{
		"just started":         {time.Second, 20 * time.Second, true},
		"knows it by itself":   {lateRetention + time.Second, 20 * time.Second, false},
		"none late":            {time.Second, 0, false},
		"below zero":           {time.Second, math.MinInt64, false},
		"beyond the retention": {time.Second, lateRetention + 1, false},
		"odd":                  {time.Second, math.MaxInt64, false},
	} {
		n := newOddNode()
		asked := time.Now()
		n.started = asked.Add(-c.upFor)
		n.recordAnswer(&link{addr: "a:1"}, &wire.Reply{Sent: n.sentAt(asked), LateAge: c.age})
		at, kept := n.toldKnew["a:1"]
		assert.Equal(t, c.kept, kept, name)
		if !kept {
			continue
		}
		n.recordAnswer(&link{addr: "a:1"}, &wire.Reply{Sent: n.sentAt(asked), LateAge: c.age + time.Second})
		assert.WithinDuration(t, asked.Add(-c.age), at, 0, "%s: older each time it is told", name)
		n.checkHeard(asked)
		reply := n.replyTo(asked, &wire.Report{}, false)
		assert.Equal(t, c.age, reply.LateAge, name)
		assert.Equal(t, c.upFor, reply.UpFor, name)
		n.checkHeard(asked.Add(lateRetention))
		assert.Empty(t, n.toldKnew, name)
	}
	n := newOddNode()
	n.started = time.Now().Add(-lateRetention - time.Second)
	reply := n.replyTo(time.Now(), &wire.Report{}, false)
	assert.Zero(t, reply.UpFor)
	assert.Zero(t, reply.LateAge)
}

// TestSilentEntryStaysLate guards against what an entry that is cut off knew being forgotten with its
// link, when it has been silent for so long that it gets no reports any more.
func TestSilentEntryStaysLate(t *testing.T) {
	n := newOddNode()
	now := time.Now()
	for _, addr := range []string{"heard:1", "silent:1"} {
		n.members.Observe(now, addr, "dc")
		n.links[addr] = &link{addr: addr, cancel: func() {}}
		n.knew[addr] = now
	}
	later := now.Add(aliveTimeout + time.Second)
	n.members.Observe(later, "heard:1", "dc")
	n.members.ExpireSilent(later)
	n.reconcileLinks(context.Background(), nil)
	assert.Equal(t, map[string]time.Time{"silent:1": now}, n.knew)
}
