package router

import (
	"context"
	"sync"
	"time"

	"ebonypulley/queue"
)

// roomQueues holds the queues of generations that wait for room, by service.
type roomQueues struct {
	r         *Router
	mu        sync.RWMutex
	byService map[string]*roomQueue
}

func newRoomQueues(r *Router) *roomQueues {
	return &roomQueues{r: r, byService: make(map[string]*roomQueue)}
}

// of returns the queue of a service.
func (q *roomQueues) of(service string) *roomQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	if list == nil {
		list = newRoomQueue(q.r, service)
		q.byService[service] = list
	}
	return list
}

// wakeSoon wakes the queues because room may have appeared.
func (q *roomQueues) wakeSoon() {
	q.mu.RLock()
	defer q.mu.RUnlock()
	now := time.Now()
	for _, l := range q.byService {
		l.wakeSoon(now)
	}
}

// queueForRoom waits in the queue of the service until the generation is placed or refused.
func (g *generationRun) queueForRoom(ctx context.Context) (admission, error) {
	began := time.Now()
	q := g.r.rooms.of(g.c.Service.Name)
	request := g.queueRequest(began)
	for {
		var a admission
		err := q.wait(ctx, request, func(now time.Time) (bool, error) {
			p, ok, err := g.tryPlace(now, began, q.mustLeave(now, request))
			if ok {
				a, ok = g.account(now, p)
			}
			if ok {
				a.share = q.started(now, request)
			}
			return ok, err
		})
		if err != nil {
			return admission{}, err
		}
		if g.reserve(ctx, &a) {
			g.r.metrics.Histogram("queue." + g.c.class()).Record(time.Since(began))
			return a, nil
		}
		if ctx.Err() != nil {
			return admission{}, ctx.Err()
		}
	}
}

// queueRequest returns the generation as its queue sees it.
func (g *generationRun) queueRequest(began time.Time) *queue.Request {
	r := &queue.Request{
		Rank: g.c.Rank(), Cost: float64(g.c.initialTokens()), StartBy: g.policy.placeBy, GiveUpAt: g.policy.giveUpAt(began),
		// A prefill result that needs an engine is lost if it waits.
		Begun: g.policy.begun || g.begun || g.kept != nil,
	}
	if w := g.c.Workspace; w != nil {
		r.Workspace = w.ID
	}
	return r
}
