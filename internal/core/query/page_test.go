package query_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/query"
)

// The operators' page shows the grammar that is in force.
func TestPageShowsTheGrammar(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/language.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "```ebnf\n"+query.Grammar()+"\n```"), query.Grammar())
}
