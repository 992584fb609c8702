package router

import (
	"slices"
	"time"

	"ebonypulley/estimate"
	"ebonypulley/rendezvous"
)

// Terms of the placement cost besides time. Expected times are learned by package
// estimate. Unless stated otherwise, a cost is a fraction of the route's latency target,
// so that it suits engines of any speed.
const (
	// remoteDCFraction is the cost of a KV transfer between data centres in addition to
	// its duration, for its load on the links between them.
	remoteDCFraction = 0.033
	// lateStreamFraction is the cost of each stream whose gap between events exceeds its
	// objective. The stream counts as late as a whole.
	lateStreamFraction = 0.33
	// failureFraction is the cost of a certain failure: the prompt is prefilled once more,
	// and the first event is probably late.
	failureFraction = 0.67
	// interferenceFraction is the fraction of a local prefill's duration that each stream
	// at the decode engine loses. Values a few times higher or lower lead to the same
	// decisions.
	interferenceFraction = 0.2
	// batchDelayEvents is the number of events over which the delay is counted that one
	// more stream causes the others. Only the order of loaded engines matters, see
	// docs/POLICY.md.
	batchDelayEvents = 4
	// minStreamFraction is the minimum cost of each stream, as a fraction of the gap
	// between events. It spreads streams before any batch delay was observed.
	minStreamFraction = 0.02
	// gapMargin is the fraction of the gap objective reserved for the network path to the
	// caller.
	gapMargin = 0.05
	// maxFill is the fraction of an engine's memory that may be in use when a generation
	// starts. The rest is lost to rounding up to cache blocks.
	maxFill = 0.98
	// headroomAnswers is the additional free memory, in answers. However many streams
	// there are, they generate about one answer's tokens together until the next of them
	// ends; twice that is kept free.
	headroomAnswers = 2
)

// placement is the choice of engines for one generation.
type placement struct {
	// prefill is nil if the decode endpoint prefills the prompt itself.
	prefill *Endpoint
	decode  *Endpoint
	// prefillTime is the estimated duration of the prefill, firstEvent the estimated time
	// to the first event.
	prefillTime, firstEvent estimate.Duration
	// fill is the fraction of the decode endpoint's memory in use, including the call.
	fill float64
	// queuedTokens is the number of prompt tokens queued where the prompt is prefilled.
	queuedTokens int
	// warm says that the decode endpoint probably has the prompt in its cache.
	warm bool
}

// prefillID returns the ID of the prefill endpoint, or "" if the decode endpoint prefills
// the prompt itself or has it cached.
func (p placement) prefillID() string {
	if p.prefill == nil {
		return ""
	}
	return p.prefill.ID
}

// placeOptions constrain a placement.
type placeOptions struct {
	// tried holds the endpoints to exclude.
	tried map[string]bool
	// limited holds endpoints to exclude until a given time.
	limited limitedUntil
	// kept is a prefill result that only needs a decode endpoint, or nil.
	kept *PrefillResult
	// warm is an engine that probably still caches the prompt, or nil.
	warm *Endpoint
	// fill is the maximum fraction of an engine's memory in use, including the call.
	fill float64
	// version is the software version of the decode endpoint, empty for any.
	version string
}

// ofVersion returns the endpoints of a software version, empty for any.
func ofVersion(list []*Endpoint, version string) []*Endpoint {
	if version == "" {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *Endpoint) bool { return e.SoftwareVersion != version })
}

// growthEvents is the number of events of an answer whose memory is accounted from the
// start.
const growthEvents = 6

// initialTokens returns the memory in tokens that the call is accounted with when it
// starts at a decode endpoint: its prompt and its first events.
//
// The rest is added as it is generated. Accounting for the maximum answer from the start
// would leave a fifth of the memory unused: answers are shorter than the maximum that
// callers allow, and others end while they grow.
func (c *Call) initialTokens() int {
	return c.PromptTokens + min(c.MaxOutputTokens, growthEvents*c.stride())
}

// stride returns the number of tokens per stream event.
func (c *Call) stride() int {
	if e := c.Service.Engine; e != nil && e.Stride > 0 {
		return e.Stride
	}
	return 1
}

// candidate is an endpoint with its state and its own cost.
type candidate struct {
	e    *Endpoint
	view View
	cost time.Duration
}

// placer computes the costs of placements for one call.
type placer struct {
	call  *Call
	model estimate.EngineModel
	slo   estimate.SLO
	// left is the time until the first event is due.
	left time.Duration
}

// place returns the placement with the lowest expected time to the first event, or false
// if no decode endpoint has room. A kept result only needs a decode endpoint; a warm
// engine has the prompt cached from an earlier attempt.
//
// It accounts for the work in progress of all entries at each engine, so that a burst of
// long prompts at several entries spreads over all engines of both stages. An engine
// without room gets nothing, because its refusal would waste the prefill.
func (r *Router) place(now time.Time, c *Call, o placeOptions) (placement, bool) {
	d := r.Directory()
	pl := placer{call: c, model: r.loads.EngineModel(c.Service), slo: c.slo(), left: c.ReceivedAt.Add(c.Route.LatencyTarget).Sub(now)}
	decodes := r.sample(pl.withRoom(pl.addCosts(r.candidates(now, ofVersion(d.Endpoints(c.Service.Name, Decode), o.version), o)), o.fill), c.ContentHash, o.warm)
	if len(decodes) == 0 {
		return placement{}, false
	}
	var prefills []candidate
	if o.kept == nil {
		prefills = r.sample(responsive(pl.addCosts(r.candidates(now, d.Endpoints(c.Service.Name, Prefill), o))), 0, nil)
	}
	var best scoredPlacement
	for i := range decodes {
		dec := &decodes[i]
		if o.warm != nil && o.warm.ID == dec.e.ID {
			best = scoredPlacement{placement: placement{decode: dec.e, firstEvent: pl.model.HandoffTime(false, pl.slo), fill: dec.fill(c), warm: true}}
			break
		}
		w := pl.best(dec, prefills, o.kept)
		if best.decode == nil || w.cost < best.cost {
			best = w
		}
	}
	return best.placement, true
}

// scoredPlacement is a placement with its cost.
type scoredPlacement struct {
	placement
	cost time.Duration
}

// best returns the cheapest placement that decodes at dec.
func (pl *placer) best(dec *candidate, prefills []candidate, kept *PrefillResult) scoredPlacement {
	if kept != nil {
		handoff, cost := pl.transfer(kept.Endpoint, dec)
		return scoredPlacement{placement{decode: dec.e, firstEvent: handoff, fill: dec.fill(pl.call)}, cost + dec.cost}
	}
	local := pl.localPrefill(dec.view)
	best := scoredPlacement{placement{decode: dec.e, firstEvent: local, fill: dec.fill(pl.call), queuedTokens: dec.view.PrefillTokens}, local.Mean + dec.cost + pl.interference(dec.view, local.Mean) + pl.lateCost(dec.view, local.Mean)}
	for i := range prefills {
		pre := &prefills[i]
		handoff, cost := pl.transfer(pre.e, dec)
		prompt := pl.prefillTime(pre.view)
		cost += prompt.Mean + dec.cost + pre.cost + pl.lateCost(pre.view, prompt.Mean+handoff.Mean)
		if cost < best.cost {
			best = scoredPlacement{placement{prefill: pre.e, decode: dec.e, prefillTime: prompt, firstEvent: prompt.Add(handoff), fill: dec.fill(pl.call), queuedTokens: pre.view.PrefillTokens}, cost}
		}
	}
	return best
}

// prefillTime estimates the duration of the call's prefill, including those queued before
// it.
func (pl *placer) prefillTime(v View) estimate.Duration {
	return pl.model.PrefillTime(v.PrefillTokens+pl.call.PromptTokens, pl.call.PromptTokens, pl.slo).Scale(v.Slowdown)
}

// localPrefill estimates the time to the first event at a decode engine that prefills the
// prompt itself.
func (pl *placer) localPrefill(v View) estimate.Duration {
	return pl.model.LocalPrefillTTFT(v.PrefillTokens+pl.call.PromptTokens, pl.call.PromptTokens, pl.slo).Scale(v.StepSlowdown)
}

// transfer estimates the time from a finished prefill at one engine to the first event at
// another, and the cost of that transfer.
func (pl *placer) transfer(from *Endpoint, to *candidate) (estimate.Duration, time.Duration) {
	remote := from.DataCentre != to.e.DataCentre
	handoff := pl.model.HandoffTime(remote, pl.slo)
	cost := handoff.Mean
	if remote {
		cost += pl.targetFraction(remoteDCFraction)
	}
	return handoff, cost
}

// targetFraction returns a fraction of the route's latency target.
func (pl *placer) targetFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(pl.slo.Target))
}

// sampleSize is the number of engines of a stage that one placement compares.
const sampleSize = 8

// sample returns a few of the engines. They are the first in the rendezvous order of the
// content hash, or random ones if that is unknown. The wanted engine is included if it is
// in the list.
//
// In a burst, entries wait for room and know each other's load only as of a tenth of a
// second ago. When an engine has room again all of them see it at once, and a dozen would
// send their prompts there within 60 ms. The best of a few random engines is nearly as
// good and differs between callers.
func (r *Router) sample(list []candidate, content uint64, wanted *Endpoint) []candidate {
	if len(list) <= sampleSize {
		return list
	}
	fixed := 0
	if wanted != nil {
		if i := slices.IndexFunc(list, func(s candidate) bool { return s.e.ID == wanted.ID }); i >= 0 {
			list[0], list[i] = list[i], list[0]
			fixed = 1
		}
	}
	if content != 0 {
		return append(list[:fixed:fixed], firstByHash(content, list[fixed:], sampleSize-fixed)...)
	}
	for i := fixed; i < sampleSize; i++ {
		j := i + r.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:sampleSize]
}

// firstByHash returns the first n engines in the rendezvous order of a content hash.
func firstByHash(content uint64, list []candidate, n int) []candidate {
	order := rendezvous.Order(content, len(list), func(i int) string { return list[i].e.ID })
	first := make([]candidate, 0, n)
	for _, i := range order[:n] {
		first = append(first, list[i])
	}
	return first
}

// interference is the cost of a local prefill for the streams at the same decode engine.
//
// Each decode step then waits for a chunk of the prompt, so that an event takes five
// times as long. At an engine slower than the others this exceeds the gap objective, and
// all its streams are late although none of them began late.
func (pl *placer) interference(v View, local time.Duration) time.Duration {
	cost := time.Duration(float64(local) * interferenceFraction)
	if pl.slo.MaxGap > 0 {
		cost += pl.targetFraction(lateStreamFraction * v.chanceAbove(pl.gapDuringPrefill(v, local), pl.gapLimit()))
	}
	return cost * time.Duration(v.Decodes)
}

// gapDuringPrefill estimates the gap between two events while the engine prefills the
// call's prompt.
func (pl *placer) gapDuringPrefill(v View, local time.Duration) time.Duration {
	gap := pl.model.EventGap(v.Decodes, pl.slo).Mean + pl.model.PrefillInterference(local)
	return time.Duration(v.StepSlowdown * float64(gap))
}

// gapLimit is the longest gap between two events at the engine with which the caller sees
// none above the objective.
func (pl *placer) gapLimit() time.Duration {
	gap := pl.slo.MaxGap
	return gap - time.Duration(gapMargin*float64(gap))
}

// fill returns the fraction of the endpoint's memory in use, including the call.
func (s *candidate) fill(c *Call) float64 {
	if c.Service.Engine == nil {
		return 0
	}
	return float64(s.view.KVTokens+c.initialTokens()) / float64(max(c.Service.Engine.KVCapacity, 1))
}

// candidates returns the endpoints that accept work, with their state.
func (r *Router) candidates(now time.Time, list []*Endpoint, o placeOptions) []candidate {
	if len(list) == 0 {
		return nil
	}
	attempts := r.loads.attemptsPerEndpoint(now, list[0].Service, len(list))
	accepting := make([]candidate, 0, len(list))
	for _, e := range list {
		if o.tried[e.ID] || now.Before(o.limited[e.ID]) {
			continue
		}
		v := r.loads.View(now, e.ID)
		if v.BackingOff {
			continue
		}
		v.FailureRate = max(v.FailureRate, r.loads.peerFailureRate(now, e.ID, attempts))
		accepting = append(accepting, candidate{e: e, view: v})
	}
	return accepting
}

// addCosts sets the cost of each endpoint itself.
func (pl *placer) addCosts(list []candidate) []candidate {
	for i := range list {
		v := &list[i].view
		list[i].cost = time.Duration(v.Decodes)*pl.streamCost() + time.Duration(v.FailureRate*float64(pl.targetFraction(failureFraction)))
		if v.Avoided {
			list[i].cost += time.Duration(avoidCost)
		}
		if v.TellsPace {
			list[i].cost += pl.doubt(*v, list[i].e.Role)
		}
	}
	return list
}

// streamCost is the cost of each stream already running at a decode engine.
func (pl *placer) streamCost() time.Duration {
	minCost := time.Duration(minStreamFraction * float64(pl.model.EventGap(0, pl.slo).Mean))
	return max(batchDelayEvents*pl.model.GapPerStream(), minCost)
}

// responsive drops the endpoints that are being avoided, unless that leaves none.
//
// Engines that crashed have lost their work, so that in a burst they seem to have all the
// room that the others lack and would attract each finished prefill.
func responsive(list []candidate) []candidate {
	if !slices.ContainsFunc(list, func(s candidate) bool { return !s.view.Avoided }) {
		return list
	}
	return slices.DeleteFunc(list, func(s candidate) bool { return s.view.Avoided })
}

// withRoom keeps the responsive decode endpoints with memory and a slot for the call.
func (pl *placer) withRoom(list []candidate, fill float64) []candidate {
	list = responsive(list)
	kept := list[:0]
	for _, s := range list {
		if pl.hasRoom(s.view, fill) {
			kept = append(kept, s)
		}
	}
	return kept
}

func (pl *placer) hasRoom(v View, fill float64) bool {
	eng := pl.call.Service.Engine
	if eng == nil {
		return true
	}
	limit := min(int(float64(eng.KVCapacity)*fill), eng.KVCapacity-headroomAnswers*pl.model.ExpectedTokens(pl.call.MaxOutputTokens))
	if v.Decodes == 0 {
		limit = eng.KVCapacity // nothing there grows but the call itself
	}
	return !v.Full && v.KVTokens+pl.call.initialTokens() <= limit && v.Decodes < eng.Slots
}
