package limit_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/limit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// During an outage of all endpoints every request asks for a retry. With a ratio
// of 0.1, a tenth of the requests is retried.
func TestRetryBudgetInOutage(t *testing.T) {
	b := limit.NewRetryBudget(0.1, time.Minute)
	b.SetShare(1, true)
	const requests = 10_000
	retries, now := 0, epoch
	for range requests {
		now = now.Add(10 * time.Millisecond)
		b.RecordFirst(now)
		if b.TakeRetry(now) {
			retries++
		}
	}
	assert.InDelta(t, 0.1*requests, retries, 3)
}

func TestLinkSerializesTransfers(t *testing.T) {
	l := limit.NewLink(1000)
	soon := epoch.Add(800 * time.Millisecond)
	first, ok := l.Reserve(epoch, 500, soon)
	assert.True(t, ok)
	assert.Equal(t, limit.Plan{Duration: 500 * time.Millisecond}, first)
	second, ok := l.Reserve(epoch, 500, soon)
	assert.True(t, ok)
	assert.Equal(t, 500*time.Millisecond, second.Wait)
	_, ok = l.Reserve(epoch, 500, soon)
	assert.False(t, ok, "the transfer would start after its expiry")
	_, ok = l.Reserve(epoch.Add(time.Second), 500, epoch.Add(2*time.Second))
	assert.True(t, ok)
}

// TestRetryThatArrivesLate guards against two retries that are charged a window apart and
// arrive less than a window apart.
func TestRetryThatArrivesLate(t *testing.T) {
	b := limit.NewRetryBudget(0, 10*time.Second)
	b.SetShare(1, true)
	c := b.Charge(epoch)
	assert.NotNil(t, c)
	assert.Nil(t, b.Charge(epoch.Add(time.Second)), "while the first one is on its way")
	c.Arrived(epoch.Add(2 * time.Second))
	assert.Nil(t, b.Charge(epoch.Add(11*time.Second)))
	assert.NotNil(t, b.Charge(epoch.Add(13*time.Second)))
}

// TestReturnedChargeLeavesNoTrace guards against a charge that is returned later than it was
// made and leaves room for one retry too many when it would have expired.
func TestReturnedChargeLeavesNoTrace(t *testing.T) {
	b := limit.NewRetryBudget(0, 10*time.Second)
	b.SetShare(1, true)
	c := b.Charge(epoch)
	assert.Nil(t, b.Charge(epoch.Add(time.Second)))
	c.Return()
	c.Return()
	assert.True(t, b.TakeRetry(epoch.Add(2*time.Second)))
	for after := 3 * time.Second; after < 12*time.Second; after += time.Second {
		assert.Nil(t, b.Charge(epoch.Add(after)), after)
	}
}

// TestRetriesSurviveNewWindow guards against retries that are forgotten when the window or the
// ratio of the budget changes.
func TestRetriesSurviveNewWindow(t *testing.T) {
	b := limit.NewRetryBudget(0, 10*time.Second)
	b.SetShare(1, true)
	assert.True(t, b.TakeRetry(epoch))
	b.SetRatio(0, 20*time.Second)
	assert.False(t, b.TakeRetry(epoch.Add(15*time.Second)))
	b.SetRatio(0, 5*time.Second)
	assert.True(t, b.TakeRetry(epoch.Add(16*time.Second)))
	assert.False(t, b.TakeRetry(epoch.Add(17*time.Second)))
}

// TestOddTransfers guards against a size that no result has, which would keep a link busy for years.
func TestOddTransfers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, bytes := range []int64{math.MaxInt64, math.MinInt64, -1, 1e18} {
		l := limit.NewLink(1e9)
		_, ok := l.Reserve(now, bytes, now.Add(math.MaxInt64))
		assert.False(t, ok, bytes)
		p, ok := l.Reserve(now, 1e9, now.Add(time.Second))
		assert.True(t, ok, bytes)
		assert.Equal(t, limit.Plan{Duration: time.Second}, p, bytes)
	}
}
