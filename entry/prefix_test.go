package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonypulley/config"
	"ebonypulley/engine"
)

// Guards against estimates that stay wrong: the index lists blocks that the
// engine has evicted or, after a restart, lost. The hits that the next prefill
// reports must correct the estimate.
func TestPrefixIndexFollowsReportedHits(t *testing.T) {
	x := newPrefixIndex()
	blocks := engine.BlockHashes(strings.Repeat("application ", 200))
	n := len(blocks) * engine.BlockTokens
	x.record("e", 1, blocks, 0)
	assert.Equal(t, n, x.cachedTokens("e", 1, blocks))
	assert.Zero(t, x.cachedTokens("e", 2, blocks), "another epoch")
	older, newer := []uint64{71, 72}, []uint64{81, 82}
	x = newPrefixIndex()
	x.record("e", 1, older, 0)
	x.record("e", 1, blocks, 0)
	x.record("e", 1, newer, 0)
	x.record("e", 1, blocks, 0) // the engine reports that it had evicted them
	assert.Equal(t, n, x.cachedTokens("e", 1, blocks), "cached again by the last prefill")
	assert.Zero(t, x.cachedTokens("e", 1, older), "less recently used blocks were evicted first")
	assert.Equal(t, 2*engine.BlockTokens, x.cachedTokens("e", 1, newer), "more recently used blocks may be cached still")
	for i := range uint64(2 * blocksPerEndpoint) {
		x.record("e", 1, []uint64{1000 + i}, 0)
	}
	assert.LessOrEqual(t, x.endpoints["e"].lru.Len(), blocksPerEndpoint)
}

// Entries with different views of which members are alive must agree on the
// owner of a key, and a removed member must move only its own keys.
func TestKeyOwner(t *testing.T) {
	members := []config.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	counts := make(map[string]int)
	moved := 0
	for i := range 3000 {
		key := strings.Repeat("k", i%7) + string(rune('a'+i%26)) + strings.Repeat("x", i/26%50)
		owner := keyOwner(members, "w", key).Name
		counts[owner]++
		without := keyOwner(members[:2], "w", key).Name
		if owner != "c" && owner != without {
			moved++
		}
	}
	assert.Zero(t, moved)
	for name, n := range counts {
		assert.InDelta(t, 1000, n, 250, name)
	}
}
