package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/event"
	"ebonypulley/limit"
	"ebonypulley/memory"
	"ebonypulley/metrics"
	"ebonypulley/pace"
	"ebonypulley/poison"
	"ebonypulley/quota"
	"ebonypulley/release"
	"ebonypulley/returns"
	"ebonypulley/share"
)

// Settings configure a Router.
type Settings struct {
	// DataCentre is the data centre this process runs in.
	DataCentre string
	// RetryRatio, RetryWindow and RetrySlack define the retry budget that all entries
	// share. In each window, attempts beyond the first of each request may number at most
	// RetryRatio times the requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaTolerance is the tolerated overrun of workspace limits.
	QuotaTolerance quota.Tolerance
	// EndpointTolerance is the tolerated overrun of the limits that endpoints advertise.
	EndpointTolerance quota.Tolerance
	// Restarted says that this process may have run before. An earlier incarnation may
	// then have used its share of the slack and of the limits only moments ago.
	Restarted bool
	// SingleEntry says that other entries share neither the retry budget nor the limits by
	// design, until SetFleetSize reports others.
	SingleEntry bool
	// Seed seeds the random numbers, so that a test can be repeated; zero means a random
	// seed.
	Seed uint64
	// Budget, if set, bounds the memory of events that wait for slow callers.
	Budget *memory.Budget
	// Chooser is set for fleets with an agent in front of each endpoint; see Chooser.
	Chooser Chooser
}

// Router serves requests using the endpoints in its Directory. It is safe for concurrent
// use.
type Router struct {
	// OnBehind, if set before use, is called while a request waits until this entry knows what is
	// published now.
	OnBehind func()

	set        Settings
	endpoints  EndpointClient
	loads      *LoadTracker
	crashes    *poison.Detector
	parts      *poison.PartDetector
	quotas     *quota.Ledger
	paces      *pace.Tracker
	shares     *share.Table
	calendar   *returns.Calendar
	releases   *release.Tracker
	recovery   *versionRecovery
	log        *event.Log
	metrics    *metrics.Set
	directory  atomic.Pointer[Directory]
	cacheIndex cacheIndex
	rooms      *roomQueues
	probes     *probes
	arrivals   *arrivalTracker
	former     *formerProcess

	mu      sync.Mutex
	budgets map[string]*limit.RetryBudget
	// shownSlack holds the values of the gauges of showSlack, by service.
	shownSlack map[string]int64
	rnd        *rand.Rand
	// draining maps the ID of each endpoint that reported that it is draining to the time
	// it was last published.
	draining map[string]time.Time
	// crashChecks holds the checks in progress, by endpoint ID.
	crashChecks map[string]*crashCheck
	// longestTimeouts holds the longest timeout that callers of each route have requested.
	longestTimeouts map[string]time.Duration
	// sawNewStream holds the routes of which callers have begun streams.
	sawNewStream map[string]bool
	// timeouts holds the timeout of first attempts, by route.
	timeouts map[string]*commonTimeout
	// holds holds the waiting plain calls, by service.
	holds map[string]*hold
}

// New returns a router with an empty directory.
func New(set Settings, endpoints EndpointClient, log *event.Log, m *metrics.Set) *Router {
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	started := time.Now()
	parts := poison.NewPartDetector()
	if set.Restarted {
		parts.SetKnownSince(started)
	}
	r := &Router{
		set:       set,
		endpoints: endpoints,
		loads:     NewLoadTracker(),
		crashes:   poison.NewDetector(),
		parts:     parts,
		quotas: quota.NewLedger(quota.Settings{
			Tolerance: set.QuotaTolerance, EndpointTolerance: set.EndpointTolerance,
			Started: started, Restarted: set.Restarted, SingleEntry: set.SingleEntry, Seed: seed,
		}),
		paces:           pace.NewTracker(),
		shares:          share.NewTable(),
		calendar:        returns.NewSeeded(seed),
		releases:        release.NewTracker(),
		log:             log,
		metrics:         m,
		budgets:         make(map[string]*limit.RetryBudget),
		shownSlack:      make(map[string]int64),
		draining:        make(map[string]time.Time),
		crashChecks:     make(map[string]*crashCheck),
		longestTimeouts: make(map[string]time.Duration),
		sawNewStream:    make(map[string]bool),
		timeouts:        make(map[string]*commonTimeout),
		holds:           make(map[string]*hold),
		arrivals:        newArrivalTracker(),
		former:          newFormerProcess(set.Restarted, started),
		rnd:             rand.New(rand.NewPCG(seed, seed+1)),
	}
	r.OnBehind = func() {}
	r.loads.onUnresponsive = r.recordUnresponsive
	r.recovery = newVersionRecovery(r)
	r.probes = newProbes(func(ctx context.Context, e *Endpoint) error { return r.endpoints.Probe(ctx, e) })
	r.crashes.OnBlocked, r.parts.OnBlocked = r.poisonFound, r.partsFound
	r.rooms = newRoomQueues(r)
	r.loads.onRoom = r.rooms.wakeSoon
	r.loads.paces = r.paces
	r.directory.Store(NewDirectory(0, 0, nil, nil, nil))
	return r
}

// Directory returns the current directory.
func (r *Router) Directory() *Directory { return r.directory.Load() }

// SetDirectory replaces the directory. Endpoints that reported that they are draining
// stay out of it.
func (r *Router) SetDirectory(d *Directory) {
	r.mu.Lock()
	r.directory.Store(r.withoutDraining(time.Now(), d))
	r.mu.Unlock()
	r.setVersions(time.Now(), d)
	r.recovery.begin(d)
	r.quotas.SetLimits(d.limits)
	known := make(map[string]bool)
	for _, list := range d.endpoints {
		for _, e := range list {
			known[e.ID] = true
		}
	}
	r.crashes.SetEndpoints(slices.Collect(maps.Keys(known)))
	r.loads.setCold(time.Now(), d)
	r.loads.Retain(func(id string) bool { return known[id] })
	r.paces.Retain(func(id string) bool { return known[id] })
	r.rooms.wakeSoon()
}

// Loads returns the load and health records of the endpoints.
func (r *Router) Loads() *LoadTracker { return r.loads }

// Paces returns the load that endpoints say they have.
func (r *Router) Paces() *pace.Tracker { return r.paces }

// Shares returns the demand of all entries for services whose room is short.
func (r *Router) Shares() *share.Table { return r.shares }

// Returns returns the calendar of promised returns.
func (r *Router) Returns() *returns.Calendar { return r.calendar }

// Releases returns the software versions of streams.
func (r *Router) Releases() *release.Tracker { return r.releases }

// SetFleetSize sets the number of entries that share the retry budget and the limits,
// including those that no longer report.
func (r *Router) SetFleetSize(n int) {
	r.quotas.SetFleetSize(n)
	r.calendar.SetFleetSize(n)
}

// PickService picks one of the route's services at random, by weight. It returns nil if no
// service has a weight.
func (r *Router) PickService(d *Directory, route *Route) *Service {
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

// randomFraction returns a random number in [0, 1).
func (r *Router) randomFraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64()
}

// jitter returns a random duration in [from, from+spread).
func (r *Router) jitter(from, spread time.Duration) time.Duration {
	return from + time.Duration(r.random(int(spread)))
}
