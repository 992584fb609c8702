// Package ready provides the plug-in filter.ready.
package ready

import (
	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Ready)) }

// Ready keeps endpoints that can be reached, do not leave and were not tried
// by this request before. When only tried ones are left it keeps those.
type Ready struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Ready) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "filter.ready", New: func() ebonypulley.Plugin { return new(Ready) }}
}

// Filter implements schedule.Filter.
func (*Ready) Filter(_ *schedule.Request, candidates []schedule.Candidate) []schedule.Candidate {
	up := candidates[:0]
	fresh := 0
	for _, c := range candidates {
		if !c.Ready {
			continue
		}
		up = append(up, c)
		if !c.Tried {
			fresh++
		}
	}
	if fresh == 0 {
		return up
	}
	kept := up[:0]
	for _, c := range up {
		if !c.Tried {
			kept = append(kept, c)
		}
	}
	return kept
}
