package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/release"
)

const (
	// roomPollInterval is the time between two attempts to place a waiting generation.
	roomPollInterval = 20 * time.Millisecond
	// reserveThreshold is the fraction of an engine's memory in use above which memory is
	// reserved before the prefill.
	reserveThreshold = 0.55
	// reserveTimeout bounds the round trip of a reservation.
	reserveTimeout = 300 * time.Millisecond
	// reserveHoldFactor is the hold time of a reservation as a multiple of the longest
	// expected time to the first event. Using the reservation ends it, and one that
	// expires earlier wastes the whole prefill.
	reserveHoldFactor = 2
)

// admit obtains memory at a decode endpoint, from its agent or by this process's own
// accounting.
func (g *generationRun) admit(ctx context.Context) (admission, error) {
	if g.r.usesAgents() {
		return g.reserveAtAgent(ctx)
	}
	return g.waitForRoom(ctx)
}

// admission is a placement whose memory is accounted for and, if the engine is nearly
// full, reserved.
type admission struct {
	placement
	work        *Work
	reservation *Reservation
	permits     permits
	// share is what the generation holds of the room of its service; nil without a queue.
	share *heldShare
}

// permits are the permits for the requests of a placement; nil where nothing is sent.
type permits struct {
	prefill, decode *permit
}

// release ends the accounting of a placement and returns unused permits.
func (a admission) release() {
	now := time.Now()
	a.permits.prefill.release(now)
	a.permits.decode.release(now)
	a.share.end()
	a.work.End()
}

// permit obtains permits for the requests of a placement. An endpoint that is at its
// advertised limit is excluded until it accepts a request again.
func (g *generationRun) permit(now time.Time, p placement) (permits, bool) {
	var list permits
	var wait time.Duration
	if list.decode, wait = g.r.permit(now, p.decode); list.decode == nil {
		g.limited[p.decode.ID] = now.Add(wait)
		return permits{}, false
	}
	if p.prefill == nil {
		return list, true
	}
	if list.prefill, wait = g.r.permit(now, p.prefill); list.prefill == nil {
		g.limited[p.prefill.ID] = now.Add(wait)
		list.decode.release(now)
		return permits{}, false
	}
	return list, true
}

// claim accounts for the memory of a placement, and reserves it if the decode endpoint is
// nearly full. It returns false if the endpoint has no room.
func (g *generationRun) claim(ctx context.Context, p placement) (admission, bool) {
	a, ok := g.account(time.Now(), p)
	if !ok {
		return admission{}, false
	}
	return a, g.reserve(ctx, &a)
}

// account accounts for the memory of a placement. It returns false if an endpoint is at its
// advertised limit.
func (g *generationRun) account(now time.Time, p placement) (admission, bool) {
	permits, ok := g.permit(now, p)
	if !ok {
		return admission{}, false
	}
	work := g.r.loads.Begin(p.decode.ID, Load{Decodes: 1, KVTokens: g.c.initialTokens()})
	return admission{placement: p, permits: permits, work: work}, true
}

// reserve reserves the memory of a placement if the decode endpoint is nearly full. If the
// endpoint has no room, it releases the placement and returns false.
//
// In a burst, what entries know of each other's work is some tens of milliseconds old. A
// refusal after the prefill wastes the whole prefill, while a reservation costs one round
// trip. No reservation is made at a warm engine, because it could evict the cached prompt
// itself.
func (g *generationRun) reserve(ctx context.Context, a *admission) bool {
	p := a.placement
	if p.warm || p.fill < reserveThreshold {
		return true
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var err error
	a.reservation, err = g.r.endpoints.Reserve(reserveCtx, p.decode, g.c, ReserveRequest{Tokens: g.c.initialTokens(), Hold: g.holdTime(p)})
	if err == nil {
		return true
	}
	a.release()
	g.r.metrics.Add("reservations_refused", 1)
	g.r.log.Emit(event.ReservationRefused, zap.String("request", g.c.ID), zap.String("endpoint", p.decode.ID),
		zap.Float64("fill", p.fill), event.Err(err))
	if errorx.IsOfType(err, ErrNotRun) && !errorx.IsOfType(err, ErrNotSent) {
		g.r.loads.RecordFull(time.Now(), p.decode.ID, g.expectedFull(p.decode))
		return false
	}
	g.tried[p.decode.ID] = true
	if ctx.Err() == nil {
		g.r.avoid(time.Now(), p.decode, err)
	}
	return false
}

// fullRetryFraction determines when a full engine is tried again, as a fraction of the
// expected time until one of its generations ends: some end sooner than expected.
const fullRetryFraction = 0.33

// expectedFull returns how long an engine that refused a reservation is expected to stay
// full.
func (g *generationRun) expectedFull(e *Endpoint) time.Duration {
	m := g.r.loads.EngineModel(g.c.Service)
	streams := max(g.r.loads.View(time.Now(), e.ID).Decodes, 1)
	return max(time.Duration(fullRetryFraction*float64(m.AnswerDuration(g.c.Timeout)))/time.Duration(streams), roomPollInterval)
}

// holdTime returns how long memory is reserved for a placement.
func (g *generationRun) holdTime(p placement) time.Duration {
	d := reserveHoldFactor * (p.firstEvent.UpperBound() + networkAllowance)
	if g.differs(p.decode) {
		d += release.MaxHeardWait
	}
	if eng := g.c.Service.Engine; eng != nil && eng.MaxHold > 0 {
		d = min(d, eng.MaxHold)
	}
	return d
}

// waitForRoom waits until the generation is placed or refused. Where callers differ in
// urgency or compete as workspaces, it waits in the queue of the service.
func (g *generationRun) waitForRoom(ctx context.Context) (admission, error) {
	if g.policy.queued {
		return g.queueForRoom(ctx)
	}
	return g.pollForRoom(ctx)
}

// pollForRoom tries to place the generation each roomPollInterval.
func (g *generationRun) pollForRoom(ctx context.Context) (admission, error) {
	began := time.Now()
	for {
		p, ok, err := g.tryPlace(time.Now(), began, false)
		if err != nil {
			return admission{}, err
		}
		if ok {
			if a, ok := g.claim(ctx, p); ok {
				g.r.metrics.Histogram("queue." + g.c.class()).Record(time.Since(began))
				return a, nil
			}
		}
		if !ebonypulley.Sleep(ctx, roomPollInterval) {
			return admission{}, ctx.Err()
		}
	}
}

// tryPlace makes one attempt to place the generation. An error refuses it. A generation that has
// to leave the room to others is not placed.
func (g *generationRun) tryPlace(now, began time.Time, leave bool) (placement, bool, error) {
	if err := g.r.refusePoison(g.c); err != nil {
		return placement{}, false, err
	}
	g.expireKept(now)
	if eng := g.c.Service.Engine; eng != nil && g.c.PromptTokens > eng.KVCapacity {
		return placement{}, false, errNoEndpoint.New("the prompt of %d tokens exceeds an engine's memory", g.c.PromptTokens)
	}
	rule := g.policy.rule(now, began)
	if g.kept != nil {
		rule.fill = maxFill // its prompt is already prefilled, and the result expires soon
	}
	g.updateVersion()
	if g.versionGone() {
		g.r.metrics.Add("version_gone", 1)
		return placement{}, false, errVersionGone.New("no engine of %s has the software version %s of the stream", g.c.Service.Name, g.version)
	}
	var p placement
	var ok, deferred bool
	if !leave {
		p, ok, deferred = g.placeAt(now, rule, g.version)
	}
	if !ok && !leave && g.version != "" && !g.versionFixed && !g.unheard && g.r.releases.MayDiffer() {
		p, ok, deferred = g.placeAt(now, rule, "") // rather another version than late or not at all
	}
	rule.refuse = rule.refuse || deferred && !g.policy.retried && now.Sub(began) >= minWait
	if ok {
		g.r.log.Emit(event.GenerationPlaced, zap.String("request", g.c.ID), zap.String("prefill", p.prefillID()),
			zap.String("decode", p.decode.ID), zap.String("software", p.decode.SoftwareVersion), zap.String("resumes", g.c.Resumes), zap.Duration("waited", now.Sub(began)), zap.Duration("first", p.firstEvent.Mean), zap.Duration("spread", p.firstEvent.Spread),
			zap.Float64("fill", p.fill), zap.Bool("warm", p.warm), zap.Bool("kept", g.kept != nil))
		return p, true, nil
	}
	if rule.refuse {
		return p, false, errNoEndpoint.New("no engine of %s has room", g.c.Service.Name)
	}
	return p, false, nil
}

// placeAt returns a placement at a software version, empty for any. deferred says that there is
// one that should not be used now.
func (g *generationRun) placeAt(now time.Time, rule admissionRule, version string) (p placement, ok, deferred bool) {
	p, ok = g.r.place(now, g.c, placeOptions{tried: g.tried, limited: g.limited, kept: g.kept, warm: g.warm, fill: rule.fill, version: version})
	deferred = ok && g.kept == nil && g.policy.defers(now, p, rule)
	return p, ok && !deferred, deferred
}
