package backendpool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
)

var start = time.Unix(1_000_000, 0)

func engines(count int) []Backend {
	var list []Backend
	for index := range count {
		list = append(list, Backend{
			ID: identity.BackendID(fmt.Sprintf("engine-%d", index)), Service: "llm", Zone: "a",
			Weights: map[identity.ModelName]uint64{"m": 1},
		})
	}
	return list
}

// TestPickNeverBreaksHardConstraints draws pools and queries; whoever is picked
// is of the service, not leaving, not excluded and new enough.
func TestPickNeverBreaksHardConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := New("a")
		list := engines(rapid.IntRange(0, 6).Draw(t, "count"))
		for index := range list {
			list[index].Draining = rapid.Bool().Draw(t, "draining")
			list[index].Weights["m"] = uint64(rapid.IntRange(1, 2).Draw(t, "version"))
		}
		pool.Update(list)
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			query := Query{Service: "llm", Model: "m", LeastVersion: uint64(rapid.IntRange(0, 2).Draw(t, "least")), Home: uint64(rapid.IntRange(0, 3).Draw(t, "home"))}
			if rapid.Bool().Draw(t, "exclude") {
				query.Exclude = []identity.BackendID{"engine-0"}
			}
			possible := false
			for _, backend := range list {
				excluded := len(query.Exclude) > 0 && backend.ID == query.Exclude[0]
				possible = possible || (!backend.Draining && !excluded && backend.Weights["m"] >= query.LeastVersion)
			}
			ticket := pool.Pick(now, query)
			assert.Equal(t, ticket != nil, possible)
			if ticket == nil {
				continue
			}
			assert.Assert(t, !ticket.Backend.Draining)
			assert.Assert(t, ticket.Version >= query.LeastVersion)
			ticket.Release(now, Result(rapid.IntRange(0, 5).Draw(t, "result")))
		}
	})
}

// TestTwoFailuresTakeOut takes a failing back end out, tries it again later, and
// takes it out at once if it fails again.
func TestTwoFailuresTakeOut(t *testing.T) {
	pool := New("a")
	pool.Update(engines(2))
	query := Query{Service: "llm", Home: 7}
	home := pool.Pick(start, query)
	first := home.Backend.ID
	assert.Assert(t, !home.Release(start, ResultFailed))
	again := pool.Pick(start, query)
	assert.Equal(t, again.Backend.ID, first)
	assert.Assert(t, again.Release(start, ResultFailed))

	elsewhere := pool.Pick(start, query)
	assert.Assert(t, elsewhere.Backend.ID != first)
	elsewhere.Release(start, ResultServed)

	later := start.Add(failureEjection)
	returned := pool.Pick(later, query)
	assert.Equal(t, returned.Backend.ID, first)
	assert.Assert(t, returned.Release(later, ResultFailed))
}

// TestAvoidedOnlyWithoutOthers sends to an avoided back end only when it is the last.
func TestAvoidedOnlyWithoutOthers(t *testing.T) {
	pool := New("a")
	pool.Update(engines(2))
	pool.Avoid([]identity.BackendID{"engine-0"})
	for home := range uint64(20) {
		ticket := pool.Pick(start, Query{Service: "llm", Home: home + 1})
		assert.Equal(t, ticket.Backend.ID, identity.BackendID("engine-1"))
		ticket.Release(start, ResultServed)
	}
	ticket := pool.Pick(start, Query{Service: "llm", Home: 1, Exclude: []identity.BackendID{"engine-1"}})
	assert.Equal(t, ticket.Backend.ID, identity.BackendID("engine-0"))
}

// TestHomesSpillUnderLoad keeps any back end within the load bound.
func TestHomesSpillUnderLoad(t *testing.T) {
	pool := New("a")
	pool.Update(engines(4))
	counts := map[identity.BackendID]int{}
	for range 40 {
		counts[pool.Pick(start, Query{Service: "llm", Home: 1}).Backend.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, count <= 16, "%s has %d", id, count)
	}
}
