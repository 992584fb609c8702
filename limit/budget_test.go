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

// sharedProcesses is the number of processes of TestSharedRetryBudgetInRandomWindows.
const sharedProcesses = 4

// sharedStep is one step of TestSharedRetryBudgetInRandomWindows: the loaded process receives
// first attempts; after a pause all processes may retry as often as the budget allows.
type sharedStep struct {
	Firsts, PauseMS int
	// Moves says that the load moves to the process Loaded.
	Moves         bool
	Loaded        int
	Retry, Arrive bool
	// Killed is the process that is restarted, if there is one.
	Killed int
}

func drawSharedStep(t *rapid.T) sharedStep {
	return sharedStep{
		Loaded:  rapid.IntRange(0, sharedProcesses-1).Draw(t, "loaded"),
		Firsts:  rapid.IntRange(20, 30).Draw(t, "firsts"),
		PauseMS: rapid.IntRange(500, 1500).Draw(t, "pause"),
		Moves:   rapid.IntRange(0, 7).Draw(t, "moves") == 0,
		Retry:   rapid.IntRange(0, 4).Draw(t, "retry") == 0,
		Arrive:  rapid.Bool().Draw(t, "arrive"),
		Killed:  rapid.IntRange(0, 4*sharedProcesses).Draw(t, "killed"),
	}
}

// TestSharedRetryBudgetInRandomWindows guards against retries beyond the budget of all processes
// when requests move between them and killed ones forget what they spent. The oracle knows all
// requests and arrivals.
func TestSharedRetryBudgetInRandomWindows(t *testing.T) {
	const ratio, slack, span = 0.2, 2.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var budgets [sharedProcesses]*limit.RetryBudget
		var started [sharedProcesses]time.Time
		for i := range budgets {
			budgets[i] = limit.NewRetryBudget(ratio, span)
		}
		now := time.Unix(1000, 0)
		var charges []*limit.Charge
		var firsts, retries []time.Time
		loaded := 0
		for _, s := range rapid.SliceOfN(rapid.Custom(drawSharedStep), 20, 60).Draw(t, "steps") {
			if s.Moves {
				loaded = s.Loaded
			}
			for range s.Firsts {
				budgets[loaded].RecordFirst(now)
				firsts = append(firsts, now)
			}
			now = now.Add(time.Duration(s.PauseMS) * time.Millisecond)
			if s.Killed < sharedProcesses {
				budgets[s.Killed], started[s.Killed] = limit.NewRetryBudget(ratio, span), now
			}
			for i, b := range budgets {
				b.SetShare(0, false)
				if now.Sub(started[i]) >= span {
					b.SetShare(slack/sharedProcesses, false)
				}
				for s.Retry {
					c := b.Charge(now)
					if c == nil {
						break
					}
					charges = append(charges, c)
				}
			}
			if s.Arrive {
				for _, c := range charges {
					c.Arrived(now)
					retries = append(retries, now)
				}
				charges = nil
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
