package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/engine"
	"ebonypulley/event"
	"ebonypulley/peer"
	"ebonypulley/wire"
)

// answerBuffer holds all tokens of a decode attempt so far and tracks how many
// were sent and acknowledged. The engine generates independently of how fast
// the entry reads, so that a slow reader does not hold engine memory. The
// buffer is bounded by the longest answer allowed.
type answerBuffer struct {
	tokens       []string
	finishReason string // set when the answer is complete
	sent         int
	acked        int
	finishSent   bool // wire.Finish was sent on the current connection
}

func (x *answerBuffer) complete() bool { return x.finishReason != "" }

// resume moves back to the token that the entry asked for after a reconnect.
func (x *answerBuffer) resume(next int) {
	next = min(max(next, x.acked), len(x.tokens))
	x.acked = next
	x.sent = next
	x.finishSent = false
}

// ack advances the send window.
func (x *answerBuffer) ack(next int) {
	if next > x.acked && next <= x.sent {
		x.acked = next
	}
}

// maxChunk is the maximum number of tokens in one chunk.
const maxChunk = 64

// sendChunks sends the tokens that the window allows. After a reconnect it
// sends nothing until the entry has sent its position on the new connection;
// otherwise tokens would be skipped.
func (w *decodeWorker) sendChunks(job *decodeJob) {
	if job.stream == nil || w.a.holders[job.holder] != job.stream {
		return
	}
	x := &job.answer
	limit := min(len(x.tokens), x.acked+peer.WindowTokens)
	for x.sent < limit {
		to := min(x.sent+maxChunk, limit)
		w.a.reply(job.holder, &wire.Chunk{ID: job.id, From: x.sent, Tokens: x.tokens[x.sent:to]})
		x.sent = to
	}
	if x.complete() && x.sent == len(x.tokens) && !x.finishSent {
		x.finishSent = true
		w.a.reply(job.holder, &wire.Finish{ID: job.id, Tokens: len(x.tokens), Why: x.finishReason, Load: w.a.load()})
	}
}

func (w *decodeWorker) ack(m *wire.Ack) {
	if job, ok := w.jobs[m.ID]; ok {
		job.answer.ack(m.Next)
		w.sendChunks(job)
	}
}

const (
	// streamIdleTimeout is after how long without a token the stream from the
	// engine is replaced. A decode step takes some tens of milliseconds.
	streamIdleTimeout = 750 * time.Millisecond
	// maxIdleStreams is how many consecutive streams may deliver no token
	// before the request counts as lost at the engine.
	maxIdleStreams   = 3
	streamRetryDelay = 50 * time.Millisecond
)

// generate reads the answer from the engine until it is complete.
//
// The connection to the engine can go silent while the engine keeps generating,
// which would stall the answer. A silent stream is therefore replaced by a new
// one that starts at the next token; the request fails only if the new streams
// deliver nothing either.
func (w *decodeWorker) generate(job *decodeJob, m *wire.Decode) error {
	failures := 0
	opened := false
	for {
		before := w.tokenCount(job)
		err := w.readStream(job, m, &opened, before)
		if err == nil {
			return nil
		}
		if job.ctx.Err() != nil {
			return job.ctx.Err()
		}
		if isGone(err) || errorx.IsOfType(err, engine.ErrRefused) {
			return err
		}
		failures++
		if w.tokenCount(job) > before {
			failures = 1
		}
		if failures > maxIdleStreams {
			return err
		}
		w.a.log.Emit(event.StreamReplaced, zap.Stringer("attempt", job.id), event.Err(err))
		w.engine.Close()
		ebonypulley.Sleep(job.ctx, streamRetryDelay)
	}
}

func (w *decodeWorker) tokenCount(job *decodeJob) int {
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	return len(job.answer.tokens)
}

// readStream reads one stream until the answer is complete, in which case it
// returns nil, or until the stream ends or goes silent.
func (w *decodeWorker) readStream(job *decodeJob, m *wire.Decode, opened *bool, from int) error {
	ctx, cancel := context.WithCancel(job.ctx)
	defer cancel()
	watchdog := time.AfterFunc(streamIdleTimeout, cancel)
	defer watchdog.Stop()
	stream, err := w.openStream(ctx, job, m, *opened, from)
	if err != nil {
		return err
	}
	*opened = true
	defer stream.Close()
	for {
		e, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return engine.ErrUnreachable.New("stream ended without a finish reason")
		}
		if err != nil {
			return err
		}
		watchdog.Reset(streamIdleTimeout)
		if w.appendEvent(job, e) {
			return nil
		}
	}
}

// openStream sends the completion request until a stream has been opened once,
// and resumes the stream from then on. Repeating the request is safe, because
// the engine identifies it by its ID.
func (w *decodeWorker) openStream(ctx context.Context, job *decodeJob, m *wire.Decode, opened bool, from int) (*engine.Stream, error) {
	if opened {
		return w.engine.Resume(ctx, job.id.String(), from)
	}
	return w.engine.Decode(ctx, engine.CompletionRequest{
		RequestID: job.id.String(),
		Model:     job.model,
		MaxTokens: m.MaxTokens,
		Priority:  m.Priority,
	})
}

// appendEvent adds an event to the answer and reports whether reading ends: the
// answer is complete, or the attempt is being freed. Tokens that were received
// before are dropped by their index.
func (w *decodeWorker) appendEvent(job *decodeJob, e engine.Completion) bool {
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	if job.freeing {
		return true
	}
	choice := e.Choices[0]
	x := &job.answer
	if choice.FinishReason != "" && e.TokenIndex == len(x.tokens) {
		x.finishReason = choice.FinishReason
		return true
	}
	if e.TokenIndex == len(x.tokens) {
		x.tokens = append(x.tokens, choice.Text)
		w.sendChunks(job)
	}
	return false
}
