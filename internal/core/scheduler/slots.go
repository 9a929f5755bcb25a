package scheduler

import (
	"slices"

	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Constants of the estimate of batch slots.
const (
	// slotReserve is how many slots only interactive requests may fill.
	slotReserve = 4
	// durationGain is the weight of the newest request in the mean duration.
	durationGain = 0.05
	// minimumSlots is the least batch size that is believed.
	minimumSlots = 8
	// rememberSeconds is the age from which a report has surely seen what was sent.
	rememberSeconds = 1.0
)

// batch estimates how full an engine's batch is. How many requests fit is learned
// from reports: requests wait while the batch holds as many as it ever did.
type batch struct {
	// requests is how many the engine had when it last reported, and changes are
	// our own starts (+1) and ends (-1) that the report may not have seen.
	requests int
	changes  []change
	// most is the largest batch reported, and full counts the reports in a row
	// that had requests waiting at that size.
	most, full int
	// duration is the mean time from start to end, in seconds.
	duration float64
}

type change struct {
	at    float64
	delta int
	ours  bool
}

// fullReports is how many reports make sure that a batch was full.
const fullReports = 3

// note counts a start or an end of our own.
func (b *batch) note(at float64, delta int) {
	b.add(change{at: at, delta: delta, ours: true})
}

// notePeer counts a start by another daemon, whose end will not be told.
func (b *batch) notePeer(at float64) {
	b.add(change{at: at, delta: 1})
}

// add keeps a change. Old ones are folded together, so that an engine that never
// reports costs no more memory; those of other daemons are forgotten.
func (b *batch) add(added change) {
	old := 0
	for old < len(b.changes) && b.changes[old].at < added.at-rememberSeconds {
		if b.changes[old].ours {
			b.requests = max(0, b.requests+b.changes[old].delta)
		}
		old++
	}
	b.changes = append(slices.Delete(b.changes, 0, old), added)
}

// report takes a load report that is lag seconds old.
func (b *batch) report(at, lag float64, load enginewire.Load) {
	kept := b.changes[:0]
	for _, noted := range b.changes {
		if noted.at >= at-lag {
			kept = append(kept, noted)
		}
	}
	b.changes = kept
	b.requests = load.Running + load.Waiting
	switch {
	case load.Running > b.most:
		b.most, b.full = load.Running, 0
	case load.Running == b.most && load.Waiting > 0:
		b.full = min(b.full+1, fullReports)
	}
}

// occupancy is how many requests the engine should have now.
func (b *batch) occupancy() int {
	total := b.requests
	for _, noted := range b.changes {
		total += noted.delta
	}
	return max(0, total)
}

// slots is how many requests fit into the batch, or false when that is not known.
func (b *batch) slots() (int, bool) {
	return b.most, b.full >= fullReports && b.most >= minimumSlots
}

// wait is how long a new request waits for a slot, in seconds, behind others that
// were not sent yet and with some slots kept free.
func (b *batch) wait(unsent, reserve int) float64 {
	slots, known := b.slots()
	if !known {
		return 0
	}
	over := b.occupancy() + unsent + 1 + reserve - slots
	return float64(max(0, over)) * b.duration / float64(slots)
}

// room tells whether a request may be sent without waiting for a slot.
func (b *batch) room(reserve int) bool {
	slots, known := b.slots()
	return !known || b.occupancy() < slots-reserve
}

// learnDuration takes the time from start to end of a request.
func (b *batch) learnDuration(seconds float64) {
	if b.duration == 0 {
		b.duration = seconds
	}
	b.duration += durationGain * (seconds - b.duration)
}
