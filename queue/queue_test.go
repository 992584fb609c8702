package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/queue"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func serve(q *queue.Queue, now time.Time) (order []*queue.Request) {
	for q.Len() > 0 {
		r := q.Waiting(now)[0]
		q.Start(r)
		order = append(order, r)
	}
	return order
}

// TestUrgentFirst: under scarcity a less urgent request must not be served before a more
// urgent one that came later, nor any before the rest of an answer that has begun.
func TestUrgentFirst(t *testing.T) {
	q := queue.New(queue.ByUrgency)
	bulk := &queue.Request{Rank: 2, StartBy: at(100), GiveUpAt: at(900)}
	urgent := &queue.Request{Rank: 0, StartBy: at(500), GiveUpAt: at(900)}
	begun := &queue.Request{Rank: 5, Begun: true, StartBy: at(600), GiveUpAt: at(900)}
	for i, r := range []*queue.Request{bulk, urgent, begun} {
		q.Add(at(i), r)
	}
	assert.Equal(t, []*queue.Request{begun, urgent, bulk}, serve(q, at(10)))
}

// TestWorkspacesTakeTurns: a workspace with a long backlog must not delay the first request
// of another one of the same rank.
func TestWorkspacesTakeTurns(t *testing.T) {
	q := queue.New(queue.ByUrgency)
	for i := range 8 {
		q.Add(at(i), &queue.Request{Workspace: 1, Cost: 100, StartBy: at(500), GiveUpAt: at(900)})
	}
	other := &queue.Request{Workspace: 2, Cost: 100, StartBy: at(500), GiveUpAt: at(900)}
	q.Add(at(9), other)
	assert.Contains(t, serve(q, at(10))[:2], other)
}

// TestLateOnesLast: a call that can no longer meet its target must not make another one late.
func TestLateOnesLast(t *testing.T) {
	q := queue.New(queue.ByDeadline)
	late := &queue.Request{StartBy: at(50), GiveUpAt: at(900)}
	onTime := &queue.Request{StartBy: at(400), GiveUpAt: at(900)}
	sooner := &queue.Request{StartBy: at(300), GiveUpAt: at(900)}
	for i, r := range []*queue.Request{late, onTime, sooner} {
		q.Add(at(i), r)
	}
	assert.Equal(t, []*queue.Request{sooner, onTime, late}, serve(q, at(60)))
}

// TestLateUrgentBehindOnTime: under scarcity an urgent request that is late already must not
// make a less urgent one late as well.
func TestLateUrgentBehindOnTime(t *testing.T) {
	q := queue.New(queue.ByUrgency)
	urgent := &queue.Request{Rank: 0, StartBy: at(50), GiveUpAt: at(900)}
	bulk := &queue.Request{Rank: 2, StartBy: at(400), GiveUpAt: at(900)}
	q.Add(at(0), urgent)
	q.Add(at(1), bulk)
	assert.Equal(t, []*queue.Request{urgent, bulk}, q.Waiting(at(50)))
	assert.Equal(t, []*queue.Request{bulk, urgent}, q.Waiting(at(51)))
}

// TestRefusedStartKeepsItsPlace: a request whose reservation was refused must not go behind
// those that came after it, although the queue was empty meanwhile.
func TestRefusedStartKeepsItsPlace(t *testing.T) {
	q := queue.New(queue.ByUrgency)
	first := &queue.Request{Workspace: 1, Cost: 100, StartBy: at(400), GiveUpAt: at(900)}
	later := &queue.Request{Workspace: 2, Cost: 100, StartBy: at(400), GiveUpAt: at(900)}
	q.Add(at(0), first)
	q.Start(first)
	q.Add(at(2), later)
	q.Add(at(3), first)
	assert.Equal(t, 3*time.Millisecond, q.Levels(at(3))[0].Oldest)
	assert.Equal(t, []*queue.Request{first, later}, serve(q, at(3)))
}

// TestNoRankStarves: when the urgent ones alone are more than is served, the others must be
// served at a quarter of the mean at least.
func TestNoRankStarves(t *testing.T) {
	q := queue.New(queue.ByUrgency)
	var served, lost [3]float64
	for i := range 3000 {
		for rank := range 3 {
			q.Add(at(i), &queue.Request{Rank: rank, Cost: 1, StartBy: at(i + 20), GiveUpAt: at(i + 20)})
		}
		r := q.Waiting(at(i))[0]
		served[r.Rank]++
		q.Start(r)
		for _, r := range q.Expired(at(i)) {
			lost[r.Rank]++
			q.Remove(r)
		}
	}
	mean := (served[0] + served[1] + served[2]) / 9000
	t.Logf("served %v, lost %v", served, lost)
	for rank := range 3 {
		assert.GreaterOrEqual(t, served[rank]/3000, mean/4, "rank %d", rank)
	}
	assert.Greater(t, served[0], 2*served[1])
}

// TestWorkspacesTakeTurnsByDeadline: the calls of a workspace with a long backlog must not make
// the only call of another one late, and late calls still come last.
func TestWorkspacesTakeTurnsByDeadline(t *testing.T) {
	q := queue.New(queue.ByFairDeadline)
	late := &queue.Request{Workspace: 3, Cost: 1, StartBy: at(5), GiveUpAt: at(900)}
	q.Add(at(0), late)
	for i := range 8 {
		q.Add(at(i), &queue.Request{Workspace: 1, Cost: 1, StartBy: at(500 + i), GiveUpAt: at(900)})
	}
	other := &queue.Request{Workspace: 2, Cost: 1, StartBy: at(600), GiveUpAt: at(900)}
	q.Add(at(9), other)
	order := serve(q, at(10))
	assert.Contains(t, order[:2], other)
	assert.Same(t, late, order[len(order)-1])
}
