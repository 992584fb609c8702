// Package load provides the plug-in scorer.load.
package load

import (
	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Load)) }

// Load prefers endpoints with low utilization and a small prefill backlog,
// according to the agent's last report and this entry's own requests since.
type Load struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Load) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "scorer.load", New: func() ebonypulley.Plugin { return new(Load) }}
}

// halfScoreBacklog is the prefill backlog, in tokens, that halves the score of an
// otherwise idle endpoint.
const halfScoreBacklog = 4096

// Score implements schedule.Scorer.
func (*Load) Score(_ *schedule.Request, c *schedule.Candidate) float64 {
	backlog := float64(c.Load.Backlog) / halfScoreBacklog
	return 1 / (1 + c.Utilization() + backlog)
}
