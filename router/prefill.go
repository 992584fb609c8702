package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/estimate"
	"ebonypulley/event"
	"ebonypulley/poison"
)

// minResultLife is the minimum remaining lifetime of a prefill result to be used: the
// network time to an engine.
const minResultLife = 30 * time.Millisecond

// prefill computes the prompt's KV cache at the placement's prefill endpoint.
func (g *generationRun) prefill(ctx context.Context, a admission) (*PrefillResult, error) {
	r, c, p := g.r, g.c, a.placement
	if err := g.chargeArrival(); err != nil {
		return nil, err
	}
	if !g.prepayDecode() {
		g.refundArrival()
		return nil, errBudget.New("the retry budget is exhausted: no charge left to decode the prompt")
	}
	began := time.Now()
	tokens := r.loads.View(began, p.prefill.ID).PrefillTokens + c.PromptTokens
	work := r.loads.Begin(p.prefill.ID, Load{PrefillTokens: c.PromptTokens})
	defer work.End()
	prefillCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := r.startWatchdog(p.prefill, stepLimits(p.prefillTime, g.callerTimeLeft(began)), cancel)
	defer w.stop()
	res, err := r.endpoints.Prefill(prefillCtx, p.prefill, c)
	err = g.asUnreachable(w.verdict, err)
	r.recordSent(prefillCtx, p.prefill, began, c, &g.arrivals, err)
	took := time.Since(began)
	g.settlePrefill(err)
	a.permits.prefill.markSent(err)
	if err != nil {
		g.tried[p.prefill.ID] = true
		g.prefillFailed(ctx, p.prefill, tokens, took, w.verdict(), err)
		return nil, prefillError(p.prefill, err)
	}
	r.loads.RecordPrefill(time.Now(), p.prefill, c.Service, tokens, took)
	r.log.Emit(event.PrefillDone, zap.String("request", c.ID), zap.String("endpoint", p.prefill.ID),
		zap.Int("tokens", c.PromptTokens), zap.Int("ahead", tokens-c.PromptTokens), zap.Duration("took", took), zap.Duration("estimate", p.prefillTime.Mean))
	return res, nil
}

// prefillFailed records a failed prefill in the endpoint's health.
func (g *generationRun) prefillFailed(ctx context.Context, e *Endpoint, tokens int, took time.Duration, v verdict, err error) {
	now := time.Now()
	if v == hanging {
		g.r.loads.UpdateModel(g.c.Service, func(m *estimate.EngineModel) { m.RecordAbandonedPrefill(tokens, took) })
	}
	switch {
	case v != undecided:
		g.r.loads.RecordUnresponsive(now, e.ID)
	case ctx.Err() != nil:
		// The caller disconnected, which says nothing about the endpoint.
	case unanswered(err):
		g.r.avoid(now, e, err)
	default:
		g.r.loads.RecordFailure(now, e.ID)
		g.r.recordIfCrashed(g.c, poison.Attempt{Lasted: took}, poison.Progress{}, e, err)
	}
}

// prefillError classifies the error of a prefill without a result.
func prefillError(e *Endpoint, err error) error {
	switch {
	case errorx.IsOfType(err, ErrNotListening):
		return ErrNotListening.Wrap(err, "prefill at %s", e.ID)
	case errorx.IsOfType(err, ErrUnreachable):
		return ErrUnreachable.Wrap(err, "prefill at %s", e.ID)
	case errorx.IsOfType(err, ErrNotRun):
		return withAdviceOf(errPrefill.Wrap(err, "prefill at %s", e.ID), err)
	default:
		return errPrefillLost.Wrap(err, "prefill at %s", e.ID)
	}
}

var (
	// errPrefill is returned when a prefill gave no result. Nothing was generated, so the
	// generation counts as not run.
	errPrefill = ErrNotRun.NewSubtype("prefill")
	// errPrefillLost is an errPrefill of a prefill that was lost rather than refused.
	errPrefillLost = errPrefill.NewSubtype("lost")
)

func (g *generationRun) release(res *Reservation) {
	if res != nil {
		g.r.endpoints.Release(res)
	}
}

// result returns the prompt's KV cache for a placement: the kept result or a new one. It
// is nil if the decode endpoint prefills the prompt itself.
func (g *generationRun) result(ctx context.Context, a admission) (*PrefillResult, error) {
	kept := g.kept
	g.kept = nil
	if kept != nil {
		g.r.metrics.Add("reused_results", 1)
		return kept, nil
	}
	if a.prefill == nil {
		return nil, nil
	}
	return g.prefill(ctx, a)
}

// dropKept frees a kept result that no attempt used.
func (g *generationRun) dropKept() {
	if g.kept == nil {
		return
	}
	g.recordWasted(g.kept)
	g.r.endpoints.Drop(g.kept)
	g.kept = nil
}

// expireKept frees a kept result that expires too soon to be used.
func (g *generationRun) expireKept(now time.Time) {
	if g.kept != nil && g.kept.Expiry.Sub(now) < minResultLife {
		g.dropKept()
	}
}

// recordWasted records a prefill whose result was not used.
func (g *generationRun) recordWasted(res *PrefillResult) {
	g.r.metrics.Add("wasted_prefill_tokens", int64(g.c.PromptTokens))
	g.r.log.Emit(event.ResultWasted, zap.String("request", g.c.ID), zap.String("endpoint", res.Endpoint.ID))
}
