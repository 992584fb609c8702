package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/revision"
)

func count(n uint64) revision.Revision { return revision.Revision{Count: n} }

// TestRemovalMissedByReader guards against requests to an endpoint that left while the reader
// of a data centre restarted. That reader lists the store without the endpoint, so its
// answers contain no removal, and the other entries would send requests to the endpoint for
// as long as they run.
func TestRemovalMissedByReader(t *testing.T) {
	for _, entries := range []int{3, 700} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var list []catalog.Entry
			for i := range entries {
				list = append(list, catalog.Entry{Key: fmt.Sprint("servers/", i), Value: []byte("ready"), Revision: count(uint64(i + 1))})
			}
			last := uint64(entries)
			reader, addr := startNode(t, ctx, false)
			behind, _ := startNode(t, ctx, true, addr)
			behind.catalog.MergeListing(time.Now(), list, count(last))
			reader.catalog.MergeListing(time.Now(), list[1:], count(last+2))
			assert.Eventually(t, func() bool { return behind.catalog.Revision() == count(last+2) }, 5*time.Second, 10*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			_, left := behind.catalog.Get(list[0].Key)
			_, stays := behind.catalog.Get(list[1].Key)
			assert.False(t, left)
			assert.True(t, stays)
		})
	}
}
