package rollout

import (
	"cmp"
	"slices"
)

// Result is how a request ended at a back end, as it counts for the comparison of versions.
type Result int

// Results of a request.
const (
	ResultGood Result = iota
	// ResultBad is a failure, or an answer that is truncated or wrong.
	ResultBad
	// ResultSlow is a good answer whose first byte was late according to LatencyModel.Slow.
	ResultSlow
)

// Answer is the outcome of one request at a back end.
type Answer struct {
	Route string
	// Backend is the hash of the back end's ID (rendezvous.Key).
	Backend uint64
	Result  Result
}

// Counts holds numbers of answers by result.
type Counts struct {
	Good, Bad, Slow uint32
}

// Total returns the number of all answers.
func (c Counts) Total() int { return int(c.Good) + int(c.Bad) + int(c.Slow) }

// BadOrSlow returns the number of answers that were bad or slow.
func (c Counts) BadOrSlow() int { return int(c.Bad) + int(c.Slow) }

func (c *Counts) note(result Result) {
	switch result {
	case ResultBad:
		c.Bad++
	case ResultSlow:
		c.Slow++
	default:
		c.Good++
	}
}

func (c *Counts) raiseTo(to Counts) {
	c.Good, c.Bad, c.Slow = max(c.Good, to.Good), max(c.Bad, to.Bad), max(c.Slow, to.Slow)
}

func (c *Counts) merge(other Counts) {
	c.Good += other.Good
	c.Bad += other.Bad
	c.Slow += other.Slow
}

// MergeCumulative merges counts that the same daemon has reported earlier or later. Since counts only grow, the
// maximum of each is kept, so that reports may be partial, duplicated or reordered.
func (e *Evidence) MergeCumulative(told Evidence) {
	for _, theirs := range told.Routes {
		route := e.findOrAddRoute(theirs.Route)
		route.Stable.raiseTo(theirs.Stable)
		raiseBackends(&route.Target, theirs.Target)
	}
	raiseBackends(&e.StableSample, told.StableSample)
	e.trimSample()
}

// since returns the difference from earlier counts. If a daemon has restarted in between, part of what it counted
// since is missing.
func (c Counts) since(earlier Counts) Counts {
	return Counts{
		Good: c.Good - min(earlier.Good, c.Good),
		Bad:  c.Bad - min(earlier.Bad, c.Bad),
		Slow: c.Slow - min(earlier.Slow, c.Slow),
	}
}

// BackendCounts holds the answers of one back end.
type BackendCounts struct {
	// Backend is the hash of the back end's ID.
	Backend uint64
	Counts  Counts
}

// RouteEvidence holds the answers on one route.
type RouteEvidence struct {
	Route  string
	Stable Counts
	// Target holds the counts of the target's back ends, sorted by Backend.
	Target []BackendCounts
}

// stableSampleSize is the number of the stable version's back ends whose answers are counted separately. If 14 %
// of the back ends are faulty, more than half of a sample of 12 are sound in 999 of 1,000 samples; a sample takes
// some 180 bytes of a report.
const stableSampleSize = 12

// Evidence is what one daemon has counted for one order since it started, or the sum over several daemons. The
// zero value is empty. It isn't safe for concurrent use.
type Evidence struct {
	Routes []RouteEvidence
	// StableSample counts the answers of a few of the stable version's back ends over all routes: those with the
	// lowest hashes, so that all daemons sample the same ones. It is sorted by Backend.
	StableSample []BackendCounts
}

// Note counts an answer of the target, or of the stable version if target is false.
func (e *Evidence) Note(target bool, answer Answer) {
	route := e.findOrAddRoute(answer.Route)
	if !target {
		route.Stable.note(answer.Result)
		e.noteStableSample(answer)
		return
	}
	findOrAddBackend(&route.Target, answer.Backend).Counts.note(answer.Result)
}

// noteStableSample counts an answer of the stable version if its back end belongs to the sample.
func (e *Evidence) noteStableSample(answer Answer) {
	full := len(e.StableSample) >= stableSampleSize
	if full && answer.Backend > e.StableSample[stableSampleSize-1].Backend {
		return
	}
	findOrAddBackend(&e.StableSample, answer.Backend).Counts.note(answer.Result)
	e.trimSample()
}

func (e *Evidence) trimSample() {
	e.StableSample = e.StableSample[:min(len(e.StableSample), stableSampleSize)]
}

// Merge adds the counts of another daemon.
func (e *Evidence) Merge(other Evidence) {
	for _, theirs := range other.Routes {
		route := e.findOrAddRoute(theirs.Route)
		route.Stable.merge(theirs.Stable)
		mergeBackends(&route.Target, theirs.Target)
	}
	mergeBackends(&e.StableSample, other.StableSample)
	e.trimSample()
}

// since returns the difference from earlier evidence on each route.
func (e *Evidence) since(earlier *Evidence) Evidence {
	var newer Evidence
	for _, now := range e.Routes {
		then := earlier.findOrAddRoute(now.Route)
		route := newer.findOrAddRoute(now.Route)
		route.Stable = now.Stable.since(then.Stable)
		for _, backend := range now.Target {
			before := findOrAddBackend(&then.Target, backend.Backend).Counts
			if counts := backend.Counts.since(before); counts.Total() > 0 {
				route.Target = append(route.Target, BackendCounts{Backend: backend.Backend, Counts: counts})
			}
		}
	}
	return newer
}

// targetAnswers returns the number of the target's answers.
func (e *Evidence) targetAnswers() int {
	answers := 0
	for _, route := range e.Routes {
		answers += route.TargetCounts().Total()
	}
	return answers
}

// badAnswers returns the number of the target's answers that are bad or slow.
func (e *Evidence) badAnswers() int {
	bad := 0
	for _, route := range e.Routes {
		bad += route.TargetCounts().BadOrSlow()
	}
	return bad
}

// TargetCounts sums the answers of the target's back ends on the route.
func (r *RouteEvidence) TargetCounts() Counts {
	var sum Counts
	for _, backend := range r.Target {
		sum.merge(backend.Counts)
	}
	return sum
}

// findOrAddRoute returns the evidence of a route, which it adds if needed. With so few routes a linear search
// costs less than a map.
func (e *Evidence) findOrAddRoute(name string) *RouteEvidence {
	for index := range e.Routes {
		if e.Routes[index].Route == name {
			return &e.Routes[index]
		}
	}
	e.Routes = append(e.Routes, RouteEvidence{Route: name})
	return &e.Routes[len(e.Routes)-1]
}

func mergeBackends(into *[]BackendCounts, other []BackendCounts) {
	for _, theirs := range other {
		findOrAddBackend(into, theirs.Backend).Counts.merge(theirs.Counts)
	}
}

func raiseBackends(known *[]BackendCounts, told []BackendCounts) {
	for _, theirs := range told {
		findOrAddBackend(known, theirs.Backend).Counts.raiseTo(theirs.Counts)
	}
}

// findOrAddBackend returns the counts of a back end in a sorted list, which it adds if needed.
func findOrAddBackend(list *[]BackendCounts, backend uint64) *BackendCounts {
	index, found := slices.BinarySearchFunc(*list, backend, func(each BackendCounts, wanted uint64) int {
		return cmp.Compare(each.Backend, wanted)
	})
	if !found {
		*list = slices.Insert(*list, index, BackendCounts{Backend: backend})
	}
	return &(*list)[index]
}
