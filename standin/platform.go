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

// ConfigService simulates the configuration service. GET /v1/config returns the
// current configuration document; with ?etag= and ?wait= it is a long poll for a
// document with another tag. PUT /admin/config publishes a document.
type ConfigService struct {
	faults    *faultInjector
	router    *mux.Router
	mu        sync.Mutex
	documents [][]byte // oldest first
	changed   chan struct{}
	reads     int64
	waiting   int
}

// maxDocuments is the number of published documents that are kept; FaultStale
// serves the oldest of them.
const maxDocuments = 8

// NewConfigService returns a service whose current document is text; nil means
// that none has been published.
func NewConfigService(text []byte) *ConfigService {
	c := &ConfigService{faults: newFaultInjector(), router: mux.NewRouter(), changed: make(chan struct{})}
	if text != nil {
		c.documents = [][]byte{text}
	}
	c.router.HandleFunc("/v1/config", c.serveRead).Methods(http.MethodGet)
	c.router.HandleFunc("/admin/config", c.servePublish).Methods(http.MethodPut)
	c.router.Handle("/admin/fault", c.faults).Methods(http.MethodPost)
	c.router.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, c.Stats()) })
	return c
}

// ConfigStats counts read calls so far and those in progress. A long poll is one
// call.
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
	c.documents = append(c.documents, text)
	if len(c.documents) > maxDocuments {
		c.documents = c.documents[1:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// InjectFault injects a fault, as POST /admin/fault does.
func (c *ConfigService) InjectFault(f Fault) { c.faults.inject(f) }

// ServeHTTP implements http.Handler.
func (c *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.router.ServeHTTP(w, r) }

func (c *ConfigService) current() ([]byte, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.documents) == 0:
		return nil, c.changed
	case c.faults.active(FaultStale):
		return c.documents[0], c.changed
	default:
		return c.documents[len(c.documents)-1], c.changed
	}
}

func (c *ConfigService) addStats(waiting int, reads int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += waiting
	c.reads += reads
}

func (c *ConfigService) serveRead(w http.ResponseWriter, r *http.Request) {
	c.addStats(1, 1)
	defer c.addStats(-1, 0)
	if !c.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if c.faults.active(FaultOutage) {
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
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-changed:
		}
	}
}

func etag(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// maxDocumentBytes is the largest document that the service accepts.
const maxDocumentBytes = 1 << 20

func (c *ConfigService) servePublish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	c.Publish(text)
	w.WriteHeader(http.StatusNoContent)
}

// VMList simulates the platform's list of VMs. Changes become visible after a lag.
type VMList struct {
	faults *faultInjector
	router *mux.Router
	lag    time.Duration
	mu     sync.Mutex
	vms    map[string]source.VM
}

// NewVMList returns a list of VMs, all live, whose changes become visible after lag.
func NewVMList(names []string, lag jsonc.Duration) *VMList {
	l := &VMList{faults: newFaultInjector(), router: mux.NewRouter(), lag: lag.D(), vms: make(map[string]source.VM)}
	for _, n := range names {
		l.vms[n] = source.VM{Name: n, State: source.VMLive}
	}
	l.router.HandleFunc("/v1/vms", l.serveList).Methods(http.MethodGet)
	l.router.HandleFunc("/admin/vms/{name}/{state}", l.serveSet).Methods(http.MethodPut)
	l.router.Handle("/admin/fault", l.faults).Methods(http.MethodPost)
	return l
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.router.ServeHTTP(w, r) }

func (l *VMList) serveList(w http.ResponseWriter, r *http.Request) {
	if !l.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	if l.faults.active(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out source.VMList
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

// WeightStore simulates a store of model weights. Downloads run one after the other
// and each takes loadTime.
type WeightStore struct {
	faults    *faultInjector
	router    *mux.Router
	loadTime  time.Duration
	mu        sync.Mutex
	busyUntil time.Time
}

// NewWeightStore returns a store whose downloads take loadTime each.
func NewWeightStore(loadTime jsonc.Duration) *WeightStore {
	s := &WeightStore{faults: newFaultInjector(), router: mux.NewRouter(), loadTime: loadTime.D()}
	s.router.HandleFunc("/weights/{model}", s.serveWeights)
	s.router.Handle("/admin/fault", s.faults).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !s.faults.waitWhile(r.Context(), FaultStall) {
		return
	}
	s.mu.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.loadTime)
	wait := s.busyUntil.Sub(now)
	s.mu.Unlock()
	if ebonypulley.Sleep(r.Context(), wait) {
		w.WriteHeader(http.StatusNoContent)
	}
}
