package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"
)

// Source is a parsed text that can tell the place of each value.
type Source struct {
	file      string
	text      []byte
	places    map[string]int // JSON pointer -> byte offset
	lineStart []int
}

// Position returns the place of the value at a JSON pointer, or that of its
// nearest ancestor that the text has.
func (s *Source) Position(path string) Position {
	for {
		if off, ok := s.places[path]; ok {
			return s.at(off)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return s.at(0)
		}
		path = path[:cut]
	}
}

func (s *Source) at(off int) Position {
	lo, hi := 0, len(s.lineStart)
	for hi-lo > 1 {
		mid := (lo + hi) / 2
		if s.lineStart[mid] <= off {
			lo = mid
		} else {
			hi = mid
		}
	}
	return Position{File: s.file, Line: lo + 1, Column: off - s.lineStart[lo] + 1}
}

// Finding makes an Error finding about the value at path.
func (s *Source) Finding(path, format string, args ...any) Finding {
	return Finding{Position: s.Position(path), Severity: Error, Path: path, Text: fmt.Sprintf(format, args...)}
}

// Decode reads text into out, a pointer to a struct. The findings cover
// syntax, unknown and repeated fields and wrong types; out is only filled as
// far as the text fits. The source is never nil.
func Decode(file string, text []byte, out any) (*Source, Findings) {
	src := &Source{file: file, text: text, places: make(map[string]int), lineStart: lineStarts(text)}
	// hujson blanks comments in the very bytes it was given; text must stay
	// as published, because peers compare its digest.
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return src, Findings{src.syntaxFinding(err)}
	}
	w := walker{src: src}
	w.value(&root, reflect.TypeOf(out).Elem(), "")
	if len(w.findings) > 0 {
		w.findings.Sort()
		return src, w.findings
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), out); err != nil {
		return src, Findings{src.Finding("", "%v", err)}
	}
	return src, nil
}

func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// syntaxFinding takes the place out of a hujson error, which reads
// "hujson: line L, column C: reason".
func (s *Source) syntaxFinding(err error) Finding {
	f := Finding{Position: s.at(0), Severity: Error, Text: err.Error()}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		f.Position.Line, f.Position.Column = line, column
		_, f.Text, _ = strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
	}
	return f
}

type walker struct {
	src      *Source
	findings Findings
}

func (w *walker) report(path, format string, args ...any) {
	w.findings = append(w.findings, w.src.Finding(path, format, args...))
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawMessage      = reflect.TypeFor[json.RawMessage]()
)

// value checks one JSON value against the Go type that it will fill.
func (w *walker) value(v *hujson.Value, t reflect.Type, path string) {
	w.src.places[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		w.object(val, t, path)
	case *hujson.Array:
		w.array(val, t, path)
	case hujson.Literal:
		w.literal(val, t, path)
	}
}

func (w *walker) object(o *hujson.Object, t reflect.Type, path string) {
	if t == rawMessage {
		return
	}
	if t.Kind() != reflect.Struct {
		w.report(path, "an object is not expected here; want %s", describe(t))
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := path + "/" + name
		w.src.places[p] = m.Name.StartOffset
		if seen[name] {
			w.report(p, "field %q appears twice", name)
			continue
		}
		seen[name] = true
		ft, ok := fields[name]
		if !ok {
			w.report(p, "unknown field %q; known here: %s", name, fieldNames(t))
			continue
		}
		w.value(&m.Value, ft, p)
	}
}

func (w *walker) array(a *hujson.Array, t reflect.Type, path string) {
	if t == rawMessage {
		return
	}
	if t.Kind() != reflect.Slice {
		w.report(path, "a list is not expected here; want %s", describe(t))
		return
	}
	for i := range a.Elements {
		w.value(&a.Elements[i], t.Elem(), path+"/"+strconv.Itoa(i))
	}
}

func (w *walker) literal(l hujson.Literal, t reflect.Type, path string) {
	if t == rawMessage || l.Kind() == 'n' {
		return
	}
	target := reflect.New(t)
	err := json.Unmarshal(l, target.Interface())
	if err == nil {
		return
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) && l.Kind() == '"' {
		w.report(path, "%s", messageOf(err))
		return
	}
	w.report(path, "%s does not fit; want %s", string(l), describe(t))
}

// messageOf returns an error's text without the name of its type.
func messageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func fieldName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	if name == "" {
		return f.Name
	}
	return name
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

func describe(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return "a quoted " + strings.ToLower(t.Name())
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		return "a whole number from 0"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "a whole number"
	default:
		return "a number"
	}
}
