// Package finding collects what is wrong with an input, each finding with its
// place, so that all findings can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Place tells where in an input a finding lies. Line and Column count from 1;
// zero means unknown. Path is the dotted path of the field.
type Place struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Path   string `json:"path,omitempty"`
}

// String renders the place as file:line:column: path, leaving out what is unknown.
func (p Place) String() string {
	var parts []string
	if p.File != "" {
		parts = append(parts, p.File)
	}
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("%d:%d", p.Line, p.Column))
	}
	position := strings.Join(parts, ":")
	switch {
	case position == "":
		return p.Path
	case p.Path == "":
		return position
	default:
		return position + ": " + p.Path
	}
}

// Finding is one thing that is wrong with an input.
type Finding struct {
	Place   Place  `json:"place"`
	Message string `json:"message"`
}

// String renders the finding on one line.
func (f Finding) String() string {
	place := f.Place.String()
	if place == "" {
		return f.Message
	}
	return place + ": " + f.Message
}

// Error reports all findings of one input together.
type Error struct {
	Findings []Finding
}

// Error renders one finding a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, found := range e.Findings {
		lines = append(lines, found.String())
	}
	return strings.Join(lines, "\n")
}

// List gathers findings. The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add records a finding at a field path.
func (l *List) Add(path, format string, arguments ...any) {
	l.AddAt(Place{Path: path}, format, arguments...)
}

// AddAt records a finding at a place.
func (l *List) AddAt(place Place, format string, arguments ...any) {
	l.findings = append(l.findings, Finding{Place: place, Message: fmt.Sprintf(format, arguments...)})
}

// Findings returns what was gathered, in the order of gathering.
func (l *List) Findings() []Finding {
	return l.findings
}

// Err returns nil when nothing was found, and otherwise an *Error with all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.findings}
}
