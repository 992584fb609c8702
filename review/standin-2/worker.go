package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is an order that a worker has received.
type order struct {
	at     time.Time
	holder string
	fence  uint64
	stage  string
	status int
}

// arrival is a request that has reached a worker.
type arrival struct {
	at     time.Time
	id     string
	prefix string
	what   string
}

// engine is a stand-in for a model worker of the platform.
type engine struct {
	fleet         *fleet
	name          string
	zone, addr    string
	service       string
	version       string        // of its software, "v1" if empty
	prefillPerMs  float64       // prompt tokens read a millisecond
	eventInterval time.Duration // between two events of a stream
	switchTime    time.Duration

	mu        sync.Mutex
	born      int64
	stage     string
	switching bool
	sequence  int
	topFence  uint64
	// quietUntil is until when requests are turned away with a Retry-After.
	quietUntil time.Time
	running    map[string]int
	waiting    int
	reading    sync.Mutex // prompts are read one after the other
	orders     []order
	arrivals   []arrival
	server     *http.Server
	down       bool
	crashes    []time.Time
	done       *sync.Cond
}

// fleet holds the engines of a case and the handles of the prompts that they keep.
type fleet struct {
	store  *store
	rec    *record
	stride int
	// crashesOn reports whether a request crashes the engine that begins to answer it.
	crashesOn func(prefix string) bool
	crashTime time.Duration

	mu      sync.Mutex
	engines []*engine
	handles map[string]bool
}

// add starts an engine, which registers itself in the store.
func (f *fleet) add(e *engine) error {
	ln, err := net.Listen("tcp", listenAnywhere)
	if err != nil {
		return err
	}
	e.fleet, e.addr, e.running = f, ln.Addr().String(), make(map[string]int)
	e.done = sync.NewCond(&e.mu)
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	e.serve(ln)
	e.publish()
	return nil
}

func (e *engine) serve(ln net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.down, e.sequence, e.topFence = time.Now().UnixMilli(), false, 0, 0
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(ln) }(e.server)
}

func (e *engine) softwareVersion() string { return cmp.Or(e.version, "v1") }

// publish writes the engine's entry. It is called when more than its counter of pings has changed.
func (e *engine) publish() {
	e.mu.Lock()
	stage, born := e.stage, e.born
	e.mu.Unlock()
	e.fleet.store.put("servers/"+e.name, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.softwareVersion(), "slots": 128, "state": "ready", "cold_left_ms": 0,
		"sequence": 1, "born": born, "stage": stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

// crash ends the engine with all its channels. It is back, in a new lifetime, after the crash time.
func (e *engine) crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	e.running = make(map[string]int)
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(e.fleet.crashTime, func() {
		ln, err := net.Listen("tcp", e.addr)
		if err != nil {
			e.fleet.rec.printf("worker %s can't start again: %v", e.name, err)
			return
		}
		e.serve(ln)
		e.publish()
	})
}

// crashTimes returns when engines have crashed.
func (f *fleet) crashTimes() (list []time.Time) {
	for _, e := range f.engines {
		e.mu.Lock()
		list = append(list, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.name {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order":
		e.order(w, r)
	case r.URL.Path == "/api/hold-take":
		reply(w, map[string]any{"hold": strconv.FormatUint(rand.Uint64(), 16)})
	case r.URL.Path == "/api/kv-list":
		reply(w, map[string]any{"epoch": 1, "next": 1, "held": []any{}})
	case strings.HasPrefix(r.URL.Path, "/api/"):
		reply(w, map[string]any{})
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.name)
		w.WriteHeader(http.StatusOK)
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for id, made := range e.running {
		runs = append(runs, []any{id, 5000, made, 5})
	}
	body := map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.switching,
		"sequence": e.sequence, "queued": e.waiting, "active": len(e.running), "kv_used": 5000 * len(e.running), "kv_total": 66897, "kv_handles": 0,
		"born": e.born, "state": "ready", "runs": runs, "next": 0,
	}
	e.mu.Unlock()
	reply(w, body)
}

// order decides on an order as the users' pages say.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Op, Stage, Holder string
		Fence             uint64
	}
	text, _ := io.ReadAll(r.Body)
	status := http.StatusAccepted
	e.mu.Lock()
	switch {
	case json.Unmarshal(text, &body) != nil || body.Op != "stage" || body.Holder == "" || body.Fence == 0:
		status = http.StatusBadRequest
	case body.Fence < e.topFence:
		status = http.StatusPreconditionFailed
	case e.switching:
		status = http.StatusConflict
	case e.stage == body.Stage:
		status = http.StatusOK
	}
	if status != http.StatusBadRequest {
		e.topFence = max(e.topFence, body.Fence)
	}
	if status == http.StatusAccepted {
		e.switching = true
		e.sequence++
		go e.switchTo(body.Stage)
	}
	e.orders = append(e.orders, order{at: time.Now(), holder: body.Holder, fence: body.Fence, stage: body.Stage, status: status})
	running := len(e.running)
	e.mu.Unlock()
	e.fleet.rec.printf("worker %s: order of %s, stage %s, generation number %d, %d runs in progress: answered %d", e.name, body.Holder, body.Stage, body.Fence, running, status)
	w.WriteHeader(status)
}

// switchTo lets the running work end, and has the new stage the switch time later.
func (e *engine) switchTo(stage string) {
	e.mu.Lock()
	for len(e.running) > 0 {
		e.done.Wait()
	}
	e.mu.Unlock()
	time.Sleep(e.switchTime)
	e.mu.Lock()
	e.stage, e.switching = stage, false
	e.mu.Unlock()
	e.publish()
	e.fleet.rec.printf("worker %s has the stage %s", e.name, stage)
}

// refuse answers a request that is not executed.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, prefix := r.Header.Get("Attempt-Id"), r.Header.Get("Prompt-Prefix")
	what := "generation"
	if r.Header.Get("Stage") == "prefill" {
		what = "prefill"
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), id: id, prefix: prefix, what: what})
	stage, switching, quiet := e.stage, e.switching, time.Until(e.quietUntil)
	e.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	switch {
	case id == "":
		refuse(w, http.StatusBadRequest)
	case switching:
		refuse(w, http.StatusServiceUnavailable)
	case quiet > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(quiet.Seconds(), 'f', 2, 64))
		refuse(w, http.StatusServiceUnavailable)
	case what == "prefill" && stage != "prefill", what == "generation" && stage != "decode":
		refuse(w, http.StatusMisdirectedRequest)
	case what == "prefill":
		e.prefill(w, r)
	default:
		e.generate(w, r, id, prefix)
	}
}

func promptTokens(r *http.Request) (in, out int) {
	a, b, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	in, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return in, out
}

// read reads a prompt behind those that wait. It reports whether the caller still waits.
func (e *engine) read(r *http.Request, tokens int, slowdown float64) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	e.reading.Lock()
	defer e.reading.Unlock()
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	if r.Context().Err() != nil {
		return false
	}
	t := time.NewTimer(time.Duration(slowdown * float64(tokens) / e.prefillPerMs * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *engine) prefill(w http.ResponseWriter, r *http.Request) {
	in, _ := promptTokens(r)
	if !e.read(r, in, 1) {
		return
	}
	handle := strconv.FormatUint(rand.Uint64(), 16)
	e.fleet.mu.Lock()
	e.fleet.handles[e.addr+"/"+handle] = true
	e.fleet.mu.Unlock()
	reply(w, map[string]any{"kv_handle": handle, "tokens": in, "version": 1})
}

// generate streams the answer to a request.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, id, prefix string) {
	in, out := promptTokens(r)
	if source := r.Header.Get("Kv-Source"); source != "" {
		e.fleet.mu.Lock()
		known := e.fleet.handles[source]
		delete(e.fleet.handles, source)
		e.fleet.mu.Unlock()
		if !known {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		time.Sleep(5 * time.Millisecond)
	} else if !e.read(r, in, 2) {
		return
	}
	if e.fleet.crashesOn != nil && e.fleet.crashesOn(prefix) {
		e.crash()
		return
	}
	e.mu.Lock()
	e.running[id] = 0
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.done.Broadcast()
		e.mu.Unlock()
	}()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "sig."+e.name+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := from + e.fleet.stride; n <= out; n += e.fleet.stride {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, e.softwareVersion(), n); err != nil || flush.Flush() != nil {
			return
		}
		e.mu.Lock()
		if _, ok := e.running[id]; ok {
			e.running[id]++
		}
		e.mu.Unlock()
		select {
		case <-time.After(e.eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
