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
	r.HandleFunc("/v1/kv/{handle}", e.serveFetchKV).Methods(http.MethodGet)
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
	run.decoding = true
	e.mu.Unlock()
	signal(e.decodeReady)
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

// stream sends the tokens from index from on as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *request, from int) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	open := &openStream{silenced: make(chan struct{})}
	e.mu.Lock()
	run.streams = append(run.streams, open)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		e.mu.Lock()
		tokens, finishReason, progress, usage := run.tokens, run.finishReason, run.progress, run.usage
		e.mu.Unlock()
		for ; from < len(tokens); from++ {
			sendEvent(w, engine.Completion{ID: run.id, TokenIndex: from, Choices: []engine.Choice{{Text: tokens[from]}}})
		}
		if finishReason != "" {
			sendEvent(w, engine.Completion{ID: run.id, TokenIndex: from, Choices: []engine.Choice{{FinishReason: finishReason}}, Usage: &usage})
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-ctx.Done():
			abortConnection()
		case <-run.ctx.Done():
			abortConnection()
		case <-open.silenced:
			<-ctx.Done()
			abortConnection()
		case <-progress:
		}
	}
}

func sendEvent(w http.ResponseWriter, c engine.Completion) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

func (e *Engine) serveAbort(w http.ResponseWriter, r *http.Request) {
	if !e.faults.waitWhile(r.Context(), FaultStall) {
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
	if !e.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := engine.Requests{IDs: []string{}}
	for id, run := range e.requests {
		if run.finishReason == "" {
			list.IDs = append(list.IDs, id)
		}
	}
	reply(w, list)
}

// serveImport reserves memory, fetches the KV cache from the engine that exported
// it, and answers after the time that the transfer takes at the permitted rate.
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
	status, err := e.importKV(r, run, req)
	if err != nil {
		e.mu.Lock()
		delete(e.requests, req.RequestID)
		e.mu.Unlock()
		http.Error(w, err.Error(), status)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reserve reserves memory for a request. It returns nil if memory is full or
// the request's ID is in use.
func (e *Engine) reserve(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, dup := e.requests[id]; dup || e.heldRequests() >= e.settings.MaxRequests {
		e.stats.RefusedReservations++
		return nil
	}
	run := &request{id: id, progress: make(chan struct{})}
	run.ctx, run.cancel = context.WithCancel(e.lifetime)
	e.requests[id] = run
	return run
}

func (e *Engine) importKV(r *http.Request, run *request, req engine.ImportRequest) (int, error) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	if !e.faults.waitWhile(ctx, FaultStall) || !e.faults.waitWhile(ctx, FaultTransfer) {
		return http.StatusGatewayTimeout, ctx.Err()
	}
	export, err := engine.NewClient(req.URL, e.client).FetchKV(ctx, req.Handle)
	if err != nil {
		return http.StatusGone, err
	}
	duration := time.Duration(float64(export.Bytes) / req.BytesPerSecond * float64(time.Second))
	if !ebonypulley.Sleep(ctx, scale(duration, e.faults.slowdown())) {
		return http.StatusGatewayTimeout, ctx.Err()
	}
	generator, err := restoreGenerator(export.State)
	if err != nil {
		return http.StatusBadRequest, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run.generator = generator
	run.usage.PromptTokens = export.PromptTokens
	return 0, nil
}

// serveFetchKV returns an exported KV cache. The response carries all of its
// state, so an import that has begun is not affected when the export expires.
func (e *Engine) serveFetchKV(w http.ResponseWriter, r *http.Request) {
	if !e.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	export, ok := e.exports[mux.Vars(r)["handle"]]
	if !ok {
		http.Error(w, "result expired", http.StatusGone)
		return
	}
	reply(w, engine.KVExport{PromptTokens: export.tokens, Bytes: int64(export.tokens) * engine.KVBytesPerToken, State: export.state})
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
	reply(w, engine.CacheEvents{Epoch: e.epoch, Events: e.cache.visibleAfter(time.Now(), after)})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.reportedLoad)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if !e.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.state)
}

// serveOrder applies an order. An engine that checks fencing numbers refuses an
// order with an outdated one; other engines apply the latest order to arrive.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.settings.ChecksFence && o.Fence < e.state.Fence {
		fence := e.state.Fence
		e.mu.Unlock()
		http.Error(w, fmt.Sprintf("fencing number %d is below %d", o.Fence, fence), http.StatusConflict)
		return
	}
	load := o.Model != e.state.Model
	if load {
		e.dropRequests()
	}
	e.state = engine.State{Model: o.Model, Role: o.Role, Fence: max(o.Fence, e.state.Fence), Loading: load}
	e.mu.Unlock()
	if load {
		go e.loadModel(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// dropRequests aborts all requests, since loading another model discards their
// KV caches. The caller holds e.mu.
func (e *Engine) dropRequests() {
	for id, run := range e.requests {
		run.cancel()
		delete(e.requests, id)
	}
}

// loadModel fetches the weights and then marks the model as loaded, unless a
// later order has chosen another model.
func (e *Engine) loadModel(o engine.Order) {
	if e.settings.WeightStore != "" {
		resp, err := e.client.Get(e.settings.WeightStore + "/weights/" + o.Model)
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
