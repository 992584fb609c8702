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

// lockedBuffer is a writer that blocks while its mutex is held.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *lockedBuffer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// TestBlockedOutput: nothing reads the log output any more. Lines must be
// dropped; otherwise the process would block in the middle of requests.
func TestBlockedOutput(t *testing.T) {
	w := new(lockedBuffer)
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

// TestWarningsAreSampledLess: under load, sampling drops lines of successful
// requests before those of failed ones. Otherwise the line that explains a
// failed request could be missing.
func TestWarningsAreSampledLess(t *testing.T) {
	w := new(lockedBuffer)
	log := event.NewOutput(w, zapcore.InfoLevel)
	for range 300 {
		log.Emit(event.RequestAnswered, zap.String("request", "1"))
		log.Emit(event.RequestFailed, zap.String("request", "2"))
	}
	log.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.buf.String()
	assert.Equal(t, 300, strings.Count(text, `"event":6003`))
	assert.Less(t, strings.Count(text, `"event":6002`), 100)
}

func BenchmarkEmit(b *testing.B) {
	log := event.NewOutput(new(lockedBuffer), zapcore.InfoLevel)
	for b.Loop() {
		log.Emit(event.RequestFailed, zap.String("request", "9c41d07be2a35f68"), zap.Duration("took", time.Second))
	}
}

// delayedWriter takes 30 ms to write each line.
type delayedWriter struct{ lockedBuffer }

func (w *delayedWriter) Write(b []byte) (int, error) {
	time.Sleep(30 * time.Millisecond)
	return w.lockedBuffer.Write(b)
}

// TestSyncWaitsForLastLine: Sync must wait for a line that has left the queue
// but is not written yet. Otherwise the line that says why a process stopped
// could be missing when the process exits.
func TestSyncWaitsForLastLine(t *testing.T) {
	w := new(delayedWriter)
	log := event.NewOutput(w, zapcore.InfoLevel)
	log.Emit(event.Stopped)
	time.Sleep(5 * time.Millisecond) // the line has left the queue
	log.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Contains(t, w.buf.String(), `"event":1002`)
}
