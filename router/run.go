package router

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/estimate"
)

// run is one attempt at a decode endpoint: what it was sent and what is learned
// from the time to its first event.
type run struct {
	g  *generationRun
	at *Endpoint
	w  *watch
	// work is the memory counted there, prompt the prefill that the endpoint
	// does itself.
	work, prompt *Work
	// warm: the endpoint probably caches the prompt; result is the computed
	// prompt, or nil.
	warm   bool
	result *Result
	sent   time.Time
	// tokens are those of the prompt and of prompts waiting there before it.
	tokens int
	begun  bool
}

// stream delivers events until the whole end.
func (u *run) stream(ctx context.Context, s Stream) error {
	g := u.g
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
		if u.givenUp() {
			return ErrLost.New("the first event came after the attempt was given up")
		}
		u.first()
		u.w.rest()
		if err := g.deliver(ctx, s, ev, u.at); err != nil {
			return err
		}
		u.heard()
	}
}

// givenUp reports whether the attempt was ended before the caller got anything.
//
// An event is read that was on its way when the attempt
// was ended, and the answer begins for want of anything more to come. It shows as
// an answer that is cut in the middle instead of a failure or another attempt. The
// guard holds because nothing begins after the verdict.
func (u *run) givenUp() bool { return !u.g.begun && u.w.verdict() != undecided }

// heard notes an event.
func (u *run) heard() {
	u.prompt.End()
	u.work.Grow(Load{KV: u.g.c.stride()})
	if u.g.mayFollow() {
		u.w.heard(u.g.eventLimits(u.at))
	} else {
		u.w.stop()
	}
}

// first learns from the first event.
func (u *run) first() {
	if u.begun {
		return
	}
	u.begun = true
	u.learn(func(m *estimate.Engines, took time.Duration) {
		if u.result != nil {
			m.Begun(u.far(), took)
			return
		}
		m.BegunAlone(u.tokens, took)
	})
}

// lost learns from an attempt that hung before its first event.
func (u *run) lost() {
	if u.begun || u.w.verdict() != hanging {
		return
	}
	u.learn(func(m *estimate.Engines, took time.Duration) {
		if u.result != nil {
			m.BeginLost(u.far(), took)
			return
		}
		m.AloneLost(u.tokens, took)
	})
}

// learn changes the model of the service's engines. A cached prompt tells
// nothing of the usual time.
func (u *run) learn(change func(m *estimate.Engines, took time.Duration)) {
	if u.warm || u.g.r.gated() {
		return
	}
	took := time.Since(u.sent)
	u.g.r.loads.Learn(u.g.c.Service, func(m *estimate.Engines) { change(m, took) })
}

// unsent tells what a watch ended while the connection still stood not: the
// endpoint was not even asked.
//
// An engine went dark and takes no connection. The
// watch finds out sooner than the dial gives up, and what was never sent counts
// as an arrival, or as a run that may not be repeated. It shows as refusals for
// want of retries. The guard holds because such an attempt is told apart by its
// error.
func unsent(found func() verdict, err error) error {
	if found() != undecided && errorx.IsOfType(err, ErrNotRun) && !errorx.IsOfType(err, ErrUnreachable) {
		return ErrUnreachable.Wrap(err, "given up while connecting")
	}
	return err
}

func (u *run) far() bool { return u.result.Endpoint.DataCentre != u.at.DataCentre }
