package agent

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/engine"
	"ebonypulley/event"
	"ebonypulley/lease"
	"ebonypulley/limit"
	"ebonypulley/wire"
)

// decodeWorker serves a decode engine: it leases memory first, then imports the
// prefill result and streams the answer.
type decodeWorker struct {
	a      *Agent
	engine *engine.Client
	jobs   map[wire.ID]*decodeJob
	links  map[string]*limit.Link
}

// decodeJob is the state of one decode attempt.
type decodeJob struct {
	id       wire.ID
	holder   wire.Incarnation
	model    string
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	// done is closed when the goroutine that uses the engine for this job has
	// ended; nil before Decode.
	done chan struct{}
	// stream is the session on which the entry last requested the answer.
	stream *session
	// freeing is set while the engine's memory for this job is being freed.
	freeing bool
	answer  answerBuffer
	// failed is the reply of a failed attempt, kept for a repeated request.
	failed *wire.Failed
}

func newDecodeWorker(a *Agent, url string) *decodeWorker {
	return &decodeWorker{
		a:      a,
		engine: engine.NewClient(url, a.dial.HTTPClient(false)),
		jobs:   make(map[wire.ID]*decodeJob),
		links:  make(map[string]*limit.Link),
	}
}

func (w *decodeWorker) handle(s *session, m wire.AttemptMessage) {
	switch m := m.(type) {
	case *wire.Reserve:
		w.reserve(s, m)
	case *wire.Decode:
		w.decode(s, m)
	case *wire.Ack:
		w.ack(m)
	case *wire.Cancel:
		w.cancel(s, m.ID)
	default:
		w.a.refuse(s, m.AttemptID(), wire.ReasonWrongRole, 0)
	}
}

func (w *decodeWorker) reserve(s *session, m *wire.Reserve) {
	if _, ok := w.jobs[m.ID]; ok {
		if w.a.leases.Holds(m.ID) {
			w.granted(m.ID)
		}
		return
	}
	if reason := w.a.engineRefusalReason(m.Model); reason != "" {
		w.a.refuse(s, m.ID, reason, 0)
		return
	}
	now := time.Now()
	deadline := now.Add(m.Deadline)
	d := w.a.leases.Reserve(now, lease.Request{
		ID:        m.ID,
		Holder:    s.holder,
		Tokens:    m.Tokens,
		Priority:  m.Priority,
		Spare:     m.Spare,
		WaitUntil: now.Add(m.Wait),
		Deadline:  deadline,
	})
	if !d.Granted && !d.Queued {
		w.a.refuse(s, m.ID, d.Reason, d.RetryAfter)
		return
	}
	job := &decodeJob{id: m.ID, holder: s.holder, model: m.Model, deadline: deadline}
	job.ctx, job.cancel = context.WithDeadline(w.a.group.Context(), deadline)
	w.jobs[m.ID] = job
	if d.Granted {
		w.granted(m.ID)
	}
}

func (w *decodeWorker) granted(id wire.ID) {
	if job, ok := w.jobs[id]; ok {
		w.a.reply(job.holder, &wire.Granted{ID: id, Load: w.a.load()})
	}
}

func (w *decodeWorker) waitEnded(id wire.ID, reason wire.Reason) {
	job, ok := w.jobs[id]
	if !ok {
		return
	}
	w.a.reply(job.holder, &wire.Refused{ID: id, Reason: reason, Load: w.a.load()})
	w.forget(job)
}

func (w *decodeWorker) forget(job *decodeJob) {
	job.cancel()
	delete(w.jobs, job.id)
}

// decode starts the answer, or resumes it on a new connection.
func (w *decodeWorker) decode(s *session, m *wire.Decode) {
	job, ok := w.jobs[m.ID]
	if !ok || job.freeing || job.failed == nil && job.done == nil && !w.a.leases.Holds(m.ID) {
		s.send(&wire.Failed{ID: m.ID, Reason: wire.ReasonLeaseLost, KVAlive: m.KV.Lives > 0, Load: w.a.load()})
		return
	}
	if job.failed != nil {
		w.a.reply(job.holder, job.failed)
		return
	}
	job.stream = s
	if job.done != nil {
		job.answer.resume(m.Next)
		w.sendChunks(job)
		return
	}
	job.done = make(chan struct{})
	plan, ok := w.planTransfer(m.KV)
	if !ok {
		close(job.done)
		w.fail(job, wire.ReasonTransferStalled, true)
		return
	}
	w.a.spawn(func() { w.run(job, m, plan) })
}

// planTransfer reserves a part of this receiver's bandwidth budget on the link
// from the result's data centre.
func (w *decodeWorker) planTransfer(kv wire.KVRef) (transfer, bool) {
	now := time.Now()
	expiry := now.Add(kv.Lives)
	rate := w.a.linkRate(kv.Endpoint)
	from := w.a.dataCentreOf(kv.Endpoint)
	link, ok := w.links[from]
	if !ok {
		link = limit.NewLink(rate)
		w.links[from] = link
	}
	p, ok := link.Reserve(now, kv.Bytes, expiry)
	return transfer{Plan: p, expiry: expiry, rate: rate}, ok
}

// transfer is the planned import of a prefill result.
type transfer struct {
	limit.Plan
	expiry time.Time
	rate   float64
}

const (
	// transferSlack is what a transfer may take beyond three times its planned
	// time.
	transferSlack = 100 * time.Millisecond
	// reuseTime is the time that another endpoint needs to use a result whose
	// transfer was cut here.
	reuseTime = 250 * time.Millisecond
)

// timeout returns after how long a transfer counts as stalled. A transfer
// always gets its planned time and half of it more; beyond that it is cut while
// the result is still alive, so that another endpoint can use it.
func (t transfer) timeout(now time.Time) time.Duration {
	stalled := 3*t.Duration + transferSlack
	reusable := t.expiry.Sub(now) - reuseTime
	return max(min(stalled, reusable), t.Duration+t.Duration/2)
}

func (w *decodeWorker) run(job *decodeJob, m *wire.Decode, plan transfer) {
	defer close(job.done)
	if reason, alive := w.importKV(job, m, plan); reason != "" {
		w.a.mu.Lock()
		defer w.a.mu.Unlock()
		w.fail(job, reason, alive)
		return
	}
	err := w.generate(job, m)
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	if job.freeing {
		return
	}
	if err != nil {
		w.a.log.Emit(event.AttemptLost, zap.Stringer("attempt", job.id), event.Err(err))
		w.fail(job, wire.ReasonEngineLost, false)
		return
	}
	// The engine frees the memory of a completed answer itself.
	w.a.release(job.id)
	w.sendChunks(job)
}

// importKV imports the prefill result into the engine. If that fails, it
// returns the reason and whether another endpoint can still use the result.
func (w *decodeWorker) importKV(job *decodeJob, m *wire.Decode, plan transfer) (wire.Reason, bool) {
	if !ebonypulley.Sleep(job.ctx, plan.Wait) {
		return wire.ReasonLeaseLost, true
	}
	ctx, cancel := context.WithTimeout(job.ctx, plan.timeout(time.Now()))
	defer cancel()
	err := w.engine.ImportKV(ctx, engine.ImportRequest{
		RequestID:      job.id.String(),
		URL:            m.KV.URL,
		Handle:         m.KV.Handle,
		BytesPerSecond: plan.rate,
	})
	if err == nil {
		// Asynchronous, because the first token of the answer must not wait for
		// it.
		w.a.spawn(func() { w.dropSource(m.KV) })
		return "", false
	}
	alive := time.Now().Before(plan.expiry)
	if isGone(err) {
		return wire.ReasonResultLost, false
	}
	if ctx.Err() != nil && job.ctx.Err() == nil {
		w.a.log.Emit(event.TransferCut, zap.Stringer("attempt", job.id), zap.Duration("plan", plan.Duration))
	}
	return wire.ReasonTransferStalled, alive
}

// dropSource frees the result at the prefill engine. Errors are ignored,
// because the result also expires.
func (w *decodeWorker) dropSource(kv wire.KVRef) {
	ctx, cancel := context.WithTimeout(w.a.group.Context(), freeTimeout)
	defer cancel()
	_ = engine.NewClient(kv.URL, w.a.health.client).DropKV(ctx, kv.Handle)
}

// fail ends an attempt that holds a lease. It notifies the entry at once, frees
// the engine's memory and then releases the lease.
func (w *decodeWorker) fail(job *decodeJob, reason wire.Reason, kvAlive bool) {
	if job.freeing {
		return
	}
	job.failed = &wire.Failed{ID: job.id, Reason: reason, KVAlive: kvAlive, Load: w.a.load()}
	w.a.reply(job.holder, job.failed)
	w.free(job, nil)
}

func (w *decodeWorker) expired(id wire.ID) {
	job, ok := w.jobs[id]
	if !ok {
		w.a.release(id)
		return
	}
	w.a.reply(job.holder, &wire.Failed{ID: id, Reason: wire.ReasonLeaseLost, Load: w.a.load()})
	w.free(job, nil)
}

// cancel frees what the attempt holds and acknowledges when that is done.
//
// The lease ends only after the engine has confirmed, and the entry repeats
// Cancel until it is acknowledged. Otherwise the engine could keep working for
// a caller that has disconnected.
func (w *decodeWorker) cancel(s *session, id wire.ID) {
	w.a.leases.Withdraw(time.Now(), id)
	job, ok := w.jobs[id]
	if !ok {
		s.send(&wire.Cancelled{ID: id})
		return
	}
	if job.done == nil || job.answer.complete() || job.failed != nil && !job.freeing {
		w.a.release(id)
		w.forget(job)
		s.send(&wire.Cancelled{ID: id})
		return
	}
	w.free(job, s)
}

// free stops the engine's work on an attempt. The session, if any, then gets a
// Cancelled message. A Cancel that arrives meanwhile may get no reply; the
// entry repeats it, and it is acknowledged once the memory is free.
func (w *decodeWorker) free(job *decodeJob, ack *session) {
	if job.freeing {
		return
	}
	job.freeing = true
	job.cancel()
	w.a.spawn(func() {
		if job.done != nil {
			<-job.done
		}
		w.a.abortConfirmed(w.engine, job.id)
		w.a.mu.Lock()
		defer w.a.mu.Unlock()
		w.a.release(job.id)
		job.freeing = false
		if job.failed == nil {
			w.forget(job)
		}
		if ack != nil {
			ack.send(&wire.Cancelled{ID: job.id})
		}
	})
}

func (w *decodeWorker) tick(now time.Time) {
	for _, job := range w.jobs {
		ended := job.answer.complete() || job.failed != nil && !job.freeing
		if ended && (!w.a.leases.HolderAlive(now, job.holder) || now.After(job.deadline)) {
			w.forget(job)
		}
	}
}

func (w *decodeWorker) backlog() int { return 0 }

// idle reports whether all answers were delivered.
func (w *decodeWorker) idle() bool { return len(w.jobs) == 0 }

func (w *decodeWorker) pending() string {
	running, complete, failed := 0, 0, 0
	for _, job := range w.jobs {
		switch {
		case job.failed != nil:
			failed++
		case job.answer.complete():
			complete++
		default:
			running++
		}
	}
	return fmt.Sprintf("answers: %d running, %d complete, %d failed", running, complete, failed)
}
