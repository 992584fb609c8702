// Package jsonc reads JSON with comments strictly: every finding (unknown or
// repeated field, wrong type, missing name) is collected with its place, so
// that one run reports them all.
package jsonc

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// Severity grades a finding.
type Severity string

// Severities of findings.
const (
	// Error findings make the text unusable.
	Error Severity = "error"
	// Warning findings are reported only.
	Warning Severity = "warning"
)

// Position is a place in a text; lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one thing that is wrong with a text.
type Finding struct {
	Position Position
	Severity Severity
	// Path is the JSON pointer of the value concerned.
	Path string
	// Text says what is wrong and what to do.
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

// Errors counts the findings of severity Error.
func (fs Findings) Errors() int {
	n := 0
	for _, f := range fs {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Sort orders the findings by place.
func (fs Findings) Sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i].Position, fs[j].Position
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// String formats one finding a line.
func (fs Findings) String() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil without Error findings, else an ErrFindings with them all.
func (fs Findings) Err() error {
	if fs.Errors() == 0 {
		return nil
	}
	return ErrFindings.New("%d finding(s):\n%s", len(fs), fs)
}
