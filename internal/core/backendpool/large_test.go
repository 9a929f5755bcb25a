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

// largeCounts are fleet sizes at which a request must cost about the same.
var largeCounts = []int{1_000, 10_000, 20_000}

// fleet returns a list of back ends of one model and a tenth as many of the service "pages".
func fleet(count int) []Backend {
	list := make([]Backend, 0, count+count/10)
	for number := range count {
		list = append(list, Backend{
			ID:      identity.NewBackendID(identity.BackendName(fmt.Sprintf("i-%08x", uint32(number)*2654435761)), identity.Incarnation(1796262243000+number)),
			Service: "llm", Zone: identity.Zone(fmt.Sprintf("z%d", number%5)), Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250),
			Slots: 16, Weights: map[identity.ModelName]uint64{"m": 1},
		})
	}
	for number := range count / 10 {
		list = append(list, Backend{ID: identity.BackendID(fmt.Sprintf("p-%06d", number)), Service: "pages", Zone: "a", Address: fmt.Sprintf("10.1.%d.%d:80", number/250, number%250), Slots: 6})
	}
	return list
}

// request samples back ends for a prompt and picks one of them, like a daemon among many.
func request(pool *Pool, now time.Time, query Query) *Ticket {
	query.CandidateKeys = pool.Sample(now, query, nil)
	return pool.Pick(now, query)
}

func promptQuery(home uint64) Query {
	return Query{Service: "llm", Model: "m", Home: home, SharedTokens: 6000, OwnTokens: 2000, OutputTokens: 10, Limits: Limits{EnforceSlots: true}}
}

// TestRequestsCostTheSameInLargeFleets counts the back ends examined for a request: the number must not grow from
// 1,000 to 20,000 back ends, and must stay low if nine in ten are draining.
func TestRequestsCostTheSameInLargeFleets(t *testing.T) {
	const requests = 200
	visits := map[int]uint64{}
	for _, count := range largeCounts {
		for _, unfit := range []int{0, 9} {
			list := fleet(count)
			for number := range list {
				list[number].Draining = number%10 < unfit
			}
			pool := New("a")
			pool.SetDaemons(985)
			pool.Update(list)
			before := pool.visits
			for number := range requests {
				request(pool, start, promptQuery(uint64(number+1))).Release(start, ResultServed)
				pool.TakeDueProbes(start)
				pool.Loads(256)
			}
			each := (pool.visits - before) / requests
			t.Logf("%d back ends, %d in ten unfit: %d looked at for a request", count, unfit, each)
			if unfit == 0 {
				visits[count] = each
			}
			assert.Assert(t, each < 1000, "%d of %d are looked at", each, count)
		}
	}
	assert.Assert(t, float64(visits[20_000]) < 1.1*float64(visits[1_000]))
}

// TestOnlyHealthyBackEndIsFound checks that the only healthy back end among thousands is found.
func TestOnlyHealthyBackEndIsFound(t *testing.T) {
	list := fleet(2_000)
	for number := range list {
		list[number].Draining = number != 700
	}
	pool := New("a")
	pool.Update(list)
	for home := range uint64(20) {
		ticket := request(pool, start, promptQuery(home+1))
		assert.Equal(t, ticket.Backend.ID, list[700].ID)
		ticket.Release(start, ResultServed)
	}
}

// TestHomesOfLargeFleetsAreEven checks that prompts are spread evenly over their homes, and that two daemons with
// the list in different order agree on each home.
func TestHomesOfLargeFleetsAreEven(t *testing.T) {
	const count, prompts = 1_000, 100_000
	first, second := New("a"), New("b")
	list := fleet(count)
	first.Update(list)
	slices.Reverse(list)
	second.Update(list)
	homes := map[identity.BackendID]int{}
	for prompt := range uint64(prompts) {
		key := rendezvous.Key(fmt.Sprint(prompt))
		any := func(*entry) bool { return true }
		home := first.services["llm"].home(key, any)
		assert.Equal(t, home.backend.ID, second.services["llm"].home(key, any).backend.ID)
		homes[home.backend.ID]++
	}
	most := 0
	for _, each := range homes {
		most = max(most, each)
	}
	assert.Assert(t, len(homes) > count*95/100, "%d are home of anything", len(homes))
	assert.Assert(t, most < 3*prompts/count, "one is home of %d prompts, %d in the mean", most, prompts/count)
}

// TestHomesMoveOnlyWithTheirBackEnds removes a back end and checks that only its own prompts get new homes.
func TestHomesMoveOnlyWithTheirBackEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := fleet(rapid.IntRange(2, 400).Draw(t, "count"))
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		before, after := New("a"), New("a")
		before.Update(list)
		after.Update(list)
		after.Apply(nil, []identity.BackendID{list[gone].ID})
		any := func(*entry) bool { return true }
		for range 50 {
			key := rapid.Uint64().Draw(t, "prompt")
			was := before.services["llm"].home(key, any)
			if was.backend.ID == list[gone].ID {
				continue
			}
			assert.Equal(t, after.services["llm"].home(key, any).backend.ID, was.backend.ID)
		}
	})
}

// TestPromptsOfLargeFleetsGoToTheirHolders checks that, without load, requests with the same prompt go to its
// holder, or always to the same home if nothing is cached.
func TestPromptsOfLargeFleetsGoToTheirHolders(t *testing.T) {
	pool := New("a")
	pool.SetDaemons(985)
	pool.Update(fleet(10_000))
	holder := pool.byID[fleet(10_000)[1234].ID].key
	query := promptQuery(99)
	query.Cached = func(uint64) Cached { return Cached{{Tokens: 6000, Read: []uint64{holder}}} }
	for range 50 {
		ticket := request(pool, start, query)
		assert.Equal(t, ticket.Key, holder)
		ticket.Release(start, ResultServed)
	}
	query.Cached = nil
	home := request(pool, start, query)
	home.Release(start, ResultServed)
	for range 50 {
		ticket := request(pool, start, query)
		assert.Equal(t, ticket.Backend.ID, home.Backend.ID)
		ticket.Release(start, ResultServed)
	}
}

// TestChangesLeadToTheSameList applies incremental changes to one pool and complete lists to another. Both must
// have the same back ends and state, and report the same changes and ended back ends.
func TestChangesLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		applied, replaced := New("a"), New("a")
		var endedApplied, endedReplaced []string
		applied.OnEnded(func(address string) { endedApplied = append(endedApplied, address) })
		replaced.OnEnded(func(address string) { endedReplaced = append(endedReplaced, address) })
		listed := map[identity.BackendName]Backend{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			var changed []Backend
			var gone []identity.BackendID
			touched := map[identity.BackendName]bool{}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := identity.BackendName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"))
				if touched[name] {
					continue
				}
				touched[name] = true
				known, is := listed[name]
				if is && rapid.IntRange(0, 3).Draw(t, "goes") == 0 {
					gone = append(gone, known.ID)
					delete(listed, name)
					continue
				}
				backend := Backend{
					ID:      identity.NewBackendID(name, identity.Incarnation(rapid.IntRange(0, 3).Draw(t, "life")*int(now.UnixMilli()))),
					Service: identity.ServiceName(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")), Zone: "a",
					Address: rapid.SampledFrom([]string{"x:1", "x:2", "x:3"}).Draw(t, "address"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
					Draining: rapid.Bool().Draw(t, "drains"), Weights: map[identity.ModelName]uint64{"m": uint64(rapid.IntRange(1, 3).Draw(t, "weights"))},
				}
				if is && known.ID != backend.ID {
					gone = append(gone, known.ID)
				}
				listed[name] = backend
				changed = append(changed, backend)
			}
			if rapid.Bool().Draw(t, "speaks") {
				for _, backend := range listed {
					if backend.Slots == 1 {
						applied.RecordNotice(now, backend.ID, Notice{Draining: true})
						replaced.RecordNotice(now, backend.ID, Notice{Draining: true})
					}
				}
			}
			whole := make([]Backend, 0, len(listed))
			for _, backend := range listed {
				whole = append(whole, backend)
			}
			endedApplied, endedReplaced = nil, nil
			one, other := applied.Apply(changed, gone), replaced.Update(whole)
			for _, lists := range [][2][]identity.BackendID{{one.Added, other.Added}, {one.Removed, other.Removed}, {one.Draining, other.Draining}} {
				slices.Sort(lists[0])
				slices.Sort(lists[1])
				assert.DeepEqual(t, lists[0], lists[1])
			}
			slices.Sort(endedApplied)
			slices.Sort(endedReplaced)
			assert.DeepEqual(t, endedApplied, endedReplaced)
			assert.DeepEqual(t, applied.States(now), replaced.States(now))
			for service, grp := range replaced.services {
				assert.Equal(t, len(applied.services[service].entries), len(grp.entries))
				assert.Assert(t, slices.IsSortedFunc(applied.services[service].entries, byID) && slices.IsSortedFunc(applied.services[service].ring, byPosition))
			}
			assert.Equal(t, len(applied.services), len(replaced.services))
		}
	})
}

// BenchmarkLargeFleet measures a sample, a pick and a change of the list for several fleet sizes. For 1,000, 10,000
// and 20,000 back ends, full scans took 0.23, 3.4 and 6.9 ms to sample, 0.27, 2.9 and 6.8 ms to pick, and 1.1, 20
// and 40 ms for a change.
func BenchmarkLargeFleet(b *testing.B) {
	for _, count := range append([]int{90}, largeCounts...) {
		pool := New("a")
		pool.SetDaemons(985)
		list := fleet(count)
		pool.Update(list)
		query := promptQuery(7)
		among := pool.Sample(start, query, nil)
		b.Run(fmt.Sprintf("sample/%d", count), func(b *testing.B) {
			for b.Loop() {
				query.Home++
				pool.Sample(start, query, nil)
			}
		})
		b.Run(fmt.Sprintf("pick/%d", count), func(b *testing.B) {
			query.CandidateKeys = among
			for b.Loop() {
				query.Home++
				pool.Pick(start, query).Release(start, ResultServed)
			}
			query.CandidateKeys = nil
		})
		b.Run(fmt.Sprintf("change/%d", count), func(b *testing.B) {
			number := 0
			for b.Loop() {
				number = (number + 7) % count
				pool.Apply(nil, []identity.BackendID{list[number].ID})
				pool.Apply(list[number:number+1], nil)
			}
		})
	}
}

// TestFewDaemonsProbeAGoneBackEnd reports an ended back end to all daemons, from two reporters every second until
// its row expires. The rate of probes must be about the same with 2,000 daemons as with 100, and nearly all daemons
// must avoid the back end.
func TestFewDaemonsProbeAGoneBackEnd(t *testing.T) {
	for _, count := range []int{100, 985, 2_000} {
		pools := make([]*Pool, count)
		for index := range pools {
			pools[index] = New("a")
			pools[index].SetDaemons(count)
			pools[index].Update(fleet(10))
		}
		gone := fleet(10)[3].ID
		probes, leftOut := 0, 0
		const seconds = 6
		for step := range seconds * 20 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			for _, pool := range pools {
				if step%20 == 0 {
					pool.ReceiveFailureReports(now, "one", []FailureReport{{Key: rendezvous.Key(string(gone))}})
					pool.ReceiveFailureReports(now, "other", []FailureReport{{Key: rendezvous.Key(string(gone))}})
				}
				for _, suspect := range pool.TakeDueProbes(now) {
					probes++
					pool.RecordProbe(now, suspect.ID, ConnectRefused)
				}
				if pool.byID[gone].ejected(now) {
					leftOut++
				}
			}
		}
		perSecond := float64(probes) / seconds
		t.Logf("%d daemons: %.1f probes a second", count, perSecond)
		assert.Assert(t, perSecond < 60, "%.1f probes a second of %d daemons", perSecond, count)
		assert.Assert(t, leftOut > seconds*20*count*95/100, "left out by %d", leftOut)
	}
}
