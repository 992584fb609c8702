package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ebonypulley/jsonc"
)

// FaultKind names a fault that a stand-in can show.
type FaultKind string

// Faults.
const (
	// FaultNone ends stall, slow and the others that last.
	FaultNone FaultKind = "none"
	// FaultStall: nothing progresses; connections stay open.
	FaultStall FaultKind = "stall"
	// FaultSilent: open streams go silent for good, new ones work.
	FaultSilent FaultKind = "silent"
	// FaultCrash: all memory is lost and open connections are cut.
	FaultCrash FaultKind = "crash"
	// FaultSlow: work takes Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultTransfer: KV transfers stall, the rest works.
	FaultTransfer FaultKind = "transfer"
	// FaultNoAnswer: a plain call runs, but its connection is cut.
	FaultNoAnswer FaultKind = "no_answer"
	// FaultStale: the configuration service serves its oldest document.
	FaultStale FaultKind = "stale"
	// FaultOutage: every call is answered with 503.
	FaultOutage FaultKind = "outage"
)

// Fault is the body of POST /admin/fault.
type Fault struct {
	Kind   FaultKind      `json:"kind"`
	Factor float64        `json:"factor,omitempty"`
	For    jsonc.Duration `json:"for,omitempty"`
}

// faults is the switch board of one stand-in.
type faults struct {
	mu      sync.Mutex
	current Fault
	changed chan struct{}
	hooks   map[FaultKind]func()
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{}), hooks: make(map[FaultKind]func())}
}

// set switches a fault on; with For it ends by itself.
func (f *faults) set(fault Fault) {
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
		time.AfterFunc(fault.For.D(), func() { f.set(Fault{Kind: FaultNone}) })
	}
}

func (f *faults) is(kind FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Kind == kind
}

// factor returns by how much work is slowed.
func (f *faults) factor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Kind == FaultSlow && f.current.Factor > 0 {
		return f.current.Factor
	}
	return 1
}

// wait blocks while the fault lasts; it returns false when ctx ended.
func (f *faults) wait(ctx context.Context, kind FaultKind) bool {
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

// ServeHTTP takes a fault.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(fault)
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
