package line

import (
	"slices"
	"time"

	"ebonypulley/queue"
)

// reachMargin is how many times the room expected must be exceeded by what goes first before a
// request is given up. Answers that begin together end together, so that more than the mean may
// become free at a time; what could have been served must not be refused.
const reachMargin = 2

// Unreachable is a request that can't get room while that is of use.
type Unreachable struct {
	Request *queue.Request
	// Ahead is what goes first here and elsewhere, Room what is free within Left, the time
	// until the request is given up, both in tokens.
	Ahead, Room float64
	Left        time.Duration
}

// Unreachable returns the waiting requests that more urgent ones have displaced. The rest of
// answers that have begun, and starved ranks, are not among them.
func (l *Line) Unreachable(now time.Time, q *queue.Queue) (list []Unreachable) {
	if l.room.Capacity == 0 {
		return nil // nothing is known of the room
	}
	levels := q.OnTime(now)
	sameRank := make(map[int]float64)
	for _, r := range slices.Clone(q.Waiting(now)) {
		left := r.GiveUpAt.Sub(now)
		if r.Begun || left <= 0 || q.Starved(r.Rank) {
			continue
		}
		u := Unreachable{Request: r, Left: left, Ahead: sameRank[r.Rank] + l.ahead(class{rank: r.Rank}, 0)}
		for _, level := range levels {
			if level.Rank < r.Rank {
				u.Ahead += level.Cost
			}
		}
		u.Room = l.room.Free + l.room.FreedPerSecond*max(left, horizon).Seconds()
		if u.Ahead > reachMargin*u.Room {
			list = append(list, u)
			continue
		}
		sameRank[r.Rank] += r.Cost
	}
	return list
}
