package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/estimate"
	"ebonypulley/event"
	"ebonypulley/limit"
)

const (
	// maxRefusals is the number of endpoints that may refuse one generation.
	maxRefusals = 3
	// maxUnreachableEngines is the number of unreachable engines after which a generation
	// is refused. Each costs a round trip, and each is then avoided by this process for
	// the next half second.
	maxUnreachableEngines = 8
)

// generationRun is the processing of one generation, over as many attempts as are safe.
type generationRun struct {
	r       *Router
	c       *Call
	sink    Sink
	tried   map[string]bool
	limited limitedUntil
	// lastEvent is the number of the last event delivered, or the last one that a resuming
	// caller already has.
	lastEvent int64
	// unplaced says that the caller has a part of the answer after lastEvent that has no number.
	unplaced bool
	// begun says that the caller has received the head; delivery passes it the events from
	// then on.
	begun    bool
	delivery *delivery
	// runs counts the attempts that may have run.
	runs     int
	refusals int
	// unreachable counts the endpoints that accepted no connection.
	unreachable int
	// sent counts the arrivals at endpoints that the retry budget counts. prefilled says
	// that a prefill was accepted; the first accepted one is free.
	sent      int
	prefilled bool
	// charge is what the budget was charged for the arrival in progress, prepaid for the next
	// one; both may be nil.
	charge, prepaid *limit.Charge
	arrivals        requestArrivals
	// kept is a prefill result that a decode endpoint refused.
	kept *PrefillResult
	// warm is the engine that probably still caches the prompt: its stream broke off
	// although it still runs, or a lookup for a resuming caller found it.
	warm *Endpoint
	// progress says that the last attempt delivered events.
	progress bool
	// expiries counts the attempts that ended with ErrExpired.
	expiries    int
	lastEventAt time.Time // when the last event was delivered
	// ttft is the time to the first event, longestGap the longest gap between two events.
	ttft, longestGap time.Duration
	// gap is the last gap between two events. interfered says that a prefill was in
	// progress at the engine at the end of it.
	gap        time.Duration
	interfered bool
	// events counts the delivered events.
	events int
	policy admissionPolicy
	// version is the software version at which the stream should go on, empty for any. It is
	// fixed once the caller has an event.
	version      string
	versionFixed bool
	// versionFrom is the directory by which the version was chosen.
	versionFrom *Directory
	// unheard says that not all entries heard in time that the stream may begin at another version.
	unheard bool
	// failedAnswer is an endpoint's own failure, delivered if no later attempt succeeds.
	failedAnswer *Answer
}

// Generate serves a generation. It returns an answer only if an endpoint reported a
// failure of its own instead of a stream, and a failure if the generation was given up.
// If both are nil, the sink has received the complete answer.
func (r *Router) Generate(ctx context.Context, c *Call, sink Sink) (*Answer, *Failure) {
	if f := r.charge(c); f != nil {
		return nil, f
	}
	a, f := r.generate(ctx, c, sink)
	r.refund(c, f)
	return a, f
}

func (r *Router) generate(ctx context.Context, c *Call, sink Sink) (*Answer, *Failure) {
	g := &generationRun{r: r, c: c, sink: sink, tried: make(map[string]bool), limited: make(limitedUntil), lastEvent: c.ResumeAfter}
	g.policy = g.newAdmissionPolicy()
	if !g.policy.retried && !g.policy.begun {
		r.loads.RecordArrival(c.ReceivedAt, c.Service, c) // retries were counted at their first attempt
	}
	r.budget(c.Service.Name).RecordFirst(c.ReceivedAt)
	defer g.dropKept()
	defer g.returnPrepaid()
	if err := g.chooseVersion(ctx); err != nil {
		return nil, &Failure{Reason: NotRun, Cause: err, RetryAfter: versionRetryDelay}
	}
	defer g.endVersion()
	if c.ResumeAfter != NoEvent {
		g.warm = r.cachingEngine(ctx, c, g.version)
	}
	for {
		before := g.lastEvent
		err := g.attempt(ctx)
		if err == nil {
			err = g.flush()
		}
		if err == nil {
			g.recordAnswered()
			return nil, nil
		}
		g.progress = g.lastEvent != before
		if !g.mayRetry(ctx, err) {
			_ = g.flush() // the error that ends the answer is already known
			return g.finish(ctx, err)
		}
		r.metrics.Add("generation_attempts_again", 1)
		if wasLost(err) {
			r.metrics.Add("continued", 1)
		}
		r.log.Emit(event.GenerationRetried, zap.String("request", c.ID), c.ContentField(), zap.Bool("begun", g.begun), zap.Int64("after", g.lastEvent),
			zap.Int("runs", g.runs), zap.Int("refusals", g.refusals), event.Err(err))
	}
}

// flush waits until the caller has received all events so far.
func (g *generationRun) flush() error {
	if g.delivery == nil {
		return nil
	}
	return g.delivery.finish()
}

// recordAnswered records a complete answer.
func (g *generationRun) recordAnswered() {
	g.r.crashes.RecordSuccess(time.Now(), g.c.ContentHash)
	took := time.Since(g.c.ReceivedAt)
	g.r.metrics.Histogram("whole." + g.c.class()).Record(took)
	if g.runs == 1 && g.c.ResumeAfter == NoEvent && g.events > 1 {
		tokens, duration := g.events*g.c.stride(), took-g.ttft
		g.r.loads.UpdateModel(g.c.Service, func(m *estimate.EngineModel) { m.RecordAnswer(tokens, duration) })
	}
	g.r.log.Emit(event.RequestAnswered, zap.String("request", g.c.ID), zap.String("route", g.c.Route.Name), zap.Duration("took", took),
		zap.Duration("first", g.ttft), zap.Duration("longest_pause", g.longestGap), zap.Int("runs", g.runs))
}

// errFailed is returned by an attempt whose endpoint reported a failure of its own.
var errFailed = routerErrors.NewType("failed")

func (g *generationRun) finish(ctx context.Context, err error) (*Answer, *Failure) {
	if g.failedAnswer != nil && !g.begun {
		return g.failedAnswer, nil
	}
	f := &Failure{Cause: err, Reason: Unknown}
	switch {
	case callerGone(ctx) || errorx.IsOfType(err, ErrCallerGone) && !isStopping(ctx):
		f.Reason = CallerGone
	case g.runs == 0:
		f.Reason = NotRun
		f.RetryAfter = retryAdvice(err, g.retryDelay())
	case g.c.TimeLeft(time.Now()) <= 0:
		f.Reason = TimedOut
	}
	return nil, f
}

// mayRetry decides whether another attempt may follow one that ended with err.
func (g *generationRun) mayRetry(ctx context.Context, err error) bool {
	now := time.Now()
	if ctx.Err() != nil || g.c.TimeLeft(now) <= 0 || errorx.IsOfType(err, ErrCallerGone) ||
		errorx.IsOfType(err, errPoison) || errorx.IsOfType(err, errNoEndpoint) || errorx.IsOfType(err, errVersionGone) || errorx.IsOfType(err, errBudget) || errorx.IsOfType(err, ErrQueueTimeout) {
		return false
	}
	if g.progress {
		g.refusals = 0
	}
	if errorx.IsOfType(err, ErrUnreachable) {
		g.unreachable++
		return g.unreachable < maxUnreachableEngines
	}
	notRun := errorx.IsOfType(err, ErrNotRun)
	if notRun {
		g.refusals++
	}
	if g.refusals >= maxRefusals || !notRun && !g.mayRunAgain() {
		return false
	}
	return !wasLost(err) || !g.r.usesAgents() || g.mayRetryLoss(err)
}

// wasLost reports whether an attempt or its prefill was lost, rather than refused.
func wasLost(err error) bool {
	return !errorx.IsOfType(err, ErrNotRun) || errorx.IsOfType(err, errPrefillLost)
}

// mayRunAgain reports whether the generation may run once more.
func (g *generationRun) mayRunAgain() bool {
	maxAttempts := g.c.Route.MaxAttempts
	return g.resumable() && (maxAttempts == 0 || g.runs < maxAttempts)
}

// resumable reports whether another run can go on where the caller's part of the answer ends. After
// a part without a number no run can be told where that is, and the caller would get it twice.
func (g *generationRun) resumable() bool { return g.c.Route.Resumable && !g.unplaced }

// errBudget is returned when the retry budget allows no further arrival.
var errBudget = ErrNotRun.NewSubtype("budget")

// chargeArrival charges the retry budget for an arrival at an endpoint beyond the first.
// Each arrival counts, even one that is refused, except the first prefill that an
// endpoint accepts. With agents only losses count, see mayRetryLoss. The caller must
// settle the charge with settleArrival.
//
// A prefill that is lost or refused is followed by an arrival at another endpoint, which
// counts as a second one. The charge is therefore made in advance and refunded only once
// the prefill is accepted; otherwise, when many prefills are lost, endpoints would get
// more arrivals than the budget allows.
func (g *generationRun) chargeArrival() error {
	if err := g.r.refusePoison(g.c); err != nil {
		return err
	}
	if g.sent > 0 && !g.payArrival() {
		return errBudget.New("the retry budget is exhausted")
	}
	g.sent++
	return nil
}

// payArrival pays for one arrival beyond the first, from the prepaid charge if there is
// one.
func (g *generationRun) payArrival() bool {
	switch {
	case g.r.usesAgents():
		return true
	case g.prepaid != nil:
		g.charge, g.prepaid = g.prepaid, nil
	default:
		g.charge = g.r.chargeRetry(g.c.Service.Name)
	}
	return g.charge != nil
}

// prepayDecode charges the budget for the decode endpoint's arrival before its prompt is
// prefilled, unless that arrival will be the first.
//
// While many answers are lost, the retry budget is exhausted all the time. A prompt
// prefilled once more without a charge left for its decode would be wasted, and its
// caller refused all the same.
func (g *generationRun) prepayDecode() bool {
	if g.r.usesAgents() || !g.prefilled {
		return true // the first accepted prefill is free, and its refund pays for this arrival
	}
	if g.prepaid == nil {
		g.prepaid = g.r.chargeRetry(g.c.Service.Name)
	}
	return g.prepaid != nil
}

// returnPrepaid returns a prepaid charge that no attempt used.
func (g *generationRun) returnPrepaid() {
	g.r.returnRetry(g.c.Service.Name, g.prepaid)
	g.prepaid = nil
}

// settleArrival settles the charge for an attempt that ended with err. One that was not sent
// did not arrive.
//
// When a third of the engines crash in the same second they stay published for seconds,
// and each entry tries each of them. Counted as arrivals, these attempts would exhaust
// the retry budget at once, and generations already prefilled would be refused.
func (g *generationRun) settleArrival(err error) {
	if errorx.IsOfType(err, ErrNotSent) {
		g.refundArrival()
		return
	}
	g.recordArrival()
}

// settlePrefill settles the charge for a prefill that ended with err. The first one that is
// accepted is free.
func (g *generationRun) settlePrefill(err error) {
	if err == nil && !g.prefilled {
		g.prefilled = true
		g.refundArrival()
		return
	}
	g.settleArrival(err)
}

// recordArrival settles the charge for an attempt that arrived.
func (g *generationRun) recordArrival() {
	g.r.arrivals.settle(time.Now(), &g.arrivals, g.charge)
	g.charge = nil
}

func (g *generationRun) refundArrival() {
	g.sent--
	g.r.returnRetry(g.c.Service.Name, g.charge)
	g.charge = nil
}

// attempt makes one attempt: place, reserve, prefill, decode.
func (g *generationRun) attempt(ctx context.Context) error {
	if err := g.r.refusePoison(g.c); err != nil {
		return err // refuse it before it waits for room
	}
	if len(g.c.PromptParts) > 0 && g.lastEvent == NoEvent && g.kept == nil {
		if err := g.awaitVerdict(ctx); err != nil {
			return err
		}
	}
	a, err := g.admit(ctx)
	if err != nil {
		return err
	}
	defer a.release()
	start := Start{After: g.lastEvent, Reservation: a.reservation}
	withheld := g.withholdVersion(a.decode) // others hear of it while the prompt is prefilled
	start.Result, err = g.result(ctx, a)
	if err != nil {
		g.release(start.Reservation)
		return err
	}
	before := g.lastEvent
	if err = g.awaitHeard(ctx, withheld, a.decode); err == nil {
		err = g.decode(ctx, a, start)
	}
	if err != nil && errorx.IsOfType(err, ErrNotRun) {
		g.release(start.Reservation)
		g.kept = start.Result
	}
	if err != nil && start.Result != nil && g.kept == nil && g.lastEvent == before {
		g.recordWasted(start.Result)
	}
	if start.Result != nil && ctx.Err() != nil {
		// The caller disconnected. If the result was taken already, Drop has no effect.
		g.r.endpoints.Drop(start.Result)
		g.kept = nil
	}
	return err
}
