package router

import (
	"math"
	"time"

	"ebonypulley/estimate"
)

// Parameters of the balance between the prefill and decode stages.
//
// The same prompts need different stage sizes with engines of different speeds. Where
// prefills are fast, decode memory is the bottleneck and prefill engines idle; where they
// are slow, every generation waits for a prefill while memory is free. The incoming
// demand and the learned speeds of the engines give the number of engines that each stage
// needs, and the balance follows that. It uses the incoming demand rather than the
// utilization, because a stage that is too small hides the demand on both.
const (
	// demandTimeConstant is the time constant of the moving average of demand. It covers a
	// few bursts: an order in response to a burst of some seconds takes effect only when
	// the burst is over.
	demandTimeConstant = 12 * time.Second
	// minDemandTime is how long demand must have been observed, and minPrefills how many
	// prefills, before anything is ordered.
	minDemandTime = 2 * time.Second
	minPrefills   = 8
	// prefillWeight is how much worse a fully loaded prefill stage is than full decode
	// memory. Prompts in a queue miss the latency target, while memory can be filled
	// nearly to the end.
	prefillWeight = 1.1
	// minBalanceGain is the relative reduction of the more loaded stage's load that an
	// order must achieve. A switch costs several seconds of an engine.
	minBalanceGain = 0.15
	// minBalanceLoad is the load of the more loaded stage below which nothing is ordered.
	// Nobody waits long then, and a switch would cost more.
	minBalanceLoad = 0.75
	// maxMoveFraction is the fraction of a stage, rounded up, that is switched at a time.
	maxMoveFraction = 0.25
	// priorTimeout is the caller's timeout from which the answer duration is estimated
	// until some answers have ended.
	priorTimeout = 14 * time.Second
)

// Demand is the demand for a service's engines, per second.
type Demand struct {
	Calls, Tokens float64
}

func (d Demand) add(o Demand) Demand {
	return Demand{Calls: d.Calls + o.Calls, Tokens: d.Tokens + o.Tokens}
}

// demandRate is an exponentially decaying average of demand.
type demandRate struct {
	sum              Demand
	updatedAt, since time.Time
}

func (a *demandRate) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(demandTimeConstant))
	a.sum.Calls *= keep
	a.sum.Tokens *= keep
	a.updatedAt = now
}

func (a *demandRate) add(now time.Time, d Demand) {
	if a.since.IsZero() {
		a.since, a.updatedAt = now, now
	}
	a.decay(now)
	a.sum = a.sum.add(d)
}

// rate returns the demand per second.
func (a *demandRate) rate(now time.Time) Demand {
	if a.since.IsZero() {
		return Demand{}
	}
	a.decay(now)
	age := max(now.Sub(a.since), time.Second)
	seconds := demandTimeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(demandTimeConstant)))
	return Demand{Calls: a.sum.Calls / seconds, Tokens: a.sum.Tokens / seconds}
}

// stageLoad is the demand expressed as the number of engines that each stage needs.
type stageLoad struct {
	prefill, decode float64
}

// load converts demand into the number of engines needed.
func (d Demand) load(m *estimate.EngineModel, eng *Engine) stageLoad {
	memory := d.Tokens + d.Calls*float64(m.MeanTokens())/2 // answers grow from nothing to full length
	return stageLoad{
		prefill: d.Tokens * m.PrefillTimePerToken().Seconds(),
		decode:  memory * m.AnswerDuration(priorTimeout).Seconds() / float64(max(eng.KVCapacity, 1)),
	}
}

// bottleneck returns the load of the more loaded stage for these stage sizes.
func (l stageLoad) bottleneck(prefills, decodes int) float64 {
	return max(prefillWeight*l.prefill/float64(prefills), l.decode/float64(decodes))
}

// bestStep returns the change of the number of prefill engines, 1, -1 or 0, that relieves
// the more loaded stage.
func (l stageLoad) bestStep(prefills, decodes int) int {
	if prefills == 0 || decodes == 0 {
		return 0
	}
	current := l.bottleneck(prefills, decodes)
	if current < minBalanceLoad {
		return 0
	}
	enough := current * (1 - minBalanceGain)
	if prefills > 1 && l.bottleneck(prefills-1, decodes+1) < enough {
		return -1
	}
	if decodes > 1 && l.bottleneck(prefills+1, decodes-1) < enough {
		return 1
	}
	return 0
}

// moves returns the number of engines to switch to prefill, or to decode if negative. It
// takes steps while each relieves the more loaded stage, up to a fraction of the stage
// that the engines leave.
func (l stageLoad) moves(prefills, decodes int) int {
	step := l.bestStep(prefills, decodes)
	leave := prefills
	if step > 0 {
		leave = decodes
	}
	n := 0
	for most := int(math.Ceil(maxMoveFraction * float64(leave))); n < most && step != 0 && l.bestStep(prefills+n*step, decodes-n*step) == step; {
		n++
	}
	return n * step
}

// RecordArrival records an incoming generation as demand.
func (l *LoadTracker) RecordArrival(now time.Time, s *Service, c *Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.arrivals[s.Name]
	if a == nil {
		a = new(demandRate)
		l.arrivals[s.Name] = a
	}
	a.add(now, Demand{Calls: 1, Tokens: float64(c.PromptTokens)})
}

// OwnDemand returns the demand that reaches this process, by service.
func (l *LoadTracker) OwnDemand(now time.Time) map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Demand, len(l.arrivals))
	for name, a := range l.arrivals {
		out[name] = a.rate(now)
	}
	return out
}

// demand returns the demand that reaches all processes, and how long this process has
// observed any.
func (l *LoadTracker) demand(now time.Time, service string) (sum Demand, seen time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.arrivals[service]; a != nil {
		sum = a.rate(now)
		seen = now.Sub(a.since)
	}
	return sum.add(l.peers.demand(now, service)), seen
}
