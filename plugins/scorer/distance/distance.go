// Package distance provides the plug-in scorer.distance.
package distance

import (
	"time"

	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Distance)) }

// Distance prefers endpoints with a low network delay from the entry.
type Distance struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Distance) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "scorer.distance", New: func() ebonypulley.Plugin { return new(Distance) }}
}

// halfScoreDelay is the one-way delay that halves the score.
const halfScoreDelay = 2 * time.Millisecond

// Score implements schedule.Scorer.
func (*Distance) Score(_ *schedule.Request, c *schedule.Candidate) float64 {
	return 1 / (1 + float64(c.Distance)/float64(halfScoreDelay))
}
