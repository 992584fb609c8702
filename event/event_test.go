package event_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonypulley/event"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of the code.
func TestCatalogue(t *testing.T) {
	text, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| [^|]+) \| ([^|]+) \| ([^|]+) \|$`)
	var documented, defined []string
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		documented = append(documented, m[1])
	}
	for _, e := range event.All() {
		defined = append(defined, fmt.Sprintf("%d | %s | %s", e.Number, e.Level, e.Text))
	}
	assert.Equal(t, defined, documented)
}

func TestEmit(t *testing.T) {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.InfoLevel)
	log := event.NewLog(zap.New(core)).With(zap.String("entry", "e"))
	log.Emit(event.ConfigConflict, zap.Int("generation", 4))
	log.Emit(event.CallerDisconnected)
	assert.Contains(t, out.String(), `"event":2003`)
	assert.Contains(t, out.String(), `"generation":4`)
	assert.NotContains(t, out.String(), "4005", "debug events are below the log level")
}

// TestForeignTextIsBounded: one odd value of another writer, quoted whole, makes a line of 45 KB,
// and a disk of logs is full in minutes. Goroutines of this process are logged whole.
func TestForeignTextIsBounded(t *testing.T) {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.InfoLevel)
	log, long := event.NewLog(zap.New(core)), strings.Repeat("é\x00", 1<<20)
	log.Emit(event.EntryUnreadable, event.Err(errors.New(long)), zap.String("state", long))
	assert.Less(t, out.Len(), 20<<10)
	assert.Contains(t, out.String(), "3144704 bytes")
	out.Reset()
	log.Emit(event.ConfigInvalid, zap.Stringer("findings", bytes.NewBufferString(long)))
	assert.Less(t, out.Len(), 10<<10)
	assert.Contains(t, out.String(), "3144704 bytes")
	out.Reset()
	log.Emit(event.StillRunning, zap.String("goroutines", strings.Repeat("g", 1<<16)))
	assert.Greater(t, out.Len(), 1<<16)
	assert.Equal(t, `"ab"... and 2 bytes`, event.Quote("abcd", 2))
}
