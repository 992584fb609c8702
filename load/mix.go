package load

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"ebonypulley/entry"
	"ebonypulley/invariant"
)

// Mix is open-loop work of all kinds: requests arrive at their times whether
// earlier ones are answered or not.
type Mix struct {
	Caller Caller
	// PaidKey and TrialKey are workspace keys of the two tiers.
	PaidKey  string
	TrialKey string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// For is how long requests arrive.
	For  time.Duration
	Seed uint64
	// Progress, if set, is called about once a second.
	Progress func(Summary)
}

// Summary adds up what became of the requests.
type Summary struct {
	Requests  int
	Whole     int
	NotRun    int
	Unknown   int
	Cancelled int
	Broken    int
	// Mismatches are whole answers that are not the right ones.
	Mismatches []string
	// Duplicates are non-idempotent calls that ran more than once.
	Duplicates int
	// FalseNotRun are calls refused as not run that did run.
	FalseNotRun int
	// GoodPaid and Paid count paid streamed drafts within both targets, and
	// all that were not cancelled.
	GoodPaid   int
	Paid       int
	Violations int64
	// Reasons counts the answers that were not whole by outcome and reason.
	Reasons map[string]int
}

// collector gathers results.
type collector struct {
	mu      sync.Mutex
	sum     Summary
	results []Result
	ttft    time.Duration
	tbt     time.Duration
}

// Targets are the latency targets that goodput is counted against.
type Targets struct {
	TTFT time.Duration
	TBT  time.Duration
}

// Run sends the mix and returns when every request has ended.
func (m *Mix) Run(ctx context.Context, t Targets) (Summary, []Result, error) {
	balanceCtx, stop := context.WithCancel(ctx)
	defer stop()
	go m.Caller.Balancer.Run(balanceCtx)
	c := &collector{ttft: t.TTFT, tbt: t.TBT, sum: Summary{Reasons: make(map[string]int)}}
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(m.Seed, 1))
	end := time.Now().Add(m.For)
	report := time.Now().Add(time.Second)
	for next := time.Now(); next.Before(end) && ctx.Err() == nil; next = next.Add(m.gap(rnd)) {
		time.Sleep(time.Until(next))
		seed := rnd.Uint64()
		wg.Go(func() { m.one(ctx, c, rand.New(rand.NewPCG(m.Seed, seed))) })
		if m.Progress != nil && time.Now().After(report) {
			m.Progress(c.summary())
			report = time.Now().Add(time.Second)
		}
	}
	wg.Wait()
	return c.summary(), c.results, ctx.Err()
}

func (m *Mix) gap(rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.ExpFloat64() / m.Rate * float64(time.Second))
}

// Shares of the mix.
const (
	draftShare   = 0.5
	bookingShare = 0.25
	trialShare   = 0.4
	streamShare  = 0.7
	cancelShare  = 0.1
	keyShare     = 0.5
	repeatShare  = 0.2
	maxRepeats   = 3
)

func (m *Mix) one(ctx context.Context, c *collector, rnd *rand.Rand) {
	key, trial := m.PaidKey, rnd.Float64() < trialShare
	if trial {
		key = m.TrialKey
	}
	kind := rnd.Float64()
	switch {
	case kind < draftShare:
		c.add(m.Caller.Draft(ctx, rnd, draft(rnd, key, trial)))
	case kind < draftShare+bookingShare:
		m.booking(ctx, c, rnd, key, trial)
	default:
		c.add(m.Caller.Call(ctx, rnd, CallSpec{Key: key, Trial: trial, Kind: Lookup}))
	}
}

// booking sends a booking; some callers repeat it with its key through
// another entry, as impatient ones do.
func (m *Mix) booking(ctx context.Context, c *collector, rnd *rand.Rand, key string, trial bool) {
	spec := CallSpec{Key: key, Trial: trial, Kind: Booking, ID: uuid.Must(uuid.NewV7()).String()}
	if rnd.Float64() < keyShare {
		spec.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	c.add(m.Caller.Call(ctx, rnd, spec))
	if spec.IdempotencyKey == "" || rnd.Float64() >= repeatShare {
		return
	}
	var wg sync.WaitGroup
	for range 1 + rnd.IntN(maxRepeats) {
		seed := rnd.Uint64()
		wg.Go(func() {
			c.add(m.Caller.Call(ctx, rand.New(rand.NewPCG(m.Seed, seed)), spec))
		})
	}
	wg.Wait()
}

// Lengths of the drafts.
const (
	sharedParts  = 3
	minWords     = 20
	maxWords     = 300
	minOutput    = 8
	maxOutput    = 64
	maxCancelled = 12
)

// draft makes a model request; many share the beginning of their prompt.
func draft(rnd *rand.Rand, key string, trial bool) DraftSpec {
	prompt := strings.Repeat("Rules of form "+string(rune('A'+rnd.IntN(sharedParts)))+" in full. ", maxWords/2)
	for range minWords + rnd.IntN(maxWords-minWords) {
		prompt += vocabulary[rnd.IntN(len(vocabulary))]
	}
	d := DraftSpec{
		Key:       key,
		Trial:     trial,
		Prompt:    prompt,
		MaxTokens: minOutput + rnd.IntN(maxOutput-minOutput),
		Stream:    rnd.Float64() < streamShare,
	}
	if d.Stream && rnd.Float64() < cancelShare {
		d.CancelAfter = 1 + rnd.IntN(maxCancelled)
	}
	return d
}

var vocabulary = []string{"family ", "income ", "school ", "robotics ", "swimming ", "chess ", "sibling ", "term ", "fee ", "waiver "}

func (c *collector) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	s := &c.sum
	s.Requests++
	if r.Mismatch != "" {
		s.Mismatches = append(s.Mismatches, r.Mismatch)
	}
	switch {
	case r.Cancelled:
		s.Cancelled++
	case r.Broken:
		s.Broken++
		s.Unknown++
	case r.Outcome == entry.Answered:
		s.Whole++
	case r.Outcome == entry.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if r.Reason != "" {
		s.Reasons[string(r.Kind)+" "+string(r.Outcome)+": "+r.Reason]++
	}
	c.goodput(r)
}

func (c *collector) goodput(r Result) {
	if r.Kind != Draft || r.Trial || r.Cancelled || r.TTFT == 0 && !r.Broken && r.Outcome == entry.Answered {
		return
	}
	c.sum.Paid++
	if r.Broken || r.Outcome != entry.Answered || r.TTFT > c.ttft {
		return
	}
	var total time.Duration
	for _, gap := range r.TBT {
		total += gap
	}
	if len(r.TBT) == 0 || total/time.Duration(len(r.TBT)) <= c.tbt {
		c.sum.GoodPaid++
	}
}

func (c *collector) summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sum
	s.Reasons = maps.Clone(s.Reasons)
	s.Violations = invariant.Violations()
	return s
}

// Judge compares the results with how often the service ran each call.
func Judge(s Summary, results []Result, runs map[string]int) Summary {
	seen := make(map[string]bool)
	for _, r := range results {
		if r.Kind != Booking {
			continue
		}
		n := runs[r.Call]
		if !seen[r.Call] && n > 1 {
			s.Duplicates++
		}
		seen[r.Call] = true
		if r.Outcome == entry.NotRun && n > 0 && !sharedCall(results, r) {
			s.FalseNotRun++
		}
		if r.Outcome == entry.Answered && r.Status < 300 && n == 0 {
			s.Mismatches = append(s.Mismatches, "booking "+r.Call+" was answered but never ran")
		}
	}
	return s
}

// sharedCall reports whether another request with the same call was answered
// or may have run: then a refusal as not run speaks of its own request only.
func sharedCall(results []Result, r Result) bool {
	for _, other := range results {
		if other.Call == r.Call && other.Outcome != entry.NotRun {
			return true
		}
	}
	return false
}
