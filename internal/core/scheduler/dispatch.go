package scheduler

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// Constants of waiting.
const (
	// pageConcurrency is how many requests are sent to a web-app runner at once.
	pageConcurrency = 64
	// interactiveReserve multiplies the window for interactive requests, so that
	// they need not wait for long prompts that fill it.
	interactiveReserve = 3
	// replacedPerTick is how many waiting requests are placed anew in one tick.
	replacedPerTick = 16
	// moveGain is the share of its wait that a request must save to move.
	moveGain = 0.2
)

// accepts tells whether a back end may be sent another request of a class now.
func (s *Scheduler) accepts(at float64, state *backendState, class identity.PriorityClass) bool {
	if state.backend.Kind == identity.KindApp {
		return state.running < pageConcurrency
	}
	window := s.options.Window.Seconds()
	reserve := slotReserve
	if class == identity.ClassInteractive {
		window *= interactiveReserve
		reserve = 0
	}
	if !state.batch.room(reserve) {
		return false
	}
	return state.queue.at(at, state.pace)*state.pace.SecondsPerToken() < window
}

// park lets a job wait for its back end.
func (s *Scheduler) park(parked *job) {
	state := parked.backend
	state.parked.Add(parked.order, parked)
	state.parkedTokens += parked.uncached
	parked.group.waiting.Add(parked.order, parked)
	s.waiting[parked.request.ID] = parked
	s.reorder(state)
}

// unpark takes a job out of its back end's queue.
func (s *Scheduler) unpark(parked *job) {
	state := parked.backend
	state.parked.Remove(parked.order)
	state.parkedTokens -= parked.uncached
	parked.group.waiting.Remove(parked.order)
	delete(s.waiting, parked.request.ID)
	s.reorder(state)
}

// withdraw takes back a job that waits, with what was expected of it.
func (s *Scheduler) withdraw(withdrawn *job) {
	s.unpark(withdrawn)
	s.index.Forget(withdrawn.checkpoints, withdrawn.placement)
	s.refundCharge(withdrawn)
	s.advanceClock(withdrawn)
}

// unparkAll empties a back end's queue.
func (s *Scheduler) unparkAll(state *backendState) []*job {
	var displaced []*job
	for state.parked.Len() > 0 {
		first := state.parked.Items()[0]
		s.unpark(first)
		s.index.Forget(first.checkpoints, first.placement)
		displaced = append(displaced, first)
	}
	return displaced
}

// placeAgain finds another back end for a job that was unparked.
func (s *Scheduler) placeAgain(now time.Time, moved *job) {
	at := s.seconds(now)
	chosen, found := s.choose(at, moved)
	if !found {
		s.refundCharge(moved)
		s.refuseWithoutBackend(now, moved)
		return
	}
	s.settle(at, moved, chosen)
}

// dispatchAll starts what may start now.
func (s *Scheduler) dispatchAll(at float64) {
	if len(s.waiting) == 0 {
		return
	}
	for _, state := range s.bySlot {
		if state != nil {
			s.dispatch(at, state)
		}
	}
}

// dispatch starts the requests that wait for a back end while it accepts them.
func (s *Scheduler) dispatch(at float64, state *backendState) {
	for state.parked.Len() > 0 {
		first := state.parked.Items()[0]
		if !s.accepts(at, state, first.request.Class) {
			return
		}
		s.unpark(first)
		s.index.Forget(first.checkpoints, first.placement)
		s.start(at, first)
	}
}

// expect notes what a job that starts will find in the cache and what it will
// bring. Requests that it counted on while it waited may have been withdrawn.
func (s *Scheduler) expect(started *job) {
	started.placement = s.index.Place(started.checkpoints, started.backend.slot)
	cached := started.placement.Expected.Blocks * prefix.BlockTokens
	started.imported = max(0, s.importable(started)-cached)
	if started.imported == 0 {
		started.importFrom = ""
	}
	started.expectedCached = cached + started.imported
	started.uncached = float64(max(1, started.request.PromptTokens-started.expectedCached))
}

// importable is how much of a job's prompt its import source has computed.
func (s *Scheduler) importable(started *job) int {
	source := s.backends[started.importFrom]
	if source == nil || !source.takes(started.group) {
		return 0
	}
	held := s.index.Depth(started.checkpoints, source.slot)
	if held.Pending {
		return 0
	}
	return held.Blocks * prefix.BlockTokens
}

// start sends a job to its back end.
func (s *Scheduler) start(at float64, started *job) {
	state := started.backend
	started.startedAt = at
	started.queuedAtStart = state.queue.at(at, state.pace)
	if started.isEngineWork() {
		s.expect(started)
		state.queue.add(at, started.uncached, state.pace)
		state.batch.note(at, 1)
		s.noteForPeers(at, started)
	}
	state.running++
	s.reorder(state)
	s.running[started.request.ID] = started
	s.advanceClock(started)
	s.actions = append(s.actions, Start{
		RequestID:            started.request.ID,
		Backend:              state.backend,
		ExpectedCachedTokens: started.expectedCached,
		ImportFrom:           started.importFrom,
	})
}

// advanceClock moves fair queueing on after a job has left the queue.
func (s *Scheduler) advanceClock(left *job) {
	class := left.request.Class
	if first, waits := left.group.waiting.FirstOf(class); waits {
		left.group.clock.Advance(class, first.Tag)
		return
	}
	left.group.clock.Advance(class, left.order.Tag)
}

// refuseLate refuses waiting requests that will not start in time any more.
func (s *Scheduler) refuseLate(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	for _, state := range s.bySlot {
		if state == nil {
			continue
		}
		for index := 0; index < state.parked.Len(); {
			candidate := state.parked.Items()[index]
			if candidate.request.Deadline.IsZero() || now.Before(candidate.request.Deadline) {
				index++
				continue
			}
			s.withdraw(candidate)
			s.refuse(now, candidate, ReasonDeadline, s.drainTime(s.seconds(now), candidate.group))
		}
	}
}

// rebalance places some waiting requests anew, those that go first in each group.
func (s *Scheduler) rebalance(now time.Time) {
	at := s.seconds(now)
	for _, waiting := range s.groups {
		count := min(replacedPerTick, waiting.waiting.Len())
		candidates := append([]*job(nil), waiting.waiting.Items()[:count]...)
		for _, candidate := range candidates {
			s.reconsider(at, candidate)
		}
	}
}

// reconsider moves a waiting job when that shortens its wait enough.
func (s *Scheduler) reconsider(at float64, candidate *job) {
	present := candidate.backend
	chosen, found := s.choose(at, candidate)
	if !found || s.bySlot[chosen.Index] == present {
		return
	}
	stay := s.delay(at, present, candidate.request.Class) + (s.ahead(at, candidate, present)+candidate.uncached)*present.pace.SecondsPerToken()
	if chosen.Wait > stay*(1-moveGain) {
		return
	}
	s.unpark(candidate)
	s.index.Forget(candidate.checkpoints, candidate.placement)
	s.settle(at, candidate, chosen)
}
