package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the platform's store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store simulates the platform's store: listings and watches of a linearizable history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{})}
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the script is wrong
	}
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

// remove deletes a key.
func (s *store) remove(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageSize is the number of items in a page of a listing.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	list := make([]item, 0, len(keys))
	for _, k := range keys[:min(len(keys), pageSize)] {
		list = append(list, s.items[k])
	}
	writeJSON(w, map[string]any{"items": list, "more_pages": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for done := false; ; {
		s.mu.Lock()
		events := make([]item, 0)
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the entry has disconnected
}
