package standin

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"ebonypulley"
	"ebonypulley/engine"
	"ebonypulley/jsonc"
)

// EngineSettings configure the timing model and the behaviour of an engine.
type EngineSettings struct {
	// MaxRequests is the number of requests that fit into memory. Default 20.
	MaxRequests int `json:"requests"`
	// StepBase is the part of a decode step's time that does not depend on the
	// batch. Default 8ms.
	StepBase jsonc.Duration `json:"step_base"`
	// StepPerRequest is added to a decode step for each request in the batch.
	// Default 500us.
	StepPerRequest jsonc.Duration `json:"step_per_request"`
	// PrefillPerToken is the prefill time for each uncached prompt token.
	// Default 60us.
	PrefillPerToken jsonc.Duration `json:"prefill_per_token"`
	// ResultTTL is how long a prefill result is kept. Default 800ms.
	ResultTTL jsonc.Duration `json:"keep_result"`
	// CacheBlocks is the size of the prefix cache in blocks. Default 4096.
	CacheBlocks int `json:"cache_blocks"`
	// EventLag is the delay with which cache events are published. Default 300ms.
	EventLag jsonc.Duration `json:"event_lag"`
	// EventLossInterval is n if every n-th cache event is lost. Default 10;
	// 0 means the default, 1 loses all.
	EventLossInterval uint64 `json:"event_gap"`
	// LoadLag is the maximum age of the reported load, which is updated at this
	// interval. Default 200ms.
	LoadLag jsonc.Duration `json:"load_lag"`
	// ChecksFence makes the engine refuse orders with an outdated fencing number.
	ChecksFence bool `json:"checks_fence"`
	// WeightStore is the URL that models are loaded from; if it is empty, they
	// load at once.
	WeightStore string `json:"weight_store"`
}

func (s *EngineSettings) setDefaults() {
	s.MaxRequests = cmp.Or(s.MaxRequests, 20)
	s.StepBase = cmp.Or(s.StepBase, jsonc.Duration(8*time.Millisecond))
	s.StepPerRequest = cmp.Or(s.StepPerRequest, jsonc.Duration(500*time.Microsecond))
	s.PrefillPerToken = cmp.Or(s.PrefillPerToken, jsonc.Duration(60*time.Microsecond))
	s.ResultTTL = cmp.Or(s.ResultTTL, jsonc.Duration(800*time.Millisecond))
	s.CacheBlocks = cmp.Or(s.CacheBlocks, 4096)
	s.EventLag = cmp.Or(s.EventLag, jsonc.Duration(300*time.Millisecond))
	s.EventLossInterval = cmp.Or(s.EventLossInterval, 10)
	s.LoadLag = cmp.Or(s.LoadLag, jsonc.Duration(200*time.Millisecond))
}

// request is a request that is in progress or that finished less than
// streamRetention ago.
type request struct {
	id           string
	generator    *Generator
	ctx          context.Context
	cancel       context.CancelFunc
	usage        engine.Usage
	max          int // maximum number of output tokens
	tokens       []string
	finishReason string // empty while in progress
	decoding     bool
	finishedAt   time.Time
	progress     chan struct{} // closed and replaced on each new token
	streams      []*openStream
}

// openStream is an open response stream; closing silenced stops its output
// for good.
type openStream struct {
	silenced chan struct{}
}

// kvExport is a prefill result that waits to be fetched by a decode engine.
type kvExport struct {
	tokens    int
	state     []byte
	expiresAt time.Time
}

// EngineStats are the counters of an engine.
type EngineStats struct {
	HeldRequests        int   `json:"held"`
	MaxHeldRequests     int   `json:"max_held"`
	HeldExports         int   `json:"kv_held"`
	PrefillTokens       int64 `json:"prefill_tokens"`
	CachedTokens        int64 `json:"cached_tokens"`
	DecodedTokens       int64 `json:"decoded_tokens"`
	ExpiredResults      int64 `json:"expired_results"`
	RefusedReservations int64 `json:"refused"`
}

// Engine simulates a model engine with continuous batching and limited memory.
type Engine struct {
	settings EngineSettings
	faults   *faultInjector
	router   *mux.Router
	client   *http.Client

	mu             sync.Mutex
	epoch          uint64
	lifetime       context.Context // cancelled by a crash
	endLifetime    context.CancelFunc
	state          engine.State
	requests       map[string]*request
	exports        map[string]*kvExport
	cache          *blockCache
	prefills       []*prefillJob
	prefillReady   chan struct{} // signals a new prefill
	decodeReady    chan struct{} // signals a new decode
	reportedLoad   engine.Load
	loadReportedAt time.Time
	stats          EngineStats
}

// NewEngine returns an engine; Run must be started before it is used. The engine
// connects to other engines and to the weight store with dial; nil means TCP.
func NewEngine(set EngineSettings, dial ebonypulley.Dialer) *Engine {
	set.setDefaults()
	e := &Engine{
		settings:     set,
		faults:       newFaultInjector(),
		router:       mux.NewRouter(),
		client:       dial.HTTPClient(false),
		prefillReady: make(chan struct{}, 1),
		decodeReady:  make(chan struct{}, 1),
	}
	e.reset()
	e.faults.hooks[FaultCrash] = e.Crash
	e.faults.hooks[FaultSilent] = e.silenceStreams
	e.routes()
	return e
}

var _ http.Handler = (*Engine)(nil)

func (e *Engine) reset() {
	e.epoch = uint64(time.Now().UnixNano())
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.state = engine.State{}
	e.requests = make(map[string]*request)
	e.exports = make(map[string]*kvExport)
	e.prefills = nil
	e.cache = newBlockCache(e.settings.CacheBlocks, e.settings.EventLag.D(), e.settings.EventLossInterval)
	e.reportedLoad = engine.Load{Capacity: e.settings.MaxRequests, Epoch: e.epoch}
	e.loadReportedAt = time.Now()
}

// Crash simulates a crash and restart: all memory is lost and all connections
// are cut.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLifetime()
	e.reset()
}

// silenceStreams stops the output of all open streams for good and leaves their
// connections open.
func (e *Engine) silenceStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.requests {
		for _, s := range r.streams {
			close(s.silenced)
		}
		r.streams = nil
	}
}

// Stats returns the current counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.HeldRequests = e.heldRequests()
	s.HeldExports = len(e.exports)
	return s
}

// InjectFault injects a fault, as POST /admin/fault does.
func (e *Engine) InjectFault(f Fault) { e.faults.inject(f) }

// heldRequests returns the number of requests in memory; finished ones take
// none. The caller holds e.mu.
func (e *Engine) heldRequests() int {
	n := 0
	for _, r := range e.requests {
		if r.finishReason == "" {
			n++
		}
	}
	return n
}

// Run runs the engine's decode and prefill loops until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	g := ebonypulley.NewGroup(ctx)
	g.Go(e.decodeLoop)
	g.Go(e.prefillLoop)
	g.Go(e.housekeeping)
	err := g.Wait()
	e.mu.Lock()
	e.endLifetime()
	e.mu.Unlock()
	e.client.CloseIdleConnections()
	return err
}

// decodeLoop generates one token for each request of the batch in each step.
func (e *Engine) decodeLoop(ctx context.Context) error {
	for {
		if !e.faults.waitWhile(ctx, FaultStall) {
			return nil
		}
		e.mu.Lock()
		batch := e.batch()
		e.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-e.decodeReady:
			}
			continue
		}
		step := e.settings.StepBase.D() + time.Duration(len(batch))*e.settings.StepPerRequest.D()
		if !ebonypulley.Sleep(ctx, scale(step, e.faults.slowdown())) {
			return nil
		}
		if e.faults.active(FaultStall) {
			continue
		}
		e.mu.Lock()
		for _, r := range batch {
			e.decodeToken(r)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) batch() []*request {
	var batch []*request
	for _, r := range e.requests {
		if r.decoding && r.finishReason == "" {
			batch = append(batch, r)
		}
	}
	return batch
}

func (e *Engine) decodeToken(r *request) {
	if r.ctx.Err() != nil || r.finishReason != "" {
		return
	}
	token, ok := r.generator.Next()
	switch {
	case !ok:
		e.finish(r, FinishStop)
	default:
		e.stats.DecodedTokens++
		r.tokens = append(r.tokens, token)
		if len(r.tokens) >= r.max {
			e.finish(r, FinishLength)
		}
	}
	close(r.progress)
	r.progress = make(chan struct{})
}

func (e *Engine) finish(r *request, reason string) {
	r.finishReason = reason
	r.finishedAt = time.Now()
	r.usage.CompletionTokens = len(r.tokens)
}

// streamRetention is how long a finished answer can be resumed. Such an answer
// takes no engine memory.
const streamRetention = 5 * time.Second

const housekeepingInterval = 20 * time.Millisecond

// housekeeping deletes finished requests and expired prefill results, and
// updates the reported load and the maximum number of held requests.
func (e *Engine) housekeeping(ctx context.Context) error {
	for ebonypulley.Sleep(ctx, housekeepingInterval) {
		now := time.Now()
		e.mu.Lock()
		for id, r := range e.requests {
			if r.finishReason != "" && now.Sub(r.finishedAt) > streamRetention {
				delete(e.requests, id)
			}
		}
		for handle, export := range e.exports {
			if now.After(export.expiresAt) {
				delete(e.exports, handle)
				e.stats.ExpiredResults++
			}
		}
		if now.Sub(e.loadReportedAt) >= e.settings.LoadLag.D() {
			e.reportedLoad = e.currentLoad()
			e.loadReportedAt = now
		}
		e.stats.MaxHeldRequests = max(e.stats.MaxHeldRequests, e.heldRequests())
		e.mu.Unlock()
	}
	return nil
}

func (e *Engine) currentLoad() engine.Load {
	l := engine.Load{Running: e.heldRequests(), Waiting: len(e.prefills), Capacity: e.settings.MaxRequests, Epoch: e.epoch}
	for _, j := range e.prefills {
		l.BacklogTokens += j.tokens
	}
	return l
}

// signal wakes a loop; it does nothing if a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
