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

// EngineSettings are the timing model and the habits of an engine.
type EngineSettings struct {
	// Requests is how many requests the memory holds. Default 20.
	Requests int `json:"requests"`
	// StepBase is the time of a decode step of an empty batch. Default 8ms.
	StepBase jsonc.Duration `json:"step_base"`
	// StepPerRequest is added for each request in the batch. Default 500us.
	StepPerRequest jsonc.Duration `json:"step_per_request"`
	// PrefillPerToken is the time per token that is not cached. Default 60us.
	PrefillPerToken jsonc.Duration `json:"prefill_per_token"`
	// KeepResult is how long a prefill result is kept. Default 800ms.
	KeepResult jsonc.Duration `json:"keep_result"`
	// CacheBlocks is the size of the prefix cache. Default 4096.
	CacheBlocks int `json:"cache_blocks"`
	// EventLag is how late cache events are published. Default 300ms.
	EventLag jsonc.Duration `json:"event_lag"`
	// EventGap is the share of cache events that are lost, as one in so
	// many. Default 10; 0 means the default, 1 loses all.
	EventGap uint64 `json:"event_gap"`
	// LoadLag is the age of the load reported. Default 200ms.
	LoadLag jsonc.Duration `json:"load_lag"`
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
	// WeightStore is the URL that models are loaded from; empty loads at once.
	WeightStore string `json:"weight_store"`
}

func (s *EngineSettings) setDefaults() {
	s.Requests = cmp.Or(s.Requests, 20)
	s.StepBase = cmp.Or(s.StepBase, jsonc.Duration(8*time.Millisecond))
	s.StepPerRequest = cmp.Or(s.StepPerRequest, jsonc.Duration(500*time.Microsecond))
	s.PrefillPerToken = cmp.Or(s.PrefillPerToken, jsonc.Duration(60*time.Microsecond))
	s.KeepResult = cmp.Or(s.KeepResult, jsonc.Duration(800*time.Millisecond))
	s.CacheBlocks = cmp.Or(s.CacheBlocks, 4096)
	s.EventLag = cmp.Or(s.EventLag, jsonc.Duration(300*time.Millisecond))
	s.EventGap = cmp.Or(s.EventGap, 10)
	s.LoadLag = cmp.Or(s.LoadLag, jsonc.Duration(200*time.Millisecond))
}

// request is one answer in the making, or just finished.
type request struct {
	id      string
	gen     *Generator
	ctx     context.Context
	cancel  context.CancelFunc
	usage   engine.Usage
	max     int
	tokens  []string
	why     string // set at the end
	decodes bool
	ended   time.Time
	notify  chan struct{} // closed and replaced on each new token
	streams []*gate
}

// gate makes an open stream silent for good.
type gate struct {
	silent chan struct{}
}

// exported is a prefill result that waits to be fetched.
type exported struct {
	tokens int
	state  []byte
	expiry time.Time
}

// EngineStats counts what the engine did.
type EngineStats struct {
	Held           int   `json:"held"`
	MaxHeld        int   `json:"max_held"`
	KVHeld         int   `json:"kv_held"`
	PrefillTokens  int64 `json:"prefill_tokens"`
	CachedTokens   int64 `json:"cached_tokens"`
	DecodedTokens  int64 `json:"decoded_tokens"`
	ExpiredResults int64 `json:"expired_results"`
	Refused        int64 `json:"refused"`
}

// Engine is a continuously batching engine with limited memory.
type Engine struct {
	set    EngineSettings
	faults *faults
	router *mux.Router
	client *http.Client

	mu       sync.Mutex
	epoch    uint64
	life     context.Context // ends with a crash
	endLife  context.CancelFunc
	state    engine.State
	requests map[string]*request
	exports  map[string]*exported
	cache    *blockCache
	prefills []*prefillJob
	work     chan struct{} // signals a new prefill
	decodes  chan struct{} // signals a new decode
	load     engine.Load
	loadAt   time.Time
	stats    EngineStats
}

// NewEngine returns an engine; Run must be started before it is used. Dial
// reaches other engines and the weight store; nil means TCP.
func NewEngine(set EngineSettings, dial ebonypulley.Dialer) *Engine {
	set.setDefaults()
	e := &Engine{
		set:     set,
		faults:  newFaults(),
		router:  mux.NewRouter(),
		client:  dial.HTTPClient(false),
		work:    make(chan struct{}, 1),
		decodes: make(chan struct{}, 1),
	}
	e.reset()
	e.faults.hooks[FaultCrash] = e.Crash
	e.faults.hooks[FaultSilent] = e.silence
	e.routes()
	return e
}

var _ http.Handler = (*Engine)(nil)

func (e *Engine) reset() {
	e.epoch = uint64(time.Now().UnixNano())
	e.life, e.endLife = context.WithCancel(context.Background())
	e.state = engine.State{}
	e.requests = make(map[string]*request)
	e.exports = make(map[string]*exported)
	e.prefills = nil
	e.cache = newBlockCache(e.set.CacheBlocks, e.set.EventLag.D(), e.set.EventGap)
	e.load = engine.Load{Capacity: e.set.Requests, Epoch: e.epoch}
	e.loadAt = time.Now()
}

// Crash loses all memory and cuts all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLife()
	e.reset()
}

// silence makes all open streams silent for good.
func (e *Engine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.requests {
		for _, g := range r.streams {
			close(g.silent)
		}
		r.streams = nil
	}
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Held = e.held()
	s.KVHeld = len(e.exports)
	return s
}

// Fault switches a fault on, as POST /admin/fault does.
func (e *Engine) Fault(f Fault) { e.faults.set(f) }

// held counts the requests in memory.
func (e *Engine) held() int {
	n := 0
	for _, r := range e.requests {
		if r.why == "" {
			n++
		}
	}
	return n
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	g := ebonypulley.NewGroup(ctx)
	g.Go(e.decodeLoop)
	g.Go(e.prefillLoop)
	g.Go(e.housekeeping)
	err := g.Wait()
	e.mu.Lock()
	e.endLife()
	e.mu.Unlock()
	e.client.CloseIdleConnections()
	return err
}

// decodeLoop makes one token for each request of the batch in each step.
func (e *Engine) decodeLoop(ctx context.Context) error {
	for {
		if !e.faults.wait(ctx, FaultStall) {
			return nil
		}
		e.mu.Lock()
		batch := e.batch()
		e.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-e.decodes:
			}
			continue
		}
		step := e.set.StepBase.D() + time.Duration(len(batch))*e.set.StepPerRequest.D()
		if !ebonypulley.Sleep(ctx, scale(step, e.faults.factor())) {
			return nil
		}
		if e.faults.is(FaultStall) {
			continue
		}
		e.mu.Lock()
		for _, r := range batch {
			e.step(r)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) batch() []*request {
	var batch []*request
	for _, r := range e.requests {
		if r.decodes && r.why == "" {
			batch = append(batch, r)
		}
	}
	return batch
}

func (e *Engine) step(r *request) {
	if r.ctx.Err() != nil || r.why != "" {
		return
	}
	token, ok := r.gen.Next()
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
	close(r.notify)
	r.notify = make(chan struct{})
}

func (e *Engine) finish(r *request, why string) {
	r.why = why
	r.ended = time.Now()
	r.usage.CompletionTokens = len(r.tokens)
}

// keepStream is how long a finished answer can be resumed. It takes no
// engine memory.
const keepStream = 5 * time.Second

const housekeepingInterval = 20 * time.Millisecond

func (e *Engine) housekeeping(ctx context.Context) error {
	for ebonypulley.Sleep(ctx, housekeepingInterval) {
		now := time.Now()
		e.mu.Lock()
		for id, r := range e.requests {
			if r.why != "" && now.Sub(r.ended) > keepStream {
				delete(e.requests, id)
			}
		}
		for handle, x := range e.exports {
			if now.After(x.expiry) {
				delete(e.exports, handle)
				e.stats.ExpiredResults++
			}
		}
		if now.Sub(e.loadAt) >= e.set.LoadLag.D() {
			e.load = e.loadNow()
			e.loadAt = now
		}
		e.stats.MaxHeld = max(e.stats.MaxHeld, e.held())
		e.mu.Unlock()
	}
	return nil
}

func (e *Engine) loadNow() engine.Load {
	l := engine.Load{Running: e.held(), Waiting: len(e.prefills), Capacity: e.set.Requests, Epoch: e.epoch}
	for _, j := range e.prefills {
		l.BacklogTokens += j.tokens
	}
	return l
}

// signal wakes a loop; signals that were not received yet are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
