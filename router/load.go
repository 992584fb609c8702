package router

import (
	"sync"
	"time"

	"ebonypulley/estimate"
	"ebonypulley/pace"
)

// Load is the work in progress at one endpoint.
type Load struct {
	// Calls is the number of plain calls in progress.
	Calls int
	// PrefillTokens is the number of prompt tokens queued or being computed.
	PrefillTokens int
	// Decodes is the number of generations in progress or about to start.
	Decodes int
	// KVTokens is the number of KV cache tokens in use by those generations.
	KVTokens int
}

func (l Load) add(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, PrefillTokens: l.PrefillTokens + o.PrefillTokens, Decodes: l.Decodes + o.Decodes, KVTokens: l.KVTokens + o.KVTokens}
}

func (l Load) negated() Load {
	return Load{Calls: -l.Calls, PrefillTokens: -l.PrefillTokens, Decodes: -l.Decodes, KVTokens: -l.KVTokens}
}

func (l Load) isZero() bool { return l == Load{} }

// LoadTracker tracks the load and health of all endpoints: the work of this process
// exactly, that of the other entries as of their last reports.
type LoadTracker struct {
	mu     sync.Mutex
	own    map[string]Load
	peers  peerLoads
	health map[string]*health
	// paces holds the pace that endpoints say they have.
	paces *pace.Tracker
	// cold holds the endpoints that are still slow after their start.
	cold map[string]*coldStart
	// engineModels and callTimes hold the latency estimates of each service.
	engineModels map[string]*estimate.EngineModel
	callTimes    map[string]*estimate.Mean
	// arrivals holds the demand that reaches this process, by service.
	arrivals map[string]*demandRate
	dirty    bool
	// onRoom is called when endpoints may have room that they had not; it may be nil.
	onRoom func()
	// onUnresponsive is called when this entry or another one finds an endpoint unresponsive, while
	// mu is held; it may be nil.
	onUnresponsive func(now time.Time, endpoint string, byOther bool)
}

func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		own: make(map[string]Load), peers: newPeerLoads(), health: make(map[string]*health), paces: pace.NewTracker(), cold: make(map[string]*coldStart),
		engineModels: make(map[string]*estimate.EngineModel), callTimes: make(map[string]*estimate.Mean),
		arrivals: make(map[string]*demandRate),
	}
}

// Work is a handle on work in progress at one endpoint.
type Work struct {
	loads    *LoadTracker
	endpoint string
	mu       sync.Mutex
	sum      Load
	ended    bool
}

// Begin records work at an endpoint until Work.End.
func (l *LoadTracker) Begin(endpoint string, work Load) *Work {
	l.addOwn(endpoint, work)
	return &Work{loads: l, endpoint: endpoint, sum: work}
}

// Grow adds to the work. It does nothing after End.
func (w *Work) Grow(by Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.sum = w.sum.add(by)
	w.loads.addOwn(w.endpoint, by)
}

// End ends the work. Further calls do nothing.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.loads.addOwn(w.endpoint, w.sum.negated())
	w.loads.roomMayAppear()
}

func (l *LoadTracker) roomMayAppear() {
	if l.onRoom != nil {
		l.onRoom()
	}
}

func (l *LoadTracker) addOwn(endpoint string, by Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.own[endpoint].add(by)
	l.dirty = true
	if sum.isZero() {
		delete(l.own, endpoint)
		return
	}
	l.own[endpoint] = sum
}

// OwnLoads returns the work of this process, and whether it changed since the last call.
func (l *LoadTracker) OwnLoads() (loads map[string]Load, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads = make(map[string]Load, len(l.own))
	for id, w := range l.own {
		loads[id] = w
	}
	changed = l.dirty
	l.dirty = false
	return loads, changed
}

// SetPeerReport replaces the reported work and demand of another process.
func (l *LoadTracker) SetPeerReport(now time.Time, process string, loads map[string]Load, demand map[string]Demand) {
	l.mu.Lock()
	l.peers.setReport(now, process, loads, demand)
	l.mu.Unlock()
	l.roomMayAppear()
}

// total returns the work of all processes at an endpoint. The caller holds l.mu.
func (l *LoadTracker) total(now time.Time, endpoint string) Load {
	return l.own[endpoint].add(l.peers.loadAt(now, endpoint))
}

// View is a snapshot of the load and health of one endpoint.
type View struct {
	Load
	// FailureRate is the fraction of recent attempts that failed, 0 to 1.
	FailureRate float64
	// Slowdown is the ratio of the endpoint's prefill or call times to those of the
	// service as a whole, at its pace of this moment.
	Slowdown float64
	// StepSlowdown is the same ratio for decode steps.
	StepSlowdown float64
	// Pace is the pace of this moment, which is included in both. TellsPace says that the
	// endpoint says it; without it the pace is as usual.
	Pace      pace.Now
	TellsPace bool
	// Full says that the endpoint refused a reservation just now.
	Full bool
	// BackingOff says that the endpoint asked this process to send nothing for a while.
	BackingOff bool
	// Avoided says that the endpoint gets work only if no other can take it.
	Avoided bool
}

// View returns a snapshot of an endpoint's load and health.
func (l *LoadTracker) View(now time.Time, endpoint string) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{Load: l.total(now, endpoint), Slowdown: 1, StepSlowdown: 1}
	v.Pace, v.TellsPace = l.paces.At(now, endpoint)
	if h := l.health[endpoint]; h != nil {
		h.addTo(&v, now)
	}
	warmUp := l.coldSlowdown(now, endpoint)
	v.Slowdown *= v.Pace.Factor * warmUp
	v.StepSlowdown *= v.Pace.Factor * warmUp
	return v
}

// addTo adds the record to a view.
func (h *health) addTo(v *View, now time.Time) {
	h.decay(now)
	v.FailureRate = h.failureRate
	v.Slowdown = h.slowdown
	v.StepSlowdown = h.stepSlowdown
	v.BackingOff = now.Before(h.backoffUntil)
	v.Full = now.Before(h.fullUntil)
	v.Avoided = now.Before(h.avoidUntil) || now.Before(h.peerAvoidUntil)
}
