package router

import (
	"context"
	"math"
	"sort"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
)

// Load pattern answered by this file: long prompts with short answers in
// bursts. A prompt takes an engine's prefill for 0.1 s and an engine's memory
// for 3 s, so that the memory of the decode engines binds while prefill
// engines idle; decode engines can also compute prompts themselves. Engines
// beyond the share that prefill needs are ordered to decode.
const (
	// prefillShare is the part of a service's engines that are left to
	// prefill, rounded up. Measured on 9 and 18 engines of which 4 and 7
	// prefill at first, mean worth over 40 days each: 0.622 to 0.655 and 0.751
	// to 0.770; a share of 0.2 gave 0.633 and 0.775.
	prefillShare = 0.3
	// orderEvery is the least time between two orders to one engine: it takes
	// some seconds to change its stage.
	orderEvery = 12 * time.Second
	// orderTimeout bounds an order. One without an answer may have been
	// accepted; the engine's published stage tells.
	orderTimeout = time.Second
	// stagesInterval is the pause between two looks.
	stagesInterval = 500 * time.Millisecond
	// changingBacklog is the prefill work, in tokens, that an ordered engine
	// is said to have, so that no entry sends it a prompt.
	changingBacklog = 10_000_000
)

// surplus returns the prefill engines that should decode when total engines
// are usual, in a fixed order: from the data centre with the most of them
// first.
func surplus(prefills []*Endpoint, total int) []*Endpoint {
	keep := int(math.Ceil(float64(total) * prefillShare))
	list := append([]*Endpoint(nil), prefills...)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	var out []*Endpoint
	for len(list) > max(keep, 1) {
		i := mostCrowded(list)
		out = append(out, list[i])
		list = append(list[:i], list[i+1:]...)
	}
	return out
}

// mostCrowded returns the index of the first engine of the data centre that
// has the most.
func mostCrowded(list []*Endpoint) int {
	count := make(map[string]int)
	for _, e := range list {
		count[e.DataCentre]++
	}
	best := 0
	for i, e := range list {
		if count[e.DataCentre] > count[list[best].DataCentre] {
			best = i
		}
	}
	return best
}

// Authority says whether this process may give orders, and with which fencing
// number; numbers grow with time over all processes.
type Authority func() (fence uint64, ok bool)

// KeepStages orders surplus prefill engines to decode until ctx ends, while
// this process has the authority.
func (r *Router) KeepStages(ctx context.Context, may Authority) error {
	ordered := make(map[string]time.Time)
	usual := make(map[string]*usualSize)
	for ebonypulley.Sleep(ctx, stagesInterval) {
		now := time.Now()
		engines := r.surplusNow(now, usual)
		fence, ok := may()
		if !ok {
			continue
		}
		for _, e := range engines {
			if at, ok := ordered[e.ID]; ok && now.Sub(at) < orderEvery {
				continue
			}
			ordered[e.ID] = now
			r.order(ctx, e, fence)
		}
		for id, at := range ordered {
			if now.Sub(at) > orderEvery {
				delete(ordered, id)
			}
		}
	}
	return nil
}

// usualFor is how long engines that are gone still count: longer than a crash
// and its restart take. While some are away the others' work does not shrink.
const usualFor = 40 * time.Second

// usualSize is the most engines that a service had lately.
type usualSize struct {
	engines int
	at      time.Time
}

func (u *usualSize) see(now time.Time, engines int) int {
	if engines >= u.engines || now.Sub(u.at) > usualFor {
		u.engines, u.at = engines, now
	}
	return u.engines
}

func (r *Router) surplusNow(now time.Time, usual map[string]*usualSize) []*Endpoint {
	d := r.Directory()
	var out []*Endpoint
	for name, s := range d.services {
		if s.Engine == nil {
			continue
		}
		if usual[name] == nil {
			usual[name] = new(usualSize)
		}
		prefills := d.Endpoints(name, Prefill)
		total := usual[name].see(now, len(prefills)+len(d.Endpoints(name, Decode)))
		out = append(out, surplus(prefills, total)...)
	}
	return out
}

// order gives one order and keeps prompts away from the engine meanwhile.
func (r *Router) order(ctx context.Context, e *Endpoint, fence uint64) {
	work := r.loads.Begin(e.ID, Load{Prefill: changingBacklog})
	time.AfterFunc(orderEvery, work.End)
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.endpoints.Order(octx, e, Decode, fence)
	if err != nil {
		r.log.Emit(event.OrderFailed, zap.String("endpoint", e.ID), zap.Uint64("fence", fence), event.Err(err))
		return
	}
	d := r.Directory()
	r.log.Emit(event.StageOrdered, zap.String("endpoint", e.ID), zap.Uint64("fence", fence),
		zap.Int("prefill", len(d.Endpoints(e.Service, Prefill))), zap.Int("decode", len(d.Endpoints(e.Service, Decode))))
}
