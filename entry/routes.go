package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

func (e *Entry) routes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", e.admitted((*request).chatCompletion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.admitted((*request).completion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.admitted((*request).models)).Methods(http.MethodGet)
	r.PathPrefix("/app/{route}").HandlerFunc(e.admitted((*request).plainCall))
	r.HandleFunc("/healthz", e.health).Methods(http.MethodGet)
	r.NotFoundHandler = e.admitted((*request).noSuchPath)
	r.MethodNotAllowedHandler = e.admitted((*request).wrongMethod)
	return r
}

// health serves the load balancer's health check.
func (e *Entry) health(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.store.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (q *request) noSuchPath() {
	q.fail(notFound("unknown_path", "there is nothing at %s", q.r.URL.Path))
}

func (q *request) wrongMethod() {
	f := notFound("wrong_method", "%s is not possible at %s", q.r.Method, q.r.URL.Path)
	f.status = http.StatusMethodNotAllowed
	q.fail(f)
}

// bodyTimeout bounds the time that a caller may take to send a request body.
const bodyTimeout = 15 * time.Second

// readBody reads the request body within the limits on size and time.
//
// After a complete body the read deadline is cleared, because net/http takes a
// read deadline that passes during the answer for a disconnected caller. After
// an incomplete one it stays: net/http reads the rest of the body before it
// answers, and a caller that sends half a body would block it forever.
func (q *request) readBody() ([]byte, *failure) {
	limit := q.snapshot.Document.Limits.MaxBodyBytes
	ctl := http.NewResponseController(q.w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		_ = ctl.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge(limit)
	case err != nil:
		f := badRequest("", "the body did not arrive whole")
		f.status = http.StatusRequestTimeout
		return nil, f
	}
	return body, nil
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (q *request) models() {
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range q.snapshot.Document.Services {
		if s.Model != "" {
			list.Data = append(list.Data, model{ID: s.Model, Object: "model", OwnedBy: q.snapshot.Document.Deployment})
		}
	}
	q.beginAnswer(OutcomeAnswered)
	q.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(q.w).Encode(list)
}
