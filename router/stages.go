package router

import (
	"context"
	"math"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
)

const (
	// switchDefault is the time of a change where none is published.
	switchDefault = 6 * time.Second
	// startShare is the part of a service's engines, rounded up, that are left to
	// prefill until demand was observed; what is observed corrects it.
	startShare = 0.25
	// answerWait is how long an engine's answers may take to end before it
	// changes: the time limit of a patient caller.
	answerWait = 14 * time.Second
	// orderTimeout bounds an order. One without an answer may have been
	// accepted; the engine's published stage tells.
	orderTimeout = time.Second
	// stagesInterval is the pause between two looks.
	stagesInterval = 500 * time.Millisecond
	// changingBacklog is the work, in tokens, that an ordered engine is said to
	// have in either stage, so that no entry sends it anything new.
	changingBacklog = 10_000_000
)

// Authority says whether this process may give orders, and with which fencing
// number; numbers grow with time over all processes.
type Authority func() (fence uint64, ok bool)

// stageKeeper balances the engines of one service.
type stageKeeper struct {
	usual usualSize
	// last are the last orders, given together.
	last []*stageOrder
}

// stageOrder is an order under way, or the last one.
type stageOrder struct {
	endpoint string
	to       Role
	at       time.Time
	// work keeps new work away from the engine until it has changed.
	work *Work
	done bool
}

// KeepStages orders engines from one stage to the other until ctx ends, while
// this process has the authority.
func (r *Router) KeepStages(ctx context.Context, may Authority) error {
	keepers := make(map[string]*stageKeeper)
	for ebonypulley.Sleep(ctx, stagesInterval) {
		now := time.Now()
		for name, s := range r.Directory().services {
			if s.Engine == nil {
				continue
			}
			if keepers[name] == nil {
				keepers[name] = new(stageKeeper)
			}
			r.keepStages(ctx, now, keepers[name], s, may)
		}
	}
	return nil
}

// keepStages looks at one service and gives at most one order.
func (r *Router) keepStages(ctx context.Context, now time.Time, k *stageKeeper, s *Service, may Authority) {
	d := r.Directory()
	prefills, decodes := d.Endpoints(s.Name, Prefill), d.Endpoints(s.Name, Decode)
	fence, ok := may()
	if !ok || !k.settled(now, d, s) {
		return
	}
	if k.usual.see(now, len(prefills)+len(decodes)) > len(prefills)+len(decodes) {
		return // some are away and will be back
	}
	n, load := r.shifts(now, s, len(prefills), len(decodes))
	if n == 0 {
		return
	}
	from, to := prefills, Decode
	if n > 0 {
		from, to = decodes, Prefill
	}
	k.last = nil
	for range max(n, -n) {
		e := r.leastBusy(now, from)
		from = slices.DeleteFunc(slices.Clone(from), func(o *Endpoint) bool { return o.ID == e.ID })
		k.last = append(k.last, r.order(ctx, e, to, fence, load))
	}
}

// settled reports whether the last orders have had their effect: an engine first
// lets its answers end, then changes.
func (k *stageKeeper) settled(now time.Time, d *Directory, s *Service) bool {
	settled := true
	for _, o := range k.last {
		age := now.Sub(o.at)
		if !o.done && (o.hasChanged(d, s) || age > s.Engine.switchTime()+answerWait) {
			o.done = true
			o.work.End()
		}
		settled = settled && o.done && age > s.Engine.switchTime()
	}
	return settled
}

// hasChanged reports whether the engine is in its new stage, or gone.
func (o *stageOrder) hasChanged(d *Directory, s *Service) bool {
	for _, e := range d.endpoints[s.Name] {
		if e.ID == o.endpoint {
			return e.Role == o.to
		}
	}
	return true
}

// shifts is the change that the demand asks for, or the share that a deployment
// starts with while nothing has come.
func (r *Router) shifts(now time.Time, s *Service, prefills, decodes int) (int, stageLoad) {
	d, seen := r.loads.demand(now, s.Name)
	m := r.loads.Engines(s)
	load := d.load(&m, s.Engine)
	switch {
	case d.Calls == 0:
		return min(int(math.Ceil(startShare*float64(prefills+decodes)))-prefills, 0), load
	case seen < demandLeast || m.Prompts() < promptLeast:
		return 0, load
	}
	return load.shifts(prefills, decodes), load
}

// switchTime is how long an engine takes to change its stage.
func (e *Engine) switchTime() time.Duration {
	if e.StageSwitch > 0 {
		return e.StageSwitch
	}
	return switchDefault
}

// leastBusy returns the engine of the data centre that has the most of them
// with the least work there.
func (r *Router) leastBusy(now time.Time, list []*Endpoint) *Endpoint {
	list = append([]*Endpoint(nil), list...)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	count := make(map[string]int)
	for _, e := range list {
		count[e.DataCentre]++
	}
	work := func(e *Endpoint) int {
		v := r.loads.View(now, e.ID)
		return v.KV + v.Prefill
	}
	best := list[0]
	for _, e := range list[1:] {
		if n, most := count[e.DataCentre], count[best.DataCentre]; n > most || n == most && work(e) < work(best) {
			best = e
		}
	}
	return best
}

// usualFor is how long engines that are gone still count: longer than a crash
// and its restart take. While some are away, nothing is ordered.
const usualFor = 15 * time.Second

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

// order gives one order and keeps work away from the engine meanwhile.
func (r *Router) order(ctx context.Context, e *Endpoint, to Role, fence uint64, why stageLoad) *stageOrder {
	o := &stageOrder{endpoint: e.ID, to: to, at: time.Now()}
	o.work = r.loads.Begin(e.ID, Load{Prefill: changingBacklog, KV: changingBacklog})
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.endpoints.Order(octx, e, to, fence)
	if err != nil {
		r.log.Emit(event.OrderFailed, zap.String("endpoint", e.ID), zap.Uint64("fence", fence), event.Err(err))
		return o
	}
	number := event.OrderedToDecode
	if to == Prefill {
		number = event.OrderedToPrefill
	}
	d := r.Directory()
	r.log.Emit(number, zap.String("endpoint", e.ID), zap.Uint64("fence", fence),
		zap.Int("prefill", len(d.Endpoints(e.Service, Prefill))), zap.Int("decode", len(d.Endpoints(e.Service, Decode))),
		zap.Float64("prefill_demand", why.prefill), zap.Float64("decode_demand", why.decode))
	return o
}
