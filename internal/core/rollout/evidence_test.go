package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var answers = rapid.Custom(func(t *rapid.T) Answer {
	return Answer{
		Route:   rapid.SampledFrom([]string{"chat", "embed", ""}).Draw(t, "route"),
		Backend: rapid.Uint64Range(0, 30).Draw(t, "backend"),
		Result:  rapid.SampledFrom([]Result{ResultGood, ResultBad, ResultSlow}).Draw(t, "result"),
	}
})

// TestMergedEvidenceIsThatOfAll spreads answers over daemons, encodes and merges their evidence, and compares the
// sum with the evidence of a single daemon that saw all answers.
func TestMergedEvidenceIsThatOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := make([]Evidence, 3)
		var whole, merged Evidence
		for _, answer := range rapid.SliceOf(answers).Draw(t, "answers") {
			target := rapid.Bool().Draw(t, "target")
			daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].Note(target, answer)
			whole.Note(target, answer)
		}
		for _, daemon := range daemons {
			sent, err := msgpack.Marshal(daemon)
			assert.NilError(t, err)
			var got Evidence
			assert.NilError(t, msgpack.Unmarshal(sent, &got))
			merged.Merge(got)
		}
		byRoute := func(left, right RouteEvidence) int { return cmp.Compare(left.Route, right.Route) }
		slices.SortFunc(whole.Routes, byRoute)
		slices.SortFunc(merged.Routes, byRoute)
		assert.Assert(t, len(merged.Routes) == len(whole.Routes) && merged.targetAnswers() == whole.targetAnswers())
		for index, route := range whole.Routes {
			assert.Assert(t, route.Stable == merged.Routes[index].Stable)
			assert.Assert(t, slices.Equal(route.Target, merged.Routes[index].Target))
		}
		assert.Assert(t, len(merged.StableSample) <= stableSampleSize)
		if len(whole.StableSample) < stableSampleSize {
			assert.Equal(t, Compare(merged).Bad, Compare(whole).Bad)
		}
	})
}

// TestRenewedEvidenceIsTheLatest merges partial reports of one daemon that are delayed, duplicated, reordered or
// lost. Once the last report has arrived, the merged evidence must equal the latest.
func TestRenewedEvidenceIsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var latest, known Evidence
		var told []Evidence
		for _, answer := range rapid.SliceOf(answers).Draw(t, "answers") {
			latest.Note(rapid.Bool().Draw(t, "target"), answer)
			var copied Evidence
			copied.Merge(latest)
			told = append(told, copied)
		}
		for index := range told {
			told = append(told, Evidence{Routes: told[index].Routes[:1]}, Evidence{StableSample: told[index].StableSample})
		}
		for _, part := range rapid.SliceOf(rapid.IntRange(0, max(len(told)-1, 0))).Draw(t, "order") {
			if part < len(told) {
				known.MergeCumulative(told[part])
			}
		}
		known.MergeCumulative(latest)
		byRoute := func(left, right RouteEvidence) int { return cmp.Compare(left.Route, right.Route) }
		slices.SortFunc(known.Routes, byRoute)
		slices.SortFunc(latest.Routes, byRoute)
		assert.DeepEqual(t, known, latest)
	})
}

// TestSinceIsWhatCameLater checks that the difference from a snapshot holds the answers after it.
func TestSinceIsWhatCameLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all, earlier, later Evidence
		before := rapid.SliceOf(answers).Draw(t, "before")
		for index, answer := range append(before, rapid.SliceOf(answers).Draw(t, "after")...) {
			if index == len(before) {
				earlier.Merge(all)
			}
			if index >= len(before) {
				later.Note(index%2 == 0, answer)
			}
			all.Note(index%2 == 0, answer)
		}
		if len(earlier.Routes) == 0 && len(before) > 0 {
			earlier.Merge(all)
		}
		got := all.since(&earlier)
		assert.Equal(t, got.targetAnswers(), later.targetAnswers())
		assert.Equal(t, got.badAnswers(), later.badAnswers())
	})
}

// BenchmarkRequest measures the cost of a request during a trial: taking credit, checking its first byte and
// counting its result. It took 715 ns on a machine with 12 cores and a load of 21.
func BenchmarkRequest(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	routes := []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"}
	exposure, pace, evidence := NewExposure(0.1, 0.5), NewLatencyModel(), Evidence{}
	for number := range b.N {
		route, tokens := routes[number%len(routes)], random.IntN(2000)
		took := time.Duration(20+tokens/10) * time.Millisecond
		target := exposure.TryTake(route)
		answer := Answer{Route: route, Backend: uint64(random.IntN(110))}
		if pace.Slow(route, took, tokens) {
			answer.Result = ResultSlow
		}
		if target {
			answer.Backend %= 11
		} else {
			exposure.Earn(route)
			pace.Note(route, took, tokens)
		}
		evidence.Note(target, answer)
	}
}

// BenchmarkCompare measures one comparison for a service with 4 routes and 11 back ends in the trial. It took 21
// us on a machine with 12 cores and a load of 21.
func BenchmarkCompare(b *testing.B) {
	drawn := newSimulation(1, 11, 0.14)
	var pooled Evidence
	for number := range 6000 {
		target := number%12 == 0
		on := pick(drawn.random, drawn.stable)
		if target {
			on = pick(drawn.random, drawn.trial)
		}
		result, _ := drawn.result(on, 0, 0)
		pooled.Note(target, Answer{Route: []string{"a", "b", "c", "d"}[number%4], Backend: on.key, Result: result})
	}
	var monitor Monitor
	for range b.N {
		monitor.Compare(pooled)
	}
}
