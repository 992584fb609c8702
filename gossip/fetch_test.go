package gossip_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
	"ebonypulley/revision"
	"ebonypulley/router"
)

// TestFetchResumesWithAnotherEntry guards against an entry on a narrow link that restarts the
// fetch of a large configuration from its first byte whenever the sender is lost, and never
// completes it where entries come and go. The parts that arrived are kept when another entry
// continues.
func TestFetchResumesWithAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var value bytes.Buffer
		for i := range 60_000 {
			fmt.Fprintf(&value, "%016x,", uint64(i+1)*0x9e3779b97f4a7c15)
		}
		const slow = 200_000 // bytes a second, a sixth of a link of 10 Mbit/s
		n := simnet.New()
		n.SetBandwidth(func(process string) float64 {
			if process == "asker" {
				return slow
			}
			return 0
		})
		ctx, cancel := context.WithCancel(t.Context())
		node := func(name string, behind bool) *catalog.Catalog {
			ln, err := n.Listen(name, name+":1")
			require.NoError(t, err)
			cat := catalog.New()
			node := gossip.NewNode(gossip.Self{Addr: name + ":1", DataCentre: name}, []string{"first:1", "second:1"}, router.NewLoadTracker(), cat, event.Nop(), n.Dialer(name))
			node.Behind = func() bool { return behind }
			go func(ln net.Listener) { _ = node.Serve(ctx, ln) }(ln)
			return cat
		}
		seven := revision.Revision{Count: 7}
		published := []catalog.Entry{{Key: "op/config", Value: value.Bytes(), Revision: seven}}
		node("first", false).Merge(time.Now(), published, seven)
		node("second", false).Merge(time.Now(), published, seven)
		asker := node("asker", true)
		time.Sleep(2 * time.Second)
		n.PowerOff("first")
		for asker.Revision() != seven {
			time.Sleep(100 * time.Millisecond)
		}
		got, _ := asker.Get("op/config")
		assert.True(t, bytes.Equal(value.Bytes(), got.Value))
		carried := n.BytesReceived("asker")
		t.Logf("%d bytes in for a value of %d", carried, value.Len())
		assert.Less(t, carried, int64(value.Len()*6/10+100_000))
		cancel()
		n.Close()
		time.Sleep(10 * time.Second)
	})
}
