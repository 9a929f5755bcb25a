package query_test

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
)

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		_, err := query.Parse("show engines where zone = rosehill and waiting > 3 order by assigned desc limit 10")
		assert.NilError(b, err)
	}
}

func BenchmarkParseError(b *testing.B) {
	for b.Loop() {
		_, err := query.Parse("show engines where zone = rosehill and waiting > 3 order by assigned descending")
		assert.Assert(b, err != nil)
	}
}

// BenchmarkMerge merges the answers of 340 daemons of which each watches 25 of
// 2,800 engines, so that each engine is watched by three.
func BenchmarkMerge(b *testing.B) {
	const daemons, watched, engines = 340, 25, 2800
	var answers []query.Table
	for daemon := range daemons {
		var rows []query.Engine
		for number := range watched {
			id := identity.BackendID(fmt.Sprintf("engine-%d", (daemon*watched+number)%engines))
			rows = append(rows, query.Engine{Engine: id, Service: "coach-llm", Zone: "rosehill", Models: "coach@v1", Assigned: 1, Observed: epoch})
		}
		answers = append(answers, query.TableOf(rows))
	}
	encoded, err := msgpack.Marshal(answers[0])
	assert.NilError(b, err)
	for b.Loop() {
		merged, err := query.Merge(query.SourceEngines, answers...)
		assert.NilError(b, err)
		assert.Equal(b, len(merged.Rows), engines)
	}
	b.ReportMetric(float64(len(encoded)), "bytes/answer")
}
