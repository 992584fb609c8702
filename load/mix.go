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

// Mix is an open-loop load of all kinds of requests: each is sent at its arrival time,
// whether or not earlier ones have been answered.
type Mix struct {
	Caller Caller
	// PaidKey and TrialKey are workspace keys of the paid and of the trial tier.
	PaidKey  string
	TrialKey string
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	Seed     uint64
	// Progress, if set, is called about once a second.
	Progress func(Summary)
}

// Summary counts the requests by their results.
type Summary struct {
	Requests  int
	Complete  int
	NotRun    int
	Unknown   int
	Cancelled int
	Aborted   int
	// Mismatches describe the complete answers that differ from the expected ones.
	Mismatches []string
	// Duplicates counts non-idempotent calls that ran more than once.
	Duplicates int
	// FalseNotRun counts calls that ran although they were reported as not run.
	FalseNotRun int
	// PaidOnTarget counts the paid streamed generations within both latency targets. Paid
	// counts all paid streamed generations that were not cancelled, and also unstreamed
	// ones that failed.
	PaidOnTarget int
	Paid         int
	Violations   int64
	// Reasons counts the error responses and connection errors by kind, outcome and
	// reason.
	Reasons map[string]int
}

// collector collects the results of a run.
type collector struct {
	mu         sync.Mutex
	totals     Summary
	results    []Result
	targetTTFT time.Duration
	targetTBT  time.Duration
}

// Targets are the latency targets for goodput. TBT is the target for the mean time
// between the events of a stream.
type Targets struct {
	TTFT time.Duration
	TBT  time.Duration
}

// Run sends the requests and returns when all of them have ended.
func (m *Mix) Run(ctx context.Context, t Targets) (Summary, []Result, error) {
	balancerCtx, stop := context.WithCancel(ctx)
	defer stop()
	go m.Caller.Balancer.Run(balancerCtx)
	c := &collector{targetTTFT: t.TTFT, targetTBT: t.TBT, totals: Summary{Reasons: make(map[string]int)}}
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(m.Seed, 1))
	end := time.Now().Add(m.Duration)
	nextReport := time.Now().Add(time.Second)
	for next := time.Now(); next.Before(end) && ctx.Err() == nil; next = next.Add(m.interarrivalTime(rnd)) {
		time.Sleep(time.Until(next))
		seed := rnd.Uint64()
		wg.Go(func() { m.sendRequest(ctx, c, rand.New(rand.NewPCG(m.Seed, seed))) })
		if m.Progress != nil && time.Now().After(nextReport) {
			m.Progress(c.summary())
			nextReport = time.Now().Add(time.Second)
		}
	}
	wg.Wait()
	return c.summary(), c.results, ctx.Err()
}

func (m *Mix) interarrivalTime(rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.ExpFloat64() / m.Rate * float64(time.Second))
}

// Composition of the mix, and the maximum number of repeats of a call.
const (
	generationFraction    = 0.5
	nonIdempotentFraction = 0.25
	trialFraction         = 0.4
	streamFraction        = 0.7
	cancelFraction        = 0.1
	keyFraction           = 0.5
	repeatFraction        = 0.2
	maxRepeats            = 3
)

func (m *Mix) sendRequest(ctx context.Context, c *collector, rnd *rand.Rand) {
	key, trial := m.PaidKey, rnd.Float64() < trialFraction
	if trial {
		key = m.TrialKey
	}
	kind := rnd.Float64()
	switch {
	case kind < generationFraction:
		c.add(m.Caller.Generate(ctx, rnd, newGenerationSpec(rnd, key, trial)))
	case kind < generationFraction+nonIdempotentFraction:
		m.sendNonIdempotent(ctx, c, rnd, key, trial)
	default:
		c.add(m.Caller.Call(ctx, rnd, CallSpec{Key: key, Trial: trial, Kind: KindIdempotent}))
	}
}

// sendNonIdempotent sends a non-idempotent call. Some callers then repeat it with the same
// Idempotency-Key, several times at once and through any entry, as impatient users do.
func (m *Mix) sendNonIdempotent(ctx context.Context, c *collector, rnd *rand.Rand, key string, trial bool) {
	spec := CallSpec{Key: key, Trial: trial, Kind: KindNonIdempotent, ID: uuid.Must(uuid.NewV7()).String()}
	if rnd.Float64() < keyFraction {
		spec.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	c.add(m.Caller.Call(ctx, rnd, spec))
	if spec.IdempotencyKey == "" || rnd.Float64() >= repeatFraction {
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

// Number of shared prompt prefixes, and lengths of generations: words of the prompt, output
// tokens, and events after which a caller disconnects.
const (
	sharedPrefixes = 3
	minWords       = 20
	maxWords       = 300
	minOutput      = 8
	maxOutput      = 64
	maxCancelAfter = 12
)

// newGenerationSpec returns a random generation. Many of them share a prompt prefix, so that
// prefix caches have an effect.
func newGenerationSpec(rnd *rand.Rand, key string, trial bool) GenerationSpec {
	prompt := strings.Repeat("Rules of form "+string(rune('A'+rnd.IntN(sharedPrefixes)))+" in full. ", maxWords/2)
	for range minWords + rnd.IntN(maxWords-minWords) {
		prompt += vocabulary[rnd.IntN(len(vocabulary))]
	}
	d := GenerationSpec{
		Key:       key,
		Trial:     trial,
		Prompt:    prompt,
		MaxTokens: minOutput + rnd.IntN(maxOutput-minOutput),
		Stream:    rnd.Float64() < streamFraction,
	}
	if d.Stream && rnd.Float64() < cancelFraction {
		d.CancelAfter = 1 + rnd.IntN(maxCancelAfter)
	}
	return d
}

var vocabulary = []string{"family ", "income ", "school ", "robotics ", "swimming ", "chess ", "sibling ", "term ", "fee ", "waiver "}

func (c *collector) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	s := &c.totals
	s.Requests++
	if r.Mismatch != "" {
		s.Mismatches = append(s.Mismatches, r.Mismatch)
	}
	switch {
	case r.Cancelled:
		s.Cancelled++
	case r.Aborted:
		s.Aborted++
		s.Unknown++
	case r.Outcome == entry.OutcomeAnswered:
		s.Complete++
	case r.Outcome == entry.OutcomeNotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if r.Reason != "" {
		s.Reasons[string(r.Kind)+" "+string(r.Outcome)+": "+r.Reason]++
	}
	c.addGoodput(r)
}

func (c *collector) addGoodput(r Result) {
	if r.Kind != KindGeneration || r.Trial || r.Cancelled || r.TTFT == 0 && !r.Aborted && r.Outcome == entry.OutcomeAnswered {
		return
	}
	c.totals.Paid++
	if r.Aborted || r.Outcome != entry.OutcomeAnswered || r.TTFT > c.targetTTFT {
		return
	}
	var total time.Duration
	for _, gap := range r.TBT {
		total += gap
	}
	if len(r.TBT) == 0 || total/time.Duration(len(r.TBT)) <= c.targetTBT {
		c.totals.PaidOnTarget++
	}
}

func (c *collector) summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.totals
	s.Reasons = maps.Clone(s.Reasons)
	s.Violations = invariant.Violations()
	return s
}

// CheckRuns compares the results with the number of times that the service ran each call, by
// call ID, and adds the violations found to the summary.
func CheckRuns(s Summary, results []Result, runs map[string]int) Summary {
	seen := make(map[string]bool)
	for _, r := range results {
		if r.Kind != KindNonIdempotent {
			continue
		}
		n := runs[r.CallID]
		if !seen[r.CallID] && n > 1 {
			s.Duplicates++
		}
		seen[r.CallID] = true
		if r.Outcome == entry.OutcomeNotRun && n > 0 && !otherMayHaveRun(results, r) {
			s.FalseNotRun++
		}
		if r.Outcome == entry.OutcomeAnswered && r.Status < 300 && n == 0 {
			s.Mismatches = append(s.Mismatches, "booking "+r.CallID+" was answered but never ran")
		}
	}
	return s
}

// otherMayHaveRun reports whether another request with the same call ID was answered or may
// have run. The run may then be that request's, and the answer that r did not run may be true.
func otherMayHaveRun(results []Result, r Result) bool {
	for _, other := range results {
		if other.CallID == r.CallID && other.Outcome != entry.OutcomeNotRun {
			return true
		}
	}
	return false
}
