package router

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"ebonypulley/line"
	"ebonypulley/queue"
	"ebonypulley/quota"
	"ebonypulley/share"
)

// The generations that wait at different entries form one line: each entry reports what waits
// there, and leaves room to more urgent generations elsewhere.

const (
	// lineInterval is the minimum time between two updates of the line: reports are older.
	// With many reports it is longer by reportCost each.
	lineInterval = 20 * time.Millisecond
	reportCost   = 100 * time.Microsecond
	// maxWorkspacesReported bounds the workspaces that a report lists.
	maxWorkspacesReported = 4
)

// roomQueue is the queue of generations that wait for room at the engines of one service, with
// what they hold there already.
type roomQueue struct {
	*waitList
	r       *Router
	service string
	line    *line.Line
	// lineAt is when the line was last updated, nextLine when it may be again.
	lineAt, nextLine time.Time

	heldMu          sync.Mutex
	heldByRank      map[int]float64
	heldByWorkspace map[quota.ID]float64
}

func newRoomQueue(r *Router, service string) *roomQueue {
	q := &roomQueue{
		waitList: newWaitList(queue.ByUrgency), r: r, service: service, line: line.New(),
		heldByRank: make(map[int]float64), heldByWorkspace: make(map[quota.ID]float64),
	}
	q.beforePass, q.afterPass = q.updateLine, func(now time.Time) {
		q.refuseUnreachable(now)
		q.report(now)
	}
	return q
}

// errDisplaced refuses a generation whose turn would come too late.
var errDisplaced = errNoEndpoint.NewSubtype("displaced")

// refuseUnreachable refuses the requests whose turn would come too late. The caller holds q.mu.
func (q *roomQueue) refuseUnreachable(now time.Time) {
	for _, u := range q.line.Unreachable(now, q.queue) {
		q.end(u.Request, errDisplaced.New("%.0f tokens go first and %.0f become free within %v", u.Ahead, u.Room, u.Left))
	}
}

// admit decides whether a request must leave the room to others that wait elsewhere. The
// caller holds q.mu.
func (q *roomQueue) admit(now time.Time, r *queue.Request) line.Decision {
	if r.Begun {
		return line.Decision{}
	}
	return q.line.Admit(now, q.inLine(now, r))
}

// inLine returns a request as the line sees it.
func (q *roomQueue) inLine(now time.Time, r *queue.Request) line.Request {
	return line.Request{Rank: r.Rank, Late: now.After(r.StartBy), Starved: q.queue.Starved(r.Rank), Workspace: uint64(r.Workspace), Running: q.held(r.Workspace), Cost: r.Cost}
}

// started records that a request takes room. The caller holds q.mu.
func (q *roomQueue) started(now time.Time, r *queue.Request) *heldShare {
	q.line.Start(q.inLine(now, r))
	return q.hold(r)
}

// updateLine brings the line up to date while requests wait. The caller holds q.mu.
func (q *roomQueue) updateLine(now time.Time) {
	if q.queue.Len() == 0 || now.Before(q.nextLine) {
		return
	}
	s := q.r.Directory().Service(q.service)
	if s == nil || s.Engine == nil {
		return // nothing is known of the room
	}
	others, othersBy := q.r.shares.Others(now, q.service)
	q.lineAt = now
	q.nextLine = now.Add(lineInterval + time.Duration(len(others))*reportCost)
	demand, byWorkspace := q.demand(now)
	q.line.Update(now, q.room(now, s), demand, others, byWorkspace, othersBy)
}

// report tells the other entries what waits here; nothing while nothing does. The caller holds
// q.mu.
func (q *roomQueue) report(now time.Time) {
	demand, byWorkspace := q.demand(now)
	q.r.shares.SetOwn(q.service, demand, byWorkspace)
}

// demand returns what waits here and can still be on time, and what runs, by rank, and the
// workspaces that use most. The caller holds q.mu.
func (q *roomQueue) demand(now time.Time) (demand []share.Demand, byWorkspace []share.WorkspaceDemand) {
	waiting := make(map[quota.ID]float64)
	for _, l := range q.queue.OnTime(now) {
		demand = append(demand, share.Demand{Service: q.service, Rank: l.Rank, Waiting: l.Cost, Oldest: l.Oldest})
	}
	if len(demand) == 0 {
		return nil, nil
	}
	q.queue.CostByWorkspace(waiting)
	q.heldMu.Lock()
	defer q.heldMu.Unlock()
	for i := range demand {
		demand[i].Running = q.heldByRank[demand[i].Rank]
	}
	for w, tokens := range q.heldByWorkspace {
		waiting[w] += tokens
	}
	delete(waiting, 0)
	for w, tokens := range waiting {
		byWorkspace = append(byWorkspace, share.WorkspaceDemand{Service: q.service, Workspace: uint64(w), Demand: tokens})
	}
	slices.SortFunc(byWorkspace, func(a, b share.WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Workspace, b.Workspace))
	})
	return demand, byWorkspace[:min(len(byWorkspace), maxWorkspacesReported)]
}

// room returns the memory of the decode engines, as far as it is of use for the requests that
// wait. The caller holds q.mu.
func (q *roomQueue) room(now time.Time, s *Service) line.Room {
	cost := q.queue.MeanCost()
	m := q.r.loads.EngineModel(s)
	capacity := maxFill * float64(s.Engine.KVCapacity)
	var room line.Room
	for _, e := range q.r.Directory().Endpoints(q.service, Decode) {
		v := q.r.loads.View(now, e.ID)
		if v.Avoided || v.BackingOff {
			continue
		}
		room.Capacity += capacity
		if pieces := int((capacity - float64(v.KVTokens)) / cost); pieces > 0 && !v.Full {
			room.Free += float64(pieces) * cost
		}
	}
	room.FreedPerSecond = room.Capacity / m.AnswerDuration(priorTimeout).Seconds()
	return room
}

// heldShare is what one generation holds of the room of its service.
type heldShare struct {
	q       *roomQueue
	request *queue.Request
	ended   bool
}

// hold records that a request takes room.
func (q *roomQueue) hold(r *queue.Request) *heldShare {
	q.heldMu.Lock()
	defer q.heldMu.Unlock()
	q.heldByRank[r.Rank] += r.Cost
	q.heldByWorkspace[r.Workspace] += r.Cost
	return &heldShare{q: q, request: r}
}

// end gives the room back. Further calls do nothing; h may be nil.
func (h *heldShare) end() {
	if h == nil {
		return
	}
	h.q.heldMu.Lock()
	defer h.q.heldMu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.q.heldByRank[h.request.Rank] -= h.request.Cost
	h.q.heldByWorkspace[h.request.Workspace] -= h.request.Cost
	maps.DeleteFunc(h.q.heldByWorkspace, func(_ quota.ID, tokens float64) bool { return tokens <= 0 })
}

// held returns what a workspace has running from this entry.
func (q *roomQueue) held(workspace quota.ID) float64 {
	q.heldMu.Lock()
	defer q.heldMu.Unlock()
	return q.heldByWorkspace[workspace]
}
