package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/release"
	"ebonypulley/router"
	"ebonypulley/wire"
)

// TestFormerTargetIsNotLate guards against resumed streams that are unknown for a minute after this entry
// has learned of more entries than get its reports: one that gets none any more, and is heard all the
// while, counts as one that hears of no changes.
func TestFormerTargetIsNotLate(t *testing.T) {
	const entries, timeout, changedAfter = 3 * maxPeers, 3 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		dial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("not dialed here") }
		n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), dial)
		n.Releases.SetEndpoints(time.Now(), "llm", []release.Endpoint{{ID: "a", Version: "v1"}})
		time.Sleep(time.Minute)
		var addrs []string
		// round plays a round in which all entries are heard, and those that get reports answer with what the
		// store said just now.
		round := func(entries int) {
			for len(addrs) < entries {
				addrs = append(addrs, fmt.Sprintf("e%03d:1", len(addrs)))
			}
			for _, addr := range addrs {
				n.members.Observe(time.Now(), addr, "dc")
			}
			n.checkLinks(ctx, time.Now())
			for _, l := range n.links {
				n.recordAnswer(l, &wire.Reply{Sent: n.sentAt(time.Now()), Checked: true})
			}
			n.Releases.Confirm(time.Now(), time.Now())
			n.checkHeard(time.Now())
			time.Sleep(roundInterval)
		}
		round(maxPeers)
		for began := time.Now(); time.Since(began) < 30*time.Second; {
			if round(entries); time.Since(began) > changedAfter {
				n.Releases.SetEndpoints(time.Now(), "llm", []release.Endpoint{{ID: "b", Version: "v2"}})
			}
		}
		now := time.Now()
		f := n.Releases.Find(now, release.Query{Service: "llm", Request: "r", After: now.Add(-timeout), Before: now.Add(-roundInterval)})
		assert.Equal(t, "v2", f.Version, "28 s after the change; %d links, %d entries whose answers count", len(n.links), len(n.knew))
		cancel()
		time.Sleep(time.Minute)
	})
}
