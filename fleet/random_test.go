package fleet_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/config"
	"ebonypulley/jsonc"
	"ebonypulley/load"
	"ebonypulley/standin"
)

// chaosSeeds is the number of histories; CI runs the first few.
var chaosSeeds = flag.Uint64("chaos.seeds", 6, "histories of TestRandomFailures")

// chaos brings random failures about in a fleet.
type chaos struct {
	*sim
	rnd *rand.Rand
	*chaosState
}

// chaosState is what failures that happen together share.
type chaosState struct {
	mu   sync.Mutex
	log  []string
	down map[string]bool
	// generation is the last one published.
	generation uint64
}

// take marks a process as down, unless it is.
func (c *chaosState) take(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := !c.down[name]
	c.down[name] = true
	return taken
}

func (c *chaosState) back(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = false
}

// next returns a generation that was not published yet.
func (c *chaosState) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	return c.generation
}

// together brings one failure about, or two at the same time.
func (c *chaos) together() {
	var wg sync.WaitGroup
	for range 1 + c.rnd.IntN(2) {
		one := &chaos{sim: c.sim, rnd: rand.New(rand.NewPCG(c.rnd.Uint64(), 4)), chaosState: c.chaosState}
		wg.Go(one.fault)
	}
	wg.Wait()
}

func (c *chaos) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func pickOf(rnd *rand.Rand, list []string) string { return list[rnd.IntN(len(list))] }

func (c *chaos) agent() string {
	return pickOf(c.rnd, []string{"alm-a-prefill-1", "alm-b-prefill-1", "alm-a-decode-1", "alm-b-decode-1", "alm-a-app-1", "alm-b-app-1"})
}

func (c *chaos) engine() string { return c.agent() + "-engine" }

func (c *chaos) span(most time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(most)))
}

// fault brings one failure about; what it took down comes back later.
func (c *chaos) fault() {
	switch c.rnd.IntN(13) {
	case 0:
		e, a := c.entry(c.rnd.IntN(2)), c.agent()
		c.note("cut %s %s", e, a)
		c.net.Cut(e, a)
	case 1:
		e, a := c.entry(c.rnd.IntN(2)), c.agent()
		c.note("silence %s %s", e, a)
		c.net.Silence(e, a)
	case 2:
		a := c.agent()
		c.note("silence %s and its endpoint", a)
		c.net.Silence(a, a+"-engine")
	case 3:
		a := c.agent()
		c.replace("crash", a, func() { c.crash(a); c.rest() }, c.StartAgent)
	case 4:
		c.engineFault()
	case 5:
		side := []string{c.agent(), c.agent(), c.entry(c.rnd.IntN(2)), "caller"}
		c.note("partition %v", side)
		c.net.Partition(side...)
		time.Sleep(c.span(4 * time.Second))
		c.net.Partition()
	case 6:
		kind := []standin.FaultKind{standin.FaultStale, standin.FaultOutage, standin.FaultStall}[c.rnd.IntN(3)]
		c.note("configuration service %s", kind)
		c.Config.Fault(standin.Fault{Kind: kind, For: jsonc.Duration(c.span(5 * time.Second))})
	case 7:
		a := c.agent()
		c.replace("drain", a, func() { assert.NoError(c.t, c.Drain(c.t.Context(), a)) }, c.StartAgent)
	case 8:
		if p, ok := c.Services[c.engine()]; ok {
			c.note("a service cuts its answers")
			p.Fault(standin.Fault{Kind: standin.FaultNoAnswer, For: jsonc.Duration(c.span(time.Second))})
		}
	case 9:
		e := c.entry(c.rnd.IntN(2))
		c.replace("crash", e, func() { c.crash(e); c.rest() }, c.StartEntry)
	case 10:
		e := c.entry(c.rnd.IntN(2))
		c.replace("drain", e, func() { assert.NoError(c.t, c.Drain(c.t.Context(), e)) }, c.StartEntry)
	case 11:
		a := c.agent()
		c.replace("power cut", a, func() { c.powerCut(a); c.rest() }, c.StartAgent)
	case 12:
		a, generation := c.agent(), c.next()
		c.note("generation %d has no %s", generation, a)
		c.publish(generation, without(a))
		c.rest()
		c.publish(c.next(), func(*config.Document) {})
	}
}

// replace takes a process down and starts its successor, unless it is down.
func (c *chaos) replace(how, name string, down func(), start func(string)) {
	if !c.take(name) {
		return
	}
	defer c.back(name)
	c.note("%s %s", how, name)
	down()
	start(name)
}

func (c *chaos) rest() { time.Sleep(c.span(3 * time.Second)) }

func (c *chaos) engineFault() {
	name := c.engine()
	kinds := []standin.FaultKind{standin.FaultCrash, standin.FaultSilent, standin.FaultStall, standin.FaultSlow, standin.FaultTransfer}
	f := standin.Fault{Kind: kinds[c.rnd.IntN(len(kinds))], Factor: 5, For: jsonc.Duration(c.span(4 * time.Second))}
	if e, ok := c.Engines[name]; ok {
		c.note("%s at %s", f.Kind, name)
		e.Fault(f)
	}
}

// TestRandomFailures runs the real daemons under random failures, alone and
// two at the same time, with mixed load. Whatever happens: no call runs twice,
// "not run" is true, whole answers are right, no invariant is violated, and
// when all is well again the engines' memory is free and requests are served.
func TestRandomFailures(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			simulate(t, func(s *sim) {
				c := &chaos{sim: s, rnd: rand.New(rand.NewPCG(seed, 3)), chaosState: &chaosState{down: make(map[string]bool), generation: 1}}
				mix := load.Mix{Caller: s.caller, PaidKey: paidKey, TrialKey: trialKey, Rate: 15, For: 12 * time.Second, Seed: seed}
				done := make(chan struct{})
				var sum load.Summary
				var results []load.Result
				go func() {
					defer close(done)
					ctx, cancel := context.WithTimeout(s.t.Context(), 40*time.Second)
					defer cancel()
					sum, results, _ = mix.Run(ctx, load.Targets{TTFT: time.Second, TBT: 71 * time.Millisecond})
				}()
				for range 8 {
					c.together()
					time.Sleep(c.span(2 * time.Second))
				}
				<-done
				s.net.Partition()
				time.Sleep(5 * time.Second)
				sum = load.Judge(sum, results, s.Runs())
				t.Logf("%d requests: %d whole, %d not run, %d unknown, %d broken off; %d faults", sum.Requests, sum.Whole, sum.NotRun, sum.Unknown, sum.Broken, len(c.log))
				assert.Empty(t, sum.Mismatches)
				assert.Zero(t, sum.Duplicates)
				assert.Zero(t, sum.FalseNotRun)
				assert.Zero(t, s.Held(), "memory is still held")
				last := c.next()
				c.publish(last, func(*config.Document) {})
				time.Sleep(inForce)
				s.allAt(last)
				whole(t, s.draft(load.DraftSpec{}))
				whole(t, s.book(load.CallSpec{}))
				if t.Failed() {
					for _, line := range c.log {
						t.Log(line)
					}
				}
			})
		})
	}
}
