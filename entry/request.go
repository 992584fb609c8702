package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/invariant"
	"ebonypulley/wire"
)

// Headers of the callers' API.
const (
	HeaderRequestID           = "X-Request-Id"
	HeaderOutcome             = "X-Outcome"
	HeaderDeadline            = "X-Deadline"
	HeaderIdempotencyKey      = "Idempotency-Key"
	HeaderIdempotencyReplayed = "Idempotency-Replayed"
)

// Outcome reports to the caller whether the request ran.
type Outcome string

// Values of Outcome.
const (
	// OutcomeAnswered: the answer is complete, or has begun as a stream.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: the request did not run and will not; repeating it is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// request is a caller's request with what authentication and admission found
// about it.
type request struct {
	entry       *Entry
	id          wire.ID
	w           http.ResponseWriter
	r           *http.Request
	snapshot    *config.Snapshot
	workspace   *config.Workspace
	tier        *config.Tier
	began       time.Time
	deadline    time.Time
	answerCount atomic.Int32
}

// beginAnswer records that the answer to the request begins. It must be called
// exactly once per answered request.
func (q *request) beginAnswer(o Outcome) {
	n := q.answerCount.Add(1)
	invariant.Check(n == 1, invariant.SingleAnswer, "request %s answered %d times", q.id, n)
	q.w.Header().Set(HeaderOutcome, string(o))
	q.entry.metrics.Add("outcome."+string(o), 1)
}

// context returns a context that ends at the request's deadline, when the
// caller disconnects or when the server closes.
func (q *request) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(q.r.Context(), q.deadline)
}

// disconnected reports whether the caller has disconnected.
func (q *request) disconnected() bool { return q.r.Context().Err() != nil }

// admitted calls next for a request with a valid workspace key, a valid
// deadline header and room within its workspace's limits. It refuses others as
// not run.
func (e *Entry) admitted(next func(q *request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := &request{entry: e, id: wire.NewID(), w: w, r: r, began: time.Now()}
		w.Header().Set(HeaderRequestID, q.id.String())
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		e.metrics.Add("requests", 1)
		if f := q.authenticate(); f != nil {
			q.fail(f)
			return
		}
		if f := q.readDeadline(); f != nil {
			q.fail(f)
			return
		}
		if f := e.limits.admit(time.Now(), q.workspace); f != nil {
			q.failQuota(f)
			return
		}
		defer e.limits.release(q.workspace)
		next(q)
	}
}

// failQuota refuses a request whose workspace is at a limit.
func (q *request) failQuota(f *failure) {
	q.entry.metrics.Add("quota_refused."+q.workspace.Name, 1)
	q.fail(f)
}

func (q *request) authenticate() *failure {
	q.snapshot = q.entry.store.Current()
	if q.snapshot == nil {
		return unavailable("no configuration has reached this entry yet", time.Second)
	}
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return unauthorized("the Authorization header must be: Bearer <workspace key>")
	}
	q.workspace = q.snapshot.WorkspaceOfKey(strings.TrimSpace(key))
	if q.workspace == nil {
		return unauthorized("the workspace key is not valid")
	}
	q.tier = q.snapshot.Document.Tier(q.workspace.Tier)
	return nil
}

func (q *request) readDeadline() *failure {
	limits := q.snapshot.Document.Limits
	text := q.r.Header.Get(HeaderDeadline)
	if text == "" {
		q.deadline = q.began.Add(limits.DefaultDeadline.D())
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > limits.MaxDeadline.D() {
		return badRequest(HeaderDeadline, "%s must be a duration such as 30s, above 0 and at most %s", HeaderDeadline, limits.MaxDeadline.D())
	}
	q.deadline = q.began.Add(d)
	return nil
}

// histogramClass returns the name under which the request is recorded in
// histograms.
func (q *request) histogramClass(service string) string { return q.tier.Name + "." + service }

func (q *request) recordCallerGone() {
	q.entry.metrics.Add("callers_gone", 1)
	q.entry.log.Emit(event.CallerDisconnected, zap.Stringer("request", q.id))
}
