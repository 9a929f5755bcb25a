package query

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The kinds of token. The first rule that matches wins.
const (
	tokenTime  = "Time"
	tokenText  = "Text"
	tokenRoute = "Route"
	tokenWord  = "Word"
)

var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: tokenTime, Pattern: `\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2})`},
	{Name: tokenText, Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: tokenRoute, Pattern: `[A-Za-z0-9_][A-Za-z0-9_.+-]*:/[^\s,"]*`},
	{Name: tokenWord, Pattern: `[A-Za-z0-9_][A-Za-z0-9_.+-]*(:[A-Za-z0-9][A-Za-z0-9_.+-]*)*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Punctuation", Pattern: `[,/@]`},
	{Name: "Space", Pattern: `\s+`},
})

var (
	kindTime  = definition.Symbols()[tokenTime]
	kindText  = definition.Symbols()[tokenText]
	kindRoute = definition.Symbols()[tokenRoute]
	kindWord  = definition.Symbols()[tokenWord]
)

// slash stands between the parts of a name.
const slash = "/"

// minuteLayout is RFC 3339 without seconds, which operators may leave out.
const minuteLayout = "2006-01-02T15:04Z07:00"

// plainWord matches a text that needs no quotes as a name.
var plainWord = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.+-]*(:[A-Za-z0-9][A-Za-z0-9_.+-]*)*$`)

// startsLikeTime matches a text whose start the lexer would take for a time.
var startsLikeTime = regexp.MustCompile(`^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2})`)

// Name is a name as an operator writes it: a word, or any text in quotes.
type Name string

// String writes the name with quotes if it needs them.
func (n Name) String() string {
	if plainWord.MatchString(string(n)) && !startsLikeTime.MatchString(string(n)) {
		return string(n)
	}
	return strconv.Quote(string(n))
}

// SlashedName is a name that may have slashes, such as that of a published model.
type SlashedName string

// String writes the name with quotes if it needs them.
func (n SlashedName) String() string {
	for _, part := range strings.Split(string(n), slash) {
		if Name(part).String() != part {
			return strconv.Quote(string(n))
		}
	}
	return string(n)
}

// takeSlashed takes a token and, if it is a word, all words that follow it after
// slashes.
func takeSlashed(tokens *lexer.PeekingLexer, text string) string {
	first := tokens.Next()
	if first.Type != kindWord {
		return text
	}
	for tokens.Peek().Value == slash {
		before := tokens.MakeCheckpoint()
		tokens.Next()
		if tokens.Peek().Type != kindWord {
			tokens.LoadCheckpoint(before)
			break
		}
		text += slash + tokens.Next().Value
	}
	return text
}

// Operand is a field or a value in a condition, with its place in the input.
type Operand struct {
	Text   string
	offset int
}

// Parse implements participle.Parseable.
func (o *Operand) Parse(tokens *lexer.PeekingLexer) error {
	token := tokens.Peek()
	text, ok := plainOrQuoted(token, kindWord, kindTime, kindRoute)
	if !ok {
		return participle.NextMatch
	}
	*o = Operand{Text: takeSlashed(tokens, text), offset: token.Pos.Offset}
	return nil
}

// String writes the operand with quotes if it needs them.
func (o Operand) String() string {
	if _, err := parseInstant(o.Text); err == nil && startsLikeTime.FindString(o.Text) == o.Text {
		return o.Text
	}
	return SlashedName(o.Text).String()
}

// Number is a number from 0.
type Number float64

// Parse implements participle.Parseable.
func (n *Number) Parse(tokens *lexer.PeekingLexer) error {
	value, err := strconv.ParseFloat(tokens.Peek().Value, 64)
	if err != nil || value < 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return participle.NextMatch
	}
	tokens.Next()
	*n = Number(value)
	return nil
}

// String writes the number without an exponent.
func (n Number) String() string {
	return strconv.FormatFloat(float64(n), 'f', -1, 64)
}

// Count is a whole number from 0.
type Count uint64

// Parse implements participle.Parseable.
func (c *Count) Parse(tokens *lexer.PeekingLexer) error {
	value, err := strconv.ParseUint(tokens.Peek().Value, 10, 63)
	if err != nil {
		return participle.NextMatch
	}
	tokens.Next()
	*c = Count(value)
	return nil
}

func parseInstant(text string) (time.Time, error) {
	if value, err := time.Parse(time.RFC3339, text); err == nil {
		return value.UTC(), nil
	}
	value, err := time.Parse(minuteLayout, text)
	return value.UTC(), err
}

// plainOrQuoted gives the text of a token of one of the kinds, or in quotes.
func plainOrQuoted(token *lexer.Token, kinds ...lexer.TokenType) (string, bool) {
	if token.Type == kindText {
		text, err := strconv.Unquote(token.Value)
		return text, err == nil && text != ""
	}
	for _, kind := range kinds {
		if token.Type == kind {
			return token.Value, true
		}
	}
	return "", false
}
