package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/event"
	"ebonypulley/limit"
	"ebonypulley/metrics"
	"ebonypulley/poison"
	"ebonypulley/quota"
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
	RetrySlack  float64
	// Quota is what is tolerated beyond the limits of workspaces.
	Quota quota.Tolerance
	// EndpointTolerance is what is tolerated beyond the limits that endpoints name.
	EndpointTolerance quota.Tolerance
	// Restarted says that this process may have run before, so that a former
	// incarnation may have used its part of the slack just now.
	Restarted bool
	// Alone says that nobody shares the retry budget, unless SetEntries tells of
	// others.
	Alone bool
	// Chooser is set for fleets whose endpoints stand behind gates of their
	// own; see Chooser.
	Chooser Chooser
}

// Router serves requests by its directory. It is safe for concurrent use.
type Router struct {
	set       Settings
	endpoints Endpoints
	loads     *Loads
	crashes   *poison.Ledger
	quotas    *quota.Ledger
	log       *event.Log
	metrics   *metrics.Set
	directory atomic.Pointer[Directory]
	cached    cachedLists

	mu      sync.Mutex
	budgets map[string]*limit.SharedBudget
	rnd     *rand.Rand
	// leaving are the endpoints that said that they leave, with when they were last
	// published.
	leaving map[string]time.Time
	// questions are those under way, by the endpoint's ID.
	questions map[string]*question
	// waits are the longest time limits that callers named, by route.
	waits map[string]time.Duration
}

// New returns a router with an empty directory.
func New(set Settings, endpoints Endpoints, log *event.Log, m *metrics.Set) *Router {
	r := &Router{
		set:       set,
		endpoints: endpoints,
		loads:     NewLoads(),
		crashes:   poison.NewLedger(),
		quotas: quota.NewLedger(quota.Settings{
			Tolerance: set.Quota, EndpointTolerance: set.EndpointTolerance,
			Started: time.Now(), Restarted: set.Restarted, Alone: set.Alone, Seed: rand.Uint64(),
		}),
		log:       log,
		metrics:   m,
		budgets:   make(map[string]*limit.SharedBudget),
		leaving:   make(map[string]time.Time),
		questions: make(map[string]*question),
		waits:     make(map[string]time.Duration),
		rnd:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	r.crashes.Found = r.poisonFound
	r.directory.Store(NewDirectory(0, 0, nil, nil, nil))
	return r
}

// Directory returns the view in force.
func (r *Router) Directory() *Directory { return r.directory.Load() }

// SetDirectory puts a view in force.
func (r *Router) SetDirectory(d *Directory) {
	r.mu.Lock()
	r.directory.Store(r.staying(time.Now(), d))
	r.mu.Unlock()
	r.quotas.SetLimits(d.limits)
	known := make(map[string]bool)
	for _, list := range d.endpoints {
		for _, e := range list {
			known[e.ID] = true
		}
	}
	r.crashes.SetEndpoints(slices.Collect(maps.Keys(known)))
	r.loads.Keep(func(id string) bool { return known[id] })
}

// Loads returns what is known of the work at the endpoints.
func (r *Router) Loads() *Loads { return r.loads }

// SetEntries tells how many entries share what is counted over all of them. Those that are not
// heard any more still count.
func (r *Router) SetEntries(n int) { r.quotas.SetEntries(n) }

// SetBudget changes the bounds of the retry budget.
func (r *Router) SetBudget(ratio float64, window time.Duration, slack float64) {
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
	return limit.NewSharedBudget(r.set.RetryRatio, r.set.RetryWindow)
}

func (r *Router) budget(service string) *limit.SharedBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = r.newBudget()
		r.budgets[service] = b
	}
	b.SetSlack(r.quotas.Part(time.Now(), r.set.RetrySlack, r.set.RetryWindow))
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
