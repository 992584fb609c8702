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

// CallHeader is the request header with the ID of a call, by which the plain
// service counts how often each call ran.
const CallHeader = "X-Call-Id"

// PlainSettings configure the plain service.
type PlainSettings struct {
	// CallDuration is the duration of a call. Default 5ms.
	CallDuration jsonc.Duration `json:"time"`
}

// PlainService simulates a plain service. It counts how often each call ran, so
// that a load generator can find calls that ran twice.
type PlainService struct {
	settings PlainSettings
	faults   *faultInjector
	router   *mux.Router
	mu       sync.Mutex
	runs     map[string]int
	total    int
}

// NewPlainService returns a plain service.
func NewPlainService(set PlainSettings) *PlainService {
	set.CallDuration = cmp.Or(set.CallDuration, jsonc.Duration(5*time.Millisecond))
	p := &PlainService{settings: set, faults: newFaultInjector(), router: mux.NewRouter(), runs: make(map[string]int)}
	p.faults.hooks[FaultCrash] = func() {} // a crash has no effect on a plain service
	p.router.Handle("/admin/fault", p.faults).Methods(http.MethodPost)
	p.router.HandleFunc("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.RunCounts()) })
	p.router.HandleFunc("/health", p.serveHealth)
	p.router.PathPrefix("/").HandlerFunc(p.serveCall)
	return p
}

// PlainAnswer is the body of the answer to a call. It repeats the request, so that
// callers can check that the answer is theirs.
type PlainAnswer struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	CallID    string `json:"call"`
	RunNumber int    `json:"run"`
	Body      string `json:"body"`
}

// RunCounts returns the number of runs of each call, by call ID.
func (p *PlainService) RunCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for call, n := range p.runs {
		runs[call] = n
	}
	return runs
}

// InjectFault injects a fault, as POST /admin/fault does.
func (p *PlainService) InjectFault(f Fault) { p.faults.inject(f) }

// ServeHTTP implements http.Handler.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

func (p *PlainService) serveHealth(w http.ResponseWriter, r *http.Request) {
	if p.faults.active(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.faults.waitWhile(r.Context(), FaultStall) {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	if p.faults.active(FaultOutage) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !p.faults.waitWhile(r.Context(), FaultStall) || !ebonypulley.Sleep(r.Context(), scale(p.settings.CallDuration.D(), p.faults.slowdown())) {
		return
	}
	call := r.Header.Get(CallHeader)
	p.mu.Lock()
	p.total++
	p.runs[call]++
	run := p.runs[call]
	p.mu.Unlock()
	if p.faults.active(FaultNoAnswer) {
		abortConnection()
	}
	w.Header().Set("X-Run", strconv.Itoa(run))
	reply(w, PlainAnswer{Method: r.Method, Path: r.URL.Path, CallID: call, RunNumber: run, Body: string(body)})
}
