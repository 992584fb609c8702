package entry

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
)

// Guards against tokens that are delivered twice or out of order: a connection
// is replaced in the middle of an answer, and chunks of the old and the new one
// arrive late, repeated and overlapping.
func TestChunksAreDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sequence tokenSequence
		var seen []string
		for range rapid.IntRange(0, 40).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(seen)).Draw(t, "from")
			var tokens []string
			for i := range rapid.IntRange(0, 4).Draw(t, "length") {
				tokens = append(tokens, strconv.Itoa(from+i))
			}
			fresh, err := sequence.accept(from, tokens)
			assert.NoError(t, err)
			seen = append(seen, fresh...)
			assert.Len(t, seen, sequence.next)
		}
		for i, token := range seen {
			assert.Equal(t, strconv.Itoa(i), token)
		}
		_, err := sequence.accept(len(seen)+1, []string{"x"})
		assert.Error(t, err, "a chunk after a missing token")
	})
}
