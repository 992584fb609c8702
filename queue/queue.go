// Package queue orders the requests that wait in one process for room at the endpoints of one
// service. It is a state machine without I/O: it decides who is next, not whether there is room.
package queue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ebonypulley/quota"
)

// Order is the order in which waiting requests are served.
type Order uint8

const (
	// ByUrgency serves first the rest of answers that have begun, then requests that can
	// still meet their target, then by rank, by fair share among workspaces and by the time
	// left to the target. A rank of which far more is refused than of the others goes ahead
	// of them.
	ByUrgency Order = iota + 1
	// ByDeadline serves requests by the time left to their target, then by rank. Those that
	// can no longer meet it come after all that can.
	ByDeadline
	// ByFairDeadline is like ByDeadline, but workspaces take turns.
	ByFairDeadline
)

// Request is a request that waits. Its fields must not change while it does.
type Request struct {
	// Rank is the urgency, 0 being the most urgent.
	Rank int
	// Begun says that the caller has received a part of the answer.
	Begun bool
	// Workspace is the caller's workspace, zero without one.
	Workspace quota.ID
	// Cost is the expected use of the service, in tokens of engine time or in calls.
	Cost float64
	// StartBy is the latest start with which the request meets its target, GiveUpAt the time
	// from which on a start is of no use.
	StartBy, GiveUpAt time.Time

	addedAt time.Time
	number  uint64
	// finishTag is the virtual time at which a fair schedule will have served the request.
	finishTag float64
}

// Queue holds the waiting requests of a service. It is not safe for concurrent use.
type Queue struct {
	order    Order
	requests []*Request
	added    uint64
	// virtualTime is the start tag of the last request served, and lastFinish the finish tag
	// of the last request served of each workspace. What is refused is not charged.
	virtualTime float64
	lastFinish  map[quota.ID]float64
	// outcomes holds what became of the latest requests, by rank.
	outcomes outcomesByRank
}

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{order: order, lastFinish: make(map[quota.ID]float64), outcomes: newOutcomesByRank()}
}

// Add adds a request. One that had started and is added again, because its start failed, gets
// its earlier place.
func (q *Queue) Add(now time.Time, r *Request) {
	if r.number > 0 {
		q.requests = append(q.requests, r)
		q.outcomes.undoServed(r.Rank)
		q.lastFinish[r.Workspace] -= r.Cost
		return
	}
	q.added++
	r.number, r.addedAt = q.added, now
	q.requests = append(q.requests, r)
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.requests) }

// Remove removes a request that is refused or whose caller is gone. It reports whether the
// request was waiting.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.requests, r)
	if i < 0 {
		return false
	}
	q.take(i)
	q.outcomes.record(r.Rank, outcomes{lost: 1})
	return true
}

// take removes the request at an index.
func (q *Queue) take(i int) {
	q.requests = slices.Delete(q.requests, i, i+1)
	if len(q.requests) == 0 {
		clear(q.lastFinish)
	}
}

// Start removes a request that starts, and charges its workspace for it.
func (q *Queue) Start(r *Request) {
	i := slices.Index(q.requests, r)
	if i < 0 {
		return
	}
	startTag := max(q.virtualTime, q.lastFinish[r.Workspace])
	q.virtualTime, q.lastFinish[r.Workspace] = startTag, startTag+r.Cost
	q.take(i)
	q.outcomes.record(r.Rank, outcomes{served: 1})
}

// Starved reports whether far fewer of the latest requests of a rank were served than of all
// ranks.
func (q *Queue) Starved(rank int) bool { return q.outcomes.starved[rank] }

// Waiting returns the requests in the order in which they are to be served. The caller must
// not modify the list.
func (q *Queue) Waiting(now time.Time) []*Request {
	q.sort(now, q.requests)
	return q.requests
}

func (q *Queue) sort(now time.Time, list []*Request) {
	if q.order != ByUrgency {
		slices.SortFunc(list, func(a, b *Request) int { return compareByDeadline(now, a, b) })
		if q.order == ByFairDeadline {
			q.takeTurns(now, list)
		}
		return
	}
	slices.SortFunc(list, func(a, b *Request) int {
		return cmp.Or(compareOutlook(now, a, b), cmp.Compare(a.Rank, b.Rank), compareByTime(a, b))
	})
	q.tag(list)
	slices.SortFunc(list, func(a, b *Request) int {
		return cmp.Or(compareOutlook(now, a, b), compareBool(!q.Starved(a.Rank), !q.Starved(b.Rank)), cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(a.finishTag, b.finishTag), compareByTime(a, b))
	})
}

// takeTurns changes the order of a list so that workspaces take turns. Late requests stay last.
func (q *Queue) takeTurns(now time.Time, list []*Request) {
	q.tag(list)
	slices.SortStableFunc(list, func(a, b *Request) int {
		return cmp.Or(compareBool(now.After(a.StartBy), now.After(b.StartBy)), cmp.Compare(a.finishTag, b.finishTag))
	})
}

// tag sets the finish tags of the requests, those of each workspace in the order given. The
// urgent ones come first, so that a workspace beyond its share loses less urgent ones.
func (q *Queue) tag(list []*Request) {
	finish := maps.Clone(q.lastFinish)
	for _, r := range list {
		r.finishTag = max(q.virtualTime, finish[r.Workspace]) + r.Cost
		finish[r.Workspace] = r.finishTag
	}
}

func compareByDeadline(now time.Time, a, b *Request) int {
	return cmp.Or(compareBool(now.After(a.StartBy), now.After(b.StartBy)), a.StartBy.Compare(b.StartBy),
		cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.number, b.number))
}

// compareOutlook puts the rest of answers that have begun first and late requests last.
func compareOutlook(now time.Time, a, b *Request) int {
	return cmp.Or(compareBool(!a.Begun, !b.Begun), compareBool(now.After(a.StartBy), now.After(b.StartBy)))
}

func compareByTime(a, b *Request) int {
	return cmp.Or(a.StartBy.Compare(b.StartBy), cmp.Compare(a.number, b.number))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Expired returns the requests for which a start is of no use any more. They stay in the
// queue.
func (q *Queue) Expired(now time.Time) []*Request {
	var list []*Request
	for _, r := range q.requests {
		if !now.Before(r.GiveUpAt) {
			list = append(list, r)
		}
	}
	return list
}

// NextChange returns when the order changes or a request expires without any request being
// added or removed, or zero if never.
func (q *Queue) NextChange(now time.Time) time.Time {
	next := time.Time{}
	for _, r := range q.requests {
		for _, at := range []time.Time{r.StartBy, r.GiveUpAt} {
			if at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// Level is what waits of one rank.
type Level struct {
	Rank     int
	Requests int
	Cost     float64
	// Oldest is how long the first of them has waited.
	Oldest time.Duration
}

// Levels returns what waits by rank, the most urgent first.
func (q *Queue) Levels(now time.Time) []Level {
	return q.levels(now, func(*Request) bool { return true })
}

// OnTime returns what waits and can still meet its target by rank, the most urgent first.
func (q *Queue) OnTime(now time.Time) []Level {
	return q.levels(now, func(r *Request) bool { return !now.After(r.StartBy) })
}

func (q *Queue) levels(now time.Time, counts func(r *Request) bool) []Level {
	byRank := make(map[int]Level)
	for _, r := range q.requests {
		if !counts(r) {
			continue
		}
		l := byRank[r.Rank]
		l.Rank = r.Rank
		l.Requests++
		l.Cost += r.Cost
		l.Oldest = max(l.Oldest, now.Sub(r.addedAt))
		byRank[r.Rank] = l
	}
	return slices.SortedFunc(maps.Values(byRank), func(a, b Level) int { return cmp.Compare(a.Rank, b.Rank) })
}

// CostByWorkspace adds the cost of the waiting requests to sums.
func (q *Queue) CostByWorkspace(sums map[quota.ID]float64) {
	for _, r := range q.requests {
		sums[r.Workspace] += r.Cost
	}
}

// MeanCost returns the mean cost of the waiting requests, or 1 if none waits.
func (q *Queue) MeanCost() float64 {
	sum := 0.0
	for _, r := range q.requests {
		sum += r.Cost
	}
	if sum == 0 {
		return 1
	}
	return sum / float64(len(q.requests))
}

// CostBefore returns the cost of all requests that are served before one that is not in the
// queue yet.
func (q *Queue) CostBefore(now time.Time, r *Request) float64 {
	probe := *r
	probe.number = math.MaxUint64
	list := append(slices.Clone(q.requests), &probe)
	q.sort(now, list)
	sum := 0.0
	for _, other := range list[:slices.Index(list, &probe)] {
		sum += other.Cost
	}
	return sum
}
