package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// WorkerRequest records a request that a Worker received.
type WorkerRequest struct {
	Method, URI, Stage string
	Header             http.Header
	Body               string
}

// Worker simulates a worker of the platform. It checks the incarnation that a
// request expects, and answers plain calls, prefills, streams of events and calls
// of the engine API.
type Worker struct {
	// ID is the worker's incarnation.
	ID string
	// Events is the number of events in a complete answer.
	Events int
	// EventDelay is the delay before each event.
	EventDelay time.Duration
	// Answer, if set, is called for each request that is not of the engine API.
	// It returns false if it has not answered, so that the worker does.
	Answer func(w http.ResponseWriter, r *http.Request) bool
	// AbortAfter, if above 0, aborts one stream in the middle of the event that
	// follows this number of events.
	AbortAfter int
	// Draining makes each answer state that the worker is draining.
	Draining bool
	// Limit is the limit that each answer advertises, in requests a second; empty
	// advertises none.
	Limit string
	// Load, if set, returns the load that each answer reports.
	Load func() string
	// RefusePrefillResults makes the worker refuse prefill results of other workers.
	RefusePrefillResults bool

	mu       sync.Mutex
	requests []WorkerRequest
}

// Requests returns the requests that the worker has received so far.
func (k *Worker) Requests() []WorkerRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]WorkerRequest(nil), k.requests...)
}

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	k.mu.Lock()
	k.requests = append(k.requests, WorkerRequest{Method: r.Method, URI: r.RequestURI, Stage: r.Header.Get("Stage"), Header: r.Header.Clone(), Body: string(body)})
	k.mu.Unlock()
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if k.Draining {
		w.Header().Set("Server-Leaving", "1")
	}
	if k.Limit != "" {
		w.Header().Set("Server-Limit", k.Limit)
	}
	if k.Load != nil {
		w.Header().Set("Server-Load", k.Load())
	}
	switch {
	case r.Header.Get("Expect-Instance") != k.ID:
		w.Header().Set("Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.RequestURI == "/api/hold-take":
		fmt.Fprint(w, `{"hold":"h1"}`)
	case r.RequestURI == "/api/kv-list":
		fmt.Fprint(w, `{"epoch":"1","next":1,"held":[["","5e55","5200","m"]]}`)
	case strings.HasPrefix(r.RequestURI, "/api/"):
	case k.Answer != nil && k.Answer(w, r):
	case r.Header.Get("Stage") == "prefill":
		fmt.Fprint(w, `{"kv_handle":"abc","tokens":5200,"version":1}`)
	case r.Header.Get("Token-Count") != "":
		k.stream(w, r)
	default:
		w.Header().Set("Response-Signature", "signed by "+k.ID)
		fmt.Fprintf(w, "answer to %s", body)
	}
}

func (k *Worker) stream(w http.ResponseWriter, r *http.Request) {
	if k.RefusePrefillResults && r.Header.Get("Kv-Source") != "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		fmt.Sscan(last, &from)
	}
	w.Header().Set("Response-Signature", "signed by "+k.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= k.Events; i++ {
		select {
		case <-time.After(k.EventDelay):
		case <-r.Context().Done():
			return
		}
		if k.abortsAt(i) {
			fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func (k *Worker) abortsAt(event int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.AbortAfter == 0 || event <= k.AbortAfter {
		return false
	}
	k.AbortAfter = 0
	return true
}
