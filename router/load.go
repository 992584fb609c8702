package router

import (
	"sync"
	"time"

	"ebonypulley/estimate"
)

// Load is work under way at one endpoint.
type Load struct {
	// Calls are plain calls in progress.
	Calls int
	// Prefill is the number of prompt tokens waiting or being computed.
	Prefill int
	// Decodes are generations in progress or about to start.
	Decodes int
	// KV is the memory in tokens that they take.
	KV int
}

func (l Load) add(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, Prefill: l.Prefill + o.Prefill, Decodes: l.Decodes + o.Decodes, KV: l.KV + o.KV}
}

func (l Load) negative() Load {
	return Load{Calls: -l.Calls, Prefill: -l.Prefill, Decodes: -l.Decodes, KV: -l.KV}
}

func (l Load) zero() bool { return l == Load{} }

// Loads is what this process knows of the work at all endpoints: its own
// exactly, that of other entries as they last said.
type Loads struct {
	mu     sync.Mutex
	own    map[string]Load
	others others
	health map[string]*health
	// engines and calls hold what is learned of each service.
	engines map[string]*estimate.Engines
	calls   map[string]*estimate.Mean
	// arrivals count what comes to this process, by service.
	arrivals map[string]*arrivals
	dirty    bool
}

// NewLoads returns an empty Loads.
func NewLoads() *Loads {
	return &Loads{
		own: make(map[string]Load), others: newOthers(), health: make(map[string]*health),
		engines: make(map[string]*estimate.Engines), calls: make(map[string]*estimate.Mean),
		arrivals: make(map[string]*arrivals),
	}
}

// Work is work under way at one endpoint.
type Work struct {
	loads    *Loads
	endpoint string
	mu       sync.Mutex
	sum      Load
	ended    bool
}

// Begin records work at an endpoint until End.
func (l *Loads) Begin(endpoint string, work Load) *Work {
	l.change(endpoint, work)
	return &Work{loads: l, endpoint: endpoint, sum: work}
}

// Grow adds to the work, unless it has ended.
func (w *Work) Grow(by Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.sum = w.sum.add(by)
	w.loads.change(w.endpoint, by)
}

// End ends the work; again it has no effect.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.loads.change(w.endpoint, w.sum.negative())
}

func (l *Loads) change(endpoint string, by Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.own[endpoint].add(by)
	l.dirty = true
	if sum.zero() {
		delete(l.own, endpoint)
		return
	}
	l.own[endpoint] = sum
}

// Own returns this process's work, and whether it changed since the last call.
func (l *Loads) Own() (loads map[string]Load, changed bool) {
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

// Hear records another process's work and the demand that comes to it.
func (l *Loads) Hear(now time.Time, process string, loads map[string]Load, demand map[string]Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others.hear(now, process, loads, demand)
}

// at returns all known work at an endpoint; l.mu is held.
func (l *Loads) at(now time.Time, endpoint string) Load {
	return l.own[endpoint].add(l.others.work(now, endpoint))
}

// View is the state of one endpoint at a moment.
type View struct {
	Load
	// FailShare is the recent share of attempts that failed, 0 to 1.
	FailShare float64
	// Slow is how much longer a prefill or a plain call takes than at the
	// service's usual endpoint.
	Slow float64
	// Pace is how much longer a step takes than there.
	Pace float64
	// Full says that the endpoint just refused a reservation.
	Full bool
	// Quiet says that the endpoint wants nothing from this process.
	Quiet bool
	// Avoid says that the endpoint gets work only if no other can take it.
	Avoid bool
}

// View returns what is known of an endpoint.
func (l *Loads) View(now time.Time, endpoint string) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{Load: l.at(now, endpoint), Slow: 1, Pace: 1}
	h := l.health[endpoint]
	if h == nil {
		return v
	}
	h.fade(now)
	v.FailShare = h.fail
	v.Slow = h.slow
	v.Pace = h.pace
	v.Quiet = now.Before(h.quietUntil)
	v.Full = now.Before(h.fullUntil)
	v.Avoid = now.Before(h.avoidUntil) || now.Before(h.heardUntil)
	return v
}
