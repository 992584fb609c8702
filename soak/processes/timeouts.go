package processes

import (
	"sync"
	"time"
)

const (
	// timeoutMargin is how much longer a worker may be told to work than the caller waits.
	// More than maxExcessive requests, and more than maxExcessiveShare of these and of all late
	// repeats, must not exceed it.
	timeoutMargin     = 500 * time.Millisecond
	maxExcessive      = 20
	maxExcessiveShare = 0.2
)

// timeoutLog compares the timeouts that workers are told with those of the callers.
type timeoutLog struct {
	mu sync.Mutex
	// firstEnds and firstAt tell of the first arrival of each request when its timeout ends and
	// when it came.
	firstEnds, firstAt map[string]time.Time
	// excessive counts arrivals whose timeout is too long, counted these and the late repeats.
	excessive, counted int
}

func newTimeoutLog() *timeoutLog {
	return &timeoutLog{firstEnds: make(map[string]time.Time), firstAt: make(map[string]time.Time)}
}

// record records that a request which its caller sent at a time with a timeout has reached a
// worker, with the timeout that the worker is told; zero means none.
func (l *timeoutLog) record(id string, sentAt time.Time, timeout time.Duration, at time.Time, told time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	excessive := told == 0 || told > timeout+timeoutMargin
	firstAt, repeated := l.firstAt[id]
	late := repeated && at.Sub(firstAt) > timeoutMargin
	switch end := at.Add(told); {
	case !repeated:
		l.firstAt[id], l.firstEnds[id] = at, end
	case late:
		latest := l.firstEnds[id]
		if callerEnd := sentAt.Add(timeout); callerEnd.After(latest) {
			latest = callerEnd
		}
		excessive = excessive || end.After(latest.Add(timeoutMargin))
	}
	if excessive {
		l.excessive++
	}
	if excessive || late {
		l.counted++
	}
}

// checkTimeouts checks that workers aren't told to work for longer than callers wait.
func (r *run) checkTimeouts() {
	l := r.arrivals.timeouts
	l.mu.Lock()
	defer l.mu.Unlock()
	r.note("%d timeouts too long, of %d with the late repeats, %d requests", l.excessive, l.counted, len(l.firstAt))
	if l.excessive > maxExcessive && float64(l.excessive) > maxExcessiveShare*float64(l.counted) {
		r.violation("workers are told too long a timeout with %d requests, of %d with the late repeats", l.excessive, l.counted)
	}
}
