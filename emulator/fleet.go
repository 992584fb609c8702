package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"ebonypulley/router"
)

// dataCentres is the number of data centres that engines are spread over.
const dataCentres = 3

func dataCentreName(n int) string { return fmt.Sprintf("dc-%d", n) }

// roundTrip is the network time of a request to an engine and its answer.
const roundTrip = 2 * time.Millisecond

// Fleet is a set of emulated engines of one service, with an optional plain service beside it.
// It implements router.EndpointClient.
type Fleet struct {
	Service *router.Service
	// OnStageChange is called when an engine has changed its stage or restarted.
	OnStageChange func()

	spec *EngineSpec
	mu   sync.Mutex
	// engines holds the running engines by the endpoint ID of their incarnation.
	engines map[string]*engine
	// engineEndpoints holds the endpoint of each engine by index. A crashed engine keeps its
	// endpoint until its next incarnation runs.
	engineEndpoints []*router.Endpoint
	slowMoments     SlowMoments
	// frozenUntil is when frozen endpoints go on, by endpoint ID.
	frozenUntil map[string]time.Time
	// poison holds the content hashes of calls that crash engines.
	poison map[uint64]bool
	// poisonParts holds the parts of prompts that crash engines.
	poisonParts map[uint64]bool
	// PoisonEvents is how many events engines write before poison calls crash them, unless the answer
	// is shorter.
	PoisonEvents int64
	// PoisonTime, if set, is how long after their first event poison calls crash engines instead, whether
	// or not their answers are complete.
	PoisonTime time.Duration
	// PlainService is nil if there is no plain service; plainEndpoints are its endpoints.
	PlainService   *router.Service
	plainEndpoints []*router.Endpoint
	// limits holds the limits that endpoints advertise in their answers.
	limits map[string]router.RequestLimit
	// arrivals are the requests sent by the entries of a Cluster.
	arrivals []Arrival
	// plainCalls counts plain calls; each failEvery-th of them fails.
	plainCalls, failEvery int
	// Crashes are the crashes of engines, and PoisonArrivals the arrivals of poison calls, both
	// in order.
	Crashes        []Crash
	PoisonArrivals []PoisonArrival
	// PrefillTokens counts the prompt tokens of prefills that engines were asked for.
	PrefillTokens int
	// RefusedResults counts the generations with a prefill result that engines had no room for.
	RefusedResults int
}

var _ router.EndpointClient = (*Fleet)(nil)

// NewFleet returns a fleet of engines, the first of which begin in the prefill stage. The steps
// of the engines in slow, by index, take that factor longer.
func NewFleet(spec *EngineSpec, engines, prefills int, slow map[int]float64) *Fleet {
	f := &Fleet{
		Service: &router.Service{Name: "llm", Engine: &router.Engine{
			Slots: spec.Slots, KVCapacity: spec.KVCapacity, Stride: spec.Stride, ResultTTL: spec.ResultTTL,
			LocalPrefillSlowdown: decodePrefillSlowdown, StageSwitchTime: spec.StageSwitchTime,
		}},
		OnStageChange: func() {},
		spec:          spec,
		engines:       make(map[string]*engine),
		poison:        make(map[uint64]bool),
		poisonParts:   make(map[uint64]bool),
		limits:        make(map[string]router.RequestLimit),
	}
	for i := range engines {
		role, slowdown := router.Decode, 1.0
		if i < prefills {
			role = router.Prefill
		}
		if factor := slow[i]; factor > 0 {
			slowdown = factor
		}
		id := fmt.Sprintf("e%02d", i)
		f.engineEndpoints = append(f.engineEndpoints, &router.Endpoint{ID: id, Addr: id, Service: "llm", DataCentre: dataCentreName(i % dataCentres), Slots: spec.Slots})
		f.startEngine(i, role, slowdown)
	}
	return f
}

func (f *Fleet) Services() []*router.Service {
	list := []*router.Service{f.Service}
	if f.PlainService != nil {
		list = append(list, f.PlainService)
	}
	return list
}

// Endpoints returns the plain endpoints, and the engines with their current stages.
func (f *Fleet) Endpoints() []*router.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*router.Endpoint, 0, len(f.engineEndpoints)+len(f.plainEndpoints))
	list = append(list, f.plainEndpoints...)
	for _, e := range f.engineEndpoints {
		now := *e
		if engine := f.engines[e.ID]; engine != nil {
			now.Role = engine.currentRole()
		}
		list = append(list, &now)
	}
	return list
}

func (e *engine) currentRole() router.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Reserve implements router.EndpointClient.
func (f *Fleet) Reserve(_ context.Context, e *router.Endpoint, _ *router.Call, req router.ReserveRequest) (*router.Reservation, error) {
	time.Sleep(roundTrip)
	engine, err := f.lookup(e)
	if err != nil {
		return nil, err
	}
	id := engine.reserve(req.Tokens, req.Hold)
	if id == 0 {
		return nil, router.ErrNotRun.New("%s has not enough free KV memory", e.ID)
	}
	return &router.Reservation{Endpoint: e, Handle: id}, nil
}

// Release implements router.EndpointClient.
func (f *Fleet) Release(r *router.Reservation) {
	if engine, err := f.lookup(r.Endpoint); err == nil {
		engine.release(r.Handle.(int))
	}
}

// Prefill implements router.EndpointClient.
func (f *Fleet) Prefill(ctx context.Context, e *router.Endpoint, c *router.Call) (*router.PrefillResult, error) {
	engine, err := f.lookup(e)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.PrefillTokens += c.PromptTokens
	f.mu.Unlock()
	f.recordPoisonArrival(c, e)
	j := &job{ctx: ctx, promptTokens: c.PromptTokens, prefillLeft: c.PromptTokens, done: make(chan error, 1)}
	if !engine.submit(j, router.Prefill, 0) {
		return nil, router.ErrNotRun.New("%s does not accept prefills", e.ID)
	}
	select {
	case <-j.done:
		time.Sleep(roundTrip)
		return &router.PrefillResult{Endpoint: e, Expiry: time.Now().Add(f.spec.ResultTTL)}, nil
	case <-engine.down:
		return nil, router.ErrBroken.New("%s crashed", e.ID)
	case <-ctx.Done():
		return nil, router.ErrLost.Wrap(ctx.Err(), "prefill at %s", e.ID)
	}
}

// Drop implements router.EndpointClient.
func (f *Fleet) Drop(*router.PrefillResult) {}

// Cached implements router.EndpointClient: nothing is cached.
func (f *Fleet) Cached(context.Context, *router.Endpoint) (map[string]bool, error) { return nil, nil }

// Running implements router.EndpointClient.
func (f *Fleet) Running(context.Context, *router.Endpoint) ([]string, error) { return nil, nil }

// Probe implements router.EndpointClient.
func (f *Fleet) Probe(_ context.Context, e *router.Endpoint) error {
	time.Sleep(roundTrip)
	_, err := f.lookup(e)
	return err
}

// Order implements router.EndpointClient.
func (f *Fleet) Order(_ context.Context, e *router.Endpoint, to router.Role, _ uint64) error {
	engine, err := f.lookup(e)
	if err == nil {
		engine.switchStage(to, func() { f.OnStageChange() })
	}
	return err
}

// Generate implements router.EndpointClient.
func (f *Fleet) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	engine, err := f.lookup(e)
	if err != nil {
		return nil, err
	}
	f.recordPoisonArrival(c, e)
	part := f.poisonPart(c.PromptParts)
	j := &job{ctx: ctx, contentHash: c.ContentHash, poison: part != 0 || f.isPoison(c.ContentHash), poisonPart: part, crashAfter: f.PoisonEvents, crashTime: f.PoisonTime, promptTokens: c.PromptTokens, prefillLeft: c.PromptTokens, answerTokens: c.LengthHint, events: make(chan int64, c.LengthHint/f.spec.Stride+2)}
	if s.Result != nil {
		if time.Now().After(s.Result.Expiry) {
			return nil, router.ErrNotRun.New("the prefill result has expired")
		}
		time.Sleep(f.spec.transferTime(c.PromptTokens))
		j.prefillLeft = 0
	}
	reservation := 0
	if s.Reservation != nil {
		reservation = s.Reservation.Handle.(int)
	}
	time.Sleep(f.spec.FirstTokenDelay)
	if !engine.submit(j, router.Decode, reservation) {
		f.countRefusedResult(s.Result != nil)
		return nil, router.ErrNotRun.New("%s is full", e.ID)
	}
	return &stream{job: j, down: engine.down}, nil
}

// PrefillTokensSoFar returns PrefillTokens while the fleet runs.
func (f *Fleet) PrefillTokensSoFar() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.PrefillTokens
}

func (f *Fleet) countRefusedResult(withResult bool) {
	if !withResult {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.RefusedResults++
}

// stream implements router.Stream.
type stream struct {
	*job
	down chan struct{}
}

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
	case <-s.down:
		return router.Event{}, router.ErrBroken.New("unexpected EOF")
	case <-s.ctx.Done():
		return router.Event{}, router.ErrLost.Wrap(s.ctx.Err(), "stream")
	}
}
