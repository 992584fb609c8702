package router

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/queue"
	"ebonypulley/share"
)

// Plain calls in a burst: for some seconds more calls arrive than the endpoints can run.
// Behind full queues of the endpoints all answers are late, and further calls are turned away.
// So calls wait at their entries, in the order of their deadlines, and an entry has only its
// share of what the endpoints run, and of a short queue there.
const (
	// shortQueue is the length of the queue worth having at an endpoint, as a fraction of its
	// slots. It bridges the time until a slot that becomes free gets its next call.
	shortQueue = 0.5
	// hopelessMargin is the ratio of the expected wait of a call to the time that it has left
	// above which the call has certainly no chance.
	hopelessMargin = 2
	// callMargin is the time that is left for a call, in expected call times.
	callMargin = 2
	// endpointChoices is the number of endpoints drawn for a call while room is short.
	endpointChoices = 2
	// lateMargin is the same ratio above which a call will certainly become late.
	lateMargin = 8
	// minLateFraction is the fraction of the slots that late calls are assumed to get at
	// least, and lateTimeConstant the time constant of the moving average of what they get.
	minLateFraction  = 0.02
	lateTimeConstant = 500 * time.Millisecond
	// shortageEnds is the time without a shortage after which it is over.
	shortageEnds = 2 * time.Second
)

// hold holds the calls of a plain service that wait for room.
type hold struct {
	r       *Router
	service string
	list    *waitList

	mu sync.Mutex
	// waiting holds the calls in list. It changes with the lock of the list held, too.
	waiting map[*queue.Request]*heldCall
	// onTime and late keep the calls at endpoints within the shares, atEndpoint counts them.
	onTime, late share.Meter
	atEndpoint   map[string]int
	// freed is the endpoint at which a call has just ended.
	freed string
	// lateFraction is a moving average of the fraction of the slots left to late calls.
	lateFraction   float64
	lateMeasuredAt time.Time
	// short says that room is short, shortAt when it was last.
	short   bool
	shortAt time.Time
	// shownWaiting and shownShare are the values of the gauges.
	shownWaiting, shownShare int64
}

// heldCall is a call that waits.
type heldCall struct {
	*plainRun
	request *queue.Request
	// judged says that the chances of the call were weighed, judgedLate that they were when it
	// had become late.
	judged, judgedLate bool
	began              time.Time
}

// errHopeless is returned when a call can't be served before its deadline.
var errHopeless = errNoEndpoint.NewSubtype("hopeless")

// holdOf returns where the call may wait, or nil if it is sent at once: calls wait if their
// service's endpoints say how loaded they are and their route has a latency target.
func (r *Router) holdOf(c *Call) *hold {
	if r.usesAgents() || c.Keyed || c.Route.LatencyTarget <= 0 || !r.tellsLoad(c.Service.Name) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.holds[c.Service.Name]
	if h == nil {
		h = &hold{r: r, service: c.Service.Name, list: newWaitList(r.holdOrder()), waiting: make(map[*queue.Request]*heldCall), atEndpoint: make(map[string]int)}
		h.list.beforePass = h.refuseHopeless
		r.holds[c.Service.Name] = h
	}
	return h
}

// holdOrder returns the order in which plain calls wait: where callers belong to workspaces, one
// with many calls must not delay those of the others.
func (r *Router) holdOrder() queue.Order {
	if r.Directory().RequiresKey() {
		return queue.ByFairDeadline
	}
	return queue.ByDeadline
}

// tellsLoad reports whether an endpoint of the service has said how loaded it is.
func (r *Router) tellsLoad(service string) bool {
	for _, e := range r.Directory().endpoints[service] {
		if _, _, ok := r.paces.Latest(time.Now(), e.ID); ok {
			return true
		}
	}
	return false
}

// wait waits until the call has an endpoint, which is then in p.next, or is refused.
func (h *hold) wait(ctx context.Context, p *plainRun) error {
	now := time.Now()
	callTime := h.r.loads.CallTime(h.service, p.c.Route.LatencyTarget)
	w := &heldCall{plainRun: p, began: now, request: &queue.Request{
		Rank: p.c.Rank(), Cost: 1,
		StartBy:  p.c.ReceivedAt.Add(latestStart(p.c.Route.LatencyTarget, callTime.Mean)),
		GiveUpAt: p.c.Deadline.Add(-callTime.Mean),
	}}
	if p.c.Workspace != nil {
		w.request.Workspace = p.c.Workspace.ID
	}
	try := func(now time.Time) (bool, error) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		return h.try(now, w)
	}
	err := h.list.wait(ctx, w.request, &waiter{
		try: try, refused: func() error { return h.r.refusePoison(p.c) },
		added: func() { h.setWaiting(w, true) }, removed: func() { h.setWaiting(w, false) },
	})
	if err != nil && !errorx.IsOfType(err, errNoEndpoint) {
		h.mu.Lock()
		h.report(time.Now())
		h.mu.Unlock()
	}
	switch {
	case err == nil:
		h.r.metrics.Histogram("queue." + p.c.class()).Record(time.Since(now))
	case errors.Is(err, context.DeadlineExceeded):
		err = errHopeless.Wrap(err, "no room at %s before the deadline", h.service)
	}
	return err
}

// setWaiting records whether a call waits. It is called with the lock of the list held.
func (h *hold) setWaiting(w *heldCall, waits bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if waits {
		h.waiting[w.request] = w
		return
	}
	delete(h.waiting, w.request)
}

// latestStart returns how long a call may wait and still meet its target, unless it takes much
// longer than the mean.
func latestStart(target, callTime time.Duration) time.Duration {
	return max(target-callMargin*callTime, target/4)
}

// serviceDemand is how much of a service is wanted, and what this entry may have of it.
type serviceDemand struct {
	room            share.Room
	own, all, share share.Calls
	short           bool
	// atEndpoints is the number of calls that all entries have at endpoints.
	atEndpoints float64
	// expected is the duration of a call in nanoseconds.
	expected  float64
	endpoints []holdEndpoint
}

// holdEndpoint is an endpoint that may get a call.
type holdEndpoint struct {
	*Endpoint
	view View
	// own is the number of calls of this entry there.
	own int
	// limit is the number of calls of all entries together.
	limit float64
}

// measure returns the demand for the service. The caller holds h.mu.
func (h *hold) measure(now time.Time, target time.Duration) serviceDemand {
	r := h.r
	callTime := r.loads.CallTime(h.service, target)
	d := serviceDemand{expected: float64(callTime.Mean)}
	var running share.Calls
	for _, e := range r.Directory().Endpoints(h.service, Plain) {
		v := r.loads.View(now, e.ID)
		if v.Avoided || v.BackingOff {
			continue
		}
		slots := float64(max(e.Slots, 1))
		x := holdEndpoint{Endpoint: e, view: v, own: h.atEndpoint[e.ID], limit: slots + usefulQueue(slots, float64(target), d.expected*v.Slowdown)}
		d.endpoints = append(d.endpoints, x)
		d.room.Slots += slots
		d.room.Limit += x.limit
		running.OnTime += float64(v.Calls)
	}
	d.atEndpoints = running.OnTime
	own := h.countWaiting(now)
	ownRunning := h.running()
	others, _ := r.shares.Sum(now, h.service, share.OnTime)
	othersLate, othersLateRunning := r.shares.Sum(now, h.service, share.Late)
	running.Late = ownRunning.Late + othersLateRunning
	running.OnTime = max(running.OnTime-running.Late, ownRunning.OnTime)
	d.own = share.Calls{OnTime: ownRunning.OnTime + own.OnTime, Late: ownRunning.Late + own.Late}
	d.all = share.Calls{OnTime: running.OnTime + own.OnTime + others, Late: running.Late + own.Late + othersLate}
	d.short = d.room.Short(d.all)
	d.share = d.room.Share(d.own, d.all)
	return d
}

// running returns the calls of this entry at endpoints. The caller holds h.mu.
func (h *hold) running() share.Calls {
	return share.Calls{OnTime: float64(h.onTime.Running()), Late: float64(h.late.Running())}
}

// countWaiting counts the calls that wait here. The caller holds h.mu.
func (h *hold) countWaiting(now time.Time) (n share.Calls) {
	for r := range h.waiting {
		if now.After(r.StartBy) {
			n.Late++
		} else {
			n.OnTime++
		}
	}
	return n
}

// usefulQueue returns the length of the short queue at an endpoint: what still meets the target
// behind it, given the call time there.
func usefulQueue(slots, target, callTime float64) float64 {
	if callTime <= 0 {
		return 0
	}
	return slots * min(max(target/callTime-callMargin, 0), shortQueue)
}

// try starts the call if there is room for it, or refuses it if it has no chance.
func (h *hold) try(now time.Time, w *heldCall) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.measure(now, w.c.Route.LatencyTarget)
	h.update(now, d)
	if !d.hasUntried(w.tried) {
		delete(h.waiting, w.request)
		return h.startAnywhere(now, w)
	}
	if e := h.pick(now, w, d); e != nil {
		h.start(now, w, e)
		return true, nil
	}
	if err := h.judge(now, w, d); err != nil {
		return false, err
	}
	return false, nil
}

// hasUntried reports whether an endpoint is left that may get a call.
func (d *serviceDemand) hasUntried(tried map[string]bool) bool {
	return slices.ContainsFunc(d.endpoints, func(x holdEndpoint) bool { return !tried[x.ID] })
}

// startAnywhere starts a call for which only endpoints are left that are to be avoided, or
// refuses it.
func (h *hold) startAnywhere(now time.Time, w *heldCall) (bool, error) {
	if w.next = w.pick(now); w.next == nil {
		return false, errNoEndpoint.New("no endpoint of %s can take the call", h.service)
	}
	return true, nil
}

// pick returns the endpoint for a call within the share, or nil. The caller holds h.mu.
func (h *hold) pick(now time.Time, w *heldCall, d serviceDemand) *Endpoint {
	late := now.After(w.request.StartBy)
	meter, of := h.meter(late), d.share.OnTime
	if late {
		of = d.share.Late
	}
	if d.short && !meter.MayStart(now, of, time.Duration(d.expected), h.r.randomFraction) {
		return nil
	}
	for {
		best := h.best(now, w, d, of)
		if best == nil {
			return nil
		}
		permit, wait := h.r.permit(now, best)
		if permit != nil {
			w.permit = permit
			return best
		}
		w.limited[best.ID] = now.Add(wait)
	}
}

func (h *hold) meter(late bool) *share.Meter {
	if late {
		return &h.late
	}
	return &h.onTime
}

// best returns the endpoint with the lowest expected call duration of those that have room, or
// nil.
//
// The calls of other entries there are known as of some tens of milliseconds ago, and entries
// that know the same must not all choose the same endpoint. While room is short each chooses
// from two at random. Otherwise the calls of others count as a random number with that mean.
func (h *hold) best(now time.Time, w *heldCall, d serviceDemand, ownShare float64) *Endpoint {
	var list []holdEndpoint
	for _, x := range d.endpoints {
		if !w.tried[x.ID] && !x.view.Full && !now.Before(w.limited[x.ID]) && x.hasRoom(d, ownShare) {
			list = append(list, x)
		}
	}
	if d.short {
		if i := slices.IndexFunc(list, func(x holdEndpoint) bool { return x.ID == h.freed }); i >= 0 {
			return list[i].Endpoint
		}
		list = h.r.draw(list, endpointChoices)
	}
	var best *Endpoint
	var bestCost float64
	for _, x := range list {
		v := x.view
		if !d.short {
			v.Calls = x.own + int(2*float64(max(v.Calls-x.own, 0))*h.r.randomFraction()+0.5)
		}
		if cost := h.r.plainCost(v, x.Endpoint, d.expected); best == nil || cost < bestCost {
			best, bestCost = x.Endpoint, cost
		}
	}
	return best
}

// draw returns n elements of a list at random. It changes the order of the list.
func (r *Router) draw(list []holdEndpoint, n int) []holdEndpoint {
	for i := range min(n, len(list)) {
		j := i + r.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// hasRoom reports whether the endpoint may have another call of this entry, whose share of all
// endpoints is ownShare.
func (x *holdEndpoint) hasRoom(d serviceDemand, ownShare float64) bool {
	if !d.short {
		return float64(x.view.Calls) < x.limit
	}
	return float64(x.own) < math.Ceil(ownShare*x.limit/d.room.Limit)
}

// start accounts for a call that starts. The caller holds h.mu.
func (h *hold) start(now time.Time, w *heldCall, e *Endpoint) {
	late := now.After(w.request.StartBy)
	m := h.meter(late)
	m.Start()
	h.atEndpoint[e.ID]++
	if late {
		h.r.metrics.Add("plain_started_late", 1)
	}
	delete(h.waiting, w.request)
	work := h.r.loads.Begin(e.ID, Load{Calls: 1})
	w.next = e
	h.freed = ""
	w.ended = func() {
		work.End()
		h.end(m, e)
	}
}

// end accounts for a call that has ended, and lets another one start.
func (h *hold) end(m *share.Meter, e *Endpoint) {
	h.mu.Lock()
	m.End()
	if h.atEndpoint[e.ID]--; h.atEndpoint[e.ID] == 0 {
		delete(h.atEndpoint, e.ID)
	}
	h.report(time.Now())
	waits := len(h.waiting) > 0
	h.freed = e.ID
	h.mu.Unlock()
	if waits {
		h.list.wake()
	}
	h.mu.Lock()
	h.freed = ""
	h.mu.Unlock()
}

// update follows the demand, and reports it to other entries. The caller holds h.mu.
func (h *hold) update(now time.Time, d serviceDemand) {
	if d.short {
		h.shortAt = now
	}
	if short := now.Sub(h.shortAt) < shortageEnds; short != h.short {
		h.short = short
		h.r.log.Emit(event.RoomShort, zap.String("service", h.service), zap.Bool("short", short), zap.Float64("on_time", d.all.OnTime),
			zap.Float64("late", d.all.Late), zap.Float64("slots", d.room.Slots), zap.Float64("limit", d.room.Limit), zap.Float64("share", d.share.OnTime))
	}
	allowed := d.room.Limit
	if d.short {
		allowed = d.share.OnTime + d.share.Late
	}
	h.set("plain_share_percent."+h.service, &h.shownShare, int64(100*allowed))
	h.updateLateFraction(now, d)
	h.report(now)
}

// updateLateFraction updates the fraction of the slots that is left to late calls. While
// nothing waited it was not observed, and there was room. The caller holds h.mu.
func (h *hold) updateLateFraction(now time.Time, d serviceDemand) {
	average := func(value float64, over time.Duration) {
		h.lateFraction += (value - h.lateFraction) * min(float64(over)/float64(lateTimeConstant), 1)
	}
	since := now.Sub(h.lateMeasuredAt)
	h.lateMeasuredAt = now
	average(1, max(since-maxPassInterval, 0))
	if d.room.Slots > 0 {
		average(max(d.room.Slots-d.all.OnTime, 0)/d.room.Slots, min(since, maxPassInterval))
	}
}

// report sets what other entries are told: nothing unless calls wait, or late ones run. The
// caller holds h.mu.
func (h *hold) report(now time.Time) {
	waiting := h.countWaiting(now)
	onTime := share.Demand{Service: h.service, Rank: share.OnTime, Waiting: waiting.OnTime}
	late := share.Demand{Service: h.service, Rank: share.Late, Waiting: waiting.Late}
	onTime.Running, late.Running = h.running().OnTime, h.running().Late
	h.set("plain_waiting."+h.service, &h.shownWaiting, int64(len(h.waiting)))
	if len(h.waiting) == 0 && late.Running == 0 {
		h.r.shares.SetOwn(h.service, nil, nil)
		return
	}
	h.r.shares.SetOwn(h.service, []share.Demand{onTime, late}, nil)
}

// set sets a gauge; shown is its present value. The caller holds h.mu.
func (h *hold) set(name string, shown *int64, value int64) {
	h.r.metrics.Add(name, value-*shown)
	*shown = value
}

// refuseHopeless refuses the waiting calls that have no chance any more. It is called before
// each pass of the list.
func (h *hold) refuseHopeless(now time.Time) {
	for r, err := range h.findHopeless(now) {
		h.list.end(r, err)
	}
}

// findHopeless returns the waiting calls that have no chance any more, and why.
func (h *hold) findHopeless(now time.Time) map[*queue.Request]error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var d serviceDemand
	refused := make(map[*queue.Request]error)
	for r, w := range h.waiting {
		if !w.mayBeHopeless(now) || !w.judged && !now.Before(r.GiveUpAt) {
			continue // one with little time from the start may still find room
		}
		if d.endpoints == nil {
			d = h.measure(now, w.c.Route.LatencyTarget)
		}
		if err := h.judge(now, w, d); err != nil {
			refused[r] = err
		}
	}
	return refused
}

// isFull reports whether an attempt ended with err because the endpoint turned it away.
func isFull(err error) bool {
	return errorx.IsOfType(err, ErrNotRun) && !errorx.IsOfType(err, ErrNotSent) && !unanswered(err)
}

// recordFull records that an endpoint turned a call away: it gets none until one of its slots
// has become free.
func (h *hold) recordFull(now time.Time, e *Endpoint) {
	h.r.metrics.Add("plain_turned_away", 1)
	h.r.loads.RecordFull(now, e.ID, h.r.loads.CallTime(h.service, 0).Mean)
}
