package query_test

import (
	"errors"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/query"
)

var (
	names   = rapid.Custom(func(t *rapid.T) query.Name { return query.Name(drawText(t)) })
	numbers = rapid.Custom(func(t *rapid.T) query.Number { return query.Number(rapid.Float64Range(0, 1e12).Draw(t, "number")) })
	counts  = rapid.Custom(func(t *rapid.T) query.Count { return query.Count(rapid.Uint64Range(0, 1<<62).Draw(t, "count")) })
	moments = rapid.Custom(func(t *rapid.T) query.Instant {
		return query.Instant{Time: time.Unix(rapid.Int64Range(0, 4e9).Draw(t, "seconds"), 0).UTC()}
	})
	needs = rapid.Custom(func(t *rapid.T) query.ModelNeed {
		return query.ModelNeed{Service: names.Draw(t, "service"), Model: query.SlashedName(drawText(t)), Version: names.Draw(t, "version"), Engines: counts.Draw(t, "engines")}
	})
	routes = rapid.Custom(func(t *rapid.T) query.Route {
		return query.Route(rapid.SampledFrom([]string{"app:/finish", "a b:/x y", "s:/"}).Draw(t, "route"))
	})
	prefixes = rapid.Custom(func(t *rapid.T) query.PromptPrefix {
		return query.PromptPrefix{Tenant: names.Draw(t, "tenant"), Model: query.SlashedName(drawText(t)), ObjectKey: names.Draw(t, "object")}
	})
)

// drawText prefers texts that a careless printer would get wrong.
func drawText(t *rapid.T) string {
	odd := rapid.SampledFrom([]string{
		"where", "if", "as", "x", "7", "1.5", "a b", `q"uote`, "back\\slash", "new\nline", "é", "\xff", "a:b", "a:", "a:/p",
		"2026-05-01T17:00:00Z", "2026-05-01T17:00:00Zulu", "m/v@1", ",", "127.0.0.1:80", "-1", ".", "_", "in-force", "meta/llama-3.1-8b", "a//b", "/", "a/",
	})
	return rapid.OneOf(odd, rapid.StringMatching(`[a-z0-9._-]{1,8}`), rapid.StringN(1, 8, 20)).Draw(t, "text")
}

func drawAction(t *rapid.T) query.Action {
	name := func() query.Name { return names.Draw(t, "name") }
	slashed := func() query.SlashedName { return query.SlashedName(drawText(t)) }
	from := moments.Draw(t, "from")
	someNames := rapid.SliceOfN(names, 1, 3).Draw(t, "names")
	someNeeds := rapid.SliceOfN(needs, 1, 3).Draw(t, "needs")
	someRoutes := orNil(rapid.SliceOfN(routes, 0, 2).Draw(t, "routes"))
	somePrefixes := orNil(rapid.SliceOfN(prefixes, 0, 2).Draw(t, "prefixes"))
	return rapid.SampledFrom([]query.Action{
		query.DeclareEvent{Name: name(), From: from, To: query.Instant{Time: from.Time.Add(time.Hour)}, Tenants: someNames, Models: someNeeds, NotRepeatable: someRoutes, Prefixes: somePrefixes},
		query.ChangeEvent{Name: name(), From: &from, NotRepeatable: someRoutes, Prefixes: somePrefixes},
		query.ChangeEvent{Name: name(), Tenants: someNames, Models: someNeeds},
		query.CancelEvent{Name: name()}, query.DrainBackend{Backend: name()}, query.ReturnBackend{Backend: name()},
		query.LoadModel{Model: slashed(), Version: name(), Engine: name()}, query.UnloadModel{Model: slashed(), Version: name(), Engine: name()},
		query.LoadAdapter{Adapter: slashed(), Model: slashed(), Engine: name()}, query.UnloadAdapter{Adapter: slashed(), Model: slashed(), Engine: name()},
		query.SetRole{Role: name(), Engine: name()}, query.SetVersion{Model: slashed(), Version: name()},
		query.SetLimits{Tenant: name(), TokensPerSecond: rapid.Ptr(numbers, true).Draw(t, "tokens"), Concurrent: rapid.Ptr(counts, false).Draw(t, "concurrent")},
	}).Draw(t, "action")
}

func drawShow(t *rapid.T) *query.Show {
	show := &query.Show{Source: query.SourceWaitingRequests, Limit: rapid.Ptr(counts, true).Draw(t, "limit")}
	for range rapid.IntRange(0, 3).Draw(t, "conditions") {
		show.Where = append(show.Where, rapid.SampledFrom([]query.Condition{
			{Field: query.Operand{Text: "tenant"}, Operator: query.Contains, Value: query.Operand{Text: drawText(t)}},
			{Field: query.Operand{Text: "prompt_tokens"}, Operator: query.GreaterOrEqual, Value: query.Operand{Text: numbers.Draw(t, "n").String()}},
			{Field: query.Operand{Text: "deadline"}, Operator: query.Less, Value: query.Operand{Text: moments.Draw(t, "at").String()}},
			{Field: query.Operand{Text: "waited"}, Operator: query.NotEqual, Value: query.Operand{Text: "250ms"}},
		}).Draw(t, "condition"))
	}
	if rapid.Bool().Draw(t, "ordered") {
		show.Order = &query.Order{Field: query.Operand{Text: "request"}, Descending: rapid.Bool().Draw(t, "descending")}
	}
	return show
}

func orNil[T any](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	return items
}

// sameText compares operands without their place in the input.
var sameText = cmp.Comparer(func(a, b query.Operand) bool { return a.Text == b.Text })

func TestPrintedStatementsParseToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statement query.Statement = drawShow(t)
		if rapid.Bool().Draw(t, "command") {
			command := &query.Command{Action: drawAction(t), Base: rapid.Ptr(counts, true).Draw(t, "base")}
			if rapid.Bool().Draw(t, "identified") {
				command.ChangeID = names.Draw(t, "id")
			}
			statement = command
		}
		parsed, err := query.Parse(statement.String())
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, statement, sameText)
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
		text := (&query.Command{Action: drawAction(t)}).String()
		if rapid.Bool().Draw(t, "query") {
			text = drawShow(t).String()
		}
		at := rapid.IntRange(0, len(text)).Draw(t, "at")
		end := min(len(text), at+rapid.IntRange(0, 6).Draw(t, "cut"))
		checkAnyText(t, text[:at]+drawText(t)+text[end:])
	})
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show hot prefixes where tenant = a and waiting > 3 order by tokens desc limit 5",
		`declare event "a b" from 2026-01-01T00:00Z to 2026-01-01T01:00Z tenants a, b models s/m@v x 3 not-repeatable app:/x prefixes a/m at k if revision 4 as id`,
		"set limits of t tokens-per-second 1.5 concurrent 3 weight 2", "load adapter a of m on e", "show \"", "\x00\xff", "drain backend 1e400",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) { checkAnyText(t, text) })
}

func TestErrorsPointAtTheColumnAndSayWhatWasExpected(t *testing.T) {
	for text, want := range map[string]string{
		"show engines wher waiting > 3":        "column 14: unexpected \"wher\"; expected where, order or limit; did you mean where?\n  show engines wher waiting > 3\n               ^",
		"show engines where waitin > 3":        "column 20: there is no field \"waitin\"; expected engine, service, zone",
		"show engines where waiting > many":    "column 30: waiting is a number, not \"many\"; expected a number",
		"show engines where zone ! b":          "column 25: unexpected \"!\"; expected one of = != < <= > >= ~",
		"show models where context_tokens ~ 4": "column 19: context_tokens is a number, and ~ compares texts only",
		"load modle a@b on c":                  "column 6: unexpected \"modle\"; expected model or adapter; did you mean model?",
		"drain backend":                        "column 14: the statement ends too early; expected a name",
		"drain\nbackend e ,":                   "line 2, column 11: unexpected \",\"; expected if or as",
		"set limits of a":                      "column 16: the command sets no limit; expected tokens-per-second, concurrent or weight",
		"declare event r from 2026-01-02T00:00Z to 2026-01-01T00:00Z tenants a models s/m@v x 1": "the event ends at 2026-01-01T00:00:00Z, which is not after",
	} {
		_, err := query.Parse(text)
		assert.ErrorContains(t, err, want)
	}
	assert.DeepEqual(t, query.Complete("show e"), []string{"engines", "events"})
	assert.DeepEqual(t, query.Complete("show engines where wai"), []string{"waiting"})
}
