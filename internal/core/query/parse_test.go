package query_test

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/query"
)

var (
	numbers = rapid.Custom(func(t *rapid.T) query.Number { return query.Number(rapid.Float64Range(0, 1e12).Draw(t, "number")) })
	counts  = rapid.Custom(func(t *rapid.T) query.Count { return query.Count(rapid.Uint64Range(0, 1<<62).Draw(t, "count")) })
)

// drawText prefers texts that a careless printer would get wrong.
func drawText(t *rapid.T) string {
	odd := rapid.SampledFrom([]string{
		"where", "if", "as", "x", "7", "1.5", "a b", `q"uote`, "back\\slash", "new\nline", "é", "\xff", "a:b", "a:", "a:/p",
		"2026-05-01T17:00:00Z", "2026-05-01T17:00:00Zulu", "m/v@1", ",", "127.0.0.1:80", "-1", ".", "_", "in-force", "meta/llama-3.1-8b", "a//b", "/", "a/",
	})
	return rapid.OneOf(odd, rapid.StringMatching(`[a-z0-9._-]{1,8}`), rapid.StringN(1, 8, 20)).Draw(t, "text")
}

func drawShow(t *rapid.T) *query.Show {
	show := &query.Show{Source: query.SourceLeavingBackends, Limit: rapid.Ptr(counts, true).Draw(t, "limit")}
	for range rapid.IntRange(0, 3).Draw(t, "conditions") {
		show.Where = append(show.Where, rapid.SampledFrom([]query.Condition{
			{Field: query.Operand{Text: "zone"}, Operator: query.Contains, Value: query.Operand{Text: drawText(t)}},
			{Field: query.Operand{Text: "running"}, Operator: query.GreaterOrEqual, Value: query.Operand{Text: numbers.Draw(t, "n").String()}},
			{Field: query.Operand{Text: "doubted"}, Operator: query.Equal, Value: query.Operand{Text: "true"}},
		}).Draw(t, "condition"))
	}
	if rapid.Bool().Draw(t, "ordered") {
		show.Order = &query.Order{Field: query.Operand{Text: "backend"}, Descending: rapid.Bool().Draw(t, "descending")}
	}
	return show
}

// sameText compares operands without their place in the input.
var sameText = cmp.Comparer(func(a, b query.Operand) bool { return a.Text == b.Text })

func TestPrintedStatementsParseToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statement := drawShow(t)
		parsed, err := query.Parse(statement.String())
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, query.Statement(statement), sameText)
	})
}

// checkAnyText holds for every text: the parse neither panics nor reports a
// place outside the input, and what parses prints to a text that parses again.
func checkAnyText(t assert.TestingT, text string) {
	statement, err := query.Parse(text)
	if err == nil {
		again, err := query.Parse(statement.String())
		assert.NilError(t, err)
		assert.Equal(t, again.String(), statement.String())
		return
	}
	var failure *query.ParseError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Offset >= 0 && failure.Offset <= len(text), "offset %d of %d", failure.Offset, len(text))
	lines := strings.Split(text, "\n")
	assert.Assert(t, failure.Line >= 1 && failure.Line <= len(lines))
	assert.Assert(t, failure.Column >= 1 && failure.Column <= utf8.RuneCountInString(lines[failure.Line-1])+1)
	assert.Assert(t, strings.HasSuffix(err.Error(), "^"))
}

func TestDamagedStatementsFailInsideTheInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawShow(t).String()
		at := rapid.IntRange(0, len(text)).Draw(t, "at")
		end := min(len(text), at+rapid.IntRange(0, 6).Draw(t, "cut"))
		checkAnyText(t, text[:at]+drawText(t)+text[end:])
	})
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show leaving backends where zone = a and running > 3 order by own desc limit 5",
		"show models where named < 250ms", "show \"", "\x00\xff", "show backends limit 1e400",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) { checkAnyText(t, text) })
}

func TestErrorsPointAtTheColumnAndSayWhatWasExpected(t *testing.T) {
	for text, want := range map[string]string{
		"show backends wher running > 3":        "column 15: unexpected \"wher\"; expected where, order or limit; did you mean where?\n  show backends wher running > 3\n                ^",
		"show backends where runing > 3":        "there is no field \"runing\"",
		"show backends where running > many":    "running is a number, not \"many\"; expected a number",
		"show backends where running ~ 3":       "running is a number, and ~ compares texts only",
		"show models where named < soon":        "expected a duration such as 250ms or 10s",
		"show backends where leaving = perhaps": "expected true or false",
		"show":                                  "the statement ends too early; expected leaving, backends, daemons, models, quarantines, rollouts, routes, services or tenants",
		"":                                      "the statement is empty; expected show",
		"drain backend a":                       "column 1: unexpected \"drain\"; expected show",
		"show tenants limit x":                  "expected a number",
	} {
		_, err := query.Parse(text)
		assert.ErrorContains(t, err, want)
	}
	_, err := query.Parse("show backends where zone = " + strings.Repeat("x", query.MaximumBytes))
	assert.ErrorContains(t, err, "longer than 16 KiB")
}
