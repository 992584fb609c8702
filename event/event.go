// Package event defines the numbered log events of all processes and writes
// them as bounded, non-blocking structured logs. An event number never changes
// its meaning. docs/EVENTS.md is the operators' catalogue of the events; a test
// checks that it matches this package.
package event

import (
	"expvar"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event in logs, alerts and docs/EVENTS.md.
	Number int
	// Level is the severity; an event always has the same one.
	Level zapcore.Level
	// Text is the constant message.
	Text string
	// long says that fields may exceed maxFieldBytes.
	long bool
}

// maxFieldBytes bounds a text in a line: published values and answers of others may get
// into any of them, and may have megabytes.
const maxFieldBytes = 1 << 10

var (
	defined = make(map[int]Event)
	counts  = expvar.NewMap("events")
)

func define(number int, level zapcore.Level, text string) Event {
	return register(Event{Number: number, Level: level, Text: text})
}

// defineLong defines an event whose fields are long and come from this process only.
func defineLong(number int, level zapcore.Level, text string) Event {
	return register(Event{Number: number, Level: level, Text: text, long: true})
}

func register(e Event) Event {
	if _, dup := defined[e.Number]; dup {
		panic("event: number defined twice: " + strconv.Itoa(e.Number))
	}
	defined[e.Number] = e
	return e
}

// Quote quotes a text of another process; what exceeds limit bytes is left out.
func Quote(text string, limit int) string {
	if len(text) <= limit {
		return strconv.Quote(text)
	}
	return strconv.Quote(text[:limit]) + leftOut(len(text)-limit)
}

// Bound returns a text of another process; what exceeds limit bytes is left out.
func Bound(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + leftOut(len(text)-limit)
}

func leftOut(n int) string { return "... and " + strconv.Itoa(n) + " bytes" }

// boundStringer is a value whose text is cut if it exceeds maxFieldBytes.
type boundStringer struct{ fmt.Stringer }

func (s boundStringer) String() string { return Bound(s.Stringer.String(), maxFieldBytes) }

// bound cuts texts that exceed maxFieldBytes.
func bound(fields []zap.Field) {
	for i, f := range fields {
		switch f.Type {
		case zapcore.StringType:
			fields[i].String = Bound(f.String, maxFieldBytes)
		case zapcore.StringerType:
			fields[i].Interface = boundStringer{f.Interface.(fmt.Stringer)}
		}
	}
}

// All returns all events, sorted by number.
func All() []Event {
	list := make([]Event, 0, len(defined))
	for _, e := range defined {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// Log writes events; the zero value is not usable.
type Log struct {
	z *zap.Logger
}

// NewLog returns a log that writes to z.
func NewLog(z *zap.Logger) *Log { return &Log{z: z} }

// Nop returns a log that counts events but writes nothing.
func Nop() *Log { return NewLog(zap.NewNop()) }

// With returns a log that adds fields to each event.
func (l *Log) With(fields ...zap.Field) *Log {
	return &Log{z: l.z.With(fields...)}
}

// Err returns the log field of an error: its message, without the stack trace
// that zap.Error would add for an errorx error. A nil error adds no field.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Emit writes the event and counts it in the expvar map "events".
func (l *Log) Emit(e Event, fields ...zap.Field) {
	counts.Add(strconv.Itoa(e.Number), 1)
	entry := l.z.Check(e.Level, e.Text)
	if entry == nil {
		return
	}
	if !e.long {
		bound(fields)
	}
	entry.Write(append(fields, zap.Int("event", e.Number))...)
}
