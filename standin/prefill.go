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

// prefillJob is a queued prefill.
type prefillJob struct {
	req    engine.CompletionRequest
	tokens int
	ctx    context.Context
	result chan engine.Completion
}

// prefillLoop runs the queued prefills one after the other, higher priorities first.
func (e *Engine) prefillLoop(ctx context.Context) error {
	for {
		if !e.faults.waitWhile(ctx, FaultStall) {
			return nil
		}
		job := e.nextPrefill()
		if job == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-e.prefillReady:
			}
			continue
		}
		e.runPrefill(ctx, job)
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

func (e *Engine) runPrefill(ctx context.Context, job *prefillJob) {
	blocks := engine.BlockHashes(job.req.Prompt)
	e.mu.Lock()
	life := e.lifetime
	cached := e.cache.lookup(blocks) * engine.BlockTokens
	e.mu.Unlock()
	duration := time.Duration(job.tokens-cached) * e.settings.PrefillPerToken.D()
	e.mu.Lock()
	e.stats.PrefillTokens += int64(job.tokens - cached)
	e.stats.CachedTokens += int64(cached)
	e.mu.Unlock()
	if !ebonypulley.Sleep(ctx, scale(duration, e.faults.slowdown())) || life.Err() != nil || job.ctx.Err() != nil {
		return
	}
	state, err := NewGenerator(job.req.Prompt).state()
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.cache.insert(now, blocks)
	handle := job.req.RequestID + "-" + strconv.FormatUint(e.epoch, 36)
	e.exports[handle] = &kvExport{tokens: job.tokens, state: state, expiresAt: now.Add(e.settings.ResultTTL.D())}
	job.result <- engine.Completion{
		ID:    job.req.RequestID,
		Usage: &engine.Usage{PromptTokens: job.tokens, CachedTokens: cached},
		KV: &engine.KVTransfer{
			DoRemotePrefill: true,
			RemoteHandle:    handle,
			RemoteBytes:     int64(job.tokens) * engine.KVBytesPerToken,
			ExpiresMS:       e.settings.ResultTTL.D().Milliseconds(),
		},
	}
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, req engine.CompletionRequest) {
	ctx, cancel := e.requestContext(r)
	defer cancel()
	job := &prefillJob{req: req, tokens: engine.EstimateTokens(req.Prompt), ctx: ctx, result: make(chan engine.Completion, 1)}
	e.mu.Lock()
	e.prefills = append(e.prefills, job)
	sort.SliceStable(e.prefills, func(i, j int) bool {
		return e.prefills[i].req.Priority > e.prefills[j].req.Priority
	})
	e.mu.Unlock()
	signal(e.prefillReady)
	select {
	case <-ctx.Done():
		abortConnection()
	case out := <-job.result:
		reply(w, out)
	}
}

// abortConnection closes the connection without completing the response, as a
// crash does.
func abortConnection() { panic(http.ErrAbortHandler) }

// requestContext returns a context that ends with the HTTP request or with a crash
// of the engine.
func (e *Engine) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	life := e.lifetime
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(life, cancel)
	return ctx, func() { stop(); cancel() }
}
