package emulator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/emulator"
)

// unevenLoad is a load of generations for engines of unequal speed on shared machines.
type unevenLoad struct {
	seed uint64
	// fraction is the load as a fraction of the engines' capacity.
	fraction float64
	// told makes the engines say their pace.
	told bool
}

// onTimeNoise is three standard deviations of the difference between the parts on time of two
// plays of the same load with one seed: callers and entries draw other random numbers in each.
const onTimeNoise = 0.06

// chance is the difference between the means of unevenSeeds plays that is put down to these.
var chance = onTimeNoise / math.Sqrt(unevenSeeds)

// unevenResult counts generations by how they ended.
type unevenResult struct {
	all, onTime, lateFirst, lateGap, failed int
}

func (r *unevenResult) add(o unevenResult) {
	r.all += o.all
	r.onTime += o.onTime
	r.lateFirst += o.lateFirst
	r.lateGap += o.lateGap
	r.failed += o.failed
}

func (u unevenLoad) run(t *testing.T) (result unevenResult) {
	const engines = 18
	spec := emulator.EngineSpec{
		Step: 3740 * time.Microsecond, StepPerStream: 81 * time.Microsecond, PrefillRate: 33.3, ChunkTokens: 1024, FirstTokenDelay: 41 * time.Millisecond,
		KVCapacity: 26330, Slots: 64, Stride: 11, TransferSetup: 5300 * time.Microsecond, TransferRate: 880, ResultTTL: 500 * time.Millisecond, StageSwitchTime: 6 * time.Second,
	}
	speeds := make(map[int]float64)
	for i := range engines {
		speeds[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	newFleet := func() *emulator.Fleet {
		f := emulator.NewFleet(&spec, engines, engines*35/100, speeds)
		f.SetSlowMoments(emulator.SlowMoments{Share: 0.15, Factor: 2.5, Period: 600 * time.Millisecond, Seed: u.seed, Told: u.told})
		return f
	}
	work := emulator.Workload{MeanPrompt: 3000, MeanAnswer: 700}
	runClusterOf(t, 6, newFleet, work, u.seed, func(d *clusterTest) {
		capacity, _ := spec.Capacity(engines, work)
		rate := u.fraction * capacity
		d.sendLoad(rate, 8*time.Second)
		from := time.Now()
		for range 3 {
			d.sendLoad(0.6*rate, 4*time.Second)
			d.sendLoad(1.4*rate, 4*time.Second)
		}
		d.wg.Wait()
		for _, g := range d.generations {
			if g.sentAt.Before(from) {
				continue
			}
			result.all++
			switch {
			case g.onTime:
				result.onTime++
			case g.failed:
				result.failed++
			case g.first > ttftTarget:
				result.lateFirst++
			default:
				result.lateGap++
			}
		}
	})
	return result
}

// TestUnevenEngines: engines of speeds 0.7, 0.7 and 1.7 turn 2.5 times slower for 600 ms at a
// time, under bursts that fill their memory. If they say so, no more generations may miss an
// objective, beyond chance.
func TestUnevenEngines(t *testing.T) {
	t.Parallel()
	for _, fraction := range []float64{0.65, 0.8} {
		t.Run(fmt.Sprint(fraction), func(t *testing.T) {
			t.Parallel()
			var without, with unevenResult
			for seed := uint64(1); seed <= unevenSeeds; seed++ {
				without.add(unevenLoad{seed: seed, fraction: fraction}.run(t))
				with.add(unevenLoad{seed: seed, fraction: fraction, told: true}.run(t))
			}
			t.Logf("at %.2f of the capacity: without %+v, with %+v", fraction, without, with)
			assert.GreaterOrEqual(t, float64(with.onTime)/float64(with.all), float64(without.onTime)/float64(without.all)-chance)
		})
	}
}
