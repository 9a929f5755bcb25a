package view

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// While engines are moved from one version to another one by one, in any order,
// requests always run on a version that engines have, and move over only once.
func TestRollingChangeMovesRequestsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		order := rapid.Permutation(sequence(engines)).Draw(t, "order")
		document := &dynamic.Document{Models: []dynamic.Model{{Name: "coach", Version: "2"}}}
		backends := make([]scheduler.Backend, engines)
		load := func(index int, version identity.WeightsVersion) {
			backends[index].Models = []enginewire.LoadedModel{{Model: "coach", Version: version, Ready: true}}
		}
		for index := range backends {
			load(index, "1")
		}
		moved := false
		for step := 0; ; step++ {
			current := New(document, backends)
			version := current.ServingVersion(current.Model("coach"))
			assert.Assert(t, readyEngines(backends)["coach"][version] > 0, "version %s after %d steps", version, step)
			assert.Assert(t, !moved || version == "2", "back to version %s", version)
			moved = version == "2"
			if step == engines {
				break
			}
			load(order[step], "2")
		}
		assert.Assert(t, moved)
	})
}

func sequence(count int) []int {
	numbers := make([]int, count)
	for index := range numbers {
		numbers[index] = index
	}
	return numbers
}
