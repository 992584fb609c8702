// Package metrics provides counters and duration histograms and publishes them
// with expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations from 10 µs to 15 minutes with two significant
// digits. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const (
	resolution        = 10 * time.Microsecond
	maxUnits          = int64(15 * time.Minute / resolution)
	significantDigits = 2
	quantile50        = 50
	quantile95        = 95
	quantile99        = 99
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxUnits, significantDigits)}
}

// Record adds a duration; a value outside the range is clamped to it.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(int64(d/resolution), 1), maxUnits)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(v)
}

// Summary holds the count, quantiles and maximum of a histogram.
type Summary struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Summary returns the histogram's current summary.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(h.h.ValueAtQuantile(q)) * resolution }
	return Summary{
		Count: h.h.TotalCount(),
		P50:   at(quantile50),
		P95:   at(quantile95),
		P99:   at(quantile99),
		Max:   time.Duration(h.h.Max()) * resolution,
	}
}

// Set holds named counters and histograms, each created on first use. It is
// safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*Histogram
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{counters: make(map[string]int64), histograms: make(map[string]*Histogram)}
}

// Add adds n to the named counter.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[name] += n
}

// Count returns the value of the named counter, 0 if it does not exist.
func (s *Set) Count(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters[name]
}

// Histogram returns the named histogram and creates it if it does not exist.
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

// Snapshot holds the values of a Set at one time.
type Snapshot struct {
	Counters   map[string]int64   `json:"counters"`
	Histograms map[string]Summary `json:"histograms"`
}

// Snapshot returns the current values of all counters and histograms.
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

// source is the replaceable function behind a published variable.
type source struct {
	mu sync.Mutex
	fn func() any
}

// Publish makes the value of fn available in expvar under name. Publishing a
// name again replaces the function, because a test may run the same daemon
// twice in one process, and expvar can't publish a name twice.
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
