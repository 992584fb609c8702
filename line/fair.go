package line

import (
	"slices"

	"ebonypulley/share"
)

// fairShares is the max-min fair division of the room among workspaces: each gets what it
// demands, up to a level that is the same for all. Workspaces that no entry reports use little
// and get all that they demand.
type fairShares struct {
	level float64
	// total is the demand of all workspaces.
	total float64
	// byWorkspace is the demand of each reported workspace over all entries, own this entry's
	// part of it.
	byWorkspace, own map[uint64]float64
}

func newFairShares(capacity float64, demand []share.Demand, own, others []share.WorkspaceDemand) fairShares {
	f := fairShares{byWorkspace: make(map[uint64]float64), own: make(map[uint64]float64)}
	for _, d := range demand {
		f.total += d.Waiting + d.Running
	}
	for _, d := range own {
		f.own[d.Workspace] += d.Demand
		f.byWorkspace[d.Workspace] += d.Demand
	}
	for _, d := range others {
		f.byWorkspace[d.Workspace] += d.Demand
	}
	reported := 0.0
	demands := make([]float64, 0, len(f.byWorkspace))
	for _, d := range f.byWorkspace {
		reported += d
		demands = append(demands, d)
	}
	f.level = maxMinLevel(max(capacity-max(f.total-reported, 0), 0), demands)
	return f
}

// over reports whether a workspace would use more than this entry's part of its fair share if
// it had this much running here.
func (f fairShares) over(workspace uint64, running float64) bool {
	demand := f.byWorkspace[workspace]
	if demand <= f.level {
		return false
	}
	return running > f.level*f.own[workspace]/demand
}

// part returns a workspace's part of the whole demand.
func (f fairShares) part(workspace uint64) float64 {
	return min(f.byWorkspace[workspace]/max(f.total, 1), 1)
}

// maxMinLevel returns the level up to which each demand is served, so that all room is used.
func maxMinLevel(room float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		level := room / float64(len(demands)-i)
		if d > level {
			return level
		}
		room -= d
	}
	return room
}
