package router

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/estimate"
	"ebonypulley/event"
)

const (
	// maxRefusals is how many endpoints may refuse one generation.
	maxRefusals = 3
	// maxEngines is how many engines without a connection one generation
	// meets before it is refused: each costs a round trip, and none gets a
	// second generation of this process in the next half second.
	maxEngines = 8
)

// generationRun is one generation, over as many attempts as are safe.
type generationRun struct {
	r       *Router
	c       *Call
	sink    Sink
	tried   map[string]bool
	limited atLimit
	// after is the number of the last event delivered, or that the caller
	// came with.
	after int64
	// begun: the caller has the head; out hands it the events from then on.
	begun bool
	out   *delivery
	// runs counts the attempts that may have run.
	runs     int
	refusals int
	// unreachable counts the endpoints that took no connection.
	unreachable int
	// sent counts the arrivals at endpoints that the retry budget counts;
	// prefilled says that a prefill was accepted, the first of which is free.
	sent      int
	prefilled bool
	// paid says that the budget was drawn on for the next arrival already.
	paid bool
	// kept is a result whose decode endpoint refused it.
	kept *Result
	// warm is the engine of an answer that broke off while the engine lived.
	warm *Endpoint
	// progress: the last attempt brought events.
	progress bool
	// expiries counts the attempts that ended with ErrExpired.
	expiries int
	last     time.Time // when the last event was delivered
	// first is the time to the first event, longest the longest pause between
	// two.
	first, longest time.Duration
	// pause is the last one; disturbed says that its engine computed a prompt
	// at the end of it.
	pause     time.Duration
	disturbed bool
	// events counts those delivered.
	events int
	late   lateness
	// failed is an endpoint's own failure, delivered if nothing better comes.
	failed *Answer
}

// Generate serves a generation. It returns an answer only if an endpoint
// reported a failure of its own, which is delivered in place of a stream; and
// a failure if the generation was given up. Both nil: the sink has it whole.
func (r *Router) Generate(ctx context.Context, c *Call, sink Sink) (*Answer, *Failure) {
	if f := r.charge(c); f != nil {
		return nil, f
	}
	a, f := r.generate(ctx, c, sink)
	r.refund(c, f)
	return a, f
}

func (r *Router) generate(ctx context.Context, c *Call, sink Sink) (*Answer, *Failure) {
	g := &generationRun{r: r, c: c, sink: sink, tried: make(map[string]bool), limited: make(atLimit), after: c.Resume}
	g.late = g.lateness()
	if !g.late.again && !g.late.begun {
		r.loads.Arrived(c.Began, c.Service, c) // those that come back came before
	}
	r.budget(c.Service.Name).First(c.Began)
	defer g.dropKept()
	if c.Resume != NoNumber {
		g.warm = r.holder(ctx, c)
	}
	for {
		before := g.after
		err := g.attempt(ctx)
		if err == nil {
			err = g.delivered()
		}
		if err == nil {
			g.answered()
			return nil, nil
		}
		g.progress = g.after != before
		if !g.again(ctx, err) {
			_ = g.delivered() // what broke the answer says why it ends
			return g.end(ctx, err)
		}
		r.metrics.Add("generation_attempts_again", 1)
		if lost(err) {
			r.metrics.Add("continued", 1)
		}
		r.log.Emit(event.GenerationAgain, zap.String("request", c.ID), c.ContentField(), zap.Bool("begun", g.begun), zap.Int64("after", g.after),
			zap.Int("runs", g.runs), zap.Int("refusals", g.refusals), event.Err(err))
	}
}

// delivered waits until the caller has what came so far.
func (g *generationRun) delivered() error {
	if g.out == nil {
		return nil
	}
	return g.out.finish()
}

// answered records a generation that the caller has whole.
func (g *generationRun) answered() {
	g.r.crashes.Served(time.Now(), g.c.Content)
	took := time.Since(g.c.Began)
	g.r.metrics.Histogram("whole." + g.c.class()).Record(took)
	if g.runs == 1 && g.c.Resume == NoNumber && g.events > 1 {
		tokens, life := g.events*g.c.stride(), took-g.first
		g.r.loads.Learn(g.c.Service, func(m *estimate.Engines) { m.Ended(tokens, life) })
	}
	g.r.log.Emit(event.RequestAnswered, zap.String("request", g.c.ID), zap.String("route", g.c.Route.Name), zap.Duration("took", took),
		zap.Duration("first", g.first), zap.Duration("longest_pause", g.longest), zap.Int("runs", g.runs))
}

// errFailed is returned by an attempt whose endpoint reported a failure.
var errFailed = routerErrors.NewType("failed")

func (g *generationRun) end(ctx context.Context, err error) (*Answer, *Failure) {
	if g.failed != nil && !g.begun {
		return g.failed, nil
	}
	f := &Failure{Cause: err, Why: Unknown}
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || errorx.IsOfType(err, ErrCaller):
		f.Why = CallerGone
	case g.runs == 0:
		f.Why = NotRun
		f.Retry = advice(err, g.retry())
	case g.c.Left(time.Now()) <= 0:
		f.Why = TimedOut
	}
	return nil, f
}

// again decides about another attempt after err.
func (g *generationRun) again(ctx context.Context, err error) bool {
	now := time.Now()
	if ctx.Err() != nil || g.c.Left(now) <= 0 || errorx.IsOfType(err, ErrCaller) ||
		errorx.IsOfType(err, errPoison) || errorx.IsOfType(err, errNoEndpoint) || errorx.IsOfType(err, errBudget) || errorx.IsOfType(err, ErrWaited) {
		return false
	}
	if g.progress {
		g.refusals = 0
	}
	if errorx.IsOfType(err, ErrUnreachable) {
		g.unreachable++
		return g.unreachable < maxEngines
	}
	notRun := errorx.IsOfType(err, ErrNotRun)
	if notRun {
		g.refusals++
	}
	if g.refusals >= maxRefusals || !notRun && !g.mayRun() {
		return false
	}
	return !lost(err) || !g.r.gated() || g.lossAllowed(err)
}

// lost reports whether an attempt was lost, not refused: its run, or its
// prefill.
func lost(err error) bool {
	return !errorx.IsOfType(err, ErrNotRun) || errorx.IsOfType(err, errPrefillLost)
}

// mayRun reports whether the generation may run once more.
func (g *generationRun) mayRun() bool {
	most := g.c.Route.MaxAttempts
	return g.c.Route.Resumable && (most == 0 || g.runs < most)
}

// errBudget is returned when the retry budget allows no further arrival.
var errBudget = ErrNotRun.NewSubtype("budget")

// spend draws on the retry budget for an arrival beyond the first. Each arrival
// counts, also one that is refused, but for the first prefill that an endpoint
// accepts; behind gates only losses count, see lossAllowed. The caller must tell
// arrived or computed how it ended.
//
// A prefill that is lost or refused is followed by
// another endpoint, which counts as a second arrival. It shows, when many are
// lost, as more arrivals than the platform allows. The guard holds because what
// is free is only known, and only given back, when it was accepted.
func (g *generationRun) spend() error {
	if err := g.r.refusePoison(g.c); err != nil {
		return err
	}
	if g.sent > 0 && !g.pay() {
		return errBudget.New("the retry budget is used up")
	}
	g.sent++
	return nil
}

// pay pays for one arrival beyond the first, with what was paid ahead if there is
// anything.
func (g *generationRun) pay() bool {
	switch {
	case g.r.gated():
		return true
	case g.paid:
		g.paid = false
		return true
	}
	return g.r.budget(g.c.Service.Name).Retry(time.Now())
}

// payAhead pays for the decode endpoint's arrival before a prompt is computed for
// it, if that arrival will not be the first. What is not used in the end is lost:
// given back late it would count in another window.
//
// Many answers are lost, so that the retry budget is used
// up all the time. A prompt that is computed again and then has no arrival left is
// computed in vain, and its caller is refused all the same.
func (g *generationRun) payAhead() bool {
	if g.r.gated() || !g.prefilled {
		return true // the first accepted prefill is free and gives back what it drew
	}
	g.paid = g.paid || g.r.budget(g.c.Service.Name).Retry(time.Now())
	return g.paid
}

// arrived takes back what spend drew for an endpoint that took no connection.
//
// A third of the engines crash in the same second and
// stay published for seconds. Each entry meets each of them; counted as
// arrivals, these would use up the retry budget at once, and drafts whose
// prompts are computed already would be refused.
func (g *generationRun) arrived(err error) {
	if errorx.IsOfType(err, ErrUnreachable) {
		g.giveBack()
	}
}

// computed notes an accepted prefill, the first of which is free.
func (g *generationRun) computed() {
	if !g.prefilled {
		g.prefilled = true
		g.giveBack()
	}
}

func (g *generationRun) giveBack() {
	g.sent--
	if g.sent > 0 && !g.r.gated() {
		g.r.budget(g.c.Service.Name).Give(time.Now())
	}
}

// attempt makes one try: choose, reserve, prefill, decode.
func (g *generationRun) attempt(ctx context.Context) error {
	if err := g.r.refusePoison(g.c); err != nil {
		return err // before it waits for room
	}
	a, err := g.admit(ctx)
	if err != nil {
		return err
	}
	defer a.end()
	start := Start{After: g.after, Reservation: a.reservation}
	start.Result, err = g.result(ctx, a)
	if err != nil {
		g.release(start.Reservation)
		return err
	}
	before := g.after
	err = g.decode(ctx, a, start)
	if err != nil && errorx.IsOfType(err, ErrNotRun) {
		g.release(start.Reservation)
		g.kept = start.Result
	}
	if err != nil && start.Result != nil && g.kept == nil && g.after == before {
		g.wasted(start.Result)
	}
	if start.Result != nil && ctx.Err() != nil {
		// The caller left; a result that was taken is not there any more.
		g.r.endpoints.Drop(start.Result)
		g.kept = nil
	}
	return err
}
