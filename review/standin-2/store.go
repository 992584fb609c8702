package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, which the system can only read.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{}
	addr     string
	// era is how often the store was restored, and horizon the revision before which it has no
	// history. While it is away it answers nothing.
	era, horizon uint64
	away         bool
}

// backup is a copy of the store.
type backup struct {
	items    map[string]storeItem
	revision uint64
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// startStore serves a store on a free port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", listenAnywhere)
	if err != nil {
		return nil, err
	}
	s := &store{items: make(map[string]storeItem), changed: make(chan struct{}), addr: ln.Addr().String(), revision: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	go func() { _ = http.Serve(ln, s.withEra(mux)) }()
	return s, nil
}

// withEra names the era in all answers, and resets channels while the store is away.
func (s *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		next.ServeHTTP(w, r)
	})
}

// copy returns a copy of the store.
func (s *store) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{items: maps.Clone(s.items), revision: s.revision}
}

// leave makes the store answer nothing until it is restored.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wakeLocked()
}

// restore brings the store back from a copy.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.history, s.horizon = maps.Clone(b.items), b.revision, nil, b.revision
	s.era++
	s.away = false
	s.wakeLocked()
}

// put writes a value. Each write raises the revision.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, Created: s.items[key].Created}
	if item.Created == 0 {
		item.Created = s.revision
	}
	s.items[key] = item
	s.wake(item)
}

// wake adds a change to the history and wakes the watches. The caller holds s.mu.
func (s *store) wake(item storeItem) {
	s.history = append(s.history, item)
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "store_revision": rev})
}

// maxPage is the number of items in one page of a listing.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			items = append(items, item)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	reply(w, map[string]any{"items": items, "more_pages": more, "store_revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for late := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch that waits is cut
		}
		if after > s.revision || after < s.horizon {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, q.Get("path_prefix")) {
				events = append(events, item)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || late {
			reply(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
