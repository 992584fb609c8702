package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"ebonypulley"
	"ebonypulley/engine"
)

func (e *Engine) routes() {
	r := e.router
	r.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests", e.serveRequests).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", e.serveAbort).Methods(http.MethodDelete)
	r.HandleFunc("/v1/kv/import", e.serveImport).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/{handle}", e.serveClaim).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{handle}", e.serveDropKV).Methods(http.MethodDelete)
	r.HandleFunc("/v1/cache/events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/state", e.serveState).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	r.Handle("/admin/fault", e.faults).Methods(http.MethodPost)
	r.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req engine.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	if state.Loading || state.Model != "" && req.Model != state.Model {
		http.Error(w, fmt.Sprintf("model %q is not served", req.Model), http.StatusConflict)
		return
	}
	if req.KV != nil && req.KV.DoRemoteDecode {
		e.servePrefill(w, r, req)
		return
	}
	e.serveDecode(w, r, req)
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, req engine.CompletionRequest) {
	e.mu.Lock()
	run := e.requests[req.RequestID]
	if run == nil {
		e.mu.Unlock()
		http.Error(w, "no KV cache was imported for this request", http.StatusNotFound)
		return
	}
	run.max = req.MaxTokens
	run.decodes = true
	e.mu.Unlock()
	signal(e.decodes)
	e.stream(w, r, run, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a token number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.requests[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if run == nil {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	e.stream(w, r, run, from)
}

// stream sends the tokens from a number on as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *request, from int) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	g := &gate{silent: make(chan struct{})}
	e.mu.Lock()
	run.streams = append(run.streams, g)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		e.mu.Lock()
		tokens, why, more, usage := run.tokens, run.why, run.notify, run.usage
		e.mu.Unlock()
		for ; from < len(tokens); from++ {
			sendEvent(w, engine.Completion{ID: run.id, TokenIndex: from, Choices: []engine.Choice{{Text: tokens[from]}}})
		}
		if why != "" {
			sendEvent(w, engine.Completion{ID: run.id, TokenIndex: from, Choices: []engine.Choice{{FinishReason: why}}, Usage: &usage})
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-ctx.Done():
			abortConnection()
		case <-run.ctx.Done():
			abortConnection()
		case <-g.silent:
			<-ctx.Done()
			abortConnection()
		case <-more:
		}
	}
}

func sendEvent(w http.ResponseWriter, c engine.Completion) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

func (e *Engine) serveAbort(w http.ResponseWriter, r *http.Request) {
	if !e.faults.wait(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	id := mux.Vars(r)["id"]
	if run, ok := e.requests[id]; ok {
		run.cancel()
		delete(e.requests, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveRequests(w http.ResponseWriter, r *http.Request) {
	if !e.faults.wait(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := engine.Requests{IDs: []string{}}
	for id, run := range e.requests {
		if run.why == "" {
			list.IDs = append(list.IDs, id)
		}
	}
	reply(w, list)
}

// serveImport reserves memory, claims the result at its engine and takes the
// time that the bytes need at the rate allowed.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req engine.ImportRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := e.reserve(req.RequestID)
	if run == nil {
		http.Error(w, "no memory", http.StatusServiceUnavailable)
		return
	}
	status, err := e.transfer(r, run, req)
	if err != nil {
		e.mu.Lock()
		delete(e.requests, req.RequestID)
		e.mu.Unlock()
		http.Error(w, err.Error(), status)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reserve takes memory for a request, or returns nil when there is none.
func (e *Engine) reserve(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, dup := e.requests[id]; dup || e.held() >= e.set.Requests {
		e.stats.Refused++
		return nil
	}
	run := &request{id: id, notify: make(chan struct{})}
	run.ctx, run.cancel = context.WithCancel(e.life)
	e.requests[id] = run
	return run
}

func (e *Engine) transfer(r *http.Request, run *request, req engine.ImportRequest) (int, error) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	if !e.faults.wait(ctx, FaultStall) || !e.faults.wait(ctx, FaultTransfer) {
		return http.StatusGatewayTimeout, ctx.Err()
	}
	x, err := engine.NewClient(req.URL, e.client).Claim(ctx, req.Handle)
	if err != nil {
		return http.StatusGone, err
	}
	take := time.Duration(float64(x.Bytes) / req.BytesPerSecond * float64(time.Second))
	if !ebonypulley.Sleep(ctx, scale(take, e.faults.factor())) {
		return http.StatusGatewayTimeout, ctx.Err()
	}
	gen, err := generatorFrom(x.State)
	if err != nil {
		return http.StatusBadRequest, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run.gen = gen
	run.usage.PromptTokens = x.PromptTokens
	return 0, nil
}

// serveClaim hands out a result. Its expiry stands still while it is fetched.
func (e *Engine) serveClaim(w http.ResponseWriter, r *http.Request) {
	if !e.faults.wait(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[mux.Vars(r)["handle"]]
	if !ok {
		http.Error(w, "result expired", http.StatusGone)
		return
	}
	reply(w, engine.Exported{PromptTokens: x.tokens, Bytes: int64(x.tokens) * engine.KVBytesPerToken, State: x.state})
}

func (e *Engine) serveDropKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, mux.Vars(r)["handle"])
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engine.CacheEvents{Epoch: e.epoch, Events: e.cache.after(time.Now(), after)})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.faults.wait(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.load)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if !e.faults.wait(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.state)
}

// serveOrder takes an order; engines that check the fencing number refuse an
// old one, others obey whoever speaks last.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.set.ChecksFence && o.Fence < e.state.Fence {
		fence := e.state.Fence
		e.mu.Unlock()
		http.Error(w, fmt.Sprintf("fencing number %d is below %d", o.Fence, fence), http.StatusConflict)
		return
	}
	load := o.Model != e.state.Model
	if load {
		e.loseRequests()
	}
	e.state = engine.State{Model: o.Model, Role: o.Role, Fence: max(o.Fence, e.state.Fence), Loading: load}
	e.mu.Unlock()
	if load {
		go e.loadModel(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// loseRequests drops what the engine holds, as loading another model does.
func (e *Engine) loseRequests() {
	for id, run := range e.requests {
		run.cancel()
		delete(e.requests, id)
	}
}

// loadModel fetches the weights and then serves the model of the order,
// unless a later one came.
func (e *Engine) loadModel(o engine.Order) {
	if e.set.WeightStore != "" {
		resp, err := e.client.Get(e.set.WeightStore + "/weights/" + o.Model)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Model == o.Model {
		e.state.Loading = false
	}
}
