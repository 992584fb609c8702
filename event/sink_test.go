package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonypulley/event"
)

type slowWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// TestBlockedOutput: the process stands still in the middle of requests.
// Nobody reads its log any more; lines are dropped instead.
func TestBlockedOutput(t *testing.T) {
	w := new(slowWriter)
	w.mu.Lock()
	log := event.NewOutput(w, zapcore.InfoLevel)
	began := time.Now()
	for range 400 {
		for _, e := range event.All() {
			log.Emit(e, zap.String("request", "1"))
		}
	}
	log.Sync()
	assert.Less(t, time.Since(began), 5*time.Second)
	w.mu.Unlock()
}

// TestBadBeforeGood: the one line that explains a complaint is missing. Under
// load lines are left out, those of requests that went well first.
func TestBadBeforeGood(t *testing.T) {
	w := new(slowWriter)
	log := event.NewOutput(w, zapcore.InfoLevel)
	for range 300 {
		log.Emit(event.RequestAnswered, zap.String("request", "1"))
		log.Emit(event.RequestGivenUp, zap.String("request", "2"))
	}
	log.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.buf.String()
	assert.Equal(t, 300, strings.Count(text, `"event":6003`))
	assert.Less(t, strings.Count(text, `"event":6002`), 100)
}

func BenchmarkEmit(b *testing.B) {
	log := event.NewOutput(new(slowWriter), zapcore.InfoLevel)
	for b.Loop() {
		log.Emit(event.RequestGivenUp, zap.String("request", "9c41d07be2a35f68"), zap.Duration("took", time.Second))
	}
}

// lateWriter takes its time over each line.
type lateWriter struct{ slowWriter }

func (w *lateWriter) Write(b []byte) (int, error) {
	time.Sleep(30 * time.Millisecond)
	return w.slowWriter.Write(b)
}

// TestLastLineIsWritten: the line that says why a process stopped is missing.
// It had left the queue and was not written when the process ended.
func TestLastLineIsWritten(t *testing.T) {
	w := new(lateWriter)
	log := event.NewOutput(w, zapcore.InfoLevel)
	log.Emit(event.Stopped)
	time.Sleep(5 * time.Millisecond) // the line has left the queue
	log.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Contains(t, w.buf.String(), `"event":1002`)
}
