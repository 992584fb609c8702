// Package pace keeps what endpoints say of their load and of their pace at this moment, in
// the answers to this process and in those to others. It is a state machine without I/O.
//
// A pace is how much longer work takes at an endpoint than usual. Endpoints share their
// machines with others, so that it changes within a second. It is worth only as much as it has
// been shown to predict: it fades as fast as successive values differ, and it counts as far as
// observed durations followed it.
package pace

import (
	"math"
	"sync"
	"time"
)

// Load is what an endpoint says of itself along with an answer.
type Load struct {
	// Running and Waiting are the requests of all callers at the endpoint, Slots the number
	// that it runs at a time. Slots is zero if the endpoint does not say.
	Running, Waiting, Slots int
	// Slowdown is how much longer work takes there at this moment than usual: 1 is as usual;
	// zero if the endpoint does not say.
	Slowdown float64
}

const (
	// maxAge is the age from which on a reported load is not news.
	maxAge = time.Second
	// maxCount bounds the counts, and maxPace the pace, of a reported load.
	maxCount = 1 << 20
	maxPace  = 100.0
	// duplicateWindow is how much younger a report may seem than the same one before, by its
	// time on the network.
	duplicateWindow = 100 * time.Millisecond
)

// valid reports whether a load can be counted with.
func (l Load) valid() bool {
	for _, n := range [...]int{l.Running, l.Waiting, l.Slots} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return l.Slowdown >= 0 && l.Slowdown <= maxPace && (l.Slots > 0 || l.Running == 0 && l.Waiting == 0)
}

// Report is the load of an endpoint as one entry tells another.
type Report struct {
	Endpoint string
	Load
	// Age is the time since the endpoint said so.
	Age time.Duration
}

// Tracker holds the latest load of each endpoint. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	// slow describes the slow moments of all endpoints.
	slow slowMoments
	// reports is how far what others report has agreed with what the endpoints said next.
	reports trust
	// news holds the endpoints whose pace is news to other processes, and since when.
	news map[string]time.Time
	// published reports whether an endpoint is published; nil until that is known.
	published func(endpoint string) bool
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	// load is the latest load; its counts may be older than its pace and the other way round.
	load Load
	at   time.Time
	series
	// reported says that another process reported the latest pace.
	reported bool
	trust
	told
	standing
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{endpoints: make(map[string]*endpoint), news: make(map[string]time.Time)}
}

// Observe records what an endpoint said to this process. It returns what operators are to be
// told of it.
func (t *Tracker) Observe(now time.Time, id string, l Load) Change {
	if !l.valid() {
		return Unchanged
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(id)
	e.setLoad(now, l)
	if l.Slowdown == 0 {
		return Unchanged
	}
	t.slow.add(e.relative(l.Slowdown))
	if e.reported {
		t.reports.add(math.Log(e.factorAt(now)), math.Log(e.relative(l.Slowdown)))
		e.reported = false
	}
	e.addOwn(now, l.Slowdown)
	if e.isNews(now, l.Slowdown, e.timeConstant()) {
		e.told = told{pace: l.Slowdown, at: now}
		t.news[id] = now
	}
	return e.change(e.usual, e.exponent())
}

// Merge records what endpoints said to another process.
func (t *Tracker) Merge(now time.Time, list []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if r.Age < 0 || r.Age > maxAge || !r.valid() || t.published != nil && !t.published(r.Endpoint) {
			continue
		}
		e, at := t.endpoint(r.Endpoint), now.Add(-r.Age)
		if r.Slots > 0 && at.After(e.at) {
			e.setLoad(at, r.Load)
		}
		if r.Slowdown > 0 && e.isNewer(at, r.Slowdown) {
			e.series.add(at, r.Slowdown)
			e.reported = true
			e.told = told{pace: r.Slowdown, at: at}
			delete(t.news, r.Endpoint)
		}
	}
}

func (t *Tracker) endpoint(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = new(endpoint)
		t.endpoints[id] = e
	}
	return e
}

// setLoad replaces the load, except for what the endpoint does not say this time.
func (e *endpoint) setLoad(at time.Time, l Load) {
	if l.Slots == 0 {
		l.Running, l.Waiting, l.Slots = e.load.Running, e.load.Waiting, e.load.Slots
	}
	e.load, e.at = l, at
}

// isNewer reports whether a pace that another process reports is newer than the known one.
func (e *endpoint) isNewer(at time.Time, pace float64) bool {
	if !at.After(e.series.at) {
		return false
	}
	return pace != e.series.pace || at.Sub(e.series.at) > duplicateWindow
}

// Latest returns the latest load of an endpoint and its age, or false if the endpoint never
// said how many requests it has.
func (t *Tracker) Latest(now time.Time, id string) (l Load, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || e.load.Slots == 0 {
		return Load{}, 0, false
	}
	return e.load, now.Sub(e.at), true
}

// Now is the pace of an endpoint at this moment, compared with its usual one.
type Now struct {
	// Factor is how much longer work is expected to take than it usually does there.
	Factor float64
	// SlowChance is the chance that the endpoint is in a slow moment. SlowFactor is how much
	// longer work takes in one than usually, and QuickFactor the same for other moments.
	SlowChance, SlowFactor, QuickFactor float64
	// SlowShare is the share of the time that endpoints are in a slow moment, Lasts how long a
	// moment lasts.
	SlowShare float64
	Lasts     time.Duration
}

// usualNow is the pace of an endpoint that does not say any.
var usualNow = Now{Factor: 1, SlowFactor: 1, QuickFactor: 1}

// At returns the pace of an endpoint, or false if it never said any.
func (t *Tracker) At(now time.Time, id string) (Now, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.series.known() {
		return usualNow, false
	}
	exponent, remaining := t.exponent(e), e.remaining(now)
	n := Now{Factor: math.Pow(e.factorAt(now), exponent), SlowFactor: math.Pow(t.slow.factor(), exponent), SlowShare: t.slow.share(), Lasts: e.timeConstant()}
	n.QuickFactor = (1 - n.SlowShare*n.SlowFactor) / (1 - n.SlowShare)
	n.SlowChance = n.SlowShare * (1 - remaining)
	if isSlow(e.relative(e.series.pace)) {
		n.SlowChance += remaining
	}
	return n, true
}

// exponent returns the power of an endpoint's latest pace that counts. The caller holds t.mu.
func (t *Tracker) exponent(e *endpoint) float64 {
	if e.reported {
		return e.exponent() * t.reports.exponent()
	}
	return e.exponent()
}

// During returns the pace of an endpoint over a time that ends now, or false if it never
// said any.
func (t *Tracker) During(from, now time.Time, id string) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.series.known() {
		return 1, false
	}
	return math.Pow(e.factorDuring(from, now), t.exponent(e)), true
}

// Learn records that work at an endpoint, which ended now, took ratio times as long as
// expected at its usual pace. It shows how far the pace explains durations.
func (t *Tracker) Learn(from, now time.Time, id string, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.series.known() || !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	e.trust.add(math.Log(e.factorDuring(from, now)), math.Log(ratio))
}

// Summary describes the paces of some endpoints.
type Summary struct {
	// Saying is the number of endpoints that say their pace, Slow that of those that are slow
	// now. Slowest is one of the slowest, at SlowestPace times its usual pace.
	Saying      int     `json:"saying"`
	Slow        int     `json:"slow"`
	Slowest     string  `json:"slowest"`
	SlowestPace float64 `json:"slowest_pace"`
	// LatestAge and OldestAge are the times since the endpoint said so that said it last, and
	// first.
	LatestAge time.Duration `json:"latest_age_ns"`
	OldestAge time.Duration `json:"oldest_age_ns"`
}

// Summarize describes the paces of these endpoints.
func (t *Tracker) Summarize(now time.Time, endpoints []string) (s Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range endpoints {
		e := t.endpoints[id]
		if e == nil || !e.series.known() {
			continue
		}
		age, factor := now.Sub(e.series.at), e.factorAt(now)
		if s.Saying == 0 || age < s.LatestAge {
			s.LatestAge = age
		}
		s.OldestAge = max(s.OldestAge, age)
		if factor > s.SlowestPace {
			s.Slowest, s.SlowestPace = id, factor
		}
		if isSlow(factor) {
			s.Slow++
		}
		s.Saying++
	}
	return s
}

// Retain drops the endpoints that are no longer published.
func (t *Tracker) Retain(published func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published = published
	for id := range t.endpoints {
		if !published(id) {
			delete(t.endpoints, id)
			delete(t.news, id)
		}
	}
}

// Says reports whether an endpoint says its pace.
func (t *Tracker) Says(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	return e != nil && e.series.known()
}
