package emulator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonypulley/emulator"
	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// freezes are endpoints that fall silent for a time, again and again, and go on.
type freezes struct {
	// all endpoints fall silent at once, else one after the other.
	all     bool
	lasting time.Duration
	// probed says that a frozen endpoint answers probes all the same, so that it counts as
	// slow and not as gone: what the router's tests of silence can gain is measured against
	// that.
	probed bool
}

// freezeResult counts requests by how they ended, and what the freezes cost.
type freezeResult struct {
	generations, onTime, lateFirst, lateGap, failed int
	// aborted generations ended after they had begun, lostForGood ones must not run again and
	// may have run.
	aborted, lostForGood, crashes int
	// callsEndedEarly are calls that must not run again and ended before their time limit.
	calls, callsFailed, callsEndedEarly int
	// prompts counts prefills, in mean prompts, charged the arrivals charged to the retry
	// budget.
	prompts float64
	charged int64
}

// freezeTest is a loadTest with a plain service beside the engines.
type freezeTest struct {
	*loadTest
	freezes
	result freezeResult
	log    *observer.ObservedLogs
	rate   float64
}

const (
	frozenEngines   = 12
	freezeInterval  = 4 * time.Second
	freezeCount     = 8
	plainEndpoints  = 3
	plainSlots      = 6
	plainRate       = 60 // calls per second, a fifth of the slots
	plainTimeout    = 2 * time.Second
	freezeLoadShare = 0.5
)

// probedClient answers probes of frozen endpoints.
type probedClient struct {
	router.EndpointClient
	fleet *emulator.Fleet
}

func (c *probedClient) Probe(ctx context.Context, e *router.Endpoint) error {
	return c.fleet.Probe(ctx, e)
}

func newFreezeTest(ctx context.Context, z freezes, seed uint64) *freezeTest {
	spec := smallBatchSpec()
	fleet := emulator.NewFleet(&spec, frozenEngines, frozenEngines*35/100, nil)
	fleet.AddPlainService(plainEndpoints, plainSlots)
	work := emulator.Workload{MeanPrompt: 5200, MeanAnswer: 780}
	core, log := observer.New(zap.WarnLevel)
	d := &freezeTest{freezes: z, log: log, loadTest: &loadTest{ctx: ctx, fleet: fleet, work: work, rnd: rand.New(rand.NewPCG(seed, 1)), metrics: metrics.NewSet()}}
	capacity, _ := spec.Capacity(frozenEngines, work)
	d.rate = freezeLoadShare * capacity
	client := fleet.Freezable(fleet)
	if z.probed {
		client = &probedClient{EndpointClient: client, fleet: fleet}
	}
	for i := range entries {
		set := router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 54, Seed: seed*100 + uint64(i) + 1}
		d.routers = append(d.routers, router.New(set, client, event.NewLog(zap.New(core)), d.metrics))
	}
	fleet.OnStageChange = d.publish
	d.publish()
	go d.exchangeLoads()
	go func() {
		_ = d.routers[0].BalanceStages(ctx, func() (uint64, bool) { return 1, true })
	}()
	return d
}

func (d *freezeTest) publish() {
	for _, r := range d.routers {
		r.SetDirectory(router.NewDirectory(1, 0, nil, d.fleet.Services(), d.fleet.Endpoints()))
		r.SetFleetSize(entries)
	}
}

// sendGenerations sends generations, a fourth of which must not run again, for a time.
func (d *freezeTest) sendGenerations(lasting time.Duration) {
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		time.Sleep(time.Duration(d.rnd.ExpFloat64() / d.rate * float64(time.Second)))
		prompt := d.work.MeanPrompt/2 + d.rnd.IntN(d.work.MeanPrompt)
		answer := d.work.MeanAnswer/4 + d.rnd.IntN(d.work.MeanAnswer*3/2)
		r, again := d.routers[d.rnd.IntN(len(d.routers))], d.rnd.IntN(4) > 0
		content := d.nextContent(prompt, answer)
		d.wg.Go(func() { d.generate(r, content, prompt, answer, again) })
	}
}

func (d *freezeTest) generate(r *router.Router, content uint64, prompt, answer int, again bool) {
	route := &router.Route{Name: "draft", Kind: router.Generation, MaxAttempts: 1, Resumable: again, LatencyTarget: ttftTarget, MaxGap: maxGap, SilenceTimeout: 4 * ttftTarget}
	if again {
		route.MaxAttempts = 2
	}
	const wait = 14 * time.Second
	now, s := time.Now(), &sink{}
	c := &router.Call{ID: "c", Route: route, Service: d.fleet.Service, ReceivedAt: now, Deadline: now.Add(wait), Timeout: wait,
		ContentHash: content, PromptTokens: prompt, MaxOutputTokens: 2 * d.work.MeanAnswer, LengthHint: answer, ResumeAfter: router.NoEvent}
	_, fail := r.Generate(d.ctx, c, s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.generations++
	switch {
	case fail == nil && s.first.Sub(now) <= ttftTarget && s.longestGap <= maxGap:
		d.result.onTime++
	case fail == nil && s.first.Sub(now) <= ttftTarget:
		d.result.lateGap++
	case fail == nil:
		d.result.lateFirst++
	default:
		d.result.failed++
		if !s.first.IsZero() {
			d.result.aborted++
		}
		if !again && fail.Reason != router.NotRun {
			d.result.lostForGood++
		}
	}
}

// freezeRepeatedly freezes one endpoint after the other, or all at once.
func (d *freezeTest) freezeRepeatedly() {
	for i := range freezeCount {
		list := d.fleet.Endpoints()
		if !d.all {
			list = list[i*5%len(list):][:1]
			list = append(list, d.fleet.Endpoints()[i%plainEndpoints])
		}
		for _, e := range list {
			d.fleet.Freeze(e.ID, d.lasting)
		}
		time.Sleep(freezeInterval)
	}
}

// sendCalls sends plain calls, half of which must not be repeated, for a time.
func (d *freezeTest) sendCalls(lasting time.Duration) {
	rnd := rand.New(rand.NewPCG(3, 3))
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		time.Sleep(time.Duration(rnd.ExpFloat64() / plainRate * float64(time.Second)))
		kind, attempts := router.Idempotent, 2
		if rnd.IntN(2) == 0 {
			kind, attempts = router.NonIdempotent, 1
		}
		r := d.routers[rnd.IntN(len(d.routers))]
		content := rnd.Uint64()
		d.wg.Go(func() { d.call(r, content, kind, attempts) })
	}
}

func (d *freezeTest) call(r *router.Router, content uint64, kind router.RouteKind, attempts int) {
	now := time.Now()
	c := &router.Call{ID: "p", Route: &router.Route{Name: "submit", Kind: kind, MaxAttempts: attempts, LatencyTarget: 300 * time.Millisecond, Timeout: plainTimeout},
		Service: d.fleet.PlainService, ReceivedAt: now, Deadline: now.Add(plainTimeout), Timeout: plainTimeout, ContentHash: content}
	ctx, cancel := context.WithDeadline(d.ctx, c.Deadline)
	defer cancel()
	_, fail := r.Call(ctx, c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.calls++
	if fail == nil {
		return
	}
	d.result.callsFailed++
	if kind == router.NonIdempotent && fail.Reason != router.NotRun && time.Now().Before(c.Deadline) {
		d.result.callsEndedEarly++
	}
}

// run plays the freezes under load and returns what they cost.
func (z freezes) run(t *testing.T, seed uint64) (result freezeResult) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newFreezeTest(ctx, z, seed)
		d.sendLoad(d.rate, 30*time.Second) // estimates converge, stages are balanced
		tokens, charged := d.fleet.PrefillTokensSoFar(), d.metrics.Count("retries_charged.llm")
		const span = (freezeCount + 1) * freezeInterval
		d.wg.Go(d.freezeRepeatedly)
		d.wg.Go(func() { d.sendCalls(span) })
		d.sendGenerations(span)
		d.wg.Wait()
		d.result.crashes = d.log.FilterMessage(event.EndpointCrashed.Text).Len()
		d.result.prompts = float64(d.fleet.PrefillTokensSoFar()-tokens) / float64(d.work.MeanPrompt)
		d.result.charged = d.metrics.Count("retries_charged.llm") - charged
		cancel()
		time.Sleep(time.Minute)
		result = d.result
	})
	return result
}

func (r *freezeResult) add(o freezeResult) {
	r.generations += o.generations
	r.onTime += o.onTime
	r.lateFirst += o.lateFirst
	r.lateGap += o.lateGap
	r.failed += o.failed
	r.lostForGood += o.lostForGood
	r.aborted += o.aborted
	r.crashes += o.crashes
	r.calls += o.calls
	r.callsFailed += o.callsFailed
	r.callsEndedEarly += o.callsEndedEarly
	r.prompts += o.prompts
	r.charged += o.charged
}

// TestSilentEndpoints: sound endpoints fall silent for a second or so, probes included, and
// go on. This must count as no crash, end no answer, and cause no more repeats than they
// bring answers on time.
func TestSilentEndpoints(t *testing.T) {
	t.Parallel()
	for _, all := range []bool{false, true} {
		for _, lasting := range []time.Duration{time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("all=%t,%dms", all, lasting.Milliseconds()), func(t *testing.T) {
				t.Parallel()
				var got, patient freezeResult
				for _, seed := range freezeSeeds {
					got.add(freezes{all: all, lasting: lasting}.run(t, seed))
					patient.add(freezes{all: all, lasting: lasting, probed: true}.run(t, seed))
				}
				t.Logf("%+v\nwith probes answered %+v", got, patient)
				assert.Zero(t, got.crashes)
				assert.Zero(t, got.aborted, "answers ended after they had begun")
				assert.Zero(t, got.lostForGood, "generations ended that must not run again")
				assert.Zero(t, got.callsEndedEarly, "calls that must not be repeated ended before their time limit")
				tolerated := freezeNoise * float64(got.generations)
				assert.GreaterOrEqual(t, float64(got.onTime), float64(patient.onTime)-tolerated, "answers on time")
				assert.LessOrEqual(t, got.prompts-patient.prompts, float64(got.onTime-patient.onTime)+tolerated, "prompts prefilled beyond the answers gained")
			})
		}
	}
}

var freezeSeeds = []uint64{1, 2, 3}

// freezeNoise is the part of the generations by which two plays differ that silences treat alike.
const freezeNoise = 0.02
