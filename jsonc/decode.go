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

// Source is a parsed text with the positions of its values.
type Source struct {
	file      string
	text      []byte
	offsets   map[string]int // JSON pointer -> byte offset
	lineStart []int          // byte offset of each line
}

// Position returns the position of the value at a JSON pointer, or of its
// nearest ancestor in the text.
func (s *Source) Position(path string) Position {
	for {
		if off, ok := s.offsets[path]; ok {
			return s.positionAt(off)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return s.positionAt(0)
		}
		path = path[:cut]
	}
}

func (s *Source) positionAt(off int) Position {
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

// Finding returns an Error finding about the value at a JSON pointer.
func (s *Source) Finding(path, format string, args ...any) Finding {
	return Finding{Position: s.Position(path), Severity: Error, Path: path, Text: bounded(fmt.Sprintf(format, args...), maxFindingText)}
}

// Decode decodes text into out, a pointer to a struct. The findings cover syntax,
// unknown and duplicate fields and wrong types; with any of them out may be left
// incomplete. The source is never nil.
func Decode(file string, text []byte, out any) (*Source, Findings) {
	src := &Source{file: file, text: text, offsets: make(map[string]int), lineStart: lineStarts(text)}
	// hujson blanks comments in place; text must stay as published, because
	// peers compare its digest.
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return src, Findings{src.syntaxFinding(err)}
	}
	w := validator{src: src}
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

// syntaxFinding extracts the position from a hujson error of the form
// "hujson: line L, column C: reason".
func (s *Source) syntaxFinding(err error) Finding {
	f := Finding{Position: s.positionAt(0), Severity: Error, Text: err.Error()}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		f.Position.Line, f.Position.Column = line, column
		_, f.Text, _ = strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
	}
	f.Text = bounded(f.Text, maxFindingText)
	return f
}

// validator checks a syntax tree against the type that it will be decoded into.
type validator struct {
	src      *Source
	findings Findings
}

func (w *validator) report(path, format string, args ...any) {
	w.findings = append(w.findings, w.src.Finding(path, format, args...))
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawMessage      = reflect.TypeFor[json.RawMessage]()
)

// value checks one JSON value against a Go type and records its position.
func (w *validator) value(v *hujson.Value, t reflect.Type, path string) {
	w.src.offsets[path] = v.StartOffset
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

func (w *validator) object(o *hujson.Object, t reflect.Type, path string) {
	if t == rawMessage {
		return
	}
	if t.Kind() != reflect.Struct {
		w.report(path, "unexpected object; want %s", describe(t))
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := path + "/" + name
		w.src.offsets[p] = m.Name.StartOffset
		if seen[name] {
			w.report(p, "duplicate field %q", name)
			continue
		}
		seen[name] = true
		ft, ok := fields[name]
		if !ok {
			w.report(p, "unknown field %q; known fields: %s", name, fieldNames(t))
			continue
		}
		w.value(&m.Value, ft, p)
	}
}

func (w *validator) array(a *hujson.Array, t reflect.Type, path string) {
	if t == rawMessage {
		return
	}
	if t.Kind() != reflect.Slice {
		w.report(path, "unexpected list; want %s", describe(t))
		return
	}
	for i := range a.Elements {
		w.value(&a.Elements[i], t.Elem(), path+"/"+strconv.Itoa(i))
	}
}

func (w *validator) literal(l hujson.Literal, t reflect.Type, path string) {
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
	w.report(path, "invalid value %s; want %s", bounded(string(l), maxQuoted), describe(t))
}

// messageOf returns an error's message without its type name.
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

// describe returns the JSON form of a type, for messages.
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
		return "a non-negative integer"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "an integer"
	default:
		return "a number"
	}
}
