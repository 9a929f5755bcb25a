// Package registry merges what is heard of back ends into one list. The sources
// disagree and lag: the platform's machine list, status reports, answers to
// requests, operators' drains, and what other daemons saw. A leave wins over
// every older report that says otherwise. The package is pure.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// Registry is the merged knowledge of all back ends. It is owned by one
// goroutine.
type Registry struct {
	options Options
	entries map[identity.BackendID]*entry
	drains  map[identity.BackendID]bool
	// list is the newest machine list; listedAt is when the first one came.
	list     platformwire.MachineList
	listedAt time.Time
	// leaves holds the state version at which a back end was seen leaving. It
	// outlives the entry, so that a list that lags cannot bring the back end back.
	leaves map[identity.BackendID]leave
	// changed is set when something that Backends shows may have changed.
	changed bool
}

// Options are the settable times of a registry.
type Options struct {
	// UnreachableAfter is how long without any sign of life a back end that was
	// once reached is kept as eligible.
	UnreachableAfter time.Duration
	// ForgetLeaveAfter is how long a leave is remembered once the back end is no
	// longer in the machine list. It must be longer than that list's lag.
	ForgetLeaveAfter time.Duration
	// FirstStatusWithin is how long after the first machine list a listed back end
	// without a status report still counts as not asked yet.
	FirstStatusWithin time.Duration
}

// DefaultOptions returns the times used when nothing else is set.
func DefaultOptions() Options {
	return Options{
		UnreachableAfter:  3 * time.Second,
		ForgetLeaveAfter:  10 * time.Minute,
		FirstStatusWithin: 2 * time.Second,
	}
}

type entry struct {
	machine platformwire.Machine
	listed  bool
	status  *enginewire.Status
	heardAt time.Time
	// reach is what the watchers make of the back end since reachAt.
	reach   sighting.Reach
	reachAt time.Time
	// shown is whether Backends showed it at the last Refresh.
	shown bool
}

type leave struct {
	stateVersion uint64
	at           time.Time
}

// New makes an empty registry.
func New(options Options) *Registry {
	return &Registry{
		options: options,
		entries: make(map[identity.BackendID]*entry),
		drains:  make(map[identity.BackendID]bool),
		leaves:  make(map[identity.BackendID]leave),
	}
}

// ObservePeerMachines takes a machine list that another daemon read. It counts
// only when it is newer than the list known here.
func (r *Registry) ObservePeerMachines(now time.Time, list platformwire.MachineList) {
	if r.listedAt.IsZero() || list.Version > r.list.Version {
		r.ObserveMachines(now, list)
	}
}

// ObserveMachines takes a machine list of the platform. It replaces the one before.
func (r *Registry) ObserveMachines(now time.Time, list platformwire.MachineList) {
	r.list = list
	if r.listedAt.IsZero() {
		r.listedAt = now
	}
	for _, known := range r.entries {
		known.listed = false
	}
	for _, machine := range list.Machines {
		known := r.entryOf(machine.ID)
		r.changed = r.changed || known.machine != machine
		known.machine = machine
		known.listed = true
		if machine.State == platformwire.MachineLeaving {
			r.recordLeave(now, machine.ID, known.stateVersion())
		}
	}
	maps.DeleteFunc(r.entries, func(_ identity.BackendID, known *entry) bool {
		r.changed = r.changed || !known.listed
		return !known.listed
	})
	r.forgetOldLeaves(now)
}

// ObserveStatus takes a status report. A report of an older state is dropped. A
// report of a newer state that serves ends an earlier leave: the back end was
// returned, or a new process stands in its place.
func (r *Registry) ObserveStatus(now time.Time, status enginewire.Status) {
	known, found := r.entries[status.Backend]
	if !found || status.StateVersion < known.stateVersion() {
		return
	}
	known.heardAt = now
	r.take(now, known, status)
}

// take puts a status report in the place of the one known, which is not newer.
func (r *Registry) take(now time.Time, known *entry, status enginewire.Status) {
	r.changed = r.changed || !showsSame(known.status, &status)
	known.status = &status
	if status.State == enginewire.StateLeaving {
		r.recordLeave(now, status.Backend, status.StateVersion)
		return
	}
	left, leaving := r.leaves[status.Backend]
	if leaving && status.StateVersion > left.stateVersion {
		delete(r.leaves, status.Backend)
		r.changed = true
	}
}

// ObserveLeaving takes the word of an answer or of another daemon that a back
// end left at a state version.
func (r *Registry) ObserveLeaving(now time.Time, id identity.BackendID, stateVersion uint64) {
	known, found := r.entries[id]
	if found && stateVersion < known.stateVersion() {
		return
	}
	r.recordLeave(now, id, stateVersion)
}

// ObserveAlive notes that a back end answered something.
func (r *Registry) ObserveAlive(now time.Time, id identity.BackendID) {
	if known, found := r.entries[id]; found {
		known.heardAt = now
	}
}

// ObserveDocument takes the drains of a configuration. A drained back end counts
// as leaving whatever it reports itself.
func (r *Registry) ObserveDocument(document *dynamic.Document) {
	r.drains = make(map[identity.BackendID]bool, len(document.Drains))
	for _, drain := range document.Drains {
		r.drains[drain.Backend] = true
	}
	r.changed = true
}

// Backends returns the back ends whose incarnation is known, ordered by ID.
func (r *Registry) Backends(now time.Time) []scheduler.Backend {
	backends := make([]scheduler.Backend, 0, len(r.entries))
	for id, known := range r.entries {
		if !r.reachable(now, known) {
			continue
		}
		backends = append(backends, r.backendOf(id, known))
	}
	slices.SortFunc(backends, func(left, right scheduler.Backend) int {
		return cmp.Compare(left.ID, right.ID)
	})
	return backends
}

// Known tells whether the picture is complete enough to place requests: there is
// a machine list with back ends on it, and each has reported or had time to.
func (r *Registry) Known(now time.Time) bool {
	if len(r.entries) == 0 {
		return false
	}
	if now.Sub(r.listedAt) >= r.options.FirstStatusWithin {
		return true
	}
	for _, known := range r.entries {
		if known.status == nil {
			return false
		}
	}
	return true
}

// Status returns the last status report of a back end and when it was last heard.
func (r *Registry) Status(id identity.BackendID) (enginewire.Status, time.Time, bool) {
	known, found := r.entries[id]
	if !found || known.status == nil {
		return enginewire.Status{}, time.Time{}, false
	}
	return *known.status, known.heardAt, true
}

func (r *Registry) backendOf(id identity.BackendID, known *entry) scheduler.Backend {
	_, leaving := r.leaves[id]
	return scheduler.Backend{
		ID:          id,
		Kind:        known.machine.Kind,
		Service:     known.machine.Service,
		Zone:        known.machine.Zone,
		Address:     known.machine.Address,
		Incarnation: known.status.Incarnation,
		Models:      readyModels(known.status.Models),
		Leaving:     leaving || r.drains[id],
	}
}

func (r *Registry) entryOf(id identity.BackendID) *entry {
	known, found := r.entries[id]
	if !found {
		known = &entry{}
		r.entries[id] = known
	}
	return known
}

func (r *Registry) recordLeave(now time.Time, id identity.BackendID, stateVersion uint64) {
	earlier, found := r.leaves[id]
	if found && earlier.stateVersion >= stateVersion {
		return
	}
	r.leaves[id] = leave{stateVersion: stateVersion, at: now}
	r.changed = true
}

func (r *Registry) forgetOldLeaves(now time.Time) {
	maps.DeleteFunc(r.leaves, func(id identity.BackendID, left leave) bool {
		_, listed := r.entries[id]
		return !listed && now.Sub(left.at) > r.options.ForgetLeaveAfter
	})
}

func (e *entry) stateVersion() uint64 {
	if e.status == nil {
		return 0
	}
	return e.status.StateVersion
}

func readyModels(models []enginewire.LoadedModel) []enginewire.LoadedModel {
	var ready []enginewire.LoadedModel
	for _, model := range models {
		if model.Ready {
			ready = append(ready, model)
		}
	}
	return ready
}

// showsSame tells whether Backends shows two reports of a back end alike.
func showsSame(before, after *enginewire.Status) bool {
	return before != nil && before.Incarnation == after.Incarnation &&
		slices.EqualFunc(before.Models, after.Models, func(left, right enginewire.LoadedModel) bool {
			return left.Model == right.Model && left.Version == right.Version && left.Ready == right.Ready &&
				slices.Equal(left.Adapters, right.Adapters)
		})
}
