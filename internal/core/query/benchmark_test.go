package query_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/query"
)

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		_, err := query.Parse("show backends where zone = rosehill and running > 3 order by own desc limit 10")
		assert.NilError(b, err)
	}
}

func BenchmarkParseError(b *testing.B) {
	for b.Loop() {
		_, err := query.Parse("show backends where zone = rosehill and running > 3 order by own descending")
		assert.Assert(b, err != nil)
	}
}
