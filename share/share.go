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
	return &Table{own: make(map[string]ownDemand), peers: make(map[string]peerDemand)}
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
	if len(demand) == 0 {
		delete(t.peers, from)
		return
	}
	t.peers[from] = peerDemand{demand: demand, byWorkspace: byWorkspace, at: now}
}

// Others returns what the other entries demand of a service, one element for each entry and
// rank.
func (t *Table) Others(now time.Time, service string) (demand []Demand, byWorkspace []WorkspaceDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from, p := range t.peers {
		if now.Sub(p.at) > reportTTL {
			delete(t.peers, from)
			continue
		}
		demand = append(demand, p.demand...)
		byWorkspace = append(byWorkspace, p.byWorkspace...)
	}
	demand = slices.DeleteFunc(demand, func(d Demand) bool { return d.Service != service })
	byWorkspace = slices.DeleteFunc(byWorkspace, func(d WorkspaceDemand) bool { return d.Service != service })
	return demand, byWorkspace
}
