package query

import (
	"errors"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
)

// MaximumBytes is the longest accepted statement, in bytes.
const MaximumBytes = 16 << 10

// lookahead lets the parser try every alternative to its end.
const lookahead = 1 << 20

// sentence is the root of the grammar.
type sentence struct {
	Show *Show `parser:"@@"`
}

// grammar builds the parser at its first use. Its tags are fixed, so that a
// failure to build is a programming error, which any test meets.
var grammar = sync.OnceValue(func() *participle.Parser[sentence] {
	return participle.MustBuild[sentence](
		participle.Lexer(definition),
		participle.Elide("Space"),
		participle.CaseInsensitive(tokenWord),
		participle.UseLookahead(lookahead),
	)
})

// Grammar returns the grammar in EBNF.
func Grammar() string {
	return grammar().String()
}

// Parse reads one statement. It fails with *ParseError. Fields and the values
// compared with them are checked too, so that a parsed query can be evaluated.
func Parse(text string) (Statement, error) {
	if len(text) > MaximumBytes {
		return nil, newParseError(text, MaximumBytes, "the statement is longer than 16 KiB")
	}
	if strings.TrimSpace(text) == "" {
		failure := newParseError(text, len(text), "the statement is empty")
		failure.Expected = expectedAfter("")
		return nil, failure
	}
	parsed, err := grammar().ParseString("", text)
	if err != nil {
		return nil, explain(text, err)
	}
	if failure := checkShow(text, parsed.Show); failure != nil {
		return nil, failure
	}
	return parsed.Show, nil
}

// errorOffset returns where in the text a parse fails, and -1 if it doesn't.
func errorOffset(text string) int {
	_, err := grammar().ParseString("", text)
	if err == nil {
		return -1
	}
	return offsetOf(text, err)
}

func offsetOf(text string, err error) int {
	var located participle.Error
	if !errors.As(err, &located) {
		return len(text)
	}
	return min(max(located.Position().Offset, 0), len(text))
}
