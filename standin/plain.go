package standin

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"ebonypulley"
	"ebonypulley/jsonc"
)

// CallHeader names a call, so that the plain service can count how often
// each ran.
const CallHeader = "X-Call-Id"

// PlainSettings are those of the plain service.
type PlainSettings struct {
	// Time is how long a call takes. Default 5ms.
	Time jsonc.Duration `json:"time"`
}

// PlainService counts how often each call ran.
type PlainService struct {
	set    PlainSettings
	faults *faults
	router *mux.Router
	mu     sync.Mutex
	runs   map[string]int
	total  int
}

// NewPlainService returns a plain service.
func NewPlainService(set PlainSettings) *PlainService {
	set.Time = cmp.Or(set.Time, jsonc.Duration(5*time.Millisecond))
	p := &PlainService{set: set, faults: newFaults(), router: mux.NewRouter(), runs: make(map[string]int)}
	p.faults.hooks[FaultCrash] = func() {}
	p.router.Handle("/admin/fault", p.faults).Methods(http.MethodPost)
	p.router.HandleFunc("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Runs()) })
	p.router.HandleFunc("/health", p.serveHealth)
	p.router.PathPrefix("/").HandlerFunc(p.serveCall)
	return p
}

// PlainAnswer is the body of every answer.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Call   string `json:"call"`
	Run    int    `json:"run"`
	Body   string `json:"body"`
}

// Runs returns how often each call ran.
func (p *PlainService) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for call, n := range p.runs {
		runs[call] = n
	}
	return runs
}

// Fault switches a fault on, as POST /admin/fault does.
func (p *PlainService) Fault(f Fault) { p.faults.set(f) }

// ServeHTTP implements http.Handler.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

func (p *PlainService) serveHealth(w http.ResponseWriter, r *http.Request) {
	if p.faults.is(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.faults.wait(r.Context(), FaultStall) {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	if p.faults.is(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !p.faults.wait(r.Context(), FaultStall) || !ebonypulley.Sleep(r.Context(), scale(p.set.Time.D(), p.faults.factor())) {
		return
	}
	call := r.Header.Get(CallHeader)
	p.mu.Lock()
	p.total++
	p.runs[call]++
	run := p.runs[call]
	p.mu.Unlock()
	if p.faults.is(FaultNoAnswer) {
		abortConnection()
	}
	w.Header().Set("X-Run", strconv.Itoa(run))
	reply(w, PlainAnswer{Method: r.Method, Path: r.URL.Path, Call: call, Run: run, Body: string(body)})
}
