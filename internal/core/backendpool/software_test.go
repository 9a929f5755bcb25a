package backendpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// versionsOracle is a reference model with plain lists of back ends and requests in flight.
type versionsOracle struct {
	listed   []Backend
	underWay []*Ticket
}

func (o *versionsOracle) counts() map[identity.SoftwareVersion]int {
	counts := map[identity.SoftwareVersion]int{}
	for _, backend := range o.listed {
		if !backend.Draining {
			counts[backend.Software]++
		}
	}
	return counts
}

func (o *versionsOracle) own(except identity.SoftwareVersion) int {
	count := 0
	for _, ticket := range o.underWay {
		if ticket.Backend.Software != except {
			count++
		}
	}
	return count
}

// TestVersionsMatchASimpleOracle changes the list while requests are in flight. Picks must satisfy the query, and
// the counts by version must match the reference model. A request counts until it ends, even if its back end is no
// longer listed.
func TestVersionsMatchASimpleOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, oracle := New("a"), &versionsOracle{}
		versions := rapid.SampledFrom([]identity.SoftwareVersion{"", "v1", "v2"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				oracle.listed = drawVersions(t)
				pool.Update(oracle.listed)
			case 1, 2:
				query := Query{Service: "llm", Software: versions.Draw(t, "asked for")}
				if rapid.Bool().Draw(t, "only") {
					query.AllowedKeys = []uint64{keyOf("engine-0"), keyOf("engine-3")}
				}
				if ticket := pool.Pick(start, query); ticket != nil {
					assert.Assert(t, query.Software == "" || ticket.Backend.Software == query.Software)
					assert.Assert(t, query.AllowedKeys == nil || slices.Contains(query.AllowedKeys, ticket.Key))
					oracle.underWay = append(oracle.underWay, ticket)
				} else {
					assert.Equal(t, oracle.possible(query), 0)
				}
			case 3:
				if len(oracle.underWay) > 0 {
					at := rapid.IntRange(0, len(oracle.underWay)-1).Draw(t, "ended")
					oracle.underWay[at].Release(start, ResultServed)
					oracle.underWay = slices.Delete(oracle.underWay, at, at+1)
				}
			}
			assert.DeepEqual(t, pool.SoftwareVersions("llm"), oracle.counts())
			for _, version := range []identity.SoftwareVersion{"", "v1", "v2"} {
				assert.Equal(t, pool.InFlightOnOtherVersions("llm", version), oracle.own(version))
				assert.Equal(t, pool.InFlightOnOtherVersions("other", version), 0)
				assert.Equal(t, len(pool.KeysOf("llm", version)), oracle.counts()[version])
			}
		}
		for _, ticket := range oracle.underWay {
			ticket.Release(start, ResultServed)
		}
		assert.Equal(t, len(pool.departed), 0)
	})
}

// possible counts the back ends that are suitable for a query.
func (o *versionsOracle) possible(query Query) int {
	count := 0
	for _, backend := range o.listed {
		runs := query.Software == "" || backend.Software == query.Software
		named := query.AllowedKeys == nil || slices.Contains(query.AllowedKeys, keyOf(backend.ID))
		if !backend.Draining && runs && named {
			count++
		}
	}
	return count
}

// drawVersions draws a list. The version of a back end never changes.
func drawVersions(t *rapid.T) []Backend {
	var list []Backend
	for index := range 5 {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		list = append(list, Backend{
			ID: identity.BackendID(fmt.Sprintf("engine-%d", index)), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", index),
			Software: []identity.SoftwareVersion{"v1", "v2", ""}[index%3], Draining: rapid.Bool().Draw(t, "draining"),
		})
	}
	return list
}

func keyOf(id identity.BackendID) uint64 { return rendezvous.Key(string(id)) }

// versioned returns a list in which the back ends from an index on run v2 and the others v1.
func versioned(count, from int) []Backend {
	list := engines(count)
	for index := range list {
		list[index].Software = "v1"
		if index >= from {
			list[index].Software = "v2"
		}
	}
	return list
}

// TestReplacedBackEndsCountInNoVersion checks that a back end whose address belongs to another one isn't counted.
func TestReplacedBackEndsCountInNoVersion(t *testing.T) {
	pool := New("a")
	pool.Update(versioned(2, 1))
	list := versioned(3, 1)
	list[2].Address = list[0].Address
	pool.Update(list)
	assert.DeepEqual(t, pool.SoftwareVersions("llm"), map[identity.SoftwareVersion]int{"v2": 2})
	assert.Equal(t, len(pool.KeysOf("llm", "v1")), 0)
}

// TestShortageNamesOtherVersions checks that a shortage counts back ends of another version separately.
func TestShortageNamesOtherVersions(t *testing.T) {
	pool := New("a")
	list := versioned(5, 2)
	list[2].Draining = true
	pool.Update(list)
	query := Query{Service: "llm", Software: "v2", Exclude: []identity.BackendID{"engine-3", "engine-4"}}
	_, shortage := pool.PickOrExplain(start, query)
	assert.Equal(t, shortage, Shortage{Listed: 5, Draining: 1, Failed: 2, OtherVersion: 2})
	query.Exclude, query.AllowedKeys = nil, []uint64{}
	_, shortage = pool.PickOrExplain(start, query)
	assert.Equal(t, shortage, Shortage{Listed: 5, Draining: 1, OtherVersion: 4})
}

// TestReservedVersionsAreBusy checks that back ends of a version for which others wait are not picked for long prompts, and count as busy,
// and that short prompts leave them one slot.
func TestReservedVersionsAreBusy(t *testing.T) {
	pool := New("a")
	list := versioned(5, 2)
	for index := range list {
		list[index].Slots = 3
	}
	pool.Update(list)
	query := Query{Service: "llm", ReservedSoftware: []identity.SoftwareVersion{"v1"}, Limits: Limits{Reading: 1000, EnforceSlots: true}}
	for range 20 {
		ticket, _ := pool.PickOrExplain(start, query)
		assert.Equal(t, ticket.Backend.Software, identity.SoftwareVersion("v2"))
		ticket.Release(start, ResultServed)
	}
	query.ReservedSoftware = append(query.ReservedSoftware, "v2")
	_, shortage := pool.PickOrExplain(start, query)
	assert.Equal(t, shortage, Shortage{Listed: 5, Busy: 5})
	query.Limits.Reading = 0
	for range 5 * 2 {
		ticket, _ := pool.PickOrExplain(start, query)
		assert.Assert(t, ticket != nil)
	}
	_, shortage = pool.PickOrExplain(start, query)
	assert.Equal(t, shortage, Shortage{Listed: 5, Busy: 5})
}

// TestSamplesKeepToTheVersion checks that samples contain only back ends of the required version, even if the
// prompt's holder or home runs another one.
func TestSamplesKeepToTheVersion(t *testing.T) {
	pool := New("a")
	pool.SetDaemons(100)
	pool.Update(versioned(12, 6))
	query := Query{Service: "llm", Model: "m", Home: 7, SharedTokens: 1000, Software: "v2", AllowedKeys: []uint64{keyOf("engine-8"), keyOf("engine-9"), keyOf("engine-1")}}
	query.Cached = func(uint64) Cached { return Cached{{Tokens: 1000, Read: []uint64{keyOf("engine-0")}}} }
	for range 50 {
		sampled := pool.Sample(start, query, nil)
		assert.Equal(t, len(sampled), 2)
		assert.Assert(t, !slices.Contains(sampled, keyOf("engine-0")) && !slices.Contains(sampled, keyOf("engine-1")))
		query.CandidateKeys = sampled
		ticket := pool.Pick(start, query)
		assert.Equal(t, ticket.Backend.Software, identity.SoftwareVersion("v2"))
		// The cache may be transferred from a back end with any software version: the weights are the same.
		assert.Equal(t, ticket.Source.Holder.ID, identity.BackendID("engine-0"))
		ticket.Release(start, ResultServed)
		query.CandidateKeys = nil
	}
}

// TestNewestWeightsAreOfUsableBackEnds checks that newer weights at back ends of another software version don't
// raise the cost of prefixes at suitable ones.
func TestNewestWeightsAreOfUsableBackEnds(t *testing.T) {
	pool := New("a")
	list := versioned(4, 2)
	list[2].Weights = map[identity.ModelName]uint64{"m": 2}
	pool.Update(list)
	assert.Equal(t, pool.newestVersion(start, Query{Service: "llm", Model: "m"}), uint64(2))
	assert.Equal(t, pool.newestVersion(start, Query{Service: "llm", Model: "m", Software: "v1"}), uint64(1))
	assert.Equal(t, pool.newestVersion(start, Query{Service: "llm", Model: "m", AllowedKeys: []uint64{keyOf("engine-3")}}), uint64(1))
}

// TestTrialsTakeReachableBackEnds checks that a trial request gets no back end while the only one is unreachable or
// leaving, but does get one that is ejected for failed requests. Other requests get it in each case.
func TestTrialsTakeReachableBackEnds(t *testing.T) {
	pool := New("a")
	pool.Update(versioned(1, 0))
	query := Query{Service: "llm"}
	trial := query
	trial.Trial = true
	pool.Pick(start, query).Release(start, ResultUnreachable)
	now := start.Add(100 * time.Millisecond)
	assert.Assert(t, pool.Pick(now, trial) == nil)
	assert.Assert(t, pool.Pick(now, query) != nil)
	later := start.Add(time.Minute)
	assert.Assert(t, pool.Pick(later, trial) != nil)
	pool.SetLeaving(Leaving{Now: []uint64{keyOf("engine-0")}})
	assert.Assert(t, pool.Pick(later, trial) == nil)
	assert.Assert(t, pool.Pick(later, query) != nil)

	pool = New("a")
	pool.Update(versioned(1, 0))
	for range 2 {
		pool.Pick(start, query).Release(start, ResultFailed)
	}
	assert.Assert(t, pool.States(start)[0].Ejected)
	assert.Assert(t, pool.Pick(start, trial) != nil)
}

// TestTrialsAreSpreadEvenly checks that sequential trial requests, with and without a model, are spread evenly over
// the back ends although one has every prompt cached, and that a full back end gets none.
func TestTrialsAreSpreadEvenly(t *testing.T) {
	for _, model := range []identity.ModelName{"", "m"} {
		pool := New("a")
		list := versioned(5, 1)
		list[4].Slots = 1
		pool.Update(list)
		query := Query{Service: "llm", Software: "v2", Trial: true, Model: model, Home: 7, SharedTokens: 4000, OwnTokens: 100, Limits: Limits{EnforceSlots: true}}
		query.Cached = func(uint64) Cached { return Cached{{Tokens: 4000, Read: []uint64{keyOf("engine-1")}}} }
		full := pool.Pick(start, Query{Service: "llm", AllowedKeys: []uint64{keyOf("engine-4")}})
		assert.Equal(t, full.Backend.ID, identity.BackendID("engine-4"))
		counts := map[identity.BackendID]int{}
		for range 600 {
			ticket := pool.Pick(start, query)
			counts[ticket.Backend.ID]++
			if model != "" && ticket.Backend.ID != "engine-1" {
				assert.Assert(t, ticket.WorkTokens() > 100, "what it lacks counts")
			}
			ticket.Release(start, ResultServed)
		}
		assert.Equal(t, len(counts), 3)
		for id, count := range counts {
			assert.Assert(t, count > 120 && count < 280, "%s got %d", id, count)
		}
	}
}
