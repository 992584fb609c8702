// Package event defines the numbered log events of all processes. Each event
// has a number that never changes its meaning; docs/EVENTS.md is the
// catalogue for those on call, and a test keeps the two equal.
package event

import (
	"expvar"
	"sort"
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event in logs, alarms and docs/EVENTS.md.
	Number int
	// Level is the severity that it is always logged at.
	Level zapcore.Level
	// Text is the constant message.
	Text string
}

var (
	defined = make(map[int]Event)
	counts  = expvar.NewMap("events")
)

func define(number int, level zapcore.Level, text string) Event {
	if _, dup := defined[number]; dup {
		panic("event: number defined twice: " + strconv.Itoa(number))
	}
	e := Event{Number: number, Level: level, Text: text}
	defined[number] = e
	return e
}

// All returns every event, by number.
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

// Nop returns a log that writes nothing but still counts events.
func Nop() *Log { return NewLog(zap.NewNop()) }

// With returns a log that adds fields to each event.
func (l *Log) With(fields ...zap.Field) *Log {
	return &Log{z: l.z.With(fields...)}
}

// Err is the field of an error: its text, without the stack that an errorx
// error would add to each line.
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
	entry.Write(append(fields, zap.Int("event", e.Number))...)
}
