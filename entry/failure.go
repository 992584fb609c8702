package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/wire"
)

// failure is an error answer to a caller.
type failure struct {
	status  int
	outcome Outcome
	// kind, code and param are the type, code and param of the error object
	// that OpenAI clients expect.
	kind    string
	code    string
	param   string
	message string
	// retryAfter is the value of Retry-After; 0 sends none.
	retryAfter time.Duration
}

// errorBody is the body of an error answer in the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func (f *failure) body() errorBody {
	d := errorDetail{Message: f.message, Type: f.kind, Code: &f.code}
	if f.param != "" {
		d.Param = &f.param
	}
	return errorBody{Error: d}
}

const (
	kindInvalid     = "invalid_request_error"
	kindAuth        = "authentication_error"
	kindLimit       = "rate_limit_error"
	kindUnavailable = "service_unavailable"
	kindUnknown     = "outcome_unknown"
	// minRetryAfter is the smallest Retry-After, which counts whole seconds.
	minRetryAfter = time.Second
)

// maxMessage bounds a message, in bytes: it may quote what the caller sent.
const maxMessage = 1 << 10

func boundedMessage(format string, args ...any) string {
	return event.Bound(fmt.Sprintf(format, args...), maxMessage)
}

func badRequest(param, format string, args ...any) *failure {
	return &failure{status: http.StatusBadRequest, outcome: OutcomeNotRun, kind: kindInvalid, code: "invalid_value", param: param, message: boundedMessage(format, args...)}
}

func unauthorized(message string) *failure {
	return &failure{status: http.StatusUnauthorized, outcome: OutcomeNotRun, kind: kindAuth, code: "invalid_api_key", message: message}
}

func notFound(code, format string, args ...any) *failure {
	return &failure{status: http.StatusNotFound, outcome: OutcomeNotRun, kind: kindInvalid, code: code, message: boundedMessage(format, args...)}
}

func tooLarge(limit int64) *failure {
	return &failure{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, kind: kindInvalid, code: "body_too_large", message: fmt.Sprintf("the body is larger than %d bytes", limit)}
}

func limited(after time.Duration) *failure {
	return &failure{status: http.StatusTooManyRequests, outcome: OutcomeNotRun, kind: kindLimit, code: "rate_limit_exceeded", message: "the workspace's limit is reached", retryAfter: max(after, minRetryAfter)}
}

func unavailable(message string, after time.Duration) *failure {
	return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, kind: kindUnavailable, code: "not_run", message: message, retryAfter: max(after, minRetryAfter)}
}

// unknownOutcome is the failure of a request that may have run.
func unknownOutcome(message string) *failure {
	return &failure{status: http.StatusGatewayTimeout, outcome: OutcomeUnknown, kind: kindUnknown, code: "outcome_unknown", message: message, retryAfter: minRetryAfter}
}

// conflict is the failure of a call that was refused because of its
// Idempotency-Key.
func conflict(reason wire.Reason, message string) *failure {
	return &failure{status: http.StatusConflict, outcome: OutcomeUnknown, kind: kindInvalid, code: string(reason), param: HeaderIdempotencyKey, message: message}
}

// fail sends a failure as the answer to the request.
func (q *request) fail(f *failure) {
	q.entry.metrics.Add("refused."+f.code, 1)
	q.entry.log.Emit(event.RequestRefused, zap.Stringer("request", q.id), zap.String("code", f.code), zap.String("message", f.message))
	if f.outcome == OutcomeUnknown {
		q.entry.log.Emit(event.OutcomeUnknown, zap.Stringer("request", q.id), zap.String("message", f.message))
	}
	q.beginAnswer(f.outcome)
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	q.w.WriteHeader(f.status)
	_ = json.NewEncoder(q.w).Encode(f.body())
}
