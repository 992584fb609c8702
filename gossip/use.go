package gossip

import (
	"time"

	"ebonypulley/quota"
	"ebonypulley/wire"
)

const (
	// useInterval is the pause between two reports to one entry that contain the use of
	// workspaces, and nearLimitUseInterval the pause while a workspace is near its limit.
	useInterval          = time.Second
	nearLimitUseInterval = 150 * time.Millisecond
	// levelTime is how long after a connection was opened reports contain the levels of buckets:
	// the other entry may have just started.
	levelTime = 2500 * time.Millisecond
)

// useReportInterval returns the pause between two reports to one entry that contain the use
// of workspaces.
func (n *Node) useReportInterval(now time.Time) time.Duration {
	if n.Quotas.NearLimit(now) {
		return nearLimitUseInterval
	}
	return useInterval
}

// workspaceUses returns the use of workspaces as it is reported.
func workspaceUses(uses []quota.Use) []wire.WorkspaceUse {
	list := make([]wire.WorkspaceUse, 0, len(uses))
	for _, u := range uses {
		list = append(list, wire.WorkspaceUse{Workspace: uint64(u.Workspace), Epoch: u.Epoch, Taken: u.Taken, Returned: u.Returned})
	}
	return list
}

// workspaceLevels returns the known levels of the buckets of workspaces.
func workspaceLevels(uses []quota.Use) []wire.WorkspaceLevel {
	var list []wire.WorkspaceLevel
	for _, u := range uses {
		if u.LevelKnown {
			list = append(list, wire.WorkspaceLevel{Workspace: uint64(u.Workspace), Level: u.Level})
		}
	}
	return list
}

// mergeUse merges the use and the endpoint limits that another entry reports. A report
// without any use still shows that the entry is reachable.
func (n *Node) mergeUse(now time.Time, r *wire.Report) {
	levels := make(map[uint64]float64, len(r.Levels))
	for _, w := range r.Levels {
		levels[w.Workspace] = w.Level
	}
	uses := make([]quota.Use, 0, len(r.Use))
	for _, u := range r.Use {
		level, known := levels[u.Workspace]
		uses = append(uses, quota.Use{Workspace: quota.ID(u.Workspace), Epoch: u.Epoch, Taken: u.Taken, Returned: u.Returned, Level: level, LevelKnown: known})
	}
	n.Quotas.MergeUse(now, r.From, quota.Incarnation(r.Incarnation), uses)
	limits := make([]quota.EndpointLimit, 0, len(r.Limits))
	for _, s := range r.Limits {
		limits = append(limits, quota.EndpointLimit{Endpoint: quota.ID(s.Endpoint), Advertised: s.Named, PerSecond: s.PerSecond, Age: s.Age})
	}
	n.Quotas.MergeEndpointLimits(now, limits)
}

// endpointLimits returns the limits advertised by endpoints that are to be reported.
func (n *Node) endpointLimits(now time.Time) []wire.EndpointLimit {
	var list []wire.EndpointLimit
	for _, s := range n.Quotas.OwnEndpointLimits(now) {
		list = append(list, wire.EndpointLimit{Endpoint: uint64(s.Endpoint), Named: s.Advertised, PerSecond: s.PerSecond, Age: s.Age})
	}
	return list
}
