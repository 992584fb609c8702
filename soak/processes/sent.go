package processes

import (
	"sync"
	"time"

	"ebonypulley/standin"
)

// sentRequest is a request that a caller sent to a process of an entry.
type sentRequest struct {
	at      time.Time
	timeout time.Duration
	entry   *entry
	process int
	stream  bool
}

// undisturbedSince reports whether the entry has run undisturbed since at.
func (s sentRequest) undisturbedSince(at time.Time) bool {
	return s.entry.undisturbedSince(at, s.process)
}

// sentLog holds the requests that callers sent, by the ID of the attempt.
type sentLog struct {
	mu       sync.Mutex
	requests map[string]sentRequest
}

// record records a request.
func (l *sentLog) record(id string, s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = s
}

func (l *sentLog) lookUp(id string) (s sentRequest, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok = l.requests[id]
	return s, ok
}

// recordReceived records a request that has reached a worker, whatever the worker does with it.
func (l *arrivalLog) recordReceived(k *worker, c standin.WorkerHeaders) {
	s, ok := l.sent.lookUp(c.AttemptID)
	if !ok {
		return
	}
	now := time.Now()
	l.backoffs.recordArrival(now, k, s)
	if reached := now.Add(-contactTime); !s.stream && s.undisturbedSince(reached) && !k.proxy.disturbedSince(reached) {
		l.timeouts.record(c.AttemptID, s.at, s.timeout, now, c.Timeout)
	}
}
