// Package inspect analyses the logs of several processes: it collects the
// lines of one request and groups failed requests by cause.
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

// Line is one parsed log line.
type Line struct {
	At      time.Time
	Process string
	Event   int
	Text    string
	Request string
	// Fields are the line's other fields, sorted by name.
	Fields []Field
}

// Field is one log field, with its value formatted as text.
type Field struct{ Name, Value string }

// Value returns the value of the named field, or "" if the line has none.
func (l *Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// lineKeys are the log keys that are left out of Line.Fields.
var lineKeys = []string{"ts", "level", "msg", "event", "entry", "agent", "request"}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read parses log lines. Text before the first brace of a line, such as the
// prefix of a log collector, is ignored. Lines that are not events are left
// out, and skipped is their number.
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
	l := Line{Event: int(number), Text: formatValue(raw["msg"]), Request: formatValue(raw["request"]), Process: formatValue(raw["entry"]) + formatValue(raw["agent"])}
	if ts, ok := raw["ts"].(float64); ok {
		l.At = time.Unix(0, int64(ts*float64(time.Second)))
	}
	for name, value := range raw {
		if !slices.Contains(lineKeys, name) {
			l.Fields = append(l.Fields, Field{name, formatValue(value)})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

func formatValue(v any) string {
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

// RequestLines returns the lines of one request, sorted by time.
func RequestLines(lines []Line, request string) []Line {
	var found []Line
	for _, l := range lines {
		if l.Request == request {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found
}

// Cause is a reason why requests failed, with the number of these requests
// and the ID of one of them.
type Cause struct {
	Event   int
	Text    string
	Why     string
	Error   string
	Count   int
	Example string
}

// failureEvents are the numbers of the events that end a request in failure.
var failureEvents = []int{event.RequestFailed.Number, event.AnswerAborted.Number}

// FailureCauses groups failed requests by cause, the most frequent first.
func FailureCauses(lines []Line) []Cause {
	byKey := make(map[string]*Cause)
	for i := range lines {
		l := &lines[i]
		if !slices.Contains(failureEvents, l.Event) {
			continue
		}
		c := Cause{Event: l.Event, Text: l.Text, Why: l.Value("why"), Error: errorCause(l.Value("error")), Example: l.Request}
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

// errorCause shortens an error message to its type and innermost cause. A cause
// that contains digits is left out, because it is likely to differ from request
// to request.
func errorCause(text string) string {
	kind, _, _ := strings.Cut(text, ":")
	parts := strings.Split(text, ": ")
	if last := parts[len(parts)-1]; len(parts) > 1 && !strings.ContainsAny(last, "0123456789") {
		return kind + ": " + last
	}
	return kind
}
