package router

import (
	"time"
)

// For some seconds twice as many
// generations come as the decode engines have memory for. Each of them takes
// the same memory whether its first event comes on time or not, so memory
// goes to those that can still be on time; those that can't be leave room for
// them and come when the burst is over. Nobody starves: four fifths of the memory
// are for whoever comes, and the rest of an answer that has begun goes with those
// on time.
const (
	// lateFill is the part of an engine's memory that a late generation may
	// fill, also when it has waited.
	lateFill = 0.80
	// minWait is the least time that a generation waits before it is refused:
	// a few looks for room.
	minWait = 5 * roomPause
	// cameBack is how much less than usual a caller's time limit must be to
	// tell that it asks again.
	cameBack = 100 * time.Millisecond
	// retryLeast and retrySpread are when a refused generation may come back,
	// in usual lives of an answer: after one life each place that is taken now
	// has become free; the return is spread over about as long. A burst of
	// some seconds is over then.
	retryLeast  = 0.7
	retrySpread = 0.55
	// retryMostShare bounds it by a part of the caller's time limit, a little
	// under the third up to which callers heed it.
	retryMostShare = 0.32
)

// lateness is what the target of a generation says about its turn.
type lateness struct {
	// by is when it must be placed to be on time.
	by time.Time
	// again says that the caller was refused before.
	again bool
	// begun says that the caller has a part of the answer.
	begun bool
	// yields says that the service has more urgent routes.
	yields bool
	// wait is how long one that came back, or has begun, waits for room.
	wait time.Duration
	// target is when the first event is due; hopeless says that even an idle
	// engine takes longer.
	target   time.Time
	hopeless bool
}

// turn is what a waiting generation may do now.
type turn struct {
	fill   float64
	refuse bool
	// behind: it may wait behind other prompts though it is late.
	behind bool
}

func (l lateness) turn(now, began time.Time) turn {
	waited := now.Sub(began)
	if l.begun {
		return turn{fill: fullFill, refuse: waited >= l.wait, behind: true}
	}
	if now.Before(l.by) {
		return turn{fill: l.full()}
	}
	if !l.again {
		return turn{fill: lateFill, refuse: waited >= minWait}
	}
	return turn{fill: lateFill, refuse: waited >= l.wait}
}

// standsBack reports whether a way is not for a call now.
//
// More prompts come than are computed in time. First come
// first served, each waits behind all others, and nobody's answer begins on
// time. So a prompt that would be late does not wait before an engine: one that
// came first is told so at once, one that came back takes idle engines only. Where
// no engine could keep the target, nobody stands back.
func (l lateness) standsBack(now time.Time, p placement, t turn) bool {
	if l.hopeless || t.behind || p.ahead == 0 {
		return false
	}
	return now.Add(p.first.Mean).After(l.target)
}

// full is the part of an engine's memory that a call may fill at most.
//
// More generations come than engines have memory for,
// on routes of different rank. Without a difference here the least urgent ones
// take the same part of what becomes free, and the urgent ones are refused as
// often as they. What is kept free serves the urgent ones' bursts.
func (l lateness) full() float64 {
	if l.yields {
		return lateFill
	}
	return fullFill
}

// retry is when a refused caller may come back.
func (g *generationRun) retry() time.Duration {
	m := g.r.loads.Engines(g.c.Service)
	life := m.Life(g.c.Wait)
	least := time.Duration(retryLeast * float64(life))
	spread := time.Duration(retrySpread * float64(life))
	most := time.Duration(retryMostShare * float64(g.c.Wait))
	if least+spread > most {
		least, spread = max(most-spread, most/2), min(spread, most/2)
	}
	closed := g.r.closedLeft(time.Now(), g.c.Service.Name, Decode, g.limited)
	return closed + g.r.jitter(least, max(spread, time.Millisecond))
}

// lateness reckons with the time that the caller has spent before, and with the
// usual time to the first event on idle engines. A caller that asks again names
// less time than one that asks first; the most that a route's callers named is
// that of the first.
func (g *generationRun) lateness() lateness {
	r, c := g.r, g.c
	m := r.loads.Engines(c.Service)
	first := m.Prompt(c.Prompt, c.Prompt, c.promise()).Plus(m.Handoff(false, c.promise())).Mean
	spent := r.longestWait(c) - c.Wait
	return lateness{
		by:       c.Began.Add(c.Route.Target - spent - first),
		target:   c.Began.Add(c.Route.Target - spent),
		hopeless: first > c.Route.Target,
		again:    spent > cameBack,
		begun:    c.Resume != NoNumber,
		yields:   !c.ranked() && r.Directory().Yields(c.Route, c.Service.Name),
		wait:     max(g.patience()-2*first, minWait),
	}
}

// longestWait returns the longest time limit that callers of a route named.
func (r *Router) longestWait(c *Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(r.waits[c.Route.Name], c.Wait)
	r.waits[c.Route.Name] = longest
	return longest
}
