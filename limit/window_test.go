package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/limit"
)

// In any window the number of retries is at most the ratio of the first attempts
// of that window and the one before it, plus the slack.
func TestRetryBudgetInRandomWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, span = 0.2, 5.0, 10 * time.Second
		b := limit.NewRetryBudget(ratio, span)
		b.SetSlack(slack)
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst(now)
				firsts = append(firsts, now)
				continue
			}
			if b.TakeRetry(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			in := within(retries, end, span-span/10)
			earned := within(firsts, end, 2*span)
			assert.LessOrEqual(t, float64(in), ratio*float64(earned)+slack)
		}
	})
}

func within(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

func TestRetryBudgetRecovers(t *testing.T) {
	b := limit.NewRetryBudget(0, 10*time.Second)
	b.SetSlack(1)
	now := time.Unix(1000, 0)
	assert.True(t, b.TakeRetry(now))
	assert.False(t, b.TakeRetry(now.Add(9*time.Second)))
	assert.True(t, b.TakeRetry(now.Add(11*time.Second)))
}
