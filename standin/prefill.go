package standin

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"time"

	"ebonypulley"
	"ebonypulley/engine"
)

// prefillJob is a prompt that waits for the engine's prefill.
type prefillJob struct {
	req    engine.CompletionRequest
	tokens int
	ctx    context.Context
	done   chan engine.Completion
}

// prefillLoop runs prefills one after the other, higher priorities first.
func (e *Engine) prefillLoop(ctx context.Context) error {
	for {
		if !e.faults.wait(ctx, FaultStall) {
			return nil
		}
		job := e.nextPrefill()
		if job == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-e.work:
			}
			continue
		}
		e.prefill(ctx, job)
	}
}

func (e *Engine) nextPrefill() *prefillJob {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.prefills) > 0 {
		job := e.prefills[0]
		e.prefills = e.prefills[1:]
		if job.ctx.Err() == nil {
			return job
		}
	}
	return nil
}

func (e *Engine) prefill(ctx context.Context, job *prefillJob) {
	blocks := engine.Blocks(job.req.Prompt)
	e.mu.Lock()
	life := e.life
	cached := e.cache.hit(blocks) * engine.BlockTokens
	e.mu.Unlock()
	work := time.Duration(job.tokens-cached) * e.set.PrefillPerToken.D()
	e.mu.Lock()
	e.stats.PrefillTokens += int64(job.tokens - cached)
	e.stats.CachedTokens += int64(cached)
	e.mu.Unlock()
	if !ebonypulley.Sleep(ctx, scale(work, e.faults.factor())) || life.Err() != nil || job.ctx.Err() != nil {
		return
	}
	state, err := NewGenerator(job.req.Prompt).state()
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.cache.store(now, blocks)
	handle := job.req.RequestID + "-" + strconv.FormatUint(e.epoch, 36)
	e.exports[handle] = &exported{tokens: job.tokens, state: state, expiry: now.Add(e.set.KeepResult.D())}
	job.done <- engine.Completion{
		ID:    job.req.RequestID,
		Usage: &engine.Usage{PromptTokens: job.tokens, CachedTokens: cached},
		KV: &engine.KVTransfer{
			DoRemotePrefill: true,
			RemoteHandle:    handle,
			RemoteBytes:     int64(job.tokens) * engine.KVBytesPerToken,
			ExpiresMS:       e.set.KeepResult.D().Milliseconds(),
		},
	}
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, req engine.CompletionRequest) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	job := &prefillJob{req: req, tokens: engine.CountTokens(req.Prompt), ctx: ctx, done: make(chan engine.Completion, 1)}
	e.mu.Lock()
	e.prefills = append(e.prefills, job)
	sort.SliceStable(e.prefills, func(i, j int) bool {
		return e.prefills[i].req.Priority > e.prefills[j].req.Priority
	})
	e.mu.Unlock()
	signal(e.work)
	select {
	case <-ctx.Done():
		abortConnection()
	case out := <-job.done:
		reply(w, out)
	}
}

// abortConnection cuts the connection without an answer, as a crash does.
func abortConnection() { panic(http.ErrAbortHandler) }

// requestContext ends with the HTTP request or with a crash of the engine.
func (e *Engine) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	life := e.life
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(life, cancel)
	return ctx, func() { stop(); cancel() }
}
