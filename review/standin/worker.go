package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the interval at which a worker writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// modelMemory is the memory of a model worker in tokens.
const modelMemory = 27246

// worker simulates a sound worker of a plain service.
type worker struct {
	id, service, zone string
	// stage is the stage of a model worker, empty for one of a plain service.
	stage        string
	slots, queue int
	// meanWork is the mean duration of a request. Durations have a log-normal distribution.
	meanWork time.Duration
	// onBadPart, if set, is called when a model worker is to answer a prompt that begins with such a part.
	onBadPart func(w *worker)
	// slowdown multiplies the duration of requests that begin from now on.
	slowdown atomic.Int64
	crashed  atomic.Bool

	rec    *record
	store  *store
	addr   string
	server *http.Server
	ended  chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	freed    chan struct{}
}

// startWorker starts a worker and publishes it.
func startWorker(w *worker, rec *record, s *store) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.rec, w.store, w.addr = rec, s, ln.Addr().String()
	w.ended, w.freed = make(chan struct{}), make(chan struct{}, 1)
	w.slowdown.Store(1)
	w.server = &http.Server{Handler: w, IdleTimeout: 30 * time.Second}
	go func() { _ = w.server.Serve(ln) }() // ends with the process or with crash
	w.publish("ready")
	go w.beat()
	return nil
}

func (w *worker) publish(state string) {
	w.mu.Lock()
	w.sequence++
	n := w.sequence
	w.mu.Unlock()
	e := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_left_ms": 0, "sequence": n,
	}
	if w.stage != "" {
		e["stage"], e["models"] = w.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	w.store.put("servers/"+w.id, e)
}

func (w *worker) beat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.publish("ready")
		case <-w.ended:
			return
		}
	}
}

// crash ends the worker: its connections break, nothing listens any more, and the store removes
// its entry after three heartbeats. It returns false if the worker has crashed already.
func (w *worker) crash() bool {
	if !w.crashed.CompareAndSwap(false, true) {
		return false
	}
	w.rec.crash(w.id)
	close(w.ended)
	_ = w.server.Close()
	time.AfterFunc(3*heartbeatInterval, func() { w.store.remove("servers/" + w.id) })
	return true
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
}

// enter takes a slot at once or waits for one. It returns false if the queue is full, or if the
// caller leaves.
func (w *worker) enter(r *http.Request) bool {
	w.mu.Lock()
	if w.running < w.slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	if w.waiting >= w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	for {
		select {
		case <-w.freed:
		case <-time.After(5 * time.Millisecond):
		case <-r.Context().Done():
			w.mu.Lock()
			w.waiting--
			w.mu.Unlock()
			return false
		}
		w.mu.Lock()
		if w.running < w.slots {
			w.running++
			w.waiting--
			w.mu.Unlock()
			return true
		}
		w.mu.Unlock()
	}
}

func (w *worker) leave() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	select {
	case w.freed <- struct{}{}:
	default:
	}
}

// workTime returns the duration of a request.
func (w *worker) workTime() time.Duration {
	const spread = 0.5
	x := math.Exp(rand.NormFloat64()*spread - spread*spread/2)
	return time.Duration(float64(w.meanWork) * x * float64(w.slowdown.Load()))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := rw.Header()
	h.Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != w.id {
		h.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.stage != "" && w.serveModel(rw, r, id) {
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.rec.arrived(id, w.id, r.Method, r)
	if !w.enter(r) {
		h.Set("Server-Load", w.load())
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	w.rec.ran(id, w.id)
	limit := 15 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	status := http.StatusOK
	select {
	case <-time.After(min(w.workTime(), limit)):
		if limit <= 0 {
			status = http.StatusGatewayTimeout
		}
	case <-r.Context().Done():
		w.rec.dropped(id, w.id)
		return
	}
	h.Set("Server-Load", w.load())
	h.Set("Response-Signature", "signed-"+id)
	rw.WriteHeader(status)
	fmt.Fprintf(rw, "answer to %s", id)
	w.rec.answered(id, w.id)
}

// streamEvents is the number of events of a stream, eventGap the time before each.
const (
	streamEvents = 7
	eventGap     = 40 * time.Millisecond
)

// badPart begins the IDs of the parts that crash the model workers that begin to answer a prompt,
// and crashDelay is the time until they crash.
const (
	badPart    = "bad0"
	crashDelay = 800 * time.Millisecond
)

// serveModel serves what model workers serve beside plain requests.
func (w *worker) serveModel(rw http.ResponseWriter, r *http.Request, id string) bool {
	h := rw.Header()
	switch {
	case r.URL.Path == "/api/hold-take":
		writeJSON(rw, map[string]any{"hold": "h" + newID()})
	case r.URL.Path == "/api/kv-list":
		writeJSON(rw, map[string]any{"epoch": "1", "next": 1, "held": []any{}})
	case strings.HasPrefix(r.URL.Path, "/api/"):
		writeJSON(rw, map[string]any{"stage": w.stage, "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": modelMemory, "kv_handles": 0})
	case r.Header.Get("Stage") == "prefill":
		w.rec.arrived(id, w.id, "prefill", r)
		writeJSON(rw, map[string]any{"kv_handle": newID(), "tokens": 1000, "version": 1})
	default:
		w.rec.arrived(id, w.id, r.Method, r)
		w.rec.ran(id, w.id)
		if w.onBadPart != nil && strings.HasPrefix(r.Header.Get("Prompt-Prefix"), badPart) {
			time.Sleep(crashDelay)
			w.onBadPart(w)
			panic(http.ErrAbortHandler)
		}
		h.Set("Response-Signature", "signed-"+id)
		h.Set("Content-Type", "text/event-stream")
		for i := range streamEvents {
			select {
			case <-time.After(eventGap):
			case <-r.Context().Done():
				w.rec.dropped(id, w.id)
				return true
			}
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i+1, id)
			_ = http.NewResponseController(rw).Flush()
		}
		w.rec.answered(id, w.id)
	}
	return true
}
