package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/estimate"
	"ebonypulley/poison"
)

// decode streams the answer from the decode endpoint.
func (g *generationRun) decode(ctx context.Context, a admission, start Start) error {
	p := a.placement
	if !g.r.usable(p.decode) {
		g.tried[p.decode.ID] = true
		return ErrUnreachable.New("endpoint %s left during the prefill", p.decode.ID)
	}
	if err := g.chargeArrival(); err != nil {
		return err
	}
	g.announceVersion(p.decode)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := g.r.startWatchdog(p.decode, stepLimits(g.timeToFirstEvent(p, start), g.callerTimeLeft(time.Now())), cancel)
	defer w.stop()
	start.Connected = func() { g.onConnected(w) }
	err := g.asUnreachable(w.verdict, g.exchange(attemptCtx, p, start, w, a.work))
	g.settleArrival(err)
	a.permits.decode.markSent(err)
	if !errorx.IsOfType(err, ErrNotRun) {
		g.runs++
	}
	if err != nil {
		return g.decodeFailed(ctx, p.decode, w.verdict(), err)
	}
	g.r.loads.RecordSuccess(time.Now(), p.decode.ID)
	return nil
}

// onConnected stops the watchdog of a run that neither this entry nor the caller may
// repeat elsewhere.
//
// Abandoning such a run gains nothing, and the watchdog can be wrong: while a small VM
// applies thousands of new routes, its process may be too busy to read the engine's
// answer to a health probe in time, and would truncate an answer that the engine still
// generates. Before the connection is established, an unreachable engine is still
// replaced by another; afterwards the kernel's keep-alive detects a VM that is gone.
func (g *generationRun) onConnected(w *watchdog) {
	if !g.c.Route.Resumable {
		w.stop()
	}
}

// timeToFirstEvent estimates the time from sending a generation to its first event.
func (g *generationRun) timeToFirstEvent(p placement, start Start) estimate.Duration {
	if start.Result == nil {
		return p.firstEvent
	}
	m := g.r.loads.EngineModel(g.c.Service)
	return m.HandoffTime(start.Result.Endpoint.DataCentre != p.decode.DataCentre, g.c.slo())
}

// eventLimits returns the silence limits for the next event of a stream that may continue
// elsewhere. A live engine is abandoned only when there is just enough time for another
// one to send an event before the caller disconnects.
func (g *generationRun) eventLimits(at *Endpoint) silenceLimits {
	m := g.r.loads.EngineModel(g.c.Service)
	v := g.r.loads.View(time.Now(), at.ID)
	gap := m.EventGap(v.Decodes, g.c.slo()).Scale(v.StepSlowdown)
	l := silenceLimits{probeAfter: max(2*gap.UpperBound(), minProbeAfter)}
	another := m.LocalPrefillTTFT(g.c.PromptTokens, g.c.PromptTokens, g.c.slo()).UpperBound()
	l.giveUpAfter = max(g.silenceTimeout()-another, hangFactor*l.probeAfter, streamGoneAfter)
	l.goneAfter = min(streamGoneAfter, l.giveUpAfter)
	return l
}

// callerTimeLeft returns how much longer the caller waits for an event.
func (g *generationRun) callerTimeLeft(now time.Time) time.Duration {
	since := g.c.ReceivedAt
	if !g.lastEventAt.IsZero() {
		since = g.lastEventAt
	}
	return since.Add(g.silenceTimeout()).Sub(now)
}

// silenceTimeout returns the silence after which the caller disconnects.
func (g *generationRun) silenceTimeout() time.Duration {
	if p := g.c.Route.SilenceTimeout; p > 0 {
		return p
	}
	return silenceTimeoutTargets * g.c.Route.LatencyTarget
}

// silenceTimeoutTargets is the silence after which callers disconnect, in latency
// targets, if the route does not say.
const silenceTimeoutTargets = 4

// exchange starts the generation and delivers its events. If the endpoint prefills the
// prompt itself, that counts as its work until the first event.
func (g *generationRun) exchange(ctx context.Context, p placement, start Start, w *watchdog, work *Work) error {
	run := &decodeAttempt{g: g, endpoint: p.decode, watchdog: w, work: work, warm: p.warm, result: start.Result, sentAt: time.Now(), survived: poison.Beginning - 1}
	run.prefillTokens = g.r.loads.View(run.sentAt, p.decode.ID).PrefillTokens + g.c.PromptTokens
	run.prefillWork = g.r.loads.Begin(p.decode.ID, Load{})
	if start.Result == nil {
		run.prefillWork.Grow(Load{PrefillTokens: g.c.PromptTokens})
	}
	defer run.prefillWork.End()
	s, err := g.r.endpoints.Generate(ctx, p.decode, g.c, start)
	g.r.recordSent(ctx, p.decode, run.sentAt, g.c, &g.arrivals, err)
	at := run.sentAt
	if err == nil {
		g.recordArrival()
		defer s.Close()
		at = time.Now() // the head shows that it runs
		err = run.stream(ctx, s)
	}
	run.learnTimeout()
	if ctx.Err() == nil || w.verdict() == gone {
		g.r.recordIfCrashed(g.c, poison.Attempt{Lasted: time.Since(at), Ran: run.progress.Ran()}, run.progress, p.decode, err)
	}
	return err
}

// decodeFailed records a failed attempt in the endpoint's health and returns its final
// error.
func (g *generationRun) decodeFailed(ctx context.Context, e *Endpoint, v verdict, err error) error {
	g.warm = g.stillWarm(e, v, err)
	g.tried[e.ID] = g.warm == nil
	switch {
	case v != undecided:
		g.r.loads.RecordUnresponsive(time.Now(), e.ID)
		if errorx.IsOfType(err, ErrNotRun) {
			return err // it was refused or not sent
		}
		return ErrLost.Wrap(err, "endpoint %s stopped responding", e.ID)
	case ctx.Err() != nil || errorx.IsOfType(err, ErrCallerGone):
	case unanswered(err):
		g.r.avoid(time.Now(), e, err)
	default:
		g.r.loads.RecordFailure(time.Now(), e.ID)
	}
	return err
}

// stillWarm returns the endpoint of a stream that broke off if the next attempt should go
// to it again, or nil.
//
// Connections are reset in the middle of answers while their engines keep running. Such
// an engine still caches the prompt, so that resuming there needs no prefill.
func (g *generationRun) stillWarm(e *Endpoint, v verdict, err error) *Endpoint {
	if g.r.usesAgents() || g.warm != nil || v != undecided || !errorx.IsOfType(err, ErrLost) || !g.begun {
		return nil
	}
	return e
}

// mayContinueElsewhere reports whether the current run may be followed by another one.
//
// If not, a long silence must not end it: an engine may preempt an answer for longer than
// the silence limits, and the caller would get a truncated answer from a healthy engine.
// Such a run ends with the caller's timeout, or by the kernel's keep-alive when the
// engine's VM is gone.
func (g *generationRun) mayContinueElsewhere() bool {
	maxAttempts := g.c.Route.MaxAttempts
	return g.resumable() && (maxAttempts == 0 || g.runs+1 < maxAttempts)
}

// begin delivers the head once. A resumed answer keeps its first head.
func (g *generationRun) begin(s Stream) error {
	if g.begun {
		return nil
	}
	g.begun = true
	g.policy.begun = true
	g.ttft = time.Since(g.c.ReceivedAt)
	g.r.metrics.Histogram("ttft." + g.c.class()).Record(g.ttft)
	return g.sink.Begin(s.Head())
}

// deliver passes on an event unless the caller has it already. Event numbers decide,
// because an endpoint may repeat events after a resume.
func (g *generationRun) deliver(ctx context.Context, s Stream, ev Event, at *Endpoint) error {
	if ev.Number != NoEvent && ev.Number <= g.lastEvent {
		return nil
	}
	g.fixVersion(at)
	if err := g.begin(s); err != nil {
		return err
	}
	if err := g.send(ctx, ev); err != nil {
		return err
	}
	g.recordGap(ev, at)
	switch {
	case ev.Number != NoEvent:
		g.lastEvent, g.unplaced = ev.Number, false
	case ev.Data:
		g.unplaced = true
	}
	return nil
}

// send passes an event to the caller. With agents it blocks while the caller is slow.
func (g *generationRun) send(ctx context.Context, ev Event) error {
	if g.r.usesAgents() {
		return g.sink.Event(ev)
	}
	if g.delivery == nil {
		g.delivery = newDelivery(g.sink, g.r.set.Budget)
	}
	return g.delivery.put(ctx, ev)
}

// recordGap records the gap between two events divided by the difference of their
// numbers. Where events are numbered by token, that is the time between tokens.
func (g *generationRun) recordGap(ev Event, at *Endpoint) {
	now := time.Now()
	g.events++
	if !g.lastEventAt.IsZero() && ev.Number > g.lastEvent {
		g.gap = now.Sub(g.lastEventAt)
		g.longestGap = max(g.longestGap, g.gap)
		g.r.metrics.Histogram("tbt." + g.c.class()).Record(g.gap / time.Duration(max(ev.Number-max(g.lastEvent, 0), 1)))
	}
	g.lastEventAt = now
	g.learnGap(now, at)
}

// learnGap updates the engine estimates with the last gap, if a prefill was in progress
// at both ends of it or at neither. Otherwise it is unknown whether the prefill slowed it
// down.
func (g *generationRun) learnGap(now time.Time, at *Endpoint) {
	if g.r.usesAgents() {
		return
	}
	v := g.r.loads.View(now, at.ID)
	before := g.interfered
	g.interfered = v.PrefillTokens > 0
	if g.gap <= 0 || g.events < 2 || before != g.interfered {
		return
	}
	if !g.interfered {
		g.r.loads.RecordGap(now, at, g.c.Service, v.Decodes, g.gap)
		return
	}
	g.r.loads.UpdateModel(g.c.Service, func(m *estimate.EngineModel) {
		m.RecordGapWithPrefill(v.Decodes, time.Duration(float64(g.gap)/v.StepSlowdown))
	})
}
