// Package prefix provides the plug-in scorer.prefix.
package prefix

import (
	"ebonypulley"
	"ebonypulley/schedule"
)

func init() { ebonypulley.RegisterPlugin(new(Prefix)) }

// Prefix prefers engines that are likely to have the prompt's prefix in their KV cache.
type Prefix struct{}

// PluginInfo implements ebonypulley.Plugin.
func (*Prefix) PluginInfo() ebonypulley.PluginInfo {
	return ebonypulley.PluginInfo{ID: "scorer.prefix", New: func() ebonypulley.Plugin { return new(Prefix) }}
}

// Score implements schedule.Scorer.
func (*Prefix) Score(req *schedule.Request, c *schedule.Candidate) float64 {
	if req.Tokens == 0 {
		return 0
	}
	return min(1, float64(c.CachedTokens)/float64(req.Tokens))
}
