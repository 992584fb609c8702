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
		return ErrUnreachable.New("%s left during the prefill", p.decode.ID)
	}
	if err := g.spend(); err != nil {
		return err
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	w := g.r.watch(p.decode, usual(g.untilFirst(p, start), g.callerLeft(time.Now())), cancel)
	defer w.stop()
	start.Connected = func() { g.connected(w) }
	err := unsent(w.verdict, g.exchange(attempt, p, start, w, a.work))
	g.arrived(err)
	a.permits.decode.sent(err)
	if !errorx.IsOfType(err, ErrNotRun) {
		g.runs++
	}
	if err != nil {
		return g.decodeFailed(ctx, p.decode, w.verdict(), err)
	}
	g.r.loads.Succeeded(time.Now(), p.decode.ID)
	return nil
}

// connected ends the watch of a run that neither this entry nor the caller may
// follow by another.
//
// Thousands of routes come into force on a small VM, and
// the process is so busy that an engine's answer to the question whether it lives
// comes too late to be read in time. It shows as a letter that is cut although its
// engine goes on. The guard holds because ending such a run gains nothing; an
// engine that takes no connection is still left for another, and one whose VM is
// gone is found by the kernel.
func (g *generationRun) connected(w *watch) {
	if !g.c.Route.Resumable {
		w.stop()
	}
}

// untilFirst estimates the time from sending a generation to its first event.
func (g *generationRun) untilFirst(p placement, start Start) estimate.Time {
	if start.Result == nil {
		return p.first
	}
	m := g.r.loads.Engines(g.c.Service)
	return m.Handoff(start.Result.Endpoint.DataCentre != p.decode.DataCentre, g.c.promise())
}

// eventLimits are how long the next event of a stream may take that can go on
// elsewhere. An engine that lives is given up only when another can just bring an
// event before the caller leaves.
func (g *generationRun) eventLimits(at *Endpoint) limits {
	m := g.r.loads.Engines(g.c.Service)
	v := g.r.loads.View(time.Now(), at.ID)
	pause := m.Pause(v.Decodes, g.c.promise()).Times(v.Pace)
	l := limits{suspect: max(2*pause.High(), suspectAfter)}
	another := m.Alone(g.c.Prompt, g.c.Prompt, g.c.promise()).High()
	l.most = max(g.patience()-another, hangFactor*l.suspect)
	return l
}

// callerLeft is how long the caller still waits for an event.
func (g *generationRun) callerLeft(now time.Time) time.Duration {
	since := g.c.Began
	if !g.last.IsZero() {
		since = g.last
	}
	return since.Add(g.patience()).Sub(now)
}

// patience is the longest silence that the caller bears.
func (g *generationRun) patience() time.Duration {
	if p := g.c.Route.Patience; p > 0 {
		return p
	}
	return patienceTargets * g.c.Route.Target
}

// patienceTargets is the silence that callers bear, in targets, where nothing
// else is known.
const patienceTargets = 4

// exchange starts the generation and delivers its events. An endpoint that
// computes the prompt itself counts as busy with it until the first event.
func (g *generationRun) exchange(ctx context.Context, p placement, start Start, w *watch, work *Work) error {
	run := &run{g: g, at: p.decode, w: w, work: work, warm: p.warm, result: start.Result, sent: time.Now()}
	run.tokens = g.r.loads.View(run.sent, p.decode.ID).Prefill + g.c.Prompt
	run.prompt = g.r.loads.Begin(p.decode.ID, Load{})
	if start.Result == nil {
		run.prompt.Grow(Load{Prefill: g.c.Prompt})
	}
	defer run.prompt.End()
	s, err := g.r.endpoints.Generate(ctx, p.decode, g.c, start)
	at, events := run.sent, g.events
	if err == nil {
		defer s.Close()
		at = time.Now() // the head tells that it runs
		err = run.stream(ctx, s)
	}
	run.lost()
	if ctx.Err() == nil || w.verdict() == gone {
		g.r.lostAt(g.c, poison.Attempt{Lasted: time.Since(at), Ran: g.events-events > startEvents}, p.decode, err)
	}
	return err
}

// decodeFailed records what a failed attempt shows of its endpoint.
func (g *generationRun) decodeFailed(ctx context.Context, e *Endpoint, v verdict, err error) error {
	g.warm = g.stillWarm(e, v, err)
	g.tried[e.ID] = g.warm == nil
	switch {
	case v != undecided:
		g.r.loads.Silent(time.Now(), e.ID)
		if errorx.IsOfType(err, ErrNotRun) {
			return err // it took no connection, see unsent
		}
		return ErrLost.Wrap(err, "%s was silent", e.ID)
	case ctx.Err() != nil || errorx.IsOfType(err, ErrCaller):
	case unanswered(err):
		g.r.avoid(time.Now(), e, err)
	default:
		g.r.loads.Failed(time.Now(), e.ID)
	}
	return err
}

// stillWarm returns the endpoint of an answer that broke off, if the next
// attempt should go there again.
//
// Connections are reset in the middle of answers while
// their engines live. Such an engine still caches the prompt, so that going on
// there costs no prefill.
func (g *generationRun) stillWarm(e *Endpoint, v verdict, err error) *Endpoint {
	if g.r.gated() || g.warm != nil || v != undecided || !errorx.IsOfType(err, ErrLost) || !g.begun {
		return nil
	}
	return e
}

// mayFollow reports whether the present run may be followed by another.
//
// An engine preempts an answer for longer than its
// events are waited for, and the answer may not go on elsewhere. It shows as an
// answer that is cut although its engine is well. The guard holds because the
// silence of such a run ends nothing; the caller's time limit does, or the
// kernel when the engine's VM is gone.
func (g *generationRun) mayFollow() bool {
	most := g.c.Route.MaxAttempts
	return g.c.Route.Resumable && (most == 0 || g.runs+1 < most)
}

// begin delivers the head once; a resumed answer keeps its first one.
func (g *generationRun) begin(s Stream) error {
	if g.begun {
		return nil
	}
	g.begun = true
	g.late.begun = true
	g.first = time.Since(g.c.Began)
	g.r.metrics.Histogram("ttft." + g.c.class()).Record(g.first)
	return g.sink.Begin(s.Head())
}

// deliver hands on an event that the caller does not have: numbers decide,
// never arrival, because an endpoint may repeat some after a resume.
func (g *generationRun) deliver(ctx context.Context, s Stream, ev Event, at *Endpoint) error {
	if ev.Number != NoNumber && ev.Number <= g.after {
		return nil
	}
	if err := g.begin(s); err != nil {
		return err
	}
	if err := g.put(ctx, ev); err != nil {
		return err
	}
	g.paced(ev, at)
	if ev.Number != NoNumber {
		g.after = ev.Number
	}
	return nil
}

// put hands an event to the caller. Behind gates it waits there while the caller is slow.
func (g *generationRun) put(ctx context.Context, ev Event) error {
	if g.r.gated() {
		return g.sink.Event(ev)
	}
	if g.out == nil {
		g.out = newDelivery(g.sink)
	}
	return g.out.put(ctx, ev)
}

// paced records the time between two events, for each number that they are
// apart: the time between tokens where events are numbered by them.
func (g *generationRun) paced(ev Event, at *Endpoint) {
	now := time.Now()
	g.events++
	if !g.last.IsZero() && ev.Number > g.after {
		g.pause = now.Sub(g.last)
		g.longest = max(g.longest, g.pause)
		g.r.metrics.Histogram("tbt." + g.c.class()).Record(g.pause / time.Duration(ev.Number-max(g.after, 0)))
	}
	g.last = now
	g.learnPause(now, at)
}

// learnPause records the last pause. Whether a prompt was computed at both its
// ends or at neither tells of which kind it is.
func (g *generationRun) learnPause(now time.Time, at *Endpoint) {
	if g.r.gated() {
		return
	}
	v := g.r.loads.View(now, at.ID)
	before := g.disturbed
	g.disturbed = v.Prefill > 0
	if g.pause <= 0 || g.events < 2 || before != g.disturbed {
		return
	}
	if !g.disturbed {
		g.r.loads.Paused(now, at, g.c.Service, v.Decodes, g.pause)
		return
	}
	g.r.loads.Learn(g.c.Service, func(m *estimate.Engines) {
		m.Disturbed(v.Decodes, time.Duration(float64(g.pause)/v.Pace))
	})
}
