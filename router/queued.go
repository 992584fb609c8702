package router

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/line"
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

// refuse refuses the requests that must wait no longer.
func (q *roomQueues) refuse() {
	q.mu.RLock()
	defer q.mu.RUnlock()
	for _, l := range q.byService {
		l.refuse()
	}
}

// queueForRoom waits in the queue of the service until the generation is placed or refused.
func (g *generationRun) queueForRoom(ctx context.Context) (admission, error) {
	began := time.Now()
	q := g.r.rooms.of(g.c.Service.Name)
	request := g.queueRequest(began)
	for {
		a, err := g.waitInQueue(ctx, q, request, began)
		if err != nil {
			return admission{}, err
		}
		if g.reserve(ctx, &a) {
			g.r.metrics.Histogram("queue." + g.c.class()).Record(time.Since(began))
			g.r.metrics.Histogram("queue_of_rank." + strconv.Itoa(request.Rank)).Record(time.Since(began))
			return a, nil
		}
		if ctx.Err() != nil {
			return admission{}, ctx.Err()
		}
	}
}

// waitInQueue waits until the generation has a placement, whose memory is not reserved yet.
func (g *generationRun) waitInQueue(ctx context.Context, q *roomQueue, request *queue.Request, began time.Time) (a admission, err error) {
	g.r.metrics.Add("waiting."+q.service, 1)
	defer g.r.metrics.Add("waiting."+q.service, -1)
	var decision line.Decision
	var lineAge time.Duration
	try := func(now time.Time) (bool, error) {
		decision, lineAge = q.admit(now, request), now.Sub(q.lineAt)
		p, ok, err := g.tryPlace(now, began, decision.Leave)
		if ok {
			a, ok = g.account(now, p)
		}
		if ok {
			a.share = q.started(now, request)
		}
		return ok, err
	}
	err = q.wait(ctx, request, &waiter{try: try, refused: func() error { return g.r.refusePoison(g.c) }})
	if err != nil {
		g.logRefusal(request, decision, lineAge, err)
	}
	return a, err
}

// logRefusal logs why the queue refused the generation, unless it merely found no room.
func (g *generationRun) logRefusal(request *queue.Request, d line.Decision, age time.Duration, err error) {
	fields := []zap.Field{zap.String("request", g.c.ID), zap.Int("rank", request.Rank), zap.Duration("age", age)}
	switch {
	case errorx.IsOfType(err, errDisplaced):
		g.r.metrics.Add("displaced."+g.c.class(), 1)
		g.r.log.Emit(event.Displaced, append(fields, event.Err(err))...)
	case d.Leave && errorx.IsOfType(err, errNoEndpoint):
		g.r.metrics.Add("left_room."+g.c.class(), 1)
		g.r.log.Emit(event.RoomLeft, append(fields, zap.Float64("ahead", d.Ahead), zap.Float64("room", d.Room), zap.Bool("over_share", d.OverShare))...)
	}
}

// queueRequest returns the generation as its queue sees it.
func (g *generationRun) queueRequest(began time.Time) *queue.Request {
	r := &queue.Request{
		Rank: g.c.Precedence(), Cost: float64(g.c.initialTokens()), StartBy: g.policy.placeBy, GiveUpAt: g.policy.giveUpAt(began),
		// A prefill result that needs an engine is lost if it waits.
		Begun: g.policy.begun || g.begun || g.kept != nil,
	}
	if w := g.c.Workspace; w != nil {
		r.Workspace = w.ID
	}
	return r
}
