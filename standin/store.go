package standin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// StoreItem is one item of a Store, or its removal.
type StoreItem struct {
	Key string `json:"key"`
	// Value is in base64, unless a test publishes bytes that can't be read.
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store stands in for the platform's store: listings, watches and an outage.
type Store struct {
	// Page is the number of items in one page of a listing; 0 for storePage. It is set
	// before use.
	Page int
	// Reads, if set before use, bounds the calls that are answered; those beyond get 429.
	Reads *rate.Limiter

	mu       sync.Mutex
	items    map[string]StoreItem
	history  []StoreItem
	dropped  uint64 // history up to this revision is gone
	revision uint64
	changed  chan struct{}
	// down makes every call fail with 503.
	down bool
	// era counts how often the store came back from a copy.
	era uint64
}

// StoreCopy is what a Store held at a moment.
type StoreCopy struct {
	items    map[string]StoreItem
	history  []StoreItem
	revision uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]StoreItem), changed: make(chan struct{})}
}

// Put writes v as JSON and returns the store's revision.
func (s *Store) Put(key string, v any) uint64 {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // a mistake in the test that calls it
	}
	return s.PutRaw(key, base64.StdEncoding.EncodeToString(text))
}

// PutRaw writes a value as it stands in the store's answers.
func (s *Store) PutRaw(key, value string) uint64 { return s.write(StoreItem{Key: key, Value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(StoreItem{Key: key, Deleted: true}) }

func (s *Store) write(item StoreItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.items[item.Key] = item
	if item.Deleted {
		delete(s.items, item.Key)
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return item.Revision
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Copy returns what the store holds.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// Restore brings the store back from a copy: what was written since is lost, and its
// revisions are given out again.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.era++
	s.down = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
}

// Handler serves the store's reading calls.
func (s *Store) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/api/kv-range", s.list).Methods(http.MethodGet)
	m.HandleFunc("/api/kv-watch", s.watch).Methods(http.MethodGet)
	return s.withEra(s.withRate(m))
}

// withRate refuses calls beyond the published rate.
func (s *Store) withRate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Reads != nil && !s.Reads.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withEra adds the era to all answers.
func (s *Store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		next.ServeHTTP(w, r)
	})
}

// storePage is the number of items in one page of a listing, few so that tests see several.
const storePage = 3

func (s *Store) pageSize() int {
	if s.Page > 0 {
		return s.Page
	}
	return storePage
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	page, ok := s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// page returns the items behind a key, unless the store is down.
func (s *Store) page(prefix, after string) (page map[string]any, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, false
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > s.pageSize()
	keys = keys[:min(len(keys), s.pageSize())]
	items := make([]StoreItem, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	return map[string]any{"items": items, "more_pages": more, "store_revision": s.revision}, true
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	began := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != began {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch does not outlive its era
		}
		down, gone, revision, changed := s.down, after < s.dropped || after > s.revision, s.revision, s.changed
		events := make([]StoreItem, 0)
		for _, i := range s.history {
			if i.Revision > after {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader is gone
}
