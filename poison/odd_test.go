package poison_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/poison"
)

// TestOddCrashRate guards against a crash rate that is no number, or that no endpoint can have, by
// which a request that crashes endpoints is never found.
func TestOddCrashRate(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, rate := range []float64{0, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1e300} {
		d := poison.NewDetector()
		d.SetEndpoints([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
		for _, e := range []string{"a", "b", "c"} {
			d.Merge(now, []poison.Update{{Content: 1, Attempt: poison.Attempt{Rate: rate, Endpoint: e, Lasted: 50 * time.Millisecond}}})
		}
		assert.True(t, d.Blocked(now, 1), "%v a second", rate)
	}
}
