package event

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of log lines that may wait for a slow reader
	// of the output: several seconds of output at the sampled rate.
	queueCapacity = 4096
	// infoPerSecond and warnPerSecond limit the lines of one event per second,
	// below and from the warn level; beyond the limit, one line in sampleEvery
	// is written. Warnings and errors have the higher limit, so that the line
	// that explains a failed request is not dropped before lines of requests
	// that succeeded.
	infoPerSecond = 60
	warnPerSecond = 400
	sampleEvery   = 100
)

var (
	// droppedLines counts lines dropped because the queue was full or the write
	// failed; sampledLines counts lines left out by sampling.
	droppedLines = expvar.NewInt("log_lines_dropped")
	sampledLines = expvar.NewInt("log_lines_sampled")
)

// lineQueue is a writer that never blocks: if the queue is full, the line is
// dropped and counted. Without it, a reader of the output that stops reading
// would block the process in the middle of requests.
type lineQueue struct {
	lines chan []byte
	// pending is the number of lines queued or being written.
	pending atomic.Int64
}

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, queueCapacity)}
	go q.run(w)
	return q
}

func (q *lineQueue) run(w io.Writer) {
	for line := range q.lines {
		if _, err := w.Write(line); err != nil {
			droppedLines.Add(1)
		}
		q.pending.Add(-1)
	}
}

// Write implements io.Writer. It copies the line because zap reuses the buffer.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Add(-1)
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Sync waits, for at most 200 ms, until all lines are written. It checks
// pending because an empty channel is not enough: the last line may have been
// received from it but not yet written.
func (q *lineQueue) Sync() error {
	const timeout = 200 * time.Millisecond
	for deadline := time.Now().Add(timeout); q.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// NewOutput returns a log that writes events of at least the given level to w
// as JSON lines, sampled and without blocking.
func NewOutput(w io.Writer, level zapcore.Level) *Log {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	out := newLineQueue(w)
	belowWarn := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	fromWarn := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		sampled(zapcore.NewCore(enc, out, belowWarn), infoPerSecond),
		sampled(zapcore.NewCore(enc, out, fromWarn), warnPerSecond),
	)
	return NewLog(zap.New(core))
}

func sampled(core zapcore.Core, perSecond int) zapcore.Core {
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			sampledLines.Add(1)
		}
	})
	return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, sampleEvery, count)
}

// Sync waits, for a bounded time, until queued lines are written.
func (l *Log) Sync() { _ = l.z.Sync() }
