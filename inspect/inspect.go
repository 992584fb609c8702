// Package inspect reads the logs of several processes and tells what happened
// to a request, and why requests failed.
package inspect

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"ebonypulley/event"
)

// Line is one log line.
type Line struct {
	At      time.Time
	Process string
	Event   int
	Text    string
	Request string
	// Fields are the line's other fields, in the order of their names.
	Fields []Field
}

// Field is one field of a line, rendered.
type Field struct{ Name, Value string }

// Value returns a field's value, empty if it is not there.
func (l *Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// known are the fields that a Line has by itself.
var known = []string{"ts", "level", "msg", "event", "entry", "agent", "request"}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Read reads log lines. Text before the first brace of a line, such as a
// collector's prefix, is skipped; lines without an event are left out and
// counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scan.Scan() {
		l, ok := parse(scan.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, scan.Err()
}

func parse(text string) (Line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	raw := make(map[string]any)
	if json.Unmarshal([]byte(text[brace:]), &raw) != nil {
		return Line{}, false
	}
	number, ok := raw["event"].(float64)
	if !ok {
		return Line{}, false
	}
	l := Line{Event: int(number), Text: str(raw["msg"]), Request: str(raw["request"]), Process: str(raw["entry"]) + str(raw["agent"])}
	if ts, ok := raw["ts"].(float64); ok {
		l.At = time.Unix(0, int64(ts*float64(time.Second)))
	}
	for name, value := range raw {
		if !slices.Contains(known, name) {
			l.Fields = append(l.Fields, Field{name, str(value)})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

func str(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.4g", v)
	default:
		return fmt.Sprint(v)
	}
}

// Story returns the lines of one request in the order of their time.
func Story(lines []Line, request string) []Line {
	var story []Line
	for _, l := range lines {
		if l.Request == request {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// Cause is why requests failed, with how many did and one of them.
type Cause struct {
	Event   int
	Text    string
	Why     string
	Error   string
	Count   int
	Example string
}

// failures are the events that end a request badly.
var failures = []int{event.RequestGivenUp.Number, event.AnswerBroken.Number}

// Summary groups the failed requests by cause, most first.
func Summary(lines []Line) []Cause {
	byKey := make(map[string]*Cause)
	for i := range lines {
		l := &lines[i]
		if !slices.Contains(failures, l.Event) {
			continue
		}
		c := Cause{Event: l.Event, Text: l.Text, Why: l.Value("why"), Error: kindOf(l.Value("error")), Example: l.Request}
		key := fmt.Sprint(c.Event, c.Why, c.Error)
		if byKey[key] == nil {
			byKey[key] = &c
		}
		byKey[key].Count++
	}
	list := make([]Cause, 0, len(byKey))
	for _, c := range byKey {
		list = append(list, *c)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Count != list[j].Count {
			return list[i].Count > list[j].Count
		}
		return list[i].Example < list[j].Example
	})
	return list
}

// kindOf shortens an error to its type and its last cause, without what is
// particular to one request.
func kindOf(text string) string {
	kind, _, _ := strings.Cut(text, ":")
	parts := strings.Split(text, ": ")
	if last := parts[len(parts)-1]; len(parts) > 1 && !strings.ContainsAny(last, "0123456789") {
		return kind + ": " + last
	}
	return kind
}
