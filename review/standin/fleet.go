package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// deployment describes what a script starts.
type deployment struct {
	entries int
	// plain is the number of workers of the plain service "app", prefill and decode those of
	// the model service "llm".
	plain, prefill, decode int
	routes                 []any
	// tenants is nil if clients need no key.
	tenants []any
}

// fleet is the deployment of a script.
type fleet struct {
	rec     *record
	store   *store
	entries []*entry
	workers []*worker // of the plain service
	clients *clients
	dir     string
}

// startFleet starts the store, the workers and the entries.
func startFleet(program string, rec *record, d deployment) (*fleet, error) {
	f := &fleet{rec: rec, store: newStore()}
	var err error
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, f.store) }() // ends with the process
	if err := f.startWorkers(d); err != nil {
		return nil, err
	}
	f.store.put("op/config", d.config())
	f.entries, err = startEntries(program, f.dir, d.entries, ln.Addr().String(), rec)
	if err != nil {
		f.stop()
		return nil, err
	}
	for _, e := range f.entries {
		if !e.awaitReady(10 * time.Second) {
			f.stop()
			return nil, fmt.Errorf("%s is not ready in time", e.name)
		}
	}
	f.clients = &clients{rec: rec, entries: f.entries, retries: clientRetries, abusiveRetries: abusiveRetries, idle: make(map[*entry][]*channel)}
	return f, nil
}

// config returns the operator's configuration.
func (d deployment) config() map[string]any {
	services := []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 440, "protocol": "h1", "tls": false}}
	if d.decode > 0 {
		services = append(services, map[string]any{
			"name": "llm", "health_path": "/health", "max_conns": 740, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv_capacity": modelMemory, "token_kv_bytes": 18432, "link_mbps": 320000.0, "moves": true, "backups": true, "stride": 11, "most": 12,
				"kv_hold_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			},
		})
	}
	config := map[string]any{
		"version": 7, "routes": d.routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if d.tenants != nil {
		config["tenants"] = d.tenants
	}
	return config
}

// zoneOf returns the zone of the machine with a number.
func zoneOf(i int) string { return fmt.Sprintf("alm-%c", 'a'+i%3) }

func (f *fleet) startWorkers(d deployment) error {
	for i := range d.plain {
		if err := f.startPlain(i, 1); err != nil {
			return err
		}
	}
	for i := range d.prefill + d.decode {
		stage := "decode"
		if i < d.prefill {
			stage = "prefill"
		}
		if err := f.startModel(i, 1, stage); err != nil {
			return err
		}
	}
	return nil
}

// startPlain starts an incarnation of a worker of the plain service.
func (f *fleet) startPlain(i, incarnation int) error {
	w := &worker{id: fmt.Sprintf("i-app%d-%d", i, incarnation), service: "app", zone: zoneOf(i), slots: workerSlots, queue: workerQueue, meanWork: meanWork}
	if err := startWorker(w, f.rec, f.store); err != nil {
		return err
	}
	if i < len(f.workers) {
		f.workers[i] = w
	} else {
		f.workers = append(f.workers, w)
	}
	return nil
}

// modelDownTime is how long a model worker is down that crashed.
const modelDownTime = 500 * time.Millisecond

// startModel starts an incarnation of a model worker, which is followed by another one if it
// crashes.
func (f *fleet) startModel(i, incarnation int, stage string) error {
	w := &worker{id: fmt.Sprintf("i-llm%d-%d", i, incarnation), service: "llm", stage: stage, zone: zoneOf(i), slots: 128}
	w.onBadPart = func(w *worker) {
		if !w.crash() {
			return
		}
		time.Sleep(modelDownTime)
		if err := f.startModel(i, incarnation+1, stage); err != nil {
			f.rec.say("a worker can't start: %v", err)
		}
	}
	return startWorker(w, f.rec, f.store)
}

// stop ends all processes that the script started.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.kill()
		_ = e.logFile.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// plainRoute returns a route to the plain service.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "app.example", "path_prefix": prefix, "kind": kind, "timeout_ms": routeTimeoutMs, "target_latency_ms": latencyTargetMs,
		"priority": 2, "service": "app", "max_attempts": attempts, "sticky": false, "resumable": false,
	}
}
