package agent

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonypulley/engine"
	"ebonypulley/event"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

// prefillWorker serves a prefill engine. Prompts wait here and not in the
// engine, so that cancelling a waiting one costs nothing.
type prefillWorker struct {
	a        *Agent
	engine   *engine.Client
	url      string
	jobs     map[wire.ID]*prefillJob
	tokens   int // prompt tokens of all jobs that have not ended
	estimate *prefillEstimate
}

type prefillJob struct {
	id     wire.ID
	req    *wire.Prefill
	holder wire.Incarnation
	tokens int
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // nil before the run, closed after it
	// reply is the result of the run.
	reply      wire.Message
	finishedAt time.Time
	expiry     time.Time
	handle     string
}

// replyRetention is how long the reply to a finished prefill is kept, so that a
// repeated request gets it again.
const replyRetention = 5 * time.Second

func newPrefillWorker(a *Agent, url string) *prefillWorker {
	return &prefillWorker{a: a, engine: engine.NewClient(url, a.dial.HTTPClient(false)), url: url, jobs: make(map[wire.ID]*prefillJob), estimate: newPrefillEstimate()}
}

func (w *prefillWorker) handle(s *session, m wire.AttemptMessage) {
	switch m := m.(type) {
	case *wire.Prefill:
		w.prefill(s, m)
	case *wire.Cancel:
		w.cancel(s, m.ID)
	default:
		w.a.refuse(s, m.AttemptID(), wire.ReasonWrongRole, 0)
	}
}

func (w *prefillWorker) prefill(s *session, m *wire.Prefill) {
	if job, ok := w.jobs[m.ID]; ok {
		if job.reply != nil {
			w.a.reply(job.holder, job.currentReply(time.Now()))
		}
		return
	}
	if reason := w.a.engineRefusalReason(m.Model); reason != "" {
		w.a.refuse(s, m.ID, reason, 0)
		return
	}
	now := time.Now()
	until := now.Add(m.Wait)
	d := w.a.leases.Reserve(now, lease.Request{
		ID:        m.ID,
		Holder:    s.holder,
		Priority:  m.Priority,
		Spare:     m.Spare,
		WaitUntil: until,
		Deadline:  until.Add(prefillTimeout),
	})
	if !d.Granted && !d.Queued {
		w.a.refuse(s, m.ID, d.Reason, d.RetryAfter)
		return
	}
	job := &prefillJob{id: m.ID, req: m, holder: s.holder, tokens: engine.EstimateTokens(m.Prompt)}
	job.ctx, job.cancel = context.WithCancel(w.a.group.Context())
	w.jobs[m.ID] = job
	w.tokens += job.tokens
	if d.Granted {
		w.granted(m.ID)
	}
}

// prefillTimeout bounds one prefill at the engine.
const prefillTimeout = 30 * time.Second

func (w *prefillWorker) granted(id wire.ID) {
	job, ok := w.jobs[id]
	if !ok {
		w.a.release(id)
		return
	}
	job.done = make(chan struct{})
	w.a.spawn(func() { w.run(job) })
}

func (w *prefillWorker) run(job *prefillJob) {
	defer close(job.done)
	out, err := w.runPrefill(job)
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	now := time.Now()
	job.finishedAt = now
	w.tokens -= job.tokens
	w.a.release(job.id)
	if err != nil {
		if job.ctx.Err() == nil {
			w.a.log.Emit(event.AttemptLost, zap.Stringer("attempt", job.id), event.Err(err))
		}
		job.reply = &wire.Failed{ID: job.id, Reason: wire.ReasonEngineLost, Load: w.a.load()}
	} else {
		job.expiry = now.Add(out.KV.ExpiresIn())
		job.handle = out.KV.RemoteHandle
		job.reply = w.prefilledReply(job, out)
	}
	w.a.reply(job.holder, job.currentReply(now))
}

// runPrefill runs the prefill, and retries it on a new connection if it takes
// much longer than prefills at this engine usually do.
//
// The connection to the engine can go silent, which would make a generation
// wait for its first token until its deadline. The time per token is learned
// from completed prefills, and the engine's prefix cache makes the retry cheap.
func (w *prefillWorker) runPrefill(job *prefillJob) (engine.Completion, error) {
	var out engine.Completion
	var err error
	for range maxPrefillTries {
		began := time.Now()
		ctx, cancel := context.WithTimeout(job.ctx, w.estimate.timeout(job.tokens))
		out, err = w.engine.Prefill(ctx, engine.CompletionRequest{
			RequestID: job.id.String(),
			Model:     job.req.Model,
			Prompt:    job.req.Prompt,
			Priority:  job.req.Priority,
		})
		timedOut := ctx.Err() != nil && job.ctx.Err() == nil
		cancel()
		if err == nil {
			w.estimate.observe(time.Since(began), job.tokens-out.Usage.CachedTokens)
		}
		if !timedOut {
			break
		}
		w.a.log.Emit(event.StreamReplaced, zap.Stringer("attempt", job.id), event.Err(err))
		w.estimate.double()
		w.engine.Close()
	}
	return out, err
}

func (w *prefillWorker) prefilledReply(job *prefillJob, out engine.Completion) *wire.Prefilled {
	return &wire.Prefilled{
		ID: job.id,
		KV: wire.KVRef{
			URL:      w.url,
			Endpoint: w.a.settings.Name,
			Handle:   out.KV.RemoteHandle,
			Bytes:    out.KV.RemoteBytes,
		},
		PromptTokens: out.Usage.PromptTokens,
		CachedTokens: out.Usage.CachedTokens,
		Load:         w.a.load(),
	}
}

// currentReply returns the reply with the lifetime that the result has left.
func (j *prefillJob) currentReply(now time.Time) wire.Message {
	p, ok := j.reply.(*wire.Prefilled)
	if !ok {
		return j.reply
	}
	current := *p
	current.KV.Lives = max(j.expiry.Sub(now), 0)
	return &current
}

func (w *prefillWorker) waitEnded(id wire.ID, reason wire.Reason) {
	job, ok := w.jobs[id]
	if !ok {
		return
	}
	w.a.reply(job.holder, &wire.Refused{ID: id, Reason: reason, Load: w.a.load()})
	w.tokens -= job.tokens
	job.cancel()
	delete(w.jobs, id)
}

func (w *prefillWorker) expired(id wire.ID) { w.stop(id, nil) }

func (w *prefillWorker) cancel(s *session, id wire.ID) {
	w.a.leases.Withdraw(time.Now(), id)
	w.stop(id, s)
}

// stop ends an attempt in any state: a waiting one is not started, a running
// one is aborted, and the result of a finished one is dropped. The session, if
// any, gets a Cancelled message when the engine holds nothing for it any more.
func (w *prefillWorker) stop(id wire.ID, ack *session) {
	job, ok := w.jobs[id]
	if !ok {
		if ack != nil {
			ack.send(&wire.Cancelled{ID: id})
		}
		return
	}
	delete(w.jobs, id)
	job.cancel()
	if job.done == nil {
		w.tokens -= job.tokens
		w.a.release(id)
		if ack != nil {
			ack.send(&wire.Cancelled{ID: id})
		}
		return
	}
	w.a.spawn(func() {
		<-job.done
		w.a.abortConfirmed(w.engine, id)
		w.dropResult(job)
		if ack != nil {
			ack.send(&wire.Cancelled{ID: id})
		}
	})
}

func (w *prefillWorker) dropResult(job *prefillJob) {
	if job.handle == "" || time.Now().After(job.expiry) {
		return
	}
	ctx, cancel := context.WithTimeout(w.a.group.Context(), freeTimeout)
	defer cancel()
	_ = w.engine.DropKV(ctx, job.handle)
}

func (w *prefillWorker) tick(now time.Time) {
	for id, job := range w.jobs {
		if job.reply != nil && now.Sub(job.finishedAt) > replyRetention {
			job.cancel()
			delete(w.jobs, id)
		}
	}
}

func (w *prefillWorker) backlog() int { return w.tokens }

// idle reports whether no result waits to be fetched.
func (w *prefillWorker) idle() bool {
	now := time.Now()
	for _, job := range w.jobs {
		if job.reply == nil || now.Before(job.expiry) {
			return false
		}
	}
	return true
}

func (w *prefillWorker) pending() string { return fmt.Sprintf("%d prefills and results", len(w.jobs)) }
