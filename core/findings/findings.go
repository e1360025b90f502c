// Package findings collects the errors found in a document, each with its position,
// so that all of them can be reported together.
package findings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a source file. The zero value means that a value does
// not come from a file.
type Position struct {
	File string `json:"file,omitempty"`
	// Line and Column start at 1. Column counts bytes.
	Line   int32 `json:"line,omitempty"`
	Column int32 `json:"column,omitempty"`
}

// String returns the position in the form file:line:column, or only the file if
// there is no line.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one error found in a document.
type Finding struct {
	Position
	// Path is the path of the value within the document, separated by slashes.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String returns the finding in the form file:line:column: path: message, without
// the parts that are empty.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	if position := f.Position.String(); position != "" {
		parts = append(parts, position)
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// List collects findings. The zero value is ready to use.
type List struct {
	items []Finding
}

// Addf adds a finding with a formatted message.
func (l *List) Addf(at Position, path, format string, args ...any) {
	l.items = append(l.items, Finding{Position: at, Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddError adds the findings of an [*Error], or any other error as one finding
// without a position. It does nothing if err is nil.
func (l *List) AddError(err error) {
	var all *Error
	switch {
	case errors.As(err, &all):
		l.items = append(l.items, all.Findings...)
	case err != nil:
		l.items = append(l.items, Finding{Message: err.Error()})
	}
}

// Empty reports whether there are no findings.
func (l *List) Empty() bool {
	return len(l.items) == 0
}

// Sorted returns the findings ordered by position, path and message, without
// duplicates.
func (l *List) Sorted() []Finding {
	sorted := slices.Clone(l.items)
	slices.SortStableFunc(sorted, compare)
	return slices.Compact(sorted)
}

// Err returns the findings as an [*Error], or nil if there are none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

func compare(a, b Finding) int {
	if c := strings.Compare(a.File, b.File); c != 0 {
		return c
	}
	if a.Line != b.Line {
		return int(a.Line - b.Line)
	}
	if a.Column != b.Column {
		return int(a.Column - b.Column)
	}
	if c := strings.Compare(a.Path, b.Path); c != 0 {
		return c
	}
	return strings.Compare(a.Message, b.Message)
}

// Error is an error that contains all findings of a document.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
