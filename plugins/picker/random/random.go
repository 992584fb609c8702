// Package random provides the plug-in picker.random.
package random

import (
	"math/rand/v2"

	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Random)) }

// Random picks a candidate at random and ignores the scores. It serves as a baseline.
type Random struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Random) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "picker.random", New: func() ebonypulley.Plugin { return new(Random) }}
}

// Pick implements schedule.Picker.
func (*Random) Pick(_ *schedule.Request, scored []schedule.Scored, rnd *rand.Rand) int {
	return rnd.IntN(len(scored))
}
