package entry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOddChunks guards against a chunk from an agent whose number overflows, which ends the process.
func TestOddChunks(t *testing.T) {
	for _, from := range []int{math.MinInt, math.MinInt + 8, -1, 11, math.MaxInt} {
		s := tokenSequence{next: 10}
		fresh, err := s.accept(from, []string{"a", "b", "c"})
		assert.Error(t, err, from)
		assert.Empty(t, fresh, from)
		assert.Equal(t, 10, s.next)
	}
}
