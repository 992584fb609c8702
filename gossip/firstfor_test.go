package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/gossip"
)

// TestEachKeyHasOneEntry guards against endpoints that all entries ask at once, or none, and
// against asking one of another data centre without need.
func TestEachKeyHasOneEntry(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	centres := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	for _, dc := range []string{"a", "b", "none"} {
		asked := make(map[string]int)
		for i := range 60 {
			first := make(map[string]bool)
			for self, own := range centres {
				m := gossip.NewMembers(self, own, nil)
				for addr, centre := range centres {
					if addr != self {
						m.Observe(now, addr, centre)
					}
				}
				first[m.FirstFor(now, dc, fmt.Sprint("e", i))] = true
			}
			assert.Len(t, first, 1)
			for addr := range first {
				asked[addr]++
				assert.True(t, dc == "none" || centres[addr] == dc, addr)
			}
		}
		for addr, centre := range centres {
			if dc == "none" || centre == dc {
				assert.Greater(t, asked[addr], 8, addr)
			}
		}
	}
}
