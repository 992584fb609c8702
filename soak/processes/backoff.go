package processes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ebonypulley/standin"
)

const (
	// backoffTime is how long an entry that a worker has refused is asked to wait,
	// backoffNotice how long it takes until it does. Until the end of that time it may send
	// maxBackoffArrivals requests.
	backoffTime        = 3 * time.Second
	backoffNotice      = 500 * time.Millisecond
	maxBackoffArrivals = 2
	// refusingTime is how long a worker refuses all requests, refusingInterval the time until
	// another one does.
	refusingTime     = time.Second
	refusingInterval = 2 * time.Second
)

// backoff is what a worker asked of an entry, and how many requests of it came in that time.
type backoff struct {
	worker   *worker
	asked    sentRequest
	at       time.Time
	arrivals int
}

// backoffLog records what workers asked of entries.
type backoffLog struct {
	mu       sync.Mutex
	backoffs []*backoff
}

// recordAsked records that a worker has refused a request and asked its entry to wait.
func (l *backoffLog) recordAsked(now time.Time, k *worker, s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoffs = append(l.backoffs, &backoff{worker: k, asked: s, at: now})
}

// recordArrival records a request that has reached a worker. Entries that were disturbed, or
// whose link to the worker was, are not counted.
func (l *backoffLog) recordArrival(now time.Time, k *worker, s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.backoffs {
		from, to := b.at.Add(backoffNotice), b.at.Add(backoffTime)
		if b.worker == k && b.asked.entry == s.entry && now.After(from) && now.Before(to) &&
			b.asked.undisturbedSince(b.at) && !k.proxy.disturbedSince(b.at) {
			b.arrivals++
		}
	}
}

// most returns the most arrivals in the time of one request to wait.
func (l *backoffLog) most() (arrivals, backoffs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.backoffs {
		arrivals = max(arrivals, b.arrivals)
	}
	return arrivals, len(l.backoffs)
}

// checkBackoffs checks that entries waited as workers asked them to.
func (r *run) checkBackoffs() {
	arrivals, backoffs := r.arrivals.backoffs.most()
	r.note("%d times asked to wait, at most %d requests meanwhile", backoffs, arrivals)
	if arrivals > maxBackoffArrivals {
		r.violation("%d requests of an entry reached a worker in the %s in which it was asked to wait", arrivals, backoffTime)
	}
}

// refuseInTurn makes one worker after the other refuse all requests for a while.
func (r *run) refuseInTurn(ctx context.Context) {
	for ctx.Err() == nil {
		k := r.randomWorker()
		k.asksToWait.Store(true)
		r.note("%s asks to wait", k.instanceID())
		time.Sleep(refusingTime)
		k.asksToWait.Store(false)
		time.Sleep(refusingInterval)
	}
}

// askToWait refuses a request if the worker refuses all. It reports whether it has.
func (k *worker) askToWait(w http.ResponseWriter, c standin.WorkerHeaders) bool {
	if !k.asksToWait.Load() {
		return false
	}
	k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
	if s, ok := k.arrivals.sent.lookUp(c.AttemptID); ok {
		k.arrivals.backoffs.recordAsked(time.Now(), k, s)
	}
	standin.SetRefusalHeaders(w.Header(), c.AttemptID)
	standin.SetRetryAfter(w.Header(), backoffTime)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
