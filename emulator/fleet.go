package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"ebonypulley/router"
)

// dataCentres is the number of data centres of engines.
const dataCentres = 3

func dataCentre(n int) string { return fmt.Sprintf("dc-%d", n) }

// roundTrip is the time of a question to an engine and its answer.
const roundTrip = 2 * time.Millisecond

// Fleet is a set of emulated engines of one service; it implements
// router.Endpoints.
type Fleet struct {
	Service *router.Service
	// Changed is called when an engine has another stage.
	Changed func()

	sheet   *Sheet
	mu      sync.Mutex
	engines map[string]*engine
	list    []*router.Endpoint
	// Computed counts prompt tokens that engines were asked for.
	Computed int
	// Refused counts generations that engines had no room for, those that came
	// with a computed prompt.
	Refused int
}

var _ router.Endpoints = (*Fleet)(nil)

// NewFleet returns engines of a sheet, some of which prefill at first. The
// slow ones, each named by its number, take so many times as long.
func NewFleet(sheet *Sheet, engines, prefills int, slow map[int]float64) *Fleet {
	f := &Fleet{
		Service: &router.Service{Name: "llm", Engine: &router.Engine{
			Slots: sheet.Slots, KVTokens: sheet.KVTokens, Stride: sheet.Stride, ResultLife: sheet.ResultLife,
			PromptSlowdown: decodeSlowdown, StageSwitch: sheet.Switch,
		}},
		Changed: func() {},
		sheet:   sheet,
		engines: make(map[string]*engine),
	}
	for i := range engines {
		e := &engine{sheet: sheet, slow: 1, role: router.Decode, held: make(map[int]int)}
		if i < prefills {
			e.role = router.Prefill
		}
		if factor := slow[i]; factor > 0 {
			e.slow = factor
		}
		id := fmt.Sprintf("e%02d", i)
		f.engines[id] = e
		f.list = append(f.list, &router.Endpoint{ID: id, Addr: id, Service: "llm", DataCentre: dataCentre(i % dataCentres), Slots: sheet.Slots})
	}
	return f
}

// Endpoints returns the engines with their present stages.
func (f *Fleet) Endpoints() []*router.Endpoint {
	list := make([]*router.Endpoint, 0, len(f.list))
	for _, e := range f.list {
		now := *e
		now.Role = f.engines[e.ID].stage()
		list = append(list, &now)
	}
	return list
}

func (e *engine) stage() router.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Call implements router.Endpoints; there are no plain services.
func (f *Fleet) Call(context.Context, *router.Endpoint, *router.Call) (*router.Answer, error) {
	return nil, router.ErrNotRun.New("no plain service")
}

// Reserve implements router.Endpoints.
func (f *Fleet) Reserve(_ context.Context, e *router.Endpoint, _ *router.Call, ask router.Ask) (*router.Reservation, error) {
	time.Sleep(roundTrip)
	id := f.engines[e.ID].reserve(ask.Tokens, ask.Hold)
	if id == 0 {
		return nil, router.ErrNotRun.New("%s has no memory", e.ID)
	}
	return &router.Reservation{Endpoint: e, Handle: id}, nil
}

// Release implements router.Endpoints.
func (f *Fleet) Release(r *router.Reservation) { f.engines[r.Endpoint.ID].release(r.Handle.(int)) }

// Prefill implements router.Endpoints.
func (f *Fleet) Prefill(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.Result, error) {
	f.mu.Lock()
	f.Computed += c.Prompt
	f.mu.Unlock()
	j := &job{ctx: ctx, prompt: c.Prompt, left: c.Prompt, done: make(chan error, 1)}
	if !f.engines[e.ID].add(j, router.Prefill, 0) {
		return nil, router.ErrNotRun.New("%s refuses", e.ID)
	}
	select {
	case <-j.done:
		time.Sleep(roundTrip)
		return &router.Result{Endpoint: e, Expiry: time.Now().Add(f.sheet.ResultLife)}, nil
	case <-ctx.Done():
		return nil, router.ErrLost.Wrap(ctx.Err(), "prefill at %s", e.ID)
	}
}

// Drop implements router.Endpoints.
func (f *Fleet) Drop(*router.Result) {}

// Cached implements router.Endpoints: nothing is cached.
func (f *Fleet) Cached(context.Context, *router.Endpoint) (map[string]bool, error) { return nil, nil }

// Alive implements router.Endpoints.
func (f *Fleet) Alive(context.Context, *router.Endpoint) error {
	time.Sleep(roundTrip)
	return nil
}

// Order implements router.Endpoints.
func (f *Fleet) Order(_ context.Context, e *router.Endpoint, to router.Role, _ uint64) error {
	f.engines[e.ID].change(to, func() { f.Changed() })
	return nil
}

// Generate implements router.Endpoints.
func (f *Fleet) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	j := &job{ctx: ctx, prompt: c.Prompt, left: c.Prompt, answer: c.Hint, events: make(chan int64, c.Hint/f.sheet.Stride+2)}
	if s.Result != nil {
		if time.Now().After(s.Result.Expiry) {
			return nil, router.ErrNotRun.New("the result is gone")
		}
		time.Sleep(f.sheet.moveTime(c.Prompt))
		j.left = 0
	}
	reservation := 0
	if s.Reservation != nil {
		reservation = s.Reservation.Handle.(int)
	}
	time.Sleep(f.sheet.First)
	if !f.engines[e.ID].add(j, router.Decode, reservation) {
		f.refused(s.Result != nil)
		return nil, router.ErrNotRun.New("%s is full", e.ID)
	}
	return &stream{j}, nil
}

func (f *Fleet) refused(computed bool) {
	if !computed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Refused++
}

// stream implements router.Stream.
type stream struct{ *job }

func (s *stream) Head() any              { return nil }
func (s *stream) Failed() *router.Answer { return nil }
func (s *stream) Close()                 {}

func (s *stream) Next() (router.Event, error) {
	select {
	case n, ok := <-s.events:
		if !ok {
			return router.Event{}, io.EOF
		}
		return router.Event{Number: n}, nil
	case <-s.ctx.Done():
		return router.Event{}, router.ErrLost.Wrap(s.ctx.Err(), "stream")
	}
}
