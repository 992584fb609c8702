// Package twochoices provides the plug-in picker.twochoices.
package twochoices

import (
	"math/rand/v2"

	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(TwoChoices)) }

// TwoChoices draws two candidates at random and picks the one with the higher score
// (power of two choices). Many entries that act on the same delayed load reports then
// do not all pick the same endpoint.
type TwoChoices struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*TwoChoices) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "picker.twochoices", New: func() ebonypulley.Plugin { return new(TwoChoices) }}
}

// Pick implements schedule.Picker.
func (*TwoChoices) Pick(_ *schedule.Request, scored []schedule.Scored, rnd *rand.Rand) int {
	if len(scored) == 1 {
		return 0
	}
	a := rnd.IntN(len(scored))
	b := rnd.IntN(len(scored) - 1)
	if b >= a {
		b++
	}
	if scored[b].Score > scored[a].Score {
		return b
	}
	return a
}
