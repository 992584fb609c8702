// Package load provides the plug-in scorer.load.
package load

import (
	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Load)) }

// Load prefers endpoints with little work: the agent's last report corrected
// by this entry's own work since, and the prefill backlog in tokens.
type Load struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Load) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "scorer.load", New: func() ebonypulley.Plugin { return new(Load) }}
}

// backlogScale is the prefill backlog in tokens that halves the score.
const backlogScale = 4096

// Score implements schedule.Scorer.
func (*Load) Score(_ *schedule.Request, c *schedule.Candidate) float64 {
	backlog := float64(c.Load.Backlog) / backlogScale
	return 1 / (1 + c.Occupied() + backlog)
}
