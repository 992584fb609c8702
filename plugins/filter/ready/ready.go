// Package ready provides the plug-in filter.ready.
package ready

import (
	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Ready)) }

// Ready keeps endpoints that are reachable, are not draining and were not tried for
// this request. If all of those were tried, it keeps them.
type Ready struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Ready) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "filter.ready", New: func() ebonypulley.Plugin { return new(Ready) }}
}

// Filter implements schedule.Filter.
func (*Ready) Filter(_ *schedule.Request, candidates []schedule.Candidate) []schedule.Candidate {
	reachable := candidates[:0]
	untried := 0
	for _, c := range candidates {
		if !c.Ready {
			continue
		}
		reachable = append(reachable, c)
		if !c.Tried {
			untried++
		}
	}
	if untried == 0 {
		return reachable
	}
	selected := reachable[:0]
	for _, c := range reachable {
		if !c.Tried {
			selected = append(selected, c)
		}
	}
	return selected
}
