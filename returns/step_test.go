package returns_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/returns"
)

// stepped returns a time read after the time of day was set forward by whole seconds: its monotonic
// reading is unchanged. The number of seconds is above 30 bits of nanoseconds in its first word.
func stepped(t *testing.T, at time.Time, by time.Duration) time.Time {
	out := at
	*(*uint64)(unsafe.Pointer(&out)) += uint64(int64(by/time.Second) << 30)
	require.Zero(t, out.Sub(at))
	require.Equal(t, by, out.Round(0).Sub(at.Round(0)))
	return out
}

// TestRoomIsKeptWhenClockIsSet guards against promised returns that find no room, and room that is
// kept for nobody, after the time of day was set.
func TestRoomIsKeptWhenClockIsSet(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 0, 2 * time.Second, 5 * time.Second, time.Hour} {
		now := time.Now()
		c := returns.NewSeeded(1)
		c.SetFleetSize(1)
		wait, ok := c.Book(now, workspace, returns.Request{Cost: 5, Rate: 100, Earliest: time.Second, Latest: 4 * time.Second})
		require.True(t, ok)
		c.Merge(now, "b", []returns.Promise{{Key: workspace + 1, First: time.Second, Cost: []float64{5}}})
		now = stepped(t, now.Add(50*time.Millisecond), by)
		own := c.Own(now)
		require.Len(t, own, 1, "set by %v", by)
		assert.InDelta(t, wait-50*time.Millisecond, own[0].First, float64(returns.SlotTime), "set by %v", by)
		assert.InDelta(t, 5, c.Due(now.Add(wait-50*time.Millisecond), workspace), 1e-6, "set by %v", by)
		assert.InDelta(t, 5, c.Due(now.Add(time.Second), workspace+1), 1e-6, "set by %v", by)
		assert.Zero(t, c.Due(now.Add(3*time.Second), workspace), "set by %v", by)
	}
}
