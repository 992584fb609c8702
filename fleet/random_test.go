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

// chaosSeeds is the number of random histories; CI runs the first few.
var chaosSeeds = flag.Uint64("chaos.seeds", 6, "histories of TestRandomFailures")

// chaos injects random faults into a fleet.
type chaos struct {
	*sim
	rnd *rand.Rand
	*chaosState
}

// chaosState is shared by the faults that are injected at the same time.
type chaosState struct {
	mu   sync.Mutex
	log  []string
	down map[string]bool
	// generation is the last published generation.
	generation uint64
}

// tryTakeDown marks a process as down. It returns false if it is down already.
func (c *chaosState) tryTakeDown(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := !c.down[name]
	c.down[name] = true
	return taken
}

func (c *chaosState) markUp(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = false
}

// nextGeneration returns a generation that has not been published yet.
func (c *chaosState) nextGeneration() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	return c.generation
}

// injectFaults injects one fault, or two at the same time.
func (c *chaos) injectFaults() {
	var wg sync.WaitGroup
	for range 1 + c.rnd.IntN(2) {
		one := &chaos{sim: c.sim, rnd: rand.New(rand.NewPCG(c.rnd.Uint64(), 4)), chaosState: c.chaosState}
		wg.Go(one.injectRandomFault)
	}
	wg.Wait()
}

func (c *chaos) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func pickRandom(rnd *rand.Rand, list []string) string { return list[rnd.IntN(len(list))] }

func (c *chaos) randomAgent() string {
	return pickRandom(c.rnd, []string{"alm-a-prefill-1", "alm-b-prefill-1", "alm-a-decode-1", "alm-b-decode-1", "alm-a-app-1", "alm-b-app-1"})
}

func (c *chaos) randomEngine() string { return c.randomAgent() + "-engine" }

func (c *chaos) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

// injectRandomFault injects one fault. Processes that it takes down are started again.
func (c *chaos) injectRandomFault() {
	switch c.rnd.IntN(13) {
	case 0:
		e, a := c.entryName(c.rnd.IntN(2)), c.randomAgent()
		c.record("cut %s %s", e, a)
		c.net.Cut(e, a)
	case 1:
		e, a := c.entryName(c.rnd.IntN(2)), c.randomAgent()
		c.record("silence %s %s", e, a)
		c.net.Silence(e, a)
	case 2:
		a := c.randomAgent()
		c.record("silence %s and its endpoint", a)
		c.net.Silence(a, a+"-engine")
	case 3:
		a := c.randomAgent()
		c.takeDownAndRestart("crash", a, func() { c.crash(a); c.sleepRandom() }, c.StartAgent)
	case 4:
		c.injectEngineFault()
	case 5:
		side := []string{c.randomAgent(), c.randomAgent(), c.entryName(c.rnd.IntN(2)), "caller"}
		c.record("partition %v", side)
		c.net.Partition(side...)
		time.Sleep(c.randomDuration(4 * time.Second))
		c.net.Partition()
	case 6:
		kind := []standin.FaultKind{standin.FaultStale, standin.FaultOutage, standin.FaultStall}[c.rnd.IntN(3)]
		c.record("configuration service %s", kind)
		c.Config.InjectFault(standin.Fault{Kind: kind, For: jsonc.Duration(c.randomDuration(5 * time.Second))})
	case 7:
		a := c.randomAgent()
		c.takeDownAndRestart("drain", a, func() { assert.NoError(c.t, c.Drain(c.t.Context(), a)) }, c.StartAgent)
	case 8:
		if p, ok := c.Services[c.randomEngine()]; ok {
			c.record("a service drops its responses")
			p.InjectFault(standin.Fault{Kind: standin.FaultNoAnswer, For: jsonc.Duration(c.randomDuration(time.Second))})
		}
	case 9:
		e := c.entryName(c.rnd.IntN(2))
		c.takeDownAndRestart("crash", e, func() { c.crash(e); c.sleepRandom() }, c.StartEntry)
	case 10:
		e := c.entryName(c.rnd.IntN(2))
		c.takeDownAndRestart("drain", e, func() { assert.NoError(c.t, c.Drain(c.t.Context(), e)) }, c.StartEntry)
	case 11:
		a := c.randomAgent()
		c.takeDownAndRestart("power cut", a, func() { c.powerCut(a); c.sleepRandom() }, c.StartAgent)
	case 12:
		a, generation := c.randomAgent(), c.nextGeneration()
		c.record("generation %d has no %s", generation, a)
		c.publishChanged(generation, withoutEndpoint(a))
		c.sleepRandom()
		c.publishChanged(c.nextGeneration(), func(*config.Document) {})
	}
}

// takeDownAndRestart takes a process down and starts its successor, unless it is down already.
func (c *chaos) takeDownAndRestart(how, name string, down func(), start func(string)) {
	if !c.tryTakeDown(name) {
		return
	}
	defer c.markUp(name)
	c.record("%s %s", how, name)
	down()
	start(name)
}

func (c *chaos) sleepRandom() { time.Sleep(c.randomDuration(3 * time.Second)) }

func (c *chaos) injectEngineFault() {
	name := c.randomEngine()
	kinds := []standin.FaultKind{standin.FaultCrash, standin.FaultSilent, standin.FaultStall, standin.FaultSlow, standin.FaultTransfer}
	f := standin.Fault{Kind: kinds[c.rnd.IntN(len(kinds))], Factor: 5, For: jsonc.Duration(c.randomDuration(4 * time.Second))}
	if e, ok := c.Engines[name]; ok {
		c.record("%s at %s", f.Kind, name)
		e.InjectFault(f)
	}
}

// TestRandomFailures runs the real daemons with mixed load and random faults, alone and two at
// the same time. No call may run twice, a call reported as not run must not have run, complete
// answers must be correct, and no invariant may be violated. After the faults have ended,
// engine memory must be free and requests must be served.
func TestRandomFailures(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSim(t, func(s *sim) {
				c := &chaos{sim: s, rnd: rand.New(rand.NewPCG(seed, 3)), chaosState: &chaosState{down: make(map[string]bool), generation: 1}}
				mix := load.Mix{Caller: s.caller, PaidKey: paidKey, TrialKey: trialKey, Rate: 15, Duration: 12 * time.Second, Seed: seed}
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
					c.injectFaults()
					time.Sleep(c.randomDuration(2 * time.Second))
				}
				<-done
				s.net.Partition()
				time.Sleep(5 * time.Second)
				sum = load.CheckRuns(sum, results, s.RunCounts())
				t.Logf("%d requests: %d complete, %d not run, %d unknown, %d aborted; %d faults", sum.Requests, sum.Complete, sum.NotRun, sum.Unknown, sum.Aborted, len(c.log))
				assert.Empty(t, sum.Mismatches)
				assert.Zero(t, sum.Duplicates)
				assert.Zero(t, sum.FalseNotRun)
				assert.Zero(t, s.HeldRequests(), "engines still hold requests")
				last := c.nextGeneration()
				c.publishChanged(last, func(*config.Document) {})
				time.Sleep(applyTimeout)
				s.assertAllAt(last)
				assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
				assertComplete(t, s.sendBooking(load.CallSpec{}))
				if t.Failed() {
					for _, line := range c.log {
						t.Log(line)
					}
				}
			})
		})
	}
}
