// Package share divides among entries what the endpoints of a service may hold at a time, by
// the demand that each entry reports. It is a state machine without I/O.
package share

import (
	"slices"
	"sync"
	"time"
)

// reportTTL is how long the demand of another entry counts without a new report.
const reportTTL = time.Second

// maxDemand bounds a demand that another entry reports: larger sums would lose the demand of others.
const maxDemand = 1e12

// Ranks of the demand for plain services.
const (
	// OnTime is the rank of calls that can still meet their target, Late that of the others.
	OnTime = 0
	Late   = 1
)

// Demand is what one entry has of the requests for a service, of one rank.
type Demand struct {
	Service string
	Rank    int
	// Waiting is the cost of the requests that wait at the entry, Running of those that it
	// has at endpoints; in calls for plain services, in tokens for engines.
	Waiting, Running float64
	// Oldest is how long the first of the waiting requests has waited.
	Oldest time.Duration
}

// odd reports whether no entry can have the demand.
func (d Demand) odd() bool {
	return d.Rank < 0 || d.Oldest < 0 || isOdd(d.Waiting) || isOdd(d.Running)
}

func isOdd(x float64) bool { return !(x >= 0 && x <= maxDemand) }

// WorkspaceDemand is the demand of one workspace at one entry.
type WorkspaceDemand struct {
	Service string
	// Workspace is the workspace's quota.ID.
	Workspace uint64
	Demand    float64
}

// Table holds the demand of this entry and of the others. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	own   map[string]ownDemand
	peers map[string]peerDemand
	// sums is the demand of all other entries; its cost must not grow with the fleet.
	sums map[sumKey]Demand
	// nextExpiry is the earliest time at which a report may expire.
	nextExpiry time.Time
}

type sumKey struct {
	service string
	rank    int
}

// ownDemand is this entry's demand for one service.
type ownDemand struct {
	demand      []Demand
	byWorkspace []WorkspaceDemand
}

// peerDemand is the last report of another entry.
type peerDemand struct {
	demand      []Demand
	byWorkspace []WorkspaceDemand
	at          time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{own: make(map[string]ownDemand), peers: make(map[string]peerDemand), sums: make(map[sumKey]Demand)}
}

// SetOwn replaces this entry's demand for a service. Without any, the service has room enough
// and nothing is reported of it.
func (t *Table) SetOwn(service string, demand []Demand, byWorkspace []WorkspaceDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(demand) == 0 {
		delete(t.own, service)
		return
	}
	t.own[service] = ownDemand{demand: demand, byWorkspace: byWorkspace}
}

// Own returns this entry's demand, to be reported to others; none while no room is short.
func (t *Table) Own() (demand []Demand, byWorkspace []WorkspaceDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.own {
		demand = append(demand, o.demand...)
		byWorkspace = append(byWorkspace, o.byWorkspace...)
	}
	return demand, byWorkspace
}

// Merge replaces the demand of another entry.
func (t *Table) Merge(now time.Time, from string, demand []Demand, byWorkspace []WorkspaceDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(from)
	demand = slices.DeleteFunc(demand, Demand.odd)
	byWorkspace = slices.DeleteFunc(byWorkspace, func(d WorkspaceDemand) bool { return isOdd(d.Demand) })
	if len(demand) == 0 {
		return
	}
	t.peers[from] = peerDemand{demand: demand, byWorkspace: byWorkspace, at: now}
	for _, d := range demand {
		t.addSum(d, 1)
	}
	if len(t.peers) == 1 {
		t.nextExpiry = now.Add(reportTTL)
	}
}

// remove drops the report of an entry. The caller holds t.mu.
func (t *Table) remove(from string) {
	for _, d := range t.peers[from].demand {
		t.addSum(d, -1)
	}
	delete(t.peers, from)
	if len(t.peers) == 0 {
		clear(t.sums) // drops rounding errors as well
	}
}

func (t *Table) addSum(d Demand, sign float64) {
	key := sumKey{d.Service, d.Rank}
	s := t.sums[key]
	s.Waiting += sign * d.Waiting
	s.Running += sign * d.Running
	t.sums[key] = s
}

// expire removes the reports older than reportTTL. The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	if !now.After(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(reportTTL)
	for from, p := range t.peers {
		until := p.at.Add(reportTTL)
		switch {
		case now.After(until):
			t.remove(from)
		case until.Before(t.nextExpiry):
			t.nextExpiry = until
		}
	}
}

// Sum returns the demand of all other entries for a service, of one rank.
func (t *Table) Sum(now time.Time, service string, rank int) (waiting, running float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.sums[sumKey{service, rank}]
	return max(s.Waiting, 0), max(s.Running, 0)
}

// Others returns what the other entries demand of a service, one element for each entry and
// rank.
func (t *Table) Others(now time.Time, service string) (demand []Demand, byWorkspace []WorkspaceDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, p := range t.peers {
		demand = append(demand, p.demand...)
		byWorkspace = append(byWorkspace, p.byWorkspace...)
	}
	demand = slices.DeleteFunc(demand, func(d Demand) bool { return d.Service != service })
	byWorkspace = slices.DeleteFunc(byWorkspace, func(d WorkspaceDemand) bool { return d.Service != service })
	return demand, byWorkspace
}
