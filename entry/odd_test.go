package entry

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

// TestAnswersQuoteLittle guards against an answer, and a line of the log, that repeats a number of any length.
func TestAnswersQuoteLittle(t *testing.T) {
	var c completionRequest
	err := json.Unmarshal([]byte(`{"n":`+strings.Repeat("9", 60<<10)+`}`), &c)
	require.Error(t, err)
	for _, f := range []*failure{badRequest("", "the body is not a completion request: %v", err), notFound("model_not_found", "the model %q does not exist", strings.Repeat("m", 60<<10))} {
		assert.LessOrEqual(t, len(f.body().Error.Message), 1100)
	}
}
