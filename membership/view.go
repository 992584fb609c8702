// Package membership merges what a process learns about endpoints into one view. Updates
// arrive late, more than once and in any order; the merge gives the same view for every
// order, so no consensus is needed. A wrong view costs one refused round trip, because the
// agent beside the endpoint decides.
package membership

import (
	"bytes"
	"sync"

	"ebonypulley/wire"
)

// State is an agent's state as reported by itself. Within one incarnation Draining is never
// reset; a later incarnation replaces an earlier one.
type State struct {
	Incarnation wire.Incarnation
	Draining    bool
}

// Merge returns the join (least upper bound) of two states. It is commutative, associative
// and idempotent. Incarnations are UUIDv7, so they are ordered by start time.
func Merge(a, b State) State {
	switch c := bytes.Compare(a.Incarnation[:], b.Incarnation[:]); {
	case c > 0:
		return a
	case c < 0:
		return b
	default:
		return State{Incarnation: a.Incarnation, Draining: a.Draining || b.Draining}
	}
}

// View is the membership as seen by one process.
type View struct {
	mu      sync.RWMutex
	states  map[string]State
	leaving map[string]bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{states: make(map[string]State), leaving: make(map[string]bool)}
}

// Merge merges a state of an endpoint, and reports whether that changes the view.
func (v *View) Merge(endpoint string, s State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.states[endpoint]
	merged := Merge(old, s)
	v.states[endpoint] = merged
	return merged != old
}

// State returns the merged state of an endpoint.
func (v *View) State(endpoint string) State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.states[endpoint]
}

// SetLeaving replaces the set of endpoints that the platform's VM list marks as leaving. The
// list lags, so it is only used to avoid endpoints.
func (v *View) SetLeaving(endpoints []string) {
	leaving := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		leaving[e] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = leaving
}

// Usable reports whether new work may be sent to the endpoint.
func (v *View) Usable(endpoint string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.leaving[endpoint] && !v.states[endpoint].Draining
}
