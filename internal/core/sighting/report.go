package sighting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// report is what is known of one watcher's sightings.
type report struct {
	watcher identity.DaemonID
	hash    uint64
	epoch   identity.Incarnation
	// sequence is up to where the report is known without gaps.
	sequence uint64
	// floor is the lowest sequence since which all withdrawals are known. Who is
	// further behind needs the whole report.
	floor     uint64
	sightings map[identity.BackendID]Sighting
	// trusted is false while the watcher is suspected to be dead.
	trusted bool
}

func newReport(watcher identity.DaemonID, epoch identity.Incarnation) *report {
	return &report{
		watcher: watcher, hash: xxhash.Sum64String(string(watcher)), epoch: epoch, trusted: true,
		sightings: make(map[identity.BackendID]Sighting),
	}
}

// reference stands for the report in versions.
func (r *report) reference() reference { return reference(mix(r.hash, uint64(r.epoch))) }

// delta returns what changed after a sequence, in the order of the changes and as
// far as it fits into limit bytes. It always holds at least one change.
func (r *report) delta(from uint64, limit int) Delta {
	if from < r.floor {
		from = 0
	}
	changed := make([]Sighting, 0, len(r.sightings))
	for _, sighting := range r.sightings {
		if sighting.Sequence > from && sighting.Sequence <= r.sequence && (from > 0 || !sighting.Withdrawn) {
			changed = append(changed, sighting)
		}
	}
	slices.SortFunc(changed, func(left, right Sighting) int { return cmp.Compare(left.Sequence, right.Sequence) })
	delta := Delta{Watcher: r.watcher, Epoch: r.epoch, From: from, To: r.sequence}
	size := 0
	for _, sighting := range changed {
		size += sighting.size()
		if size > limit && len(delta.Sightings) > 0 {
			delta.To = sighting.Sequence - 1
			break
		}
		delta.Sightings = append(delta.Sightings, sighting)
	}
	return delta
}

// size estimates the encoded size in bytes.
func (d Delta) size() int {
	const fixed = 24
	size := fixed + len(d.Watcher)
	for _, sighting := range d.Sightings {
		size += sighting.size()
	}
	return size
}

// valid tells whether a delta of another daemon is one that can be applied.
func (d Delta) valid() bool {
	if d.Watcher == "" || len(d.Watcher) > MaximumNameBytes || d.From > d.To {
		return false
	}
	for _, sighting := range d.Sightings {
		if sighting.Backend == "" || len(sighting.Backend) > MaximumNameBytes ||
			sighting.Sequence <= d.From || sighting.Sequence > d.To {
			return false
		}
	}
	return true
}

// apply takes a delta of the report's epoch. It returns which back ends changed,
// and whether the report is known further without gaps now.
func (r *report) apply(delta Delta) (changed []identity.BackendID, advanced bool) {
	if delta.To <= r.sequence {
		return nil, false
	}
	if delta.From == 0 {
		changed = r.dropMissing(delta)
		r.floor = delta.To
	}
	for _, sighting := range delta.Sightings {
		known, found := r.sightings[sighting.Backend]
		if found && known.Sequence >= sighting.Sequence {
			continue
		}
		r.sightings[sighting.Backend] = sighting
		changed = append(changed, sighting.Backend)
	}
	if delta.From > r.sequence {
		return changed, false
	}
	r.sequence = delta.To
	return changed, true
}

// dropMissing forgets what a whole report no longer holds.
func (r *report) dropMissing(whole Delta) []identity.BackendID {
	present := make(map[identity.BackendID]bool, len(whole.Sightings))
	for _, sighting := range whole.Sightings {
		present[sighting.Backend] = true
	}
	var dropped []identity.BackendID
	for backend, sighting := range r.sightings {
		if sighting.Sequence <= whole.To && !present[backend] {
			delete(r.sightings, backend)
			dropped = append(dropped, backend)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// forgetWithdrawals drops withdrawals older than the last retention changes, when
// there are twice as many.
func (r *report) forgetWithdrawals(retention uint64) {
	if r.sequence-r.floor < 2*retention {
		return
	}
	r.floor = r.sequence - retention
	for backend, sighting := range r.sightings {
		if sighting.Withdrawn && sighting.Sequence <= r.floor {
			delete(r.sightings, backend)
		}
	}
}
