package returns_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/returns"
)

// TestOddPromises guards against promises that no entry makes: a cost so large that the others' are
// lost in the sum, or a time so far off that it is never forgotten.
func TestOddPromises(t *testing.T) {
	now := time.Unix(1000, 0)
	key := returns.Key(1)
	for _, odd := range []returns.Promise{
		{Key: key, First: time.Second, Cost: []float64{1e300, math.NaN(), math.Inf(1), -1e300}},
		{Key: key, First: math.MaxInt64, Cost: []float64{7}},
		{Key: key, First: math.MinInt64, Cost: []float64{7}},
		{Key: key, First: 1000 * time.Hour, Cost: []float64{7}},
	} {
		c := returns.NewSeeded(1)
		c.SetFleetSize(3)
		c.Merge(now, "sound", []returns.Promise{{Key: key, First: time.Second, Cost: []float64{5}}})
		c.Merge(now, "odd", []returns.Promise{odd})
		assert.Equal(t, 5.0, c.Due(now.Add(time.Second), key), odd)
		c.Merge(now, "odd", nil)
		assert.Equal(t, 5.0, c.Due(now.Add(time.Second), key), odd)
		later := now.Add(10 * time.Second)
		_, ok := c.Book(later, key, returns.Request{Cost: 0.5, Rate: 100, Latest: 5 * time.Second})
		assert.True(t, ok, odd)
	}
}
