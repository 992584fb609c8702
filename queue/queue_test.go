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
