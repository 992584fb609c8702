package share_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/share"
)

// TestOddDemand guards against a demand that is no number or that none can have, by which the
// others would count for nothing, now or once it has expired.
func TestOddDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1e300} {
		table := share.NewTable()
		table.Merge(now, "sound", []share.Demand{{Service: "s", Waiting: 3, Running: 2}}, nil)
		table.Merge(now, "odd", []share.Demand{{Service: "s", Waiting: x, Running: 1}, {Service: "s", Waiting: 1, Running: x}, {Service: "s", Rank: math.MinInt, Waiting: 1}, {Service: "s", Waiting: 1, Oldest: math.MinInt64}},
			[]share.WorkspaceDemand{{Service: "s", Workspace: 1, Demand: x}})
		check := func() {
			waiting, running := table.Sum(now, "s", share.OnTime)
			assert.Equal(t, [2]float64{3, 2}, [2]float64{waiting, running}, "%v", x)
			demand, byWorkspace := table.Others(now, "s")
			assert.Len(t, demand, 1, "%v", x)
			assert.Empty(t, byWorkspace, "%v", x)
		}
		check()
		table.Merge(now, "odd", nil, nil)
		check()
	}
}
