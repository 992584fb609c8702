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
	// defaultSwitchTime is the duration of a stage switch if none is published.
	defaultSwitchTime = 6 * time.Second
	// initialPrefillFraction is the fraction of a service's engines, rounded up, that stay
	// prefill engines before any demand was observed. Observed demand corrects it.
	initialPrefillFraction = 0.25
	// answerDrainTime is how long an engine's running answers may take to end before it
	// switches: the timeout of a patient caller.
	answerDrainTime = 14 * time.Second
	// orderTimeout bounds the sending of an order. An order without an answer may have
	// been accepted; the published stage of the engine shows whether it was.
	orderTimeout = time.Second
	// balanceInterval is the time between two checks of the balance.
	balanceInterval = 500 * time.Millisecond
	// switchingBacklog is the load, in tokens, that an engine is accounted with in both
	// stages while it switches, so that no entry sends it new work.
	switchingBacklog = 10_000_000
)

// Authority reports whether this process may give orders, and its fencing number. Fencing
// numbers increase over time across all processes.
type Authority func() (fence uint64, ok bool)

// stageBalancer balances the stages of one service.
type stageBalancer struct {
	peak recentPeak
	// orders holds the most recent orders, which were given together.
	orders []*switchOrder
}

// switchOrder is an order to an engine to switch its stage.
type switchOrder struct {
	endpoint string
	to       Role
	at       time.Time
	// work keeps new work away from the engine until it has switched.
	work *Work
	done bool
}

// BalanceStages balances the stages of all services until ctx ends, whenever this process
// has the authority.
func (r *Router) BalanceStages(ctx context.Context, authority Authority) error {
	balancers := make(map[string]*stageBalancer)
	for ebonypulley.Sleep(ctx, balanceInterval) {
		now := time.Now()
		for name, s := range r.Directory().services {
			if s.Engine == nil {
				continue
			}
			if balancers[name] == nil {
				balancers[name] = new(stageBalancer)
			}
			r.balanceStages(ctx, now, balancers[name], s, authority)
		}
	}
	return nil
}

// balanceStages checks one service and gives at most one group of orders.
func (r *Router) balanceStages(ctx context.Context, now time.Time, b *stageBalancer, s *Service, authority Authority) {
	d := r.Directory()
	prefills, decodes := d.Endpoints(s.Name, Prefill), d.Endpoints(s.Name, Decode)
	if _, ok := authority(); !ok || !b.settled(now, d, s) {
		return
	}
	if b.peak.observe(now, len(prefills)+len(decodes)) > len(prefills)+len(decodes) {
		return // some engines are temporarily missing
	}
	n, load := r.stageMoves(now, s, len(prefills), len(decodes))
	if n == 0 {
		return
	}
	from, to := prefills, Decode
	if n > 0 {
		from, to = decodes, Prefill
	}
	b.orders = nil
	for range max(n, -n) {
		// An order may take long, and the process may have been stopped since the last one.
		fence, ok := authority()
		if !ok {
			return
		}
		e := r.leastBusy(now, from)
		from = slices.DeleteFunc(slices.Clone(from), func(o *Endpoint) bool { return o.ID == e.ID })
		b.orders = append(b.orders, r.order(ctx, e, to, fence, load))
	}
}

// settled reports whether the last orders have taken effect. An engine first finishes its
// running answers, then switches.
func (b *stageBalancer) settled(now time.Time, d *Directory, s *Service) bool {
	settled := true
	for _, o := range b.orders {
		age := now.Sub(o.at)
		if !o.done && (o.hasSwitched(d, s) || age > s.Engine.switchTime()+answerDrainTime) {
			o.done = true
			o.work.End()
		}
		settled = settled && o.done && age > s.Engine.switchTime()
	}
	return settled
}

// hasSwitched reports whether the engine has reached its new stage or is gone.
func (o *switchOrder) hasSwitched(d *Directory, s *Service) bool {
	for _, e := range d.endpoints[s.Name] {
		if e.ID == o.endpoint {
			return e.Role == o.to
		}
	}
	return true
}

// stageMoves returns the number of engines to switch for the current demand, or for the
// initial stage sizes while there is none.
func (r *Router) stageMoves(now time.Time, s *Service, prefills, decodes int) (int, stageLoad) {
	d, seen := r.loads.demand(now, s.Name)
	m := r.loads.EngineModel(s)
	load := d.load(&m, s.Engine)
	switch {
	case d.Calls == 0:
		return min(int(math.Ceil(initialPrefillFraction*float64(prefills+decodes)))-prefills, 0), load
	case seen < minDemandTime || m.PrefillSamples() < minPrefills:
		return 0, load
	}
	return load.moves(prefills, decodes), load
}

// switchTime returns how long an engine takes to switch its stage.
func (e *Engine) switchTime() time.Duration {
	if e.StageSwitchTime > 0 {
		return e.StageSwitchTime
	}
	return defaultSwitchTime
}

// leastBusy returns the engine with the least work in the data centre that has the most
// of these engines.
func (r *Router) leastBusy(now time.Time, list []*Endpoint) *Endpoint {
	list = append([]*Endpoint(nil), list...)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	count := make(map[string]int)
	for _, e := range list {
		count[e.DataCentre]++
	}
	work := func(e *Endpoint) int {
		v := r.loads.View(now, e.ID)
		return v.KVTokens + v.PrefillTokens
	}
	best := list[0]
	for _, e := range list[1:] {
		if n, most := count[e.DataCentre], count[best.DataCentre]; n > most || n == most && work(e) < work(best) {
			best = e
		}
	}
	return best
}

// peakTTL is how long engines that disappeared still count. It exceeds the time of a
// crash and restart. Nothing is ordered while some engines are missing.
const peakTTL = 15 * time.Second

// recentPeak is the highest number of engines that a service had recently.
type recentPeak struct {
	engines int
	at      time.Time
}

func (u *recentPeak) observe(now time.Time, engines int) int {
	if engines >= u.engines || now.Sub(u.at) > peakTTL {
		u.engines, u.at = engines, now
	}
	return u.engines
}

// order sends one order and keeps new work away from the engine until it has switched.
func (r *Router) order(ctx context.Context, e *Endpoint, to Role, fence uint64, load stageLoad) *switchOrder {
	o := &switchOrder{endpoint: e.ID, to: to, at: time.Now()}
	o.work = r.loads.Begin(e.ID, Load{PrefillTokens: switchingBacklog, KVTokens: switchingBacklog})
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
		zap.Float64("prefill_demand", load.prefill), zap.Float64("decode_demand", load.decode))
	return o
}
