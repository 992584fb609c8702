package entry

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
)

// Story: connections are replaced in the middle of an answer; chunks of the
// old and the new one arrive late, again and with overlaps. The caller sees
// each token once and in order.
func TestChunksAreDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var order tokenOrder
		var seen []string
		for range rapid.IntRange(0, 40).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(seen)).Draw(t, "from")
			var tokens []string
			for i := range rapid.IntRange(0, 4).Draw(t, "length") {
				tokens = append(tokens, strconv.Itoa(from+i))
			}
			fresh, err := order.fresh(from, tokens)
			assert.NoError(t, err)
			seen = append(seen, fresh...)
			assert.Len(t, seen, order.next)
		}
		for i, token := range seen {
			assert.Equal(t, strconv.Itoa(i), token)
		}
		_, err := order.fresh(len(seen)+1, []string{"x"})
		assert.Error(t, err, "a token is missing before it")
	})
}
