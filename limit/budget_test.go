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
		b.SetShare(slack, true)
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

// sharedStep is one step of TestSharedRetryBudgetInRandomWindows.
type sharedStep struct {
	Process int
	// Pause is the time before the step in ms, Kind what happens, Times how often.
	Pause, Kind, Times int
}

// TestSharedRetryBudgetInRandomWindows guards against retries beyond the budget of all processes
// when requests move between them and killed ones forget what they spent. The oracle knows all
// requests and arrivals.
func TestSharedRetryBudgetInRandomWindows(t *testing.T) {
	const processes, ratio, slack, span = 4, 0.2, 8.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var budgets [processes]*limit.RetryBudget
		var started [processes]time.Time
		var charges []*limit.Charge
		for i := range budgets {
			budgets[i] = limit.NewRetryBudget(ratio, span)
		}
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sharedStep {
			return sharedStep{rapid.IntRange(0, processes-1).Draw(t, "process"), rapid.IntRange(0, 2000).Draw(t, "pause"), rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(1, 40).Draw(t, "times")}
		}), 1, 150).Draw(t, "steps")
		for _, s := range steps {
			now = now.Add(time.Duration(s.Pause) * time.Millisecond)
			b := budgets[s.Process]
			b.SetShare(0, false)
			if now.Sub(started[s.Process]) >= span {
				b.SetShare(slack/processes, false)
			}
			switch {
			case s.Kind < 4:
				for range s.Times {
					b.RecordFirst(now)
					firsts = append(firsts, now)
				}
			case s.Kind < 7:
				for range s.Times {
					if c := b.Charge(now); c != nil {
						charges = append(charges, c)
					}
				}
			case s.Kind < 9:
				for _, c := range charges {
					c.Arrived(now)
					retries = append(retries, now)
				}
				charges = nil
			default:
				budgets[s.Process], started[s.Process] = limit.NewRetryBudget(ratio, span), now
			}
		}
		for _, end := range retries {
			most := max(within(firsts, end, span), within(firsts, end.Add(-span), span))
			assert.LessOrEqual(t, float64(within(retries, end, span)), ratio*float64(most)+slack+1e-9)
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
	b.SetShare(1, true)
	now := time.Unix(1000, 0)
	assert.True(t, b.TakeRetry(now))
	assert.False(t, b.TakeRetry(now.Add(9*time.Second)))
	assert.True(t, b.TakeRetry(now.Add(11*time.Second)))
}
