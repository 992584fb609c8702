package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
	"ebonypulley/quota"
	"ebonypulley/router"
)

// countingEntries start entries that may have run before and count each other.
type countingEntries struct {
	t   *testing.T
	net *simnet.Net
}

// start returns the limits' ledger of an entry, and what ends it.
func (c countingEntries) start(name string) (*quota.Ledger, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.t.Context())
	ln, err := c.net.Listen(name, name+":1")
	require.NoError(c.t, err)
	self := gossip.Self{Addr: name + ":1", DataCentre: "dc"}
	node := gossip.NewNode(self, []string{"entry-0:1", "entry-1:1"}, router.NewLoads(), catalog.New(), event.Nop(), c.net.Dialer(name))
	ledger := quota.NewLedger(quota.Settings{Restarted: true})
	node.Quotas, node.Entries = ledger, ledger.SetEntries
	go func() { _ = node.Serve(ctx, ln) }()
	return ledger, cancel
}

// TestRestartedEntryIsToldTheCount: an entry that restarts in a running fleet must not wait until
// its count settles, and entries that restart together must not confirm each other's.
func TestRestartedEntryIsToldTheCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 5
		c := countingEntries{t, simnet.New()}
		c.net.Latency = 2 * time.Millisecond
		ledgers := make([]*quota.Ledger, all)
		ends := make([]context.CancelFunc, all)
		for i := range all {
			ledgers[i], ends[i] = c.start(fmt.Sprint("entry-", i))
		}
		time.Sleep(time.Second)
		for _, l := range ledgers {
			assert.False(t, l.Counted(time.Now()))
		}
		time.Sleep(time.Second)
		for _, l := range ledgers {
			assert.True(t, l.Counted(time.Now()))
		}
		ends[all-1]()
		time.Sleep(100 * time.Millisecond)
		newcomer, end := c.start(fmt.Sprint("entry-", all))
		time.Sleep(200 * time.Millisecond)
		assert.True(t, newcomer.Counted(time.Now()))
		end()
		for _, end := range ends {
			end()
		}
		c.net.Close()
		time.Sleep(time.Minute)
	})
}
