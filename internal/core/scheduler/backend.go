package scheduler

import (
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/lotusward/lotusward/internal/core/admission"
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement/eligible"
	"github.com/lotusward/lotusward/internal/core/placement/estimate"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// backendState is what the scheduler keeps for one back end.
type backendState struct {
	backend Backend
	// key is the hash of the back end's ID.
	key    uint64
	slot   belief.Slot
	works  []eligible.Work
	groups []*group
	pace   *estimate.Pace
	queue  workQueue
	batch  batch
	// running counts our own requests there.
	running int
	// parked are the requests that wait here for this back end.
	parked       admission.Queue[*job]
	parkedTokens float64
	// failures counts failures in a row; the back end is avoided until avoidUntil.
	failures   int
	avoidUntil float64
	// orderKey is the key under which the back end stands in its groups' orders.
	orderKey float64
}

// group is the back ends that take one kind of work.
type group struct {
	work eligible.Work
	// byLoad orders the members by when they will be free.
	byLoad *btree.BTreeG[*backendState]
	ring   hashRing
	clock  *admission.FairClock
	// imports is the time of KV imports over the imported tokens.
	imports *estimate.Pace
	waiting admission.Queue[*job]
}

const btreeDegree = 16

func lessLoaded(one, other *backendState) bool {
	if one.orderKey != other.orderKey {
		return one.orderKey < other.orderKey
	}
	return one.backend.ID < other.backend.ID
}

// SetBackends implements Policy.
func (s *Scheduler) SetBackends(now time.Time, backends []Backend) []Action {
	at := s.seconds(now)
	known := make(map[identity.BackendID]*backendState, len(backends))
	var displaced []*job
	for _, backend := range backends {
		state := s.backends[backend.ID]
		if state != nil && state.backend.Incarnation != backend.Incarnation {
			displaced = append(displaced, s.unparkAll(state)...)
			s.leaveGroups(state)
			state = nil
		}
		if state == nil {
			state = &backendState{pace: estimate.NewPace()}
		}
		known[backend.ID] = state
		displaced = append(displaced, s.updateBackend(state, backend)...)
	}
	for id, state := range s.backends {
		if known[id] == nil {
			displaced = append(displaced, s.unparkAll(state)...)
			s.leaveGroups(state)
			s.index.RemoveEngine(id)
		}
	}
	s.backends = known
	s.indexSlots()
	for _, moved := range displaced {
		s.placeAgain(now, moved)
	}
	s.dispatchAll(at)
	return s.takeActions()
}

// updateBackend takes a back end's facts. It returns the requests that waited
// for it, when it no longer takes the same work.
func (s *Scheduler) updateBackend(state *backendState, backend Backend) []*job {
	state.backend = backend
	state.key = rendezvous.Key(string(backend.ID))
	state.slot = s.index.SetEngine(backend.ID, backend.Incarnation)
	works := eligible.WorksOf(backend.Kind, backend.Service, backend.Models, backend.Leaving)
	if slices.Equal(works, state.works) && len(state.groups) == len(works) {
		return nil
	}
	displaced := s.unparkAll(state)
	s.leaveGroups(state)
	state.works = works
	for _, work := range works {
		joined := s.group(work)
		joined.byLoad.ReplaceOrInsert(state)
		joined.ring.add(state)
		state.groups = append(state.groups, joined)
	}
	if len(works) > 0 {
		state.pace = s.paceOf(works[0])
	}
	return displaced
}

// paceOf returns the pace that is learned for a kind of work. Engines that take
// the same work are taken to be alike.
func (s *Scheduler) paceOf(work eligible.Work) *estimate.Pace {
	pace := s.paces[work]
	if pace == nil {
		pace = estimate.NewPace()
		s.paces[work] = pace
	}
	return pace
}

func (s *Scheduler) group(work eligible.Work) *group {
	found := s.groups[work]
	if found == nil {
		found = &group{work: work, byLoad: btree.NewG(btreeDegree, lessLoaded), clock: admission.NewFairClock(), imports: estimate.NewImportPace()}
		s.groups[work] = found
	}
	return found
}

func (s *Scheduler) leaveGroups(state *backendState) {
	for _, left := range state.groups {
		left.byLoad.Delete(state)
		left.ring.remove(state)
	}
	state.groups = nil
	state.works = nil
}

func (s *Scheduler) indexSlots() {
	s.bySlot = s.bySlot[:0]
	for _, state := range s.backends {
		for int(state.slot) >= len(s.bySlot) {
			s.bySlot = append(s.bySlot, nil)
		}
		s.bySlot[state.slot] = state
	}
}

// reorder puts a back end at its place in its groups' orders after a change.
func (s *Scheduler) reorder(state *backendState) {
	key := float64(state.running)
	if state.backend.Kind == identity.KindEngine {
		key = state.queue.freeAt(state.pace) + state.parkedTokens*state.pace.SecondsPerToken()
	}
	if key == state.orderKey {
		return
	}
	for _, joined := range state.groups {
		joined.byLoad.Delete(state)
	}
	state.orderKey = key
	for _, joined := range state.groups {
		joined.byLoad.ReplaceOrInsert(state)
	}
}

// takes tells whether a back end is in a group.
func (b *backendState) takes(wanted *group) bool {
	return slices.Contains(b.groups, wanted)
}
