// Package membership merges what a process learns about endpoints into one
// view. Facts come late, repeated and in any order; the merge gives the same
// view for every order, so that no agreement is needed. A wrong view costs a
// refused round trip, because the agent beside the endpoint decides.
package membership

import (
	"bytes"
	"sync"

	"ebonypulley/wire"
)

// Word is an agent's word about itself. For one incarnation Draining only
// ever turns on; a later incarnation replaces an earlier one.
type Word struct {
	Incarnation wire.Incarnation
	Draining    bool
}

// Merge returns the least word that both agree with. It is commutative,
// associative and idempotent. Incarnations are UUIDv7 and so ordered by the
// time of the start.
func Merge(a, b Word) Word {
	switch c := bytes.Compare(a.Incarnation[:], b.Incarnation[:]); {
	case c > 0:
		return a
	case c < 0:
		return b
	default:
		return Word{Incarnation: a.Incarnation, Draining: a.Draining || b.Draining}
	}
}

// View is the membership as one process sees it.
type View struct {
	mu      sync.RWMutex
	words   map[string]Word
	leaving map[string]bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{words: make(map[string]Word), leaving: make(map[string]bool)}
}

// Hear merges a word about an endpoint and reports whether it is news.
func (v *View) Hear(endpoint string, w Word) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.words[endpoint]
	merged := Merge(old, w)
	v.words[endpoint] = merged
	return merged != old
}

// Word returns the merged word about an endpoint.
func (v *View) Word(endpoint string) Word {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.words[endpoint]
}

// SetLeaving replaces the set of endpoints that the platform's VM list calls
// leaving. The list lags, so it only ever adds a reason to avoid one.
func (v *View) SetLeaving(endpoints []string) {
	leaving := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		leaving[e] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = leaving
}

// Usable reports whether nothing speaks against new work for the endpoint.
func (v *View) Usable(endpoint string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.leaving[endpoint] && !v.words[endpoint].Draining
}
