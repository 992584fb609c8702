// Package pace keeps what endpoints say of their load and of their speed at this moment, in
// the answers to this process and in those to others. It is a state machine without I/O.
package pace

import (
	"sync"
	"time"
)

// Load is what an endpoint says of itself along with an answer.
type Load struct {
	// Running and Waiting are the requests of all callers at the endpoint, Slots the number
	// that it runs at a time.
	Running, Waiting, Slots int
	// Slowdown is how much longer work takes there at this moment than usual: 1 is as usual;
	// zero if the endpoint does not say.
	Slowdown float64
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
	mu     sync.Mutex
	latest map[string]sample
}

type sample struct {
	Load
	at time.Time
	// own says that the endpoint said so to this process.
	own bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{latest: make(map[string]sample)} }

// Observe records what an endpoint said to this process.
func (t *Tracker) Observe(now time.Time, endpoint string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest[endpoint] = sample{Load: l, at: now, own: true}
}

// Merge records what endpoints said to another process.
func (t *Tracker) Merge(now time.Time, list []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		at := now.Add(-r.Age)
		if r.Age >= 0 && at.After(t.latest[r.Endpoint].at) {
			t.latest[r.Endpoint] = sample{Load: r.Load, at: at}
		}
	}
}

// Latest returns the latest load of an endpoint and its age, or false if the endpoint never
// said any.
func (t *Tracker) Latest(now time.Time, endpoint string) (l Load, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.latest[endpoint]
	return s.Load, now.Sub(s.at), ok
}

// Own returns what is to be reported to other processes: nothing yet.
func (t *Tracker) Own(time.Time) []Report { return nil }

// Retain drops the endpoints that are no longer published.
func (t *Tracker) Retain(published func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.latest {
		if !published(id) {
			delete(t.latest, id)
		}
	}
}
