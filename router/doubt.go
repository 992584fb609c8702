package router

import (
	"math"
	"time"
)

// Choice between engines whose pace changes within a second.
//
// The mean of their durations decides too little: an engine that is quick now misses an
// objective if it turns slow, and a slow one that is quick now gains nothing. So placements also
// cost what they are likely to miss. All of it applies only to endpoints that say their pace.
const (
	// sureMargin is the margin, as a fraction of the limit, with which an expected duration
	// meets the limit for certain.
	sureMargin = 0.15
	// memoryFraction is the cost of holding memory, as a fraction of the time for which an
	// engine holds it longer than others.
	memoryFraction = 0.01
)

// chanceAbove returns the chance that work at the endpoint takes longer than limit; expected is
// its duration at the pace of this moment.
func (v View) chanceAbove(expected, limit time.Duration) float64 {
	if !v.TellsPace {
		if expected > limit {
			return 1
		}
		return 0
	}
	usual := float64(expected) / v.Pace.Factor
	return v.Pace.SlowChance*chanceBeyond(usual*v.Pace.SlowFactor, limit) + (1-v.Pace.SlowChance)*chanceBeyond(usual*v.Pace.QuickFactor, limit)
}

// chanceBeyond returns the chance that a duration is beyond a limit.
func chanceBeyond(expected float64, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return min(max((expected/float64(limit)-1+sureMargin)/(2*sureMargin), 0), 1)
}

// doubt returns the cost of what an engine that says its pace is likely to do to a stream.
func (pl *placer) doubt(v View, role Role) time.Duration {
	if role != Decode {
		return 0
	}
	duration := pl.model.AnswerDuration(pl.call.Timeout)
	usual := v.StepSlowdown / v.Pace.Factor
	cost := time.Duration(memoryFraction * usual * float64(duration))
	if pl.slo.MaxGap <= 0 {
		return cost
	}
	gap := usual * float64(pl.model.EventGap(v.Decodes+1, pl.slo).Mean)
	slow := 1 - (1-v.Pace.SlowChance)*math.Pow(1-v.Pace.SlowShare, float64(duration)*usual/float64(max(2*v.Pace.Lasts, time.Millisecond)))
	late := slow*chanceBeyond(gap*v.Pace.SlowFactor, pl.gapLimit()) + (1-slow)*chanceBeyond(gap*v.Pace.QuickFactor, pl.gapLimit())
	return cost + pl.targetFraction(lateStreamFraction*late)
}

// lateCost returns the cost of a first event that is likely to be late.
func (pl *placer) lateCost(v View, expected time.Duration) time.Duration {
	if !v.TellsPace || pl.left <= 0 {
		return 0
	}
	return pl.targetFraction(lateStreamFraction * v.chanceAbove(expected, pl.left))
}
