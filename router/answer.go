package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var (
	routerErrors = errorx.NewNamespace("router")
	// ErrNotRun means that the request provably did not run at the endpoint and never
	// will.
	ErrNotRun = routerErrors.NewType("not-run")
	// ErrNotSent is an ErrNotRun of an attempt that ended before any byte was sent, so that it
	// can't arrive at the endpoint.
	ErrNotSent = ErrNotRun.NewSubtype("not-sent")
	// ErrUnreachable is an ErrNotSent from an endpoint that accepted no connection.
	ErrUnreachable = ErrNotSent.NewSubtype("unreachable")
	// ErrNotListening is an ErrUnreachable from an address where nothing listens.
	ErrNotListening = ErrUnreachable.NewSubtype("absent")
	// ErrReplaced is an ErrNotRun from another endpoint that now has this address.
	ErrReplaced = ErrNotRun.NewSubtype("moved")
	// ErrLost is returned if a request may have run but its answer is missing or
	// incomplete.
	ErrLost = routerErrors.NewType("lost")
	// ErrBroken is an ErrLost whose connection ended before the answer was complete.
	ErrBroken = ErrLost.NewSubtype("broken")
	// ErrQueueTimeout is an ErrNotRun of a request that queued at an endpoint for the
	// maximum time. Trying another endpoint cannot help.
	ErrQueueTimeout = ErrNotRun.NewSubtype("waited")
	// ErrExpired is an ErrLost from an endpoint that dropped the work because it received
	// no heartbeat from this process. It does not indicate an outage of the endpoint.
	ErrExpired = ErrLost.NewSubtype("expired")
	// ErrPartial is returned with what could be read of an endpoint's list.
	ErrPartial = routerErrors.NewType("partial")
	// ErrStopping is the cause of the end of a call's context that is cut because this process
	// stops.
	ErrStopping = routerErrors.NewType("stopping")
	// ErrCallerGone is returned by a Sink whose caller has disconnected.
	ErrCallerGone = routerErrors.NewType("caller")
)

// retryAfter is the error property that holds an endpoint's suggested retry delay.
var retryAfter = errorx.RegisterProperty("retry_after")

// WithRetryAfter adds an endpoint's suggested retry delay to an error.
func WithRetryAfter(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(retryAfter, after)
}

// retryAdvice returns the retry delay suggested by the endpoint, or the fallback.
func retryAdvice(err error, fallback time.Duration) time.Duration {
	value, _ := errorx.ExtractProperty(err, retryAfter)
	if after, ok := value.(time.Duration); ok && after > 0 {
		return after
	}
	return fallback
}

// withAdviceOf copies the suggested retry delay of one error to another.
func withAdviceOf(err *errorx.Error, from error) *errorx.Error {
	return WithRetryAfter(err, retryAdvice(from, 0))
}

// Answer is a complete answer from an endpoint.
type Answer struct {
	// Failed says that the endpoint reported a failure of its own. It is delivered like
	// any answer, unless another attempt is made.
	Failed bool
	// Body is the answer itself, opaque to this package.
	Body any
}

// FailureReason is the reason why a request was given up.
type FailureReason uint8

// Reasons why a request was given up.
const (
	// NotRun: nothing ran and nothing will; the request may be repeated safely.
	NotRun FailureReason = iota + 1
	// Unknown: it may have run.
	Unknown
	// TimedOut: the deadline passed; it may have run.
	TimedOut
	// CallerGone: the caller has disconnected.
	CallerGone
	// OverQuota: the caller's workspace is at its limit; nothing ran.
	OverQuota
)

// String returns the name of the reason in logs.
func (w FailureReason) String() string {
	switch w {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case TimedOut:
		return "timed-out"
	case CallerGone:
		return "caller-gone"
	case OverQuota:
		return "over-quota"
	}
	return "none"
}

// Failure is the final answer to a request that was given up.
type Failure struct {
	Reason FailureReason
	// RetryAfter is the suggested retry delay; zero if unspecified.
	RetryAfter time.Duration
	// Cause is the underlying error, for the log.
	Cause error
}

// PrefillResult is the KV cache of a prompt, held by the engine that computed it.
type PrefillResult struct {
	Endpoint *Endpoint
	// Handle is the engine's handle of the result, opaque to this package.
	Handle any
	// Expiry is when the engine frees it.
	Expiry time.Time
}

// Reservation is memory reserved at a decode endpoint for one request.
type Reservation struct {
	Endpoint *Endpoint
	// Handle is the engine's handle of the reservation, opaque to this package.
	Handle any
}

// ReserveRequest describes a reservation to be made.
type ReserveRequest struct {
	// Tokens is the memory to reserve, in tokens.
	Tokens int
	// Hold is how long the memory is reserved before the request must arrive.
	Hold time.Duration
}

// Start describes the state from which a generation starts.
type Start struct {
	// Result is the prefill result, or nil if the endpoint prefills the prompt itself.
	Result *PrefillResult
	// Reservation is the reserved memory, or nil if none was reserved.
	Reservation *Reservation
	// After is the number of the last event that the caller has, or NoEvent.
	After int64
	// Connected, if set, must be called once the connection to the endpoint is
	// established, before anything is sent.
	Connected func()
}

// NoEvent stands for the absence of an event number.
const NoEvent int64 = -1

// Event is one event of a generation.
type Event struct {
	// Number identifies the event for a resume. Numbers increase. It may be NoEvent.
	Number int64
	// Data says that the event is a part of the answer, not just a comment.
	Data bool
	// Bytes is the event as it is delivered to the caller.
	Bytes []byte
}

// Stream is a generation in progress.
type Stream interface {
	// Head returns the head of the answer, opaque to this package.
	Head() any
	// Failed returns the endpoint's complete answer if it reported a failure instead of
	// generating, else nil.
	Failed() *Answer
	// Next returns the next complete event. It returns io.EOF at the end of a complete
	// answer and ErrLost if the stream broke off.
	Next() (Event, error)
	// Close ends the exchange, and cancels the generation if it is still in progress.
	Close()
}

// EndpointClient is the client side of the endpoints. Its methods return ErrNotRun,
// ErrLost or the context's error.
type EndpointClient interface {
	// Call executes a plain call.
	Call(ctx context.Context, e *Endpoint, c *Call) (*Answer, error)
	// Reserve reserves memory for a call. It returns none, without an error, if the engine has room
	// but can't be told to use the reservation.
	Reserve(ctx context.Context, e *Endpoint, c *Call, ask ReserveRequest) (*Reservation, error)
	// Release releases an unused reservation. It does not block.
	Release(r *Reservation)
	// Prefill computes the KV cache of the call's prompt and keeps the result.
	Prefill(ctx context.Context, e *Endpoint, c *Call) (*PrefillResult, error)
	// Drop frees a result that will not be used. It does not block.
	Drop(r *PrefillResult)
	// Cached returns the sessions whose prompts an engine has in its cache; see
	// Call.Session. The map is not nil if the engine answered. It returns ErrPartial if the engine
	// may have cached others, which the client logs.
	Cached(ctx context.Context, e *Endpoint) (map[string]bool, error)
	// Running returns the IDs of the requests that an engine answers; see Call.ID.
	Running(ctx context.Context, e *Endpoint) ([]string, error)
	// Probe probes an endpoint. It returns nil if the endpoint is healthy, and
	// ErrNotListening or ErrReplaced if it no longer runs.
	Probe(ctx context.Context, e *Endpoint) error
	// Order tells an engine to switch its stage. The fence is a fencing number.
	Order(ctx context.Context, e *Endpoint, to Role, fence uint64) error
	// Generate starts a generation and returns when its head has arrived.
	Generate(ctx context.Context, e *Endpoint, c *Call, s Start) (Stream, error)
}

// Sink receives the answer to a generation for the caller. Its methods return ErrCallerGone
// when the caller has disconnected.
type Sink interface {
	// Begin delivers the head. It is called once.
	Begin(head any) error
	// Event delivers an event at once.
	Event(e Event) error
}
