package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ebonypulley/jsonc"
)

// FaultKind is the kind of a fault that can be injected into a stand-in.
type FaultKind string

// Kinds of faults.
const (
	// FaultNone ends the fault that is active.
	FaultNone FaultKind = "none"
	// FaultStall: no work progresses; connections stay open.
	FaultStall FaultKind = "stall"
	// FaultSilent: open streams send nothing more and stay open; new ones work.
	FaultSilent FaultKind = "silent"
	// FaultCrash: all memory is lost and all connections are cut.
	FaultCrash FaultKind = "crash"
	// FaultSlow: work takes Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultTransfer: KV transfers stall; everything else works.
	FaultTransfer FaultKind = "transfer"
	// FaultNoAnswer: a plain call runs, but its connection is cut before the answer.
	FaultNoAnswer FaultKind = "no_answer"
	// FaultStale: the configuration service serves the oldest document that it keeps.
	FaultStale FaultKind = "stale"
	// FaultOutage: every call is answered with status 503.
	FaultOutage FaultKind = "outage"
)

// Fault is the body of POST /admin/fault. Factor is the slowdown of FaultSlow; For,
// if above 0, is how long the fault lasts.
type Fault struct {
	Kind   FaultKind      `json:"kind"`
	Factor float64        `json:"factor,omitempty"`
	For    jsonc.Duration `json:"for,omitempty"`
}

// faultInjector holds the active fault of one stand-in. A kind with a hook, such as
// a crash, happens once and does not become the active fault.
type faultInjector struct {
	mu      sync.Mutex
	current Fault
	changed chan struct{}
	hooks   map[FaultKind]func()
}

func newFaultInjector() *faultInjector {
	return &faultInjector{changed: make(chan struct{}), hooks: make(map[FaultKind]func())}
}

// inject runs the fault's hook, or makes the fault the active one, for a limited
// time if For is set.
func (f *faultInjector) inject(fault Fault) {
	f.mu.Lock()
	hook := f.hooks[fault.Kind]
	if hook == nil {
		f.current = fault
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	if hook != nil {
		hook()
		return
	}
	if fault.For > 0 {
		time.AfterFunc(fault.For.D(), func() { f.inject(Fault{Kind: FaultNone}) })
	}
}

func (f *faultInjector) active(kind FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Kind == kind
}

// slowdown returns the factor by which work takes longer.
func (f *faultInjector) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Kind == FaultSlow && f.current.Factor > 0 {
		return f.current.Factor
	}
	return 1
}

// waitWhile blocks while a fault of the kind is active. It returns false if ctx
// has ended.
func (f *faultInjector) waitWhile(ctx context.Context, kind FaultKind) bool {
	for {
		f.mu.Lock()
		on, changed := f.current.Kind == kind, f.changed
		f.mu.Unlock()
		if !on {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// ServeHTTP injects the fault in the request's body.
func (f *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.inject(fault)
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
