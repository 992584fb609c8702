package router

import (
	"context"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/poison"
)

const (
	// poisonRetry is when the caller of a request that is turned away for its crashes may
	// come back: not before somebody can have looked at it.
	poisonRetry = time.Minute
	// crashAsks is how often an endpoint that gives no clear answer is asked whether it
	// still runs, with crashPause between: a process that ends closes one socket after
	// the other.
	crashAsks  = 3
	crashPause = 100 * time.Millisecond
)

// errPoison is returned for a request that crashes the endpoints that run it.
var errPoison = ErrNotRun.NewSubtype("poison")

// Crashes returns what is known of requests that ran where endpoints crashed.
func (r *Router) Crashes() *poison.Ledger { return r.crashes }

// refusePoison returns an error for a request that is turned away for its crashes. It is
// asked again before each arrival, because others may have found out meanwhile.
func (r *Router) refusePoison(c *Call) error {
	if c.Content == 0 || !r.crashes.Turned(time.Now(), c.Content) {
		return nil
	}
	r.metrics.Add("poison_refused", 1)
	return WithRetryAfter(errPoison.New("it has crashed the endpoints that ran it"), poisonRetry)
}

func (r *Router) poisonFound(content uint64, crashes int) {
	r.metrics.Add("poison_found", 1)
	r.log.Emit(event.PoisonFound, zap.String("content", strconv.FormatUint(content, 16)), zap.Int("crashes", crashes))
}

// startEvents is how many events an attempt may bring before it counts as one that ran for
// a while.
const startEvents = 2

// lostAt records that an attempt was lost with its connection, if the endpoint has crashed.
// It waits a little for that, so that the request does not go on to another endpoint
// meanwhile.
func (r *Router) lostAt(c *Call, a poison.Attempt, e *Endpoint, err error) {
	if r.gated() || c.Content == 0 || !errorx.IsOfType(err, ErrBroken) {
		return
	}
	a.Endpoint = e.ID
	known := make(chan struct{})
	go func() {
		defer close(known)
		if !r.crashed(e) {
			return
		}
		r.log.Emit(event.EndpointCrashed, zap.String("endpoint", e.ID), zap.String("request", c.ID), c.ContentField(),
			zap.Duration("lasted", a.Lasted), zap.Bool("ran", a.Ran))
		r.crashes.Crashed(time.Now(), c.Content, a)
	}()
	select {
	case <-known:
	case <-time.After(crashPause):
	}
}

// question is whether an endpoint still runs; all who ask at a time share it.
type question struct {
	done    chan struct{}
	crashed bool
}

// crashed reports whether an endpoint runs no more, which is final: what starts in its
// place is another one. One that does not answer may be cut off, and counts as running.
func (r *Router) crashed(e *Endpoint) bool {
	r.mu.Lock()
	q := r.questions[e.ID]
	if q == nil {
		q = &question{done: make(chan struct{})}
		r.questions[e.ID] = q
		go r.settle(e, q)
	}
	r.mu.Unlock()
	<-q.done
	return q.crashed
}

// settle answers a question.
func (r *Router) settle(e *Endpoint, q *question) {
	q.crashed = r.runsNoMore(e)
	r.mu.Lock()
	delete(r.questions, e.ID)
	r.mu.Unlock()
	close(q.done)
}

func (r *Router) runsNoMore(e *Endpoint) bool {
	for range crashAsks {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		err := r.endpoints.Alive(ctx, e)
		cancel()
		switch {
		case err == nil:
			return false
		case errorx.IsOfType(err, ErrAbsent) || errorx.IsOfType(err, ErrMoved):
			return true
		}
		time.Sleep(crashPause)
	}
	return false
}
