package router

import (
	"slices"
	"time"

	"ebonypulley/estimate"
)

// Weights of the choice of a way. What a way takes is learned (estimate); these
// say how much else it may cost, as parts of the route's target, so that they
// fit engines of any speed.
const (
	// farShare is what a move between data centres costs beyond its time: it
	// loads the links between them.
	farShare = 0.033
	// lateShare is what one stream costs whose pause is too long: it is then
	// late as a whole.
	lateShare = 0.33
	// failPromptShare is what a certain failure costs: a prompt computed once
	// more, and a first event that is probably late.
	failPromptShare = 0.67
	// disturbShare is the part of the time that a prompt takes at a decode
	// engine which each stream there loses; a few times more or less decide the same.
	disturbShare = 0.2
	// crowdEvents is over how many of its events a stream that is added slows
	// the others down: only the order of crowded engines matters, see
	// docs/POLICY.md.
	crowdEvents = 4
	// evenShare is what a stream costs at least, as a part of the pause between
	// two events, so that streams spread before any crowd was observed.
	evenShare = 0.02
	// gapMargin is the part of the longest pause allowed that is left for the
	// way to the caller.
	gapMargin = 0.05
	// fullFill is the part of an engine's memory that may be in use when a
	// generation starts; the rest is lost where parts are rounded up to blocks.
	fullFill = 0.98
	// headroomAnswers is how many answers' tokens are left free besides. Streams
	// generate one answer's tokens together until the next of them ends, however
	// many there are; twice that is left.
	headroomAnswers = 2
)

// placement is the way of one generation.
type placement struct {
	// prefill is nil if the decode endpoint computes the prompt itself.
	prefill *Endpoint
	decode  *Endpoint
	// prompt is the estimated time of the prefill, first that to the first
	// event.
	prompt, first estimate.Time
	// fill is the part of the decode endpoint's memory in use with the call.
	fill float64
	// ahead are the prompt tokens that wait where the prompt is computed.
	ahead int
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
	// limited endpoints are left out until a time.
	limited atLimit
	// kept is a result that only needs a decode endpoint; or nil.
	kept *Result
	// warm is an engine that probably still caches the prompt; or nil.
	warm *Endpoint
	// fill is the part of an engine's memory that may be in use with the call.
	fill float64
}

// growthEvents is how many events of an answer are reckoned with from its start.
const growthEvents = 6

// need is the memory in tokens that a call takes at a decode endpoint when it
// starts: its prompt and its first events.
//
// What it generates is added as it comes. To reckon with the whole answer from
// the start would leave a fifth of the memory unused: answers are short of
// what callers allow, and while they grow, others end and make room.
func (c *Call) need() int { return c.Prompt + min(c.Output, growthEvents*c.stride()) }

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

// choice is what one choice of a way knows.
type choice struct {
	c       *Call
	m       estimate.Engines
	promise estimate.Promise
}

// place returns the way with the least expected time to the first event, or
// false if no decode endpoint has room. A kept result only needs a decode
// endpoint; a warm engine has the prompt from an attempt before.
//
// Bursts of long prompts from several entries at once.
// Work under way of all entries is counted at each engine, so that a burst
// spreads over all engines of both stages; an engine without room gets
// nothing, because its refusal would waste the prefill.
func (r *Router) place(now time.Time, c *Call, o options) (placement, bool) {
	d := r.Directory()
	ch := choice{c: c, m: r.loads.Engines(c.Service), promise: c.promise()}
	decodes := r.some(ch.roomy(ch.sides(r.views(now, d.Endpoints(c.Service.Name, Decode), o)), o.fill), c.Content, o.warm)
	if len(decodes) == 0 {
		return placement{}, false
	}
	var prefills []side
	if o.kept == nil {
		prefills = r.some(answering(ch.sides(r.views(now, d.Endpoints(c.Service.Name, Prefill), o))), 0, nil)
	}
	var best way
	for i := range decodes {
		dec := &decodes[i]
		if o.warm != nil && o.warm.ID == dec.e.ID {
			best = way{placement: placement{decode: dec.e, first: ch.m.Handoff(false, ch.promise), fill: dec.fill(c), warm: true}}
			break
		}
		w := ch.cheapest(dec, prefills, o.kept)
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
func (ch *choice) cheapest(dec *side, prefills []side, kept *Result) way {
	if kept != nil {
		handoff, cost := ch.move(kept.Endpoint, dec)
		return way{placement{decode: dec.e, first: handoff, fill: dec.fill(ch.c)}, cost + dec.cost}
	}
	alone := ch.alone(dec.view)
	best := way{placement{decode: dec.e, first: alone, fill: dec.fill(ch.c), ahead: dec.view.Prefill}, alone.Mean + dec.cost + ch.disturbance(dec.view, alone.Mean)}
	for i := range prefills {
		pre := &prefills[i]
		handoff, cost := ch.move(pre.e, dec)
		prompt := ch.prompt(pre.view)
		cost += prompt.Mean + dec.cost + pre.cost
		if cost < best.cost {
			best = way{placement{prefill: pre.e, decode: dec.e, prompt: prompt, first: prompt.Plus(handoff), fill: dec.fill(ch.c), ahead: pre.view.Prefill}, cost}
		}
	}
	return best
}

// prompt returns the time of the call's prefill behind those already waiting.
func (ch *choice) prompt(v View) estimate.Time {
	return ch.m.Prompt(v.Prefill+ch.c.Prompt, ch.c.Prompt, ch.promise).Times(v.Slow)
}

// alone returns the time to the first event at an engine that computes the
// prompt itself.
func (ch *choice) alone(v View) estimate.Time {
	return ch.m.Alone(v.Prefill+ch.c.Prompt, ch.c.Prompt, ch.promise).Times(v.Pace)
}

// move returns the time from a computed prompt to the first event elsewhere,
// and what it costs.
func (ch *choice) move(from *Endpoint, to *side) (estimate.Time, time.Duration) {
	far := from.DataCentre != to.e.DataCentre
	handoff := ch.m.Handoff(far, ch.promise)
	cost := handoff.Mean
	if far {
		cost += ch.share(farShare)
	}
	return handoff, cost
}

// share returns a part of the route's target.
func (ch *choice) share(part float64) time.Duration {
	return time.Duration(part * float64(ch.promise.Target))
}

// someOf is the number of engines of a stage that one choice looks at.
const someOf = 8

// some returns a few of the engines, the first that are drawn for a content or any without one,
// and the one that is wanted in any case if it is there.
//
// Many entries wait for room in a burst, and what they
// know of each other is a tenth of a second old. When an engine has room again,
// all see it at once and a dozen send their prompts there in the same 60 ms. The
// best of a few drawn by chance is nearly as good, and differs between callers.
func (r *Router) some(list []side, content uint64, wanted *Endpoint) []side {
	if len(list) <= someOf {
		return list
	}
	place := 0
	if wanted != nil {
		if i := slices.IndexFunc(list, func(s side) bool { return s.e.ID == wanted.ID }); i >= 0 {
			list[0], list[i] = list[i], list[0]
			place = 1
		}
	}
	if content != 0 {
		return append(list[:place:place], firstDrawn(content, list[place:], someOf-place)...)
	}
	for i := place; i < someOf; i++ {
		j := i + r.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:someOf]
}

// firstDrawn returns so many of the engines that are drawn first for a content.
func firstDrawn(content uint64, list []side, n int) []side {
	order := drawn(content, len(list), func(i int) string { return list[i].e.ID })
	first := make([]side, 0, n)
	for _, i := range order[:n] {
		first = append(first, list[i])
	}
	return first
}

// disturbance is what a prompt that a decode engine computes itself costs the
// streams there.
//
// Long prompts come while streams run. Each step waits
// for a chunk of the prompt, so that an event takes five times as long; at an
// engine that is slower than others that is too long, and all its streams are
// late although none began late.
func (ch *choice) disturbance(v View, alone time.Duration) time.Duration {
	cost := time.Duration(float64(alone) * disturbShare)
	if gap := ch.promise.Gap; gap > 0 && ch.stretchedPause(v, alone) > gap-time.Duration(gapMargin*float64(gap)) {
		cost += ch.share(lateShare)
	}
	return cost * time.Duration(v.Decodes)
}

// stretchedPause is the time between two events while the engine computes the
// call's prompt.
func (ch *choice) stretchedPause(v View, alone time.Duration) time.Duration {
	pause := ch.m.Pause(v.Decodes, ch.promise).Mean + ch.m.Disturbance(alone)
	return time.Duration(v.Pace * float64(pause))
}

// fill is the part of the endpoint's memory in use with the call.
func (s *side) fill(c *Call) float64 {
	if c.Service.Engine == nil {
		return 0
	}
	return float64(s.view.KV+c.need()) / float64(max(c.Service.Engine.KVTokens, 1))
}

// views returns the endpoints that take work with what is known of them.
func (r *Router) views(now time.Time, list []*Endpoint, o options) []side {
	if len(list) == 0 {
		return nil
	}
	attempts := r.loads.attemptsEach(now, list[0].Service, len(list))
	sides := make([]side, 0, len(list))
	for _, e := range list {
		if o.tried[e.ID] || now.Before(o.limited[e.ID]) {
			continue
		}
		v := r.loads.View(now, e.ID)
		if v.Quiet {
			continue
		}
		v.FailShare = max(v.FailShare, r.loads.failShare(now, e.ID, attempts))
		sides = append(sides, side{e: e, view: v})
	}
	return sides
}

// sides adds the costs of the endpoints themselves.
func (ch *choice) sides(list []side) []side {
	for i := range list {
		v := &list[i].view
		list[i].cost = time.Duration(v.Decodes)*ch.crowd() + time.Duration(v.FailShare*float64(ch.share(failPromptShare)))
		if v.Avoid {
			list[i].cost += time.Duration(avoidCost)
		}
	}
	return list
}

// crowd is what each stream at a decode engine costs one more.
func (ch *choice) crowd() time.Duration {
	even := time.Duration(evenShare * float64(ch.m.Pause(0, ch.promise).Mean))
	return max(crowdEvents*ch.m.Crowd(), even)
}

// answering keeps the endpoints that answer, or all if none does.
//
// Engines crash in a burst. They lose their work, so that
// they seem to have all the room that the others lack, and would draw each
// prompt that is computed.
func answering(list []side) []side {
	if !slices.ContainsFunc(list, func(s side) bool { return !s.view.Avoid }) {
		return list
	}
	return slices.DeleteFunc(list, func(s side) bool { return s.view.Avoid })
}

// roomy keeps the answering decode endpoints with memory and a slot for the
// call.
func (ch *choice) roomy(list []side, fill float64) []side {
	list = answering(list)
	kept := list[:0]
	for _, s := range list {
		if ch.hasRoom(s.view, fill) {
			kept = append(kept, s)
		}
	}
	return kept
}

func (ch *choice) hasRoom(v View, fill float64) bool {
	eng := ch.c.Service.Engine
	if eng == nil {
		return true
	}
	limit := min(int(float64(eng.KVTokens)*fill), eng.KVTokens-headroomAnswers*ch.m.Answer(ch.c.Output))
	if v.Decodes == 0 {
		limit = eng.KVTokens // nothing there grows but the call itself
	}
	return !v.Full && v.KV+ch.c.need() <= limit && v.Decodes < eng.Slots
}
