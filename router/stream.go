package router

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// stagePatience is how much longer than estimated a first event may take
	// before the endpoint counts as silent: soon enough for another one to be
	// on time.
	stagePatience = 900 * time.Millisecond
	// eventPatience is the longest pause between two events of a stream that
	// is waited for; callers give up after about 3 s.
	eventPatience = 1500 * time.Millisecond
)

// decode streams the answer from the decode endpoint.
func (g *generationRun) decode(ctx context.Context, p placement, start Start, work *Work) error {
	if !g.r.usable(p.decode) {
		g.tried[p.decode.ID] = true
		return ErrUnreachable.New("%s left during the prefill", p.decode.ID)
	}
	if err := g.spend(&g.decodes); err != nil {
		return err
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := g.watch(p, start, cancel)
	defer silence.stop()
	err := g.exchange(attempt, p, start, silence, work)
	g.arrived(&g.decodes, err)
	if !errorx.IsOfType(err, ErrNotRun) {
		g.runs++
	}
	if err != nil {
		return g.decodeFailed(ctx, attempt, p.decode, err)
	}
	g.r.loads.Succeeded(time.Now(), p.decode.ID, 0)
	return nil
}

// silence ends an attempt whose endpoint brings nothing for too long; nil
// waits for ever.
type silence struct{ timer *time.Timer }

// watch starts to wait for the first event. A gate watches its engine itself.
func (g *generationRun) watch(p placement, start Start, end func()) *silence {
	if g.r.gated() {
		return nil
	}
	return &silence{time.AfterFunc(firstPatience(p, start), end)}
}

// heard tells of an event; the next one is waited for.
func (s *silence) heard() {
	if s != nil {
		s.timer.Reset(eventPatience)
	}
}

func (s *silence) stop() {
	if s != nil {
		s.timer.Stop()
	}
}

// firstPatience is how long a decode endpoint may take for its first event.
func firstPatience(p placement, start Start) time.Duration {
	if start.Result == nil {
		return stagePatience + 2*p.first
	}
	return stagePatience
}

// exchange starts the generation and delivers its events. An endpoint that
// computes the prompt itself counts as busy with it until the first event.
func (g *generationRun) exchange(ctx context.Context, p placement, start Start, quiet *silence, work *Work) error {
	prompt := g.r.loads.Begin(p.decode.ID, Load{})
	if start.Result == nil {
		prompt.Grow(Load{Prefill: g.c.Prompt})
	}
	defer prompt.End()
	s, err := g.r.endpoints.Generate(ctx, p.decode, g.c, start)
	if err != nil {
		return err
	}
	defer s.Close()
	return g.stream(s, p.decode, quiet, prompt, work)
}

// decodeFailed records what a failed attempt shows of its endpoint. Attempt
// has ended and ctx has not if the endpoint was silent.
func (g *generationRun) decodeFailed(ctx, attempt context.Context, e *Endpoint, err error) error {
	g.warm = g.stillWarm(attempt, e, err)
	g.tried[e.ID] = g.warm == nil
	switch {
	case ctx.Err() != nil || errorx.IsOfType(err, ErrCaller):
	case attempt.Err() != nil:
		g.r.loads.Silent(time.Now(), e.ID)
		return ErrLost.Wrap(err, "%s was silent", e.ID)
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
// Load pattern answered: connections are reset in the middle of answers while
// their engines live. Such an engine still caches the prompt, so that going on
// there costs no prefill.
func (g *generationRun) stillWarm(attempt context.Context, e *Endpoint, err error) *Endpoint {
	if g.r.gated() || g.warm != nil || attempt.Err() != nil || !errorx.IsOfType(err, ErrLost) || !g.begun {
		return nil
	}
	return e
}

// stream delivers events until the whole end.
func (g *generationRun) stream(s Stream, at *Endpoint, quiet *silence, prompt, work *Work) error {
	if a := s.Failed(); a != nil {
		g.failed = a
		return errFailed.New("the endpoint reports a failure")
	}
	for {
		ev, err := s.Next()
		if err == io.EOF {
			return g.begin(s)
		}
		if err != nil {
			return err
		}
		if g.mayFollow() {
			quiet.heard()
		} else {
			quiet.stop()
		}
		prompt.End()
		work.Grow(Load{KV: g.c.stride()})
		if err := g.deliver(s, ev, at); err != nil {
			return err
		}
	}
}

// mayFollow reports whether the present run may be followed by another.
//
// Failure guarded against: an engine preempts an answer for longer than its
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
func (g *generationRun) deliver(s Stream, ev Event, at *Endpoint) error {
	if ev.Number != NoNumber && ev.Number <= g.after {
		return nil
	}
	if err := g.begin(s); err != nil {
		return err
	}
	if err := g.sink.Event(ev); err != nil {
		return err
	}
	g.paced(ev, at)
	if ev.Number != NoNumber {
		g.after = ev.Number
	}
	return nil
}

// learnPace compares the pause before an event with the usual one, if the
// engine computed no prompt meanwhile.
func (g *generationRun) learnPace(now time.Time, at *Endpoint) {
	if g.r.gated() {
		return
	}
	v := g.r.loads.View(now, at.ID)
	clean := g.clean && v.Prefill == 0
	g.clean = v.Prefill == 0
	if clean && g.pause > 0 {
		g.r.loads.Paced(now, at.ID, float64(g.pause)/float64(eventTime(g.c, v)))
	}
}

// paced records the time between two events, for each number that they are
// apart: the time between tokens where events are numbered by them.
func (g *generationRun) paced(ev Event, at *Endpoint) {
	now := time.Now()
	if !g.last.IsZero() && ev.Number > g.after {
		pause := now.Sub(g.last)
		g.pause = pause
		g.longest = max(g.longest, pause)
		g.r.metrics.Histogram("tbt." + g.c.class()).Record(pause / time.Duration(ev.Number-max(g.after, 0)))
	}
	g.last = now
	g.learnPace(now, at)
}
