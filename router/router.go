package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/event"
	"ebonypulley/limit"
	"ebonypulley/metrics"
)

// Settings are the bounds that the deployment sets.
type Settings struct {
	// DataCentre is where this process runs.
	DataCentre string
	// RetryRatio, RetryWindow and RetrySlack bound the attempts beyond the
	// first of all entries together: in each window a share of the requests,
	// plus the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  int
	// Chooser is set for fleets whose endpoints stand behind gates of their
	// own; see Chooser.
	Chooser Chooser
}

// Router serves requests by its directory. It is safe for concurrent use.
type Router struct {
	set       Settings
	endpoints Endpoints
	loads     *Loads
	log       *event.Log
	metrics   *metrics.Set
	directory atomic.Pointer[Directory]
	cached    cachedLists

	mu      sync.Mutex
	budgets map[string]*limit.SharedBudget
	entries int
	rnd     *rand.Rand
	// waits are the longest time limits that callers named, by route.
	waits map[string]time.Duration
}

// assumedEntries is the number of entries that share the slack of the retry
// budget while this process has not heard of any. It exceeds what a
// deployment of today has, so that many that hear nothing of each other stay
// within the whole.
const assumedEntries = 12

// New returns a router with an empty directory.
func New(set Settings, endpoints Endpoints, log *event.Log, m *metrics.Set) *Router {
	r := &Router{
		set:       set,
		endpoints: endpoints,
		loads:     NewLoads(),
		log:       log,
		metrics:   m,
		budgets:   make(map[string]*limit.SharedBudget),
		entries:   assumedEntries,
		waits:     make(map[string]time.Duration),
		rnd:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	r.directory.Store(NewDirectory(0, 0, nil, nil, nil))
	return r
}

// Directory returns the view in force.
func (r *Router) Directory() *Directory { return r.directory.Load() }

// SetDirectory puts a view in force.
func (r *Router) SetDirectory(d *Directory) {
	r.directory.Store(d)
	known := make(map[string]bool)
	for _, list := range d.endpoints {
		for _, e := range list {
			known[e.ID] = true
		}
	}
	r.loads.Keep(func(id string) bool { return known[id] })
}

// Loads returns what is known of the work at the endpoints.
func (r *Router) Loads() *Loads { return r.loads }

// SetEntries tells how many entries share the retry budget.
func (r *Router) SetEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = max(n, 1)
	for _, b := range r.budgets {
		b.SetSlack(r.slackPart())
	}
}

// SetBudget changes the bounds of the retry budget.
func (r *Router) SetBudget(ratio float64, window time.Duration, slack int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set.RetryRatio == ratio && r.set.RetryWindow == window && r.set.RetrySlack == slack {
		return
	}
	r.set.RetryRatio, r.set.RetryWindow, r.set.RetrySlack = ratio, window, slack
	for service := range r.budgets {
		r.budgets[service] = r.newBudget()
	}
}

func (r *Router) newBudget() *limit.SharedBudget {
	b := limit.NewSharedBudget(r.set.RetryRatio, r.set.RetryWindow)
	b.SetSlack(r.slackPart())
	return b
}

func (r *Router) slackPart() float64 { return float64(r.set.RetrySlack) / float64(r.entries) }

func (r *Router) budget(service string) *limit.SharedBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = r.newBudget()
		r.budgets[service] = b
	}
	return b
}

// Share picks the service of a request among those of its route, by weight.
func (r *Router) Share(d *Directory, route *Route) *Service {
	total := 0
	for _, s := range route.Services {
		total += s.Weight
	}
	if total <= 0 {
		return nil
	}
	n := r.random(total)
	for _, s := range route.Services {
		if n -= s.Weight; n < 0 {
			return d.Service(s.Service)
		}
	}
	return nil
}

func (r *Router) random(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

// jitter returns a time between from and from + spread.
func (r *Router) jitter(from, spread time.Duration) time.Duration {
	return from + time.Duration(r.random(int(spread)))
}
