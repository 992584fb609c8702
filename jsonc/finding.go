// Package jsonc decodes JSON with comments strictly. It collects all findings, such as
// unknown or duplicate fields and wrong types, each with its position, instead of
// stopping at the first.
package jsonc

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// Severity is the severity of a finding.
type Severity string

// Severities of findings.
const (
	// Error findings make the text unusable.
	Error Severity = "error"
	// Warning findings are only reported.
	Warning Severity = "warning"
)

// Position is a position in a text. Lines and columns count from 1, columns in bytes.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

const (
	// maxFindingText bounds the text of a finding, in bytes: it may quote values of megabytes.
	maxFindingText = 400
	// maxQuoted bounds a quoted value, in bytes, so that what is wanted instead is still told.
	maxQuoted = 100
)

// bounded returns a text; what exceeds limit bytes is left out.
func bounded(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return fmt.Sprintf("%s... and %d bytes", strings.ToValidUTF8(text[:limit], ""), len(text)-limit)
}

// Finding is one problem in a text.
type Finding struct {
	Position Position
	Severity Severity
	// Path is the JSON pointer of the value.
	Path string
	// Text says what is wrong and how to correct it.
	Text string
}

// String formats the finding as file:line:column: severity: text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Position, f.Severity, f.Text)
}

// Findings is a list of findings.
type Findings []Finding

var errorNamespace = errorx.NewNamespace("jsonc")

// ErrFindings is the type of the error that carries findings.
var ErrFindings = errorNamespace.NewType("findings")

// Errors returns the number of findings of severity Error.
func (fs Findings) Errors() int {
	n := 0
	for _, f := range fs {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Sort orders the findings by position.
func (fs Findings) Sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i].Position, fs[j].Position
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// String formats the findings, one per line.
func (fs Findings) String() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns an ErrFindings error that lists all findings, or nil if none is an Error.
func (fs Findings) Err() error {
	if fs.Errors() == 0 {
		return nil
	}
	return ErrFindings.New("%d finding(s):\n%s", len(fs), fs)
}
