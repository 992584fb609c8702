package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/revision"
	"ebonypulley/router"
)

// TestLostEntriesAreForgotten guards against an entry whose memory grows with all the entries
// that there have ever been.
func TestLostEntriesAreForgotten(t *testing.T) {
	n := NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
	now := time.Now()
	for i := range 100 {
		addr := fmt.Sprint("entry:", i)
		n.observe(now, addr, "dc", StoreAccess{}, nil)
		n.recordRevision(addr, revision.Revision{Count: 1})
		assert.True(t, n.mayAnswer(now, addr, revision.Revision{Count: 1}, revision.Revision{Era: 1, Count: 1}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n.checkLinks(ctx, now.Add(2*aliveTimeout))
	assert.Empty(t, n.revisions)
	assert.Empty(t, n.eraAnswers)
}
