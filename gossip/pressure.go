package gossip

import (
	"time"

	"ebonypulley/pace"
	"ebonypulley/quota"
	"ebonypulley/returns"
	"ebonypulley/share"
	"ebonypulley/wire"
)

// addPressure adds to a report what entries tell each other while room is short: the load of
// endpoints, the demand that waits, and the returns promised to refused callers.
func (n *Node) addPressure(now time.Time, r *wire.Report) {
	for _, l := range n.Paces.Own(now) {
		r.Loads = append(r.Loads, wire.EndpointLoad{Endpoint: l.Endpoint, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown, Age: l.Age})
	}
	demand, byWorkspace := n.Shares.Own()
	for _, d := range demand {
		r.Waiting = append(r.Waiting, wire.ServiceWaiting(d))
	}
	for _, d := range byWorkspace {
		r.WaitingBy = append(r.WaitingBy, wire.WorkspaceWaiting(d))
	}
	for _, p := range n.Returns.Own(now) {
		r.Returns = append(r.Returns, wire.PromisedReturns{Key: uint64(p.Key), First: p.First, Cost: p.Cost})
	}
}

// mergePressure merges what another entry reports of the room. A report without any says that
// the entry has none waiting.
func (n *Node) mergePressure(now time.Time, r *wire.Report) {
	loads := make([]pace.Report, 0, len(r.Loads))
	for _, l := range r.Loads {
		loads = append(loads, pace.Report{Endpoint: l.Endpoint, Load: pace.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}, Age: l.Age})
	}
	n.Paces.Merge(now, loads)
	demand := make([]share.Demand, 0, len(r.Waiting))
	for _, d := range r.Waiting {
		demand = append(demand, share.Demand(d))
	}
	byWorkspace := make([]share.WorkspaceDemand, 0, len(r.WaitingBy))
	for _, d := range r.WaitingBy {
		byWorkspace = append(byWorkspace, share.WorkspaceDemand(d))
	}
	n.Shares.Merge(now, r.From, demand, byWorkspace)
	promises := make([]returns.Promise, 0, len(r.Returns))
	for _, p := range r.Returns {
		promises = append(promises, returns.Promise{Key: quota.ID(p.Key), First: p.First, Cost: p.Cost})
	}
	n.Returns.Merge(now, r.From, promises)
}
