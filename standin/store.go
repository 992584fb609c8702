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

// StoreItem is one item of a Store, or the deletion of one.
type StoreItem struct {
	Key string `json:"key"`
	// Value is in base64, unless a test stores a malformed value with PutRaw.
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store simulates the platform's key-value store: listings in pages, watches,
// compaction, outages and a restore from a backup.
type Store struct {
	// PageSize is the number of items in one page of a listing; 0 means defaultPageSize.
	// It must be set before use.
	PageSize int
	// ReadLimiter, if not nil, limits the rate of calls; calls beyond it get status 429. It must
	// be set before use.
	ReadLimiter *rate.Limiter

	mu        sync.Mutex
	items     map[string]StoreItem
	history   []StoreItem
	compacted uint64 // the history up to this revision has been compacted
	revision  uint64
	changed   chan struct{}
	// down makes every call fail with status 503.
	down bool
	// era counts the restores from a backup.
	era uint64
}

// StoreBackup is a backup of a Store.
type StoreBackup struct {
	items    map[string]StoreItem
	history  []StoreItem
	revision uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]StoreItem), changed: make(chan struct{})}
}

// Put writes v as JSON and returns the new revision of the store.
func (s *Store) Put(key string, v any) uint64 {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // the calling test is wrong
	}
	return s.PutRaw(key, base64.StdEncoding.EncodeToString(text))
}

// PutRaw writes a value in its encoded form, as it appears in the store's answers.
// It need not be valid base64.
func (s *Store) PutRaw(key, value string) uint64 { return s.write(StoreItem{Key: key, Value: value}) }

// Delete deletes a key.
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

// Backup returns a backup of the store.
func (s *Store) Backup() StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreBackup{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// Restore restores the store from a backup and ends an outage. Writes since the backup
// are lost, and their revision numbers will be used again.
func (s *Store) Restore(b StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision = maps.Clone(b.items), slices.Clone(b.history), b.revision
	s.era++
	s.down = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history, so that a watch from an older revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Handler serves the store's read calls.
func (s *Store) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/api/kv-range", s.serveList).Methods(http.MethodGet)
	m.HandleFunc("/api/kv-watch", s.serveWatch).Methods(http.MethodGet)
	return s.addEraHeader(s.limitReads(m))
}

// limitReads refuses calls beyond the rate of ReadLimiter.
func (s *Store) limitReads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.ReadLimiter != nil && !s.ReadLimiter.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// addEraHeader adds the Store-Era header to all answers.
func (s *Store) addEraHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		next.ServeHTTP(w, r)
	})
}

// defaultPageSize is the default number of items in one page of a listing. It is small so
// that listings in tests have several pages.
const defaultPageSize = 3

func (s *Store) pageSize() int {
	if s.PageSize > 0 {
		return s.PageSize
	}
	return defaultPageSize
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	page, ok := s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// page returns the page of a listing that follows the key after; ok is false if the store
// is down.
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

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a restore cuts all open watches
		}
		down, compacted, revision, changed := s.down, after < s.compacted || after > s.revision, s.revision, s.changed
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
		case compacted:
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
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
