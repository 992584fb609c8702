package router

import (
	"slices"
	"time"
)

// Figures of the model by which a generation's way is chosen. They are
// estimates: only the order of the costs matters, and the speed of each
// engine is replaced by what is measured of it.
const (
	// decodeSlowdown is how much longer a decode engine takes to compute a
	// prompt itself than a prefill engine: it works between the tokens of
	// other requests, at half the speed.
	decodeSlowdown = 2.0
	// moveTime is the time to move a result to another engine: set-up and the
	// transfer of some thousand tokens.
	moveTime = 12 * time.Millisecond
	// farMove is the extra cost of a move between data centres, which takes
	// twice as long and loads the links between them.
	farMove = 30 * time.Millisecond
	// crowdCost is what each generation in progress at a decode engine adds:
	// each step of the batch takes 0.1 ms longer for each of them, over some
	// tens of steps.
	crowdCost = 4 * time.Millisecond
	// stepTime and stepCost are the time of one step of a batch: alone, and for
	// each generation in it (users' sheets of engines).
	stepTime = 3410 * time.Microsecond
	stepCost = 100 * time.Microsecond
	// decodeChunk is the number of prompt tokens that a decode engine computes
	// between two steps: a quarter of a prefill engine's 2,048.
	decodeChunk = 512
	// gapMargin is left of the longest pause allowed, for the way to the caller.
	gapMargin = 15 * time.Millisecond
	// lateCost is what one stream costs whose pause is too long: it is then late
	// as a whole.
	lateCost = 300 * time.Millisecond
	// disturbShare is the part of the time that a prompt takes at a decode
	// engine which each stream there loses.
	disturbShare = 0.2
	// failPromptCost is the delay that a certain failure is worth in a choice:
	// a prompt computed once more.
	failPromptCost = 600 * time.Millisecond
	// fullFill is the part of an engine's memory that may be in use when a
	// generation starts; the rest is for running answers to grow into.
	fullFill = 0.98
	// headroom is the least such rest, in tokens: what the running answers
	// generate until the next of them ends (240 tokens a second each, one of
	// them ends in 3.3 s) twice over.
	headroom = 1600
	// growth is the part of an answer, in tokens, that is reckoned with from
	// its start.
	growth = 64
)

// placement is the way of one generation.
type placement struct {
	// prefill is nil if the decode endpoint computes the prompt itself.
	prefill *Endpoint
	decode  *Endpoint
	// first is the estimated time to the first event.
	first time.Duration
	// fill is the part of the decode endpoint's memory in use with the call.
	fill float64
	// warm says that the decode endpoint probably caches the prompt.
	warm bool
}

// prefillID names the prefill endpoint; empty if the decode endpoint computes
// the prompt itself or has it.
func (p placement) prefillID() string {
	if p.prefill == nil {
		return ""
	}
	return p.prefill.ID
}

// options restrict a choice.
type options struct {
	// tried endpoints are left out.
	tried map[string]bool
	// kept is a result that only needs a decode endpoint; or nil.
	kept *Result
	// warm is an engine that probably still caches the prompt; or nil.
	warm *Endpoint
	// fill is the part of an engine's memory that may be in use with the call.
	fill float64
}

// need is the memory in tokens that a call takes at a decode endpoint when it
// starts.
//
// What it generates is added as it comes. To reckon with the whole answer from
// the start would leave a fifth of the memory unused: answers are short of
// what callers allow, and while they grow, others end and make room.
func (c *Call) need() int { return c.Prompt + min(c.Output, growth) }

// stride is the number of tokens in one event.
func (c *Call) stride() int {
	if e := c.Service.Engine; e != nil && e.Stride > 0 {
		return e.Stride
	}
	return 1
}

// side is an endpoint with its state and its part of a way's cost.
type side struct {
	e    *Endpoint
	view View
	cost time.Duration
}

// place returns the way with the least expected time to the first event, or
// false if no decode endpoint has room. A kept result only needs a decode
// endpoint; a warm engine has the prompt from an attempt before.
//
// Load pattern answered: bursts of long prompts from several entries at once.
// Work under way of all entries is counted at each engine, so that a burst
// spreads over all engines of both stages; an engine without room gets
// nothing, because its refusal would waste the prefill.
func (r *Router) place(now time.Time, c *Call, o options) (placement, bool) {
	d := r.Directory()
	decodes := r.some(r.roomy(c, r.sides(now, d.Endpoints(c.Service.Name, Decode), o.tried), o.fill), o.warm)
	if len(decodes) == 0 {
		return placement{}, false
	}
	var prefills []side
	if o.kept == nil {
		prefills = r.some(answering(r.sides(now, d.Endpoints(c.Service.Name, Prefill), o.tried)), nil)
	}
	var best way
	for i := range decodes {
		dec := &decodes[i]
		if o.warm != nil && o.warm.ID == dec.e.ID {
			best = way{placement: placement{decode: dec.e, first: moveTime, fill: dec.fill(c), warm: true}}
			break
		}
		w := cheapest(c, dec, prefills, o.kept != nil)
		if best.decode == nil || w.cost < best.cost {
			best = w
		}
	}
	return best.placement, true
}

// way is a placement with its cost.
type way struct {
	placement
	cost time.Duration
}

// cheapest returns the best way that ends at a decode endpoint.
func cheapest(c *Call, dec *side, prefills []side, hasResult bool) way {
	if hasResult {
		return way{placement{decode: dec.e, first: moveTime, fill: dec.fill(c)}, dec.cost}
	}
	alone := promptTime(dec.view, c.Prompt, decodeSlowdown*dec.view.Pace)
	best := way{placement{decode: dec.e, first: alone, fill: dec.fill(c)}, alone + dec.cost + disturbance(c, dec.view, alone)}
	for i := range prefills {
		pre := &prefills[i]
		split := promptTime(pre.view, c.Prompt, 1) + moveTime
		cost := split + dec.cost + pre.cost
		if pre.e.DataCentre != dec.e.DataCentre {
			cost += farMove
		}
		if cost < best.cost {
			best = way{placement{prefill: pre.e, decode: dec.e, first: split, fill: dec.fill(c)}, cost}
		}
	}
	return best
}

// someOf is the number of engines of a stage that one choice looks at.
const someOf = 8

// some returns a few of the engines, drawn by chance, and the one that is
// wanted in any case if it is there.
//
// Load pattern answered: many entries wait for room in a burst, and what they
// know of each other is a tenth of a second old. When an engine has room again,
// all see it at once and a dozen send their prompts there in the same 60 ms. The
// best of a few drawn by chance is nearly as good, and differs between entries.
// Measured on two days of 30 entries and 55 engines, three seeds each: mean worth
// 0.708 to 0.723; the best of 4 gave 0.719.
func (r *Router) some(list []side, wanted *Endpoint) []side {
	if len(list) <= someOf {
		return list
	}
	for i := range someOf {
		j := i + r.random(len(list)-i)
		if wanted != nil && i == 0 {
			j = max(slices.IndexFunc(list, func(s side) bool { return s.e.ID == wanted.ID }), 0)
		}
		list[i], list[j] = list[j], list[i]
	}
	return list[:someOf]
}

// disturbance is what a prompt that a decode engine computes itself costs the
// streams there.
//
// Load pattern answered: long prompts come while streams run. Each step waits
// for a chunk of the prompt, so that an event takes five times as long; at an
// engine that is slower than others that is too long, and all its streams are
// late although none began late. Measured over 20 days of 9 and of 18 engines:
// mean worth 0.645 to 0.685 and 0.775 to 0.782.
func disturbance(c *Call, v View, alone time.Duration) time.Duration {
	cost := time.Duration(float64(alone) * disturbShare)
	if c.Route.Gap > 0 && stretchedPause(c, v) > c.Route.Gap-gapMargin {
		cost += lateCost
	}
	return cost * time.Duration(v.Decodes)
}

// eventTime is the usual time between two events of a stream.
func eventTime(c *Call, v View) time.Duration {
	return time.Duration(c.stride()) * (stepTime + time.Duration(v.Decodes)*stepCost)
}

// stretchedPause is the time between two events while the engine computes the
// call's prompt, behind those waiting.
func stretchedPause(c *Call, v View) time.Duration {
	chunks := min((v.Prefill+c.Prompt+decodeChunk-1)/decodeChunk, c.stride())
	chunkTime := float64(decodeChunk) * decodeSlowdown / priorRate * float64(time.Millisecond)
	return time.Duration(v.Pace * (float64(chunks)*chunkTime + float64(eventTime(c, v))))
}

// fill is the part of the endpoint's memory in use with the call.
func (s *side) fill(c *Call) float64 {
	if c.Service.Engine == nil {
		return 0
	}
	return float64(s.view.KV+c.need()) / float64(max(c.Service.Engine.KVTokens, 1))
}

// promptTime is how long a prompt takes behind those already waiting.
func promptTime(v View, tokens int, slowdown float64) time.Duration {
	ms := float64(v.Prefill+tokens) * slowdown / v.Rate
	return time.Duration(ms * float64(time.Millisecond))
}

func (r *Router) sides(now time.Time, list []*Endpoint, tried map[string]bool) []side {
	sides := make([]side, 0, len(list))
	for _, e := range list {
		if tried[e.ID] {
			continue
		}
		v := r.loads.View(now, e.ID)
		s := side{e: e, view: v}
		s.cost = time.Duration(v.Decodes)*crowdCost + time.Duration(v.FailShare*float64(failPromptCost))
		if v.Avoid {
			s.cost += time.Duration(avoidCost)
		}
		sides = append(sides, s)
	}
	return sides
}

// answering keeps the endpoints that answer, or all if none does.
//
// Load pattern answered: engines crash in a burst. They lose their work, so that
// they seem to have all the room that the others lack, and would draw each
// prompt that is computed. Measured together with what entries tell each other
// of silent engines and with full use for computed prompts: mean worth 0.685 to
// 0.692 and 0.782 to 0.786 over 20 days of 9 and of 18 engines, 0.773 to 0.778
// over 6 days each of 40 and 55 engines.
func answering(list []side) []side {
	if !slices.ContainsFunc(list, func(s side) bool { return !s.view.Avoid }) {
		return list
	}
	return slices.DeleteFunc(list, func(s side) bool { return s.view.Avoid })
}

// roomy keeps the answering decode endpoints with memory and a slot for the
// call.
func (r *Router) roomy(c *Call, list []side, fill float64) []side {
	list = answering(list)
	kept := list[:0]
	for _, s := range list {
		if hasRoom(c, s.view, fill) {
			kept = append(kept, s)
		}
	}
	return kept
}

func hasRoom(c *Call, v View, fill float64) bool {
	eng := c.Service.Engine
	if eng == nil {
		return true
	}
	limit := min(int(float64(eng.KVTokens)*fill), eng.KVTokens-headroom)
	if v.Decodes == 0 {
		limit = eng.KVTokens // nothing there grows but the call itself
	}
	return !v.Full && v.KV+c.need() <= limit && v.Decodes < eng.Slots
}
