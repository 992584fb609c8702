// Package metrics publishes counters and histograms by expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations with three significant digits from 10 µs to
// 15 minutes. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const (
	unit       = 10 * time.Microsecond
	maxUnits   = int64(15 * time.Minute / unit)
	digits     = 2
	quantile50 = 50
	quantile95 = 95
	quantile99 = 99
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxUnits, digits)}
}

// Record adds a duration; values beyond the range count as its ends.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(int64(d/unit), 1), maxUnits)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(v)
}

// Summary is a histogram in figures.
type Summary struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Summary returns the current figures.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(h.h.ValueAtQuantile(q)) * unit }
	return Summary{
		Count: h.h.TotalCount(),
		P50:   at(quantile50),
		P95:   at(quantile95),
		P99:   at(quantile99),
		Max:   time.Duration(h.h.Max()) * unit,
	}
}

// Set is a growing set of named counters and histograms.
type Set struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*Histogram
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{counters: make(map[string]int64), histograms: make(map[string]*Histogram)}
}

// Add adds to a counter.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[name] += n
}

// Count returns a counter.
func (s *Set) Count(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters[name]
}

// Histogram returns the histogram of a name, new if need be.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histograms[name]
	if !ok {
		h = NewHistogram()
		s.histograms[name] = h
	}
	return h
}

// Snapshot is a Set in figures.
type Snapshot struct {
	Counters   map[string]int64   `json:"counters"`
	Histograms map[string]Summary `json:"histograms"`
}

// Snapshot returns the current figures.
func (s *Set) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{Counters: make(map[string]int64), Histograms: make(map[string]Summary)}
	for name, n := range s.counters {
		out.Counters[name] = n
	}
	for name, h := range s.histograms {
		out.Histograms[name] = h.Summary()
	}
	return out
}

var published sync.Map // name -> *source

type source struct {
	mu sync.Mutex
	fn func() any
}

// Publish shows fn's value under name in expvar. Publishing a name again
// replaces it, because a process may run the same daemon twice in a test.
func Publish(name string, fn func() any) {
	src, loaded := published.LoadOrStore(name, new(source))
	s := src.(*source)
	s.mu.Lock()
	s.fn = fn
	s.mu.Unlock()
	if loaded {
		return
	}
	expvar.Publish(name, expvar.Func(func() any {
		s.mu.Lock()
		fn := s.fn
		s.mu.Unlock()
		v := fn()
		if _, err := json.Marshal(v); err != nil {
			return err.Error()
		}
		return v
	}))
}
