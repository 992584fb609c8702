package event_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
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
