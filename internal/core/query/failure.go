package query

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// ParseError says where and why a text is no statement.
type ParseError struct {
	Input string `json:"input"`
	// Offset is the place in Input, in bytes from 0.
	Offset int `json:"offset"`
	// Line and Column are the place in Input, in lines and characters from 1.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	// Expected lists what could stand at the place.
	Expected []string `json:"expected,omitempty"`
	// Suggestion is the expected word nearest to the one found, if one is near.
	Suggestion string `json:"suggestion,omitempty"`
}

// Error renders the failure with the line of input and a caret below it.
func (e *ParseError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "column %d: %s", e.Column, e.Message)
	if e.Line > 1 {
		text.Reset()
		fmt.Fprintf(&text, "line %d, column %d: %s", e.Line, e.Column, e.Message)
	}
	if len(e.Expected) > 0 {
		fmt.Fprintf(&text, "; expected %s", alternatives(e.Expected))
	}
	if e.Suggestion != "" {
		fmt.Fprintf(&text, "; did you mean %s?", e.Suggestion)
	}
	fmt.Fprintf(&text, "\n  %s\n  %s^", e.line(), strings.Repeat(" ", max(e.Column-1, 0)))
	return text.String()
}

// line returns the line of the input that the failure is in, with each
// unprintable character as one space, so that the caret stands right.
func (e *ParseError) line() string {
	lines := strings.Split(e.Input, "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return ""
	}
	return strings.Map(func(character rune) rune {
		if character < ' ' {
			return ' '
		}
		return character
	}, lines[e.Line-1])
}

func alternatives(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

func newParseError(text string, offset int, format string, arguments ...any) *ParseError {
	before := text[:offset]
	lineStart := strings.LastIndexByte(before, '\n') + 1
	return &ParseError{
		Input:   text,
		Offset:  offset,
		Line:    strings.Count(before, "\n") + 1,
		Column:  utf8.RuneCountInString(before[lineStart:]) + 1,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// explain turns a failure of the parser into a *ParseError.
func explain(text string, err error) *ParseError {
	offset := offsetOf(text, err)
	found := tokenAt(text, offset)
	message := fmt.Sprintf("unexpected %q", found)
	if strings.TrimSpace(text[offset:]) == "" {
		message = "the statement ends too early"
		offset = len(strings.TrimRight(text, " \t\r\n"))
	}
	failure := newParseError(text, offset, "%s", message)
	failure.Expected = expectedAfter(text[:offset])
	failure.Suggestion = nearest(found, failure.Expected)
	return failure
}

// tokenAt returns the token at the offset, or the character if it is none.
func tokenAt(text string, offset int) string {
	rest := text[offset:]
	if rest == "" {
		return ""
	}
	tokens, err := definition.LexString("", rest)
	if err == nil {
		if token, err := tokens.Next(); err == nil && token.Value != "" {
			return token.Value
		}
	}
	_, size := utf8.DecodeRuneInString(rest)
	return rest[:size]
}
