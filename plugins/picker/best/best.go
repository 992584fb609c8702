// Package best provides the plug-in picker.best.
package best

import (
	"math/rand/v2"

	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Best)) }

// Best picks the candidate with the highest score. With many entries and delayed load
// reports, all of them pick the same endpoint (herding); see TwoChoices.
type Best struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Best) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "picker.best", New: func() ebonypulley.Plugin { return new(Best) }}
}

// Pick implements schedule.Picker.
func (*Best) Pick(_ *schedule.Request, scored []schedule.Scored, _ *rand.Rand) int {
	best := 0
	for i := range scored {
		if scored[i].Score > scored[best].Score {
			best = i
		}
	}
	return best
}
