package cachewatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// settleTime is how long the daemons that are known must have stayed the same at first. One that starts knows few others
// for a moment, and would take itself for one of the first for nearly all caches.
const settleTime = 1500 * time.Millisecond

// longestSettle bounds the wait for it in a fleet in which daemons come all the time.
const longestSettle = 6 * time.Second

// Assignment says whose caches this daemon watches: those of back ends for which it ranks among the first of all
// daemons of the back end's zone, so that no events cross a border between zones, or of all where that zone has none.
// What it costs goes by what changes: one back end, or the daemon's own caches where a daemon has come. It is
// safe for use by several goroutines.
type Assignment struct {
	self string
	// watchers is how many daemons watch each cache.
	watchers int
	// all returns the listed back ends, and zone the zone of a daemon; empty is unknown.
	all  func() []backendpool.Backend
	zone func(daemon string) identity.Zone

	mutex   sync.Mutex
	targets map[identity.BackendID]Target
	// others are the other daemons for whom the targets were found, since changedAt, and beganAt is when the first were
	// told, zero before; settled is set once they had stayed the same for settleTime.
	others             []string
	byZone             map[identity.Zone][]string
	beganAt, changedAt time.Time
	settled            bool
	// checks counts how often it was looked whether the daemon is among the first.
	checks int
}

// NewAssignment makes an Assignment of no caches, of which a number of daemons watch each one.
func NewAssignment(self string, watchers int, all func() []backendpool.Backend, zone func(daemon string) identity.Zone) *Assignment {
	return &Assignment{self: self, watchers: watchers, all: all, zone: zone, targets: map[identity.BackendID]Target{}}
}

// Listed takes in how the list of back ends changed.
func (a *Assignment) Listed(changed []backendpool.Backend, gone []identity.BackendID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, id := range gone {
		delete(a.targets, id)
	}
	if !a.settled {
		return // all are looked at then
	}
	for _, backend := range changed {
		a.check(backend)
	}
}

// check looks whether this daemon watches a back end. The caller holds the mutex.
func (a *Assignment) check(backend backendpool.Backend) {
	if len(backend.Weights) == 0 || backend.Draining || !a.isAmongFirst(backend.ID, backend.Zone) {
		delete(a.targets, backend.ID)
		return
	}
	a.targets[backend.ID] = Target{Name: string(backend.ID), Address: backend.Address, zone: backend.Zone}
}

func (a *Assignment) isAmongFirst(id identity.BackendID, zone identity.Zone) bool {
	a.checks++
	near := a.byZone[zone]
	switch {
	case zone != "" && zone == a.zone(a.self):
		return rendezvous.AmongTop(rendezvous.Key(string(id)), a.self, near, a.watchers)
	case len(near) > 0:
		return false
	default:
		return rendezvous.AmongTop(rendezvous.Key(string(id)), a.self, a.others, a.watchers)
	}
}

// Targets returns the caches to watch among some other daemons, ordered by name. None are before these have stayed the
// same for a moment.
func (a *Assignment) Targets(now time.Time, others []string) []Target {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.beganAt.IsZero() {
		a.beganAt = now
	}
	if a.changedAt.IsZero() || !peerlink.SameList(a.others, others) {
		a.take(now, others)
	}
	if !a.settled {
		if now.Sub(a.changedAt) < settleTime && now.Sub(a.beganAt) < longestSettle {
			return nil
		}
		a.settled = true
		a.checkAll()
	}
	targets := make([]Target, 0, len(a.targets))
	for _, target := range a.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(left, right Target) int { return cmp.Compare(left.Name, right.Name) })
	return targets
}

// take takes in which other daemons there are. Where some have come and none has gone, caches can only be lost. The
// caller holds the mutex.
func (a *Assignment) take(now time.Time, others []string) {
	grown := containsAll(others, a.others)
	a.others, a.changedAt = others, now
	a.byZone = map[identity.Zone][]string{}
	for _, other := range others {
		if zone := a.zone(other); zone != "" {
			a.byZone[zone] = append(a.byZone[zone], other)
		}
	}
	switch {
	case !a.settled:
	case grown:
		for id, target := range a.targets {
			if !a.isAmongFirst(id, target.zone) {
				delete(a.targets, id)
			}
		}
	default:
		a.checkAll()
	}
}

// checkAll looks at all back ends. The caller holds the mutex.
func (a *Assignment) checkAll() {
	clear(a.targets)
	for _, backend := range a.all() {
		a.check(backend)
	}
}

func containsAll(list, contained []string) bool {
	if len(list) < len(contained) {
		return false
	}
	known := make(map[string]bool, len(list))
	for _, each := range list {
		known[each] = true
	}
	for _, each := range contained {
		if !known[each] {
			return false
		}
	}
	return true
}
