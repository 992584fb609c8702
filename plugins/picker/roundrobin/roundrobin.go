// Package roundrobin provides the plug-in picker.roundrobin.
package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"

	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(RoundRobin)) }

// RoundRobin picks the candidates in turn and ignores the scores. It serves as a
// baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// PluginInfo implements ebonypulley.Plugin.
func (*RoundRobin) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "picker.roundrobin", New: func() ebonypulley.Plugin { return new(RoundRobin) }}
}

// Pick implements schedule.Picker.
func (p *RoundRobin) Pick(_ *schedule.Request, scored []schedule.Scored, _ *rand.Rand) int {
	return int((p.next.Add(1) - 1) % uint64(len(scored)))
}
