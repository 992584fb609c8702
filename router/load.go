package router

import (
	"math"
	"sync"
	"time"
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

// remoteLife is how long another entry's word about its work counts. Entries
// repeat theirs several times in that time.
const remoteLife = 2 * time.Second

type remote struct {
	loads map[string]Load
	at    time.Time
}

// Loads is what this process knows of the work at all endpoints: its own
// exactly, that of other entries as they last said.
type Loads struct {
	mu     sync.Mutex
	own    map[string]Load
	remote map[string]remote
	health map[string]*health
	dirty  bool
}

// NewLoads returns an empty Loads.
func NewLoads() *Loads {
	return &Loads{own: make(map[string]Load), remote: make(map[string]remote), health: make(map[string]*health)}
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

// Hear records another process's work.
func (l *Loads) Hear(now time.Time, process string, loads map[string]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote[process] = remote{loads: loads, at: now}
}

// at returns all known work at an endpoint; l.mu is held.
func (l *Loads) at(now time.Time, endpoint string) Load {
	sum := l.own[endpoint]
	for process, r := range l.remote {
		if now.Sub(r.at) > remoteLife {
			delete(l.remote, process)
			continue
		}
		sum = sum.add(r.loads[endpoint])
	}
	return sum
}

// View is the state of one endpoint at a moment.
type View struct {
	Load
	// FailShare is the recent share of attempts that failed, 0 to 1.
	FailShare float64
	// Latency is the recent mean of a plain call.
	Latency time.Duration
	// Rate is the recent speed of the prefill in tokens per millisecond.
	Rate float64
	// Pace is how much longer a step takes than usual.
	Pace float64
	// Full says that the endpoint just refused a reservation.
	Full bool
	// Avoid says that the endpoint gets work only if no other can take it.
	Avoid bool
}

// View returns what is known of an endpoint.
func (l *Loads) View(now time.Time, endpoint string) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{Load: l.at(now, endpoint), Latency: priorLatency, Rate: priorRate, Pace: priorPace}
	h := l.health[endpoint]
	if h == nil {
		return v
	}
	h.fade(now)
	v.FailShare = h.fail
	v.Latency = time.Duration(h.latency)
	v.Rate = h.rate
	v.Pace = h.pace
	v.Full = now.Before(h.fullUntil)
	v.Avoid = now.Before(h.avoidUntil) || now.Before(h.heardUntil)
	return v
}

const (
	// priorLatency and priorRate are assumed of an endpoint that nothing is
	// known of: a plain call's usual time and an engine's nominal speed. Only
	// their ratio to what is measured matters, and measurements replace them.
	priorLatency = 60 * time.Millisecond
	priorRate    = 50.0 // prompt tokens per millisecond
	priorPace    = 1.0
	// paceWeight is the part that the pause between two events takes; each
	// stream brings some tens of them.
	paceWeight = 0.05
	// sampleWeight is the part that a new measurement takes.
	sampleWeight = 0.25
	// failWeight is the part that one more success or failure takes: four
	// failures in a row make 0.68.
	failWeight = 0.25
	// fadeTime is the time constant with which a bad record fades, so that an
	// endpoint is tried again some seconds after its last failure.
	fadeTime = 4 * time.Second
	// avoidFirst and avoidMost bound how long an endpoint that did not answer
	// is avoided; the time doubles with each silence in a row.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// goneFor is how long an endpoint that is gone is avoided; a store that is
	// away may list it for that long.
	goneFor = 10 * time.Second
)

// health is what recent attempts showed of one endpoint.
type health struct {
	fail       float64
	latency    float64 // nanoseconds
	rate       float64
	pace       float64 // does not fade: engines differ for good
	silences   int
	silentAt   time.Time // when it was last found silent or gone
	avoidUntil time.Time
	// heardUntil is avoidUntil as others say, goodAt the last success here.
	heardUntil time.Time
	goodAt     time.Time
	fullUntil  time.Time
	at         time.Time
}

func (h *health) fade(now time.Time) {
	keep := math.Exp(-float64(now.Sub(h.at)) / float64(fadeTime))
	h.at = now
	h.fail *= keep
	h.latency = float64(priorLatency) + (h.latency-float64(priorLatency))*keep
	h.rate = priorRate + (h.rate-priorRate)*keep
}

func (l *Loads) healthOf(now time.Time, endpoint string) *health {
	h := l.health[endpoint]
	if h == nil {
		h = &health{latency: float64(priorLatency), rate: priorRate, pace: priorPace, at: now}
		l.health[endpoint] = h
	}
	h.fade(now)
	return h
}

// Succeeded records an attempt that the endpoint answered well.
func (l *Loads) Succeeded(now time.Time, endpoint string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.fail *= 1 - failWeight
	h.good(now)
	if took > 0 {
		h.latency += (float64(took) - h.latency) * sampleWeight
	}
}

// Prefilled records the speed of a prefill.
func (l *Loads) Prefilled(now time.Time, endpoint string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.fail *= 1 - failWeight
	h.good(now)
	if ms := float64(took) / float64(time.Millisecond); ms > 0 {
		h.rate += (float64(tokens)/ms - h.rate) * sampleWeight
	}
}

// Paced records how long a pause between two events was, as a multiple of the
// usual one.
func (l *Loads) Paced(now time.Time, endpoint string, times float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.pace += (times - h.pace) * paceWeight
}

// Failed records an attempt that the endpoint answered with a failure, or a
// part of whose answer was lost.
func (l *Loads) Failed(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.fail += (1 - h.fail) * failWeight
}

// Silent records an attempt that got no answer or no connection: the endpoint
// is avoided for a while.
//
// Load pattern answered: an endpoint crashes or hangs and stays published for
// seconds. Without this each new request waits for it in turn.
func (l *Loads) Silent(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.fail += (1 - h.fail) * failWeight
	pause := min(avoidFirst<<min(h.silences, 8), avoidMost)
	h.silences++
	l.avoid(now, h, pause)
}

// Gone records that nothing listens at the endpoint's address, or another
// endpoint does: it is avoided for as long as it may stay published.
func (l *Loads) Gone(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, endpoint)
	h.fail += (1 - h.fail) * failWeight
	l.avoid(now, h, goneFor)
}

// avoid notes own evidence; l.mu is held.
func (l *Loads) avoid(now time.Time, h *health, pause time.Duration) {
	h.silentAt = now
	h.avoidUntil = now.Add(pause)
	l.dirty = true
}

func (h *health) good(now time.Time) {
	h.silences = 0
	h.goodAt = now
	h.avoidUntil = time.Time{}
	h.heardUntil = time.Time{}
}

// Avoided is an endpoint that a process found silent or gone.
type Avoided struct {
	Endpoint string
	// Age is how old that evidence is, Left how long it still counts.
	Age, Left time.Duration
}

// Avoided returns the endpoints that this process itself found silent or gone;
// it hands on no hearsay, which could go round for ever.
func (l *Loads) Avoided(now time.Time) []Avoided {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Avoided
	for id, h := range l.health {
		if left := h.avoidUntil.Sub(now); left > 0 {
			list = append(list, Avoided{Endpoint: id, Age: now.Sub(h.silentAt), Left: left})
		}
	}
	return list
}

// HearAvoided takes another process's evidence, unless this one had a success
// at the endpoint since.
//
// Load pattern answered: a third of the engines crash or go dark in the same
// second and stay published for seconds. Each entry would find out about each
// of them by itself, at the cost of a generation that is late.
func (l *Loads) HearAvoided(now time.Time, a Avoided) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, a.Endpoint)
	if now.Add(-a.Age).After(h.goodAt) {
		h.heardUntil = now.Add(a.Left)
	}
}

// fullFor is how long an endpoint that refused a reservation gets no more:
// about the time in which one of its generations ends.
const fullFor = 100 * time.Millisecond

// Full records that an endpoint has less memory than reckoned.
func (l *Loads) Full(now time.Time, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healthOf(now, endpoint).fullUntil = now.Add(fullFor)
}

// Keep forgets the records of endpoints that are not published any more.
func (l *Loads) Keep(published func(endpoint string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.health {
		if !published(id) {
			delete(l.health, id)
		}
	}
}
