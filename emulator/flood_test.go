package emulator_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/emulator"
	"ebonypulley/quota"
	"ebonypulley/router"
)

const (
	floodEntries   = 9 // three in each data centre
	floodEngines   = 24
	floodEndpoints = 3
	floodSlots     = 6
	// floodLoad is the load during a flood, in parts of what the engines and the plain
	// endpoints can serve; floodFactor is how many times as many requests a flooded entry
	// gets as its whole data centre, or region, usually has.
	floodLoad   = 0.6
	floodFactor = 3
	// floodShare is the part of a data centre's requests that goes to the flooded entry.
	floodShare = 0.95
	// floodContact is the time within which entries must have adapted to a flood, minServed
	// the part of the usual successes at the first attempt that must be left then.
	floodContact = 3 * time.Second
	minServed    = 0.75
	// limitRoom is the room that limits leave above the flooded load.
	limitRoom = 1.3
)

// flood sends most requests of one or all data centres to one entry for some seconds, and
// then to another entry.
type flood struct {
	// region says that the requests of all data centres go to one entry.
	region bool
	// limits are the things that are limited: "endpoints", "workspace" or "retries".
	limits string
}

// floodOutcome is how the first attempt of a request ended.
type floodOutcome struct {
	at            time.Time
	entry         *emulator.Entry
	generation    bool
	served, early bool // early says that it met its objectives
	reason        string
}

type floodTest struct {
	*clusterTest
	flood
	workspace *router.Workspace
	outcomes  []floodOutcome
	// flooded is the entry that gets most requests, or nil.
	flooded             *emulator.Entry
	generations, plains float64 // usual requests per second of all data centres
}

func (f flood) run(t *testing.T, seed uint64, fn func(d *floodTest)) {
	spec := smallBatchSpec()
	newFleet := func() *emulator.Fleet {
		fleet := emulator.NewFleet(&spec, floodEngines, floodEngines*35/100, nil)
		fleet.AddPlainService(floodEndpoints, floodSlots)
		return fleet
	}
	work := emulator.Workload{MeanPrompt: 5200, MeanAnswer: 780}
	runClusterOf(t, floodEntries, newFleet, work, seed, func(c *clusterTest) {
		capacity, _ := spec.Capacity(floodEngines, work)
		usual := floodLoad / f.peak()
		d := &floodTest{clusterTest: c, flood: f, generations: usual * capacity, plains: usual * floodEndpoints * floodSlots / 0.06}
		d.limit()
		fn(d)
	})
}

// peak returns the load of all entries during a flood, relative to the usual one.
func (f flood) peak() float64 {
	if f.region {
		return floodFactor
	}
	return 1 + (floodFactor-1)/3.0
}

// limit sets the limits, so that the flooded load is below them.
func (d *floodTest) limit() {
	room := limitRoom * d.peak()
	if strings.Contains(d.limits, "endpoints") {
		for _, e := range d.fleet.Endpoints()[:floodEndpoints] {
			d.fleet.SetLimit(e.ID, router.RequestLimit{Advertised: true, PerSecond: room * d.plains / floodEndpoints})
		}
	}
	if strings.Contains(d.limits, "workspace") {
		perSecond := room * (d.generations*float64(d.work.MeanPrompt+2*d.work.MeanAnswer) + d.plains*plainCost)
		d.workspace = &router.Workspace{Name: "school", ID: 7, Limit: quota.Limit{Rate: perSecond, Burst: perSecond}, PlainCost: plainCost}
	}
	if strings.Contains(d.limits, "retries") {
		d.fleet.FailPlainCalls(8)
	}
}

const plainCost = 200

// rate returns the requests per second of all data centres, in multiples of the usual ones.
func (d *floodTest) rate() float64 {
	if d.flooded == nil {
		return 1
	}
	return d.peak()
}

// pick returns the entry of the next request.
func (d *floodTest) pick() *emulator.Entry {
	e := d.cluster.Entries[d.rnd.IntN(len(d.cluster.Entries))]
	if d.flooded == nil {
		return e
	}
	// In a flood of one data centre, its requests are floodFactor times the usual ones.
	hot := floodFactor / (floodFactor + 2.0)
	if d.region {
		hot = 1
	}
	if d.rnd.Float64() < hot*floodShare {
		return d.flooded
	}
	return e
}

// send sends both kinds of requests for a time.
func (d *floodTest) send(lasting time.Duration) {
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		all := (d.generations + d.plains) * d.rate()
		time.Sleep(time.Duration(d.rnd.ExpFloat64() / all * float64(time.Second)))
		e := d.pick()
		if d.rnd.Float64() < d.generations/(d.generations+d.plains) {
			prompt := d.work.MeanPrompt/2 + d.rnd.IntN(d.work.MeanPrompt)
			answer := d.work.MeanAnswer/4 + d.rnd.IntN(d.work.MeanAnswer*3/2)
			d.wg.Go(func() { d.generate(e, prompt, answer) })
			continue
		}
		repeatable := d.rnd.IntN(3) == 0
		d.wg.Go(func() { d.call(e, repeatable) })
	}
}

func (d *floodTest) generate(e *emulator.Entry, prompt, answer int) {
	route := &router.Route{Name: "draft", Kind: router.Generation, MaxAttempts: 2, Resumable: true, LatencyTarget: ttftTarget, MaxGap: maxGap, SilenceTimeout: 4 * ttftTarget}
	now, s := time.Now(), &sink{}
	c := d.newCall(route, d.fleet.Service, now, 14*time.Second, prompt+2*d.work.MeanAnswer)
	c.PromptTokens, c.MaxOutputTokens, c.LengthHint = prompt, 2*d.work.MeanAnswer, answer
	_, fail := e.Router.Generate(d.ctx, c, s)
	d.record(floodOutcome{at: now, entry: e, generation: true, served: fail == nil, early: fail == nil && s.first.Sub(now) <= ttftTarget && s.longestGap <= maxGap}, fail)
}

func (d *floodTest) call(e *emulator.Entry, repeatable bool) {
	route := &router.Route{Name: "submit", Kind: router.NonIdempotent, MaxAttempts: 1, LatencyTarget: 300 * time.Millisecond}
	if repeatable {
		route = &router.Route{Name: "status", Kind: router.Idempotent, MaxAttempts: 2, LatencyTarget: 300 * time.Millisecond}
	}
	now := time.Now()
	a, fail := e.Router.Call(d.ctx, d.newCall(route, d.fleet.PlainService, now, 2*time.Second, plainCost))
	served := fail == nil && (!a.Failed || !repeatable) // a failure that must not be repeated is the endpoint's
	d.record(floodOutcome{at: now, entry: e, served: served, early: served && time.Since(now) <= route.LatencyTarget}, fail)
}

func (d *floodTest) newCall(route *router.Route, s *router.Service, now time.Time, wait time.Duration, tokens int) *router.Call {
	return &router.Call{ID: "c", Route: route, Service: s, ReceivedAt: now, Deadline: now.Add(wait), Timeout: wait,
		ContentHash: rand.Uint64(), ResumeAfter: router.NoEvent, Workspace: d.workspace, Tokens: tokens}
}

func (d *floodTest) record(o floodOutcome, fail *router.Failure) {
	if fail != nil {
		o.reason = fmt.Sprint(fail.Reason, " ", strings.SplitN(fmt.Sprint(fail.Cause), ":", 2)[0])
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, o)
}

// fractions returns which fraction of the requests of one kind was served at the first attempt
// in a span, and which one in time; a nil entry stands for all. reasons counts failures.
func (d *floodTest) fractions(e *emulator.Entry, generation bool, from, to time.Time) (served, early float64, n int, reasons map[string]int) {
	reasons = make(map[string]int)
	for _, o := range d.outcomes {
		if o.generation != generation || e != nil && o.entry != e || o.at.Before(from) || !o.at.Before(to) {
			continue
		}
		n++
		if o.served {
			served++
		} else {
			reasons[o.reason]++
		}
		if o.early {
			early++
		}
	}
	return served / float64(max(n, 1)), early / float64(max(n, 1)), n, reasons
}

// TestFloodedEntry: most new connections are handed to one entry, which then gets three times
// the requests of its data centre, and later to another. Endpoints, limits and budgets have
// room for all of them; the flooded entry must serve them as usual.
func TestFloodedEntry(t *testing.T) {
	t.Parallel()
	for _, region := range []bool{false, true} {
		for _, limits := range []string{"endpoints", "workspace,retries"} {
			t.Run(fmt.Sprintf("region=%t,%s", region, limits), func(t *testing.T) {
				t.Parallel()
				flood{region: region, limits: limits}.run(t, 1, func(d *floodTest) {
					const span, phase = 6 * time.Second, 7 * time.Second
					d.send(8 * time.Second) // estimates converge
					usual := time.Now()
					d.send(span)
					began := time.Now()
					first, second := d.cluster.Entries[1], d.cluster.Entries[4]
					d.flooded = first
					d.send(phase)
					changed := time.Now()
					d.flooded = second
					d.send(phase)
					end := time.Now()
					d.wg.Wait()
					for _, generation := range []bool{true, false} {
						before, beforeEarly, _, _ := d.fractions(nil, generation, usual, began)
						for _, p := range []struct {
							entry    *emulator.Entry
							from, to time.Time
						}{{first, began, began.Add(floodContact)}, {first, began.Add(floodContact), changed}, {second, changed, end}} {
							served, early, n, reasons := d.fractions(p.entry, generation, p.from, p.to)
							t.Logf("generations %t, from %s: %.3f served (%.3f before), %.3f in time (%.3f before) of %d; %v", generation, p.from.Sub(began), served, before, early, beforeEarly, n, reasons)
							if p.from.Sub(began) >= floodContact {
								assert.GreaterOrEqual(t, served, minServed*before)
								assert.GreaterOrEqual(t, early, minServed*beforeEarly)
							}
						}
					}
				})
			})
		}
	}
}
