package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"ebonypulley"
	"ebonypulley/jsonc"
	"ebonypulley/source"
)

// ConfigService holds the published document: GET /v1/config reads it, with
// ?etag= and ?wait= it watches. PUT /admin/config is the operators' own means
// to publish.
type ConfigService struct {
	faults  *faults
	router  *mux.Router
	mu      sync.Mutex
	texts   [][]byte // oldest first
	changed chan struct{}
	reads   int64
	waiting int
}

// keepTexts is how many published documents staleness can go back.
const keepTexts = 8

// NewConfigService returns a service that has published text, if any.
func NewConfigService(text []byte) *ConfigService {
	c := &ConfigService{faults: newFaults(), router: mux.NewRouter(), changed: make(chan struct{})}
	if text != nil {
		c.texts = [][]byte{text}
	}
	c.router.HandleFunc("/v1/config", c.serveRead).Methods(http.MethodGet)
	c.router.HandleFunc("/admin/config", c.servePublish).Methods(http.MethodPut)
	c.router.Handle("/admin/fault", c.faults).Methods(http.MethodPost)
	c.router.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, c.Stats()) })
	return c
}

// ConfigStats counts the calls, a watch as one.
type ConfigStats struct {
	Reads   int64 `json:"reads"`
	Waiting int   `json:"waiting"`
}

// Stats returns the counters.
func (c *ConfigService) Stats() ConfigStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConfigStats{Reads: c.reads, Waiting: c.waiting}
}

// Publish makes text the current document.
func (c *ConfigService) Publish(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.texts = append(c.texts, text)
	if len(c.texts) > keepTexts {
		c.texts = c.texts[1:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Fault switches a fault on, as POST /admin/fault does.
func (c *ConfigService) Fault(f Fault) { c.faults.set(f) }

// ServeHTTP implements http.Handler.
func (c *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.router.ServeHTTP(w, r) }

func (c *ConfigService) current() ([]byte, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.texts) == 0:
		return nil, c.changed
	case c.faults.is(FaultStale):
		return c.texts[0], c.changed
	default:
		return c.texts[len(c.texts)-1], c.changed
	}
}

func (c *ConfigService) count(waiting int, reads int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += waiting
	c.reads += reads
}

func (c *ConfigService) serveRead(w http.ResponseWriter, r *http.Request) {
	c.count(1, 1)
	defer c.count(-1, 0)
	if !c.faults.wait(r.Context(), FaultStall) {
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	expire := time.NewTimer(wait)
	defer expire.Stop()
	for {
		if c.faults.is(FaultOutage) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		text, changed := c.current()
		tag := etag(text)
		if text != nil && tag != r.URL.Query().Get("etag") {
			w.Header().Set("ETag", tag)
			_, _ = w.Write(text)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-expire.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-changed:
		}
	}
}

func etag(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// maxDocument is the largest value that the service holds.
const maxDocument = 1 << 20

func (c *ConfigService) servePublish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocument))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	c.Publish(text)
	w.WriteHeader(http.StatusNoContent)
}

// VMList is the platform's list of VMs; changes appear after Lag.
type VMList struct {
	faults *faults
	router *mux.Router
	lag    time.Duration
	mu     sync.Mutex
	vms    map[string]source.VM
}

// NewVMList returns a list of live VMs whose changes show after lag.
func NewVMList(names []string, lag jsonc.Duration) *VMList {
	l := &VMList{faults: newFaults(), router: mux.NewRouter(), lag: lag.D(), vms: make(map[string]source.VM)}
	for _, n := range names {
		l.vms[n] = source.VM{Name: n, State: source.Live}
	}
	l.router.HandleFunc("/v1/vms", l.serveList).Methods(http.MethodGet)
	l.router.HandleFunc("/admin/vms/{name}/{state}", l.serveSet).Methods(http.MethodPut)
	l.router.Handle("/admin/fault", l.faults).Methods(http.MethodPost)
	return l
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.router.ServeHTTP(w, r) }

func (l *VMList) serveList(w http.ResponseWriter, r *http.Request) {
	if !l.faults.wait(r.Context(), FaultStall) {
		return
	}
	if l.faults.is(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out source.VMs
	for _, vm := range l.vms {
		out.VMs = append(out.VMs, vm)
	}
	reply(w, out)
}

func (l *VMList) serveSet(w http.ResponseWriter, r *http.Request) {
	vm := source.VM{Name: mux.Vars(r)["name"], State: source.VMState(mux.Vars(r)["state"])}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms[vm.Name] = vm
	})
	w.WriteHeader(http.StatusAccepted)
}

// WeightStore hands out model weights one after the other at its rate.
type WeightStore struct {
	faults *faults
	router *mux.Router
	take   time.Duration
	mu     sync.Mutex
	busy   time.Time
}

// NewWeightStore returns a store that needs take for one model.
func NewWeightStore(take jsonc.Duration) *WeightStore {
	s := &WeightStore{faults: newFaults(), router: mux.NewRouter(), take: take.D()}
	s.router.HandleFunc("/weights/{model}", s.serveWeights)
	s.router.Handle("/admin/fault", s.faults).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !s.faults.wait(r.Context(), FaultStall) {
		return
	}
	s.mu.Lock()
	now := time.Now()
	if s.busy.Before(now) {
		s.busy = now
	}
	s.busy = s.busy.Add(s.take)
	wait := s.busy.Sub(now)
	s.mu.Unlock()
	if ebonypulley.Sleep(r.Context(), wait) {
		w.WriteHeader(http.StatusNoContent)
	}
}
