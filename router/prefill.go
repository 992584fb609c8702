package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
)

const (
	// prefillPatience is how much longer than estimated a prefill may take
	// before the endpoint counts as silent: soon enough for another one to be
	// on time.
	prefillPatience = 450 * time.Millisecond
	// resultMargin is the life that a prefill result must have left.
	resultMargin = 30 * time.Millisecond
)

// prefill computes the prompt at the prefill endpoint of a way.
func (g *generationRun) prefill(ctx context.Context, p placement) (*Result, error) {
	r, c := g.r, g.c
	if err := g.spend(&g.prefills); err != nil {
		return nil, err
	}
	began := time.Now()
	ahead := r.loads.View(began, p.prefill.ID).Prefill
	work := r.loads.Begin(p.prefill.ID, Load{Prefill: c.Prompt})
	defer work.End()
	stage, cancel := g.prefillTime(ctx, p)
	defer cancel()
	res, err := r.endpoints.Prefill(stage, p.prefill, c)
	g.arrived(&g.prefills, err)
	took := time.Since(began)
	if err != nil {
		g.tried[p.prefill.ID] = true
		r.learn(stage, p.prefill, nil, err, took)
		return nil, prefillError(p.prefill, err)
	}
	r.loads.Prefilled(time.Now(), p.prefill.ID, ahead+c.Prompt, took)
	return res, nil
}

// prefillError says what became of a prefill without a result.
func prefillError(e *Endpoint, err error) error {
	switch {
	case errorx.IsOfType(err, ErrAbsent):
		return ErrAbsent.Wrap(err, "prefill at %s", e.ID)
	case errorx.IsOfType(err, ErrUnreachable):
		return ErrUnreachable.Wrap(err, "prefill at %s", e.ID)
	case errorx.IsOfType(err, ErrNotRun):
		return advised(errPrefill.Wrap(err, "prefill at %s", e.ID), err)
	default:
		return errPrefillLost.Wrap(err, "prefill at %s", e.ID)
	}
}

// prefillTime bounds a prefill; a gate watches its engine itself.
func (g *generationRun) prefillTime(ctx context.Context, p placement) (context.Context, context.CancelFunc) {
	if g.r.gated() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, 2*p.first+prefillPatience)
}

var (
	// errPrefill is returned when a prefill brought no result. A prefill is no
	// run, whatever became of it.
	errPrefill = ErrNotRun.NewSubtype("prefill")
	// errPrefillLost is an errPrefill that was not refused but lost.
	errPrefillLost = errPrefill.NewSubtype("lost")
)

func (g *generationRun) release(res *Reservation) {
	if res != nil {
		g.r.endpoints.Release(res)
	}
}

// result returns the prompt's KV cache for a way with a prefill: a kept one
// or a new one.
func (g *generationRun) result(ctx context.Context, p placement) (*Result, error) {
	kept := g.kept
	g.kept = nil
	if kept != nil {
		g.r.metrics.Add("reused_results", 1)
		return kept, nil
	}
	if p.prefill == nil {
		return nil, nil
	}
	return g.prefill(ctx, p)
}

// dropKept frees a kept result that no attempt took.
func (g *generationRun) dropKept() {
	if g.kept == nil {
		return
	}
	g.wasted(g.kept)
	g.r.endpoints.Drop(g.kept)
	g.kept = nil
}

// expireKept frees a kept result that won't live long enough to be used.
func (g *generationRun) expireKept(now time.Time) {
	if g.kept != nil && g.kept.Expiry.Sub(now) < resultMargin {
		g.dropKept()
	}
}

// wasted counts a prompt that was computed in vain.
func (g *generationRun) wasted(res *Result) {
	g.r.metrics.Add("wasted_prefill_tokens", int64(g.c.Prompt))
	g.r.log.Emit(event.ResultWasted, zap.String("request", g.c.ID), zap.String("endpoint", res.Endpoint.ID))
}
