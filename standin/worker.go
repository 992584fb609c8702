package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// WorkerRequest is one request as a Worker got it.
type WorkerRequest struct {
	Method, URI, Stage string
	Header             http.Header
	Body               string
}

// Worker stands in for a worker of the platform: it checks which incarnation
// is meant, answers calls, computes prompts and streams events.
type Worker struct {
	// ID is its incarnation.
	ID string
	// Events is the number of events of a whole answer.
	Events int
	// EventPause is the time before each event.
	EventPause time.Duration
	// Answer, if set, answers plain calls in its own way; it returns false to
	// leave the call to the worker.
	Answer func(w http.ResponseWriter, r *http.Request) bool
	// BreakAfter, if above 0, breaks the stream off in the middle of the event
	// after that many, once.
	BreakAfter int
	// Leaving makes it say in each answer that it leaves.
	Leaving bool
	// Limit is what it says in each answer that it takes, in requests a second; empty for
	// nothing.
	Limit string
	// Load, if set, returns what each answer says of its load.
	Load func() string
	// RefuseResults makes it refuse prompts that were computed elsewhere.
	RefuseResults bool

	mu       sync.Mutex
	requests []WorkerRequest
}

// Requests returns what it got so far.
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
	if k.Leaving {
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
	if k.RefuseResults && r.Header.Get("Kv-Source") != "" {
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
		case <-time.After(k.EventPause):
		case <-r.Context().Done():
			return
		}
		if k.breaks(i) {
			fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func (k *Worker) breaks(event int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.BreakAfter == 0 || event <= k.BreakAfter {
		return false
	}
	k.BreakAfter = 0
	return true
}
