// Package line decides how much of the room that becomes free at the engines of a service an
// entry leaves to generations that wait at other entries. All entries compute it from the same
// reports, so that together they serve nearly in the order of one queue. It is a state machine
// without I/O. Without reports nothing is left to others.
package line

import (
	"time"

	"ebonypulley/share"
)

// horizon is the time within which other entries see room that is left to them and take it:
// the age of reports, twice.
const horizon = 200 * time.Millisecond

// Room is the memory of a service's engines, in tokens.
type Room struct {
	// Capacity is that of all engines, and Free what is free now in pieces of use for a
	// request.
	Capacity, Free float64
	// FreedPerSecond is what becomes free a second.
	FreedPerSecond float64
}

// expected is the room that is free within the horizon.
func (r Room) expected() float64 { return r.Free + r.FreedPerSecond*horizon.Seconds() }

// Request is a request that waits at this entry.
type Request struct {
	Rank int
	// Late says that the request can no longer meet its target. It comes after all that can.
	Late bool
	// Starved says that far fewer of the latest requests of the rank were served than of all.
	// It leaves nothing to more urgent ones.
	Starved bool
	// Workspace is the caller's workspace, zero without one, and Running what it has running
	// from this entry, in tokens.
	Workspace uint64
	Running   float64
	Cost      float64
}

// class is a kind of requests that leave room to the same others.
type class struct {
	rank          int
	late, starved bool
	// over says that the workspace uses more than its fair share.
	over bool
}

// credit is what the requests of a class may start although others wait elsewhere.
type credit struct {
	tokens float64
	at     time.Time
}

// Line is the view of one entry on the generations that wait for a service. It is not safe for
// concurrent use.
type Line struct {
	room Room
	// own and others are the tokens that wait at this entry and elsewhere, by rank.
	own, others map[int]float64
	fair        fairShares
	credits     map[class]*credit
	idle        idleRoom
}

// New returns a line in which nobody waits.
func New() *Line {
	return &Line{credits: make(map[class]*credit)}
}

// Update replaces what is known of the room and of the requests that wait.
func (l *Line) Update(now time.Time, room Room, own, others []share.Demand, ownBy, othersBy []share.WorkspaceDemand) {
	l.room = room
	l.idle.observe(now, room.Free)
	l.own, l.others = waitingByRank(own), waitingByRank(others)
	l.fair = newFairShares(room.Capacity, append(append([]share.Demand(nil), own...), others...), ownBy, othersBy)
	if len(l.others) == 0 {
		clear(l.credits)
	}
}

func waitingByRank(list []share.Demand) map[int]float64 {
	sums := make(map[int]float64)
	for _, d := range list {
		if d.Waiting > 0 {
			sums[d.Rank] += d.Waiting
		}
	}
	return sums
}

// Decision is how a request stands in the line.
type Decision struct {
	// Leave says that the request must leave the room to others.
	Leave bool
	// Ahead is what waits elsewhere and goes first, Room what is free within the horizon,
	// both in tokens.
	Ahead, Room float64
	// OverShare says that the workspace uses more than its fair share.
	OverShare bool
}

// Admit decides whether a request may take room now.
func (l *Line) Admit(now time.Time, r Request) Decision {
	c := l.classOf(r)
	d := Decision{Ahead: l.ahead(c, r.Workspace), Room: l.room.expected(), OverShare: c.over}
	if d.Ahead > 0 && l.unused() < r.Cost {
		d.Leave = l.creditOf(now, c, r.Cost, d).tokens < r.Cost
	}
	return d
}

// Start records that a request has started.
func (l *Line) Start(r Request) {
	l.idle.take(r.Cost)
	if credit := l.credits[l.classOf(r)]; credit != nil {
		credit.tokens -= r.Cost
	}
}

func (l *Line) classOf(r Request) class {
	return class{rank: r.Rank, late: r.Late, starved: r.Starved && !r.Late, over: l.fair.over(r.Workspace, r.Running+r.Cost)}
}

// ahead returns the tokens that wait elsewhere and go before a class.
func (l *Line) ahead(c class, workspace uint64) float64 {
	sum := 0.0
	for rank, waiting := range l.others {
		switch {
		case c.late || rank < c.rank && !c.starved:
			sum += waiting
		case rank == c.rank && c.over:
			sum += waiting * (1 - l.fair.part(workspace))
		}
	}
	return sum
}

// unused is the room that others left unused: what stayed free for the horizon, less what
// becomes free in that time, which they may not have seen yet.
func (l *Line) unused() float64 {
	return l.idle.least() - l.room.FreedPerSecond*horizon.Seconds()
}

// creditOf returns the credit of a class. What remains of the room after those ahead is shared
// among the entries by what waits there of the same rank. It accumulates up to what remains
// within the horizon, or one request.
func (l *Line) creditOf(now time.Time, c class, cost float64, d Decision) *credit {
	remaining := max(d.Room-d.Ahead, 0)
	if own, others := l.own[c.rank], l.others[c.rank]; own+others > 0 {
		remaining *= max(own, cost) / (max(own, cost) + others)
	}
	k := l.credits[c]
	if k == nil {
		k = &credit{tokens: remaining, at: now}
		l.credits[c] = k
	}
	k.tokens = min(k.tokens+remaining*float64(now.Sub(k.at))/float64(horizon), max(remaining, cost))
	k.at = now
	return k
}
