package emulator

import (
	"math/rand/v2"
	"time"

	"ebonypulley/pace"
	"ebonypulley/router"
)

// SlowMoments makes the engines share their machines with others: in each period of a length,
// a share of the engines works slower by a factor.
type SlowMoments struct {
	Share, Factor float64
	Period        time.Duration
	Seed          uint64
	// Told makes engines say so along with their answers.
	Told bool
}

// SetSlowMoments sets the slow moments of all engines.
func (f *Fleet) SetSlowMoments(m SlowMoments) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowMoments = m
	for i, x := range f.engineEndpoints {
		if e := f.engines[x.ID]; e != nil {
			e.pace = func(now time.Time) float64 { return m.pace(i, now) }
		}
	}
}

// pace returns how much longer work takes at the engine with this index than usual.
func (m SlowMoments) pace(index int, now time.Time) float64 {
	period := uint64(now.UnixNano() / int64(m.Period))
	if rand.New(rand.NewPCG(m.Seed, period*1000+uint64(index))).Float64() < m.Share {
		return m.Factor
	}
	return 1
}

// loadOf returns what an engine says of its load, or nil if it does not say.
func (f *Fleet) loadOf(endpoint *router.Endpoint) *pace.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[endpoint.ID]
	if e == nil || !f.slowMoments.Told {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return &pace.Load{Running: len(e.streams), Waiting: len(e.prefillQueue), Slots: f.spec.Slots, Slowdown: e.pace(time.Now())}
}
