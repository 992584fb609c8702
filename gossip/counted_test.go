package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
	"ebonypulley/quota"
)

// TestFleetSizeIsConfirmedAfterRestart guards against an entry that restarts in a running
// fleet and waits until its fleet size settles, and against entries that restart together and
// confirm each other's incomplete sizes.
func TestFleetSizeIsConfirmedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 5
		n := simnet.New()
		n.Latency = 2 * time.Millisecond
		start := func(i int) (*quota.Ledger, context.CancelFunc) {
			ledger := quota.NewLedger(quota.Settings{Restarted: true})
			return ledger, startSimNode(t, n, fmt.Sprint("entry-", i), "dc", []string{"entry-0:1", "entry-1:1"}, func(node *gossip.Node) {
				node.Quotas, node.OnFleetSize = ledger, ledger.SetFleetSize
			})
		}
		ledgers := make([]*quota.Ledger, all)
		ends := make([]context.CancelFunc, all)
		for i := range all {
			ledgers[i], ends[i] = start(i)
		}
		time.Sleep(time.Second)
		for _, l := range ledgers {
			assert.False(t, l.FleetSizeSettled(time.Now()))
		}
		time.Sleep(time.Second)
		for _, l := range ledgers {
			assert.True(t, l.FleetSizeSettled(time.Now()))
		}
		ends[all-1]()
		time.Sleep(100 * time.Millisecond)
		newcomer, end := start(all)
		time.Sleep(200 * time.Millisecond)
		assert.True(t, newcomer.FleetSizeSettled(time.Now()))
		end()
		for _, end := range ends {
			end()
		}
		n.Close()
		time.Sleep(time.Minute)
	})
}
