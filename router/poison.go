package router

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/poison"
)

const (
	// poisonRetryDelay is the retry delay for a request that is blocked because it crashes
	// endpoints. It leaves an operator time to look at it.
	poisonRetryDelay = time.Minute
	// crashProbes is the maximum number of probes to find out whether an endpoint has
	// crashed, with crashProbeInterval between them. A single probe may be inconclusive,
	// because an exiting process closes its sockets one after the other.
	crashProbes        = 3
	crashProbeInterval = 100 * time.Millisecond
)

// errPoison is returned for a request that crashes the endpoints that run it.
var errPoison = ErrNotRun.NewSubtype("poison")

// PoisonDetector returns the detector of requests that crash endpoints.
func (r *Router) PoisonDetector() *poison.Detector { return r.crashes }

// PartDetector returns the detector of parts of prompts that crash endpoints.
func (r *Router) PartDetector() *poison.PartDetector { return r.parts }

// refusePoison returns an error if the request is blocked because it, or a part of its prompt,
// crashes endpoints. It is called before each arrival at an endpoint, because other entries
// may have reported crashes meanwhile.
func (r *Router) refusePoison(c *Call) error {
	now := time.Now()
	switch {
	case c.ContentHash != 0 && r.crashes.Blocked(now, c.ContentHash), r.parts.BlocksRepeated(now, c.ContentHash, c.PromptParts):
		r.metrics.Add("poison_refused", 1)
		return WithRetryAfter(errPoison.New("the request crashed the endpoints that ran it"), poisonRetryDelay)
	case len(c.PromptParts) > 0 && r.parts.Blocked(now, c.PromptParts):
		r.metrics.Add("parts_refused", 1)
		return WithRetryAfter(errPoison.New("a part of the prompt crashed the endpoints that ran it"), poisonRetryDelay)
	}
	return nil
}

func (r *Router) poisonFound(content uint64, crashes int) {
	r.metrics.Add("poison_found", 1)
	r.log.Emit(event.PoisonFound, zap.String("content", strconv.FormatUint(content, 16)), zap.Int("crashes", crashes))
	r.refuseWaiting()
}

// partsFound is also called while a waiting request asks whether it is blocked.
func (r *Router) partsFound(parts []uint64, crashes int) {
	r.metrics.Add("parts_found", 1)
	r.log.Emit(event.PartsFound, partsField(parts), zap.Int("crashes", crashes), zap.Duration("known_for", r.parts.KnownFor(time.Now())))
	go r.refuseWaiting()
}

// refuseWaiting refuses the requests that wait for room and have become blocked. The caller must
// not hold the lock of a waitList.
func (r *Router) refuseWaiting() {
	r.rooms.refuse()
	r.mu.Lock()
	holds := slices.Collect(maps.Values(r.holds))
	r.mu.Unlock()
	for _, h := range holds {
		h.list.refuse()
	}
}

func partsField(parts []uint64) zap.Field {
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		list = append(list, strconv.FormatUint(part, 16))
	}
	return zap.Strings("parts", list)
}

// recordIfCrashed records a lost attempt if its endpoint has crashed; p is how far its answer had
// come. It waits briefly
// for the result of that check, so that the request is not sent to another endpoint
// before it may be blocked.
func (r *Router) recordIfCrashed(c *Call, a poison.Attempt, p poison.Progress, e *Endpoint, err error) {
	if r.usesAgents() || c.ContentHash == 0 || !errorx.IsOfType(err, ErrBroken) {
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
			zap.Duration("lasted", a.Lasted), zap.Bool("ran", a.Ran), zap.Int("events", p.Events), zap.Duration("answered_for", p.Lasted), partsField(c.PromptParts))
		now := time.Now()
		r.crashes.RecordCrash(now, c.ContentHash, a)
		if beginsAnswers := e.Role == Decode; beginsAnswers && !a.Ran && len(c.PromptParts) > 0 {
			r.parts.RecordCrash(now, poison.PartCrash{Endpoint: e.ID, Content: c.ContentHash, Parts: c.PromptParts, Depth: p.Depth()})
		}
	}()
	select {
	case <-known:
	case <-time.After(crashProbeInterval):
	}
}

// crashCheck is a check whether an endpoint has crashed, shared by concurrent callers.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// crashed reports whether an endpoint no longer runs. That is final, because a
// replacement is another endpoint. An unreachable endpoint may be partitioned,
// and counts as running.
func (r *Router) crashed(e *Endpoint) bool {
	r.mu.Lock()
	q := r.crashChecks[e.ID]
	if q == nil {
		q = &crashCheck{done: make(chan struct{})}
		r.crashChecks[e.ID] = q
		go r.runCrashCheck(e, q)
	}
	r.mu.Unlock()
	<-q.done
	return q.crashed
}

// runCrashCheck runs a check and publishes its result.
func (r *Router) runCrashCheck(e *Endpoint, q *crashCheck) {
	q.crashed = r.hasStopped(e)
	r.mu.Lock()
	delete(r.crashChecks, e.ID)
	r.mu.Unlock()
	close(q.done)
}

func (r *Router) hasStopped(e *Endpoint) bool {
	for range crashProbes {
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := r.endpoints.Probe(ctx, e)
		cancel()
		switch {
		case err == nil:
			r.recordAnswer(e.ID, sentAt)
			return false
		case errorx.IsOfType(err, ErrNotListening) || errorx.IsOfType(err, ErrReplaced):
			r.recordStopped(e.ID)
			return true
		}
		time.Sleep(crashProbeInterval)
	}
	r.former.recordSilent(time.Now(), e.Service, e.ID)
	return false
}
