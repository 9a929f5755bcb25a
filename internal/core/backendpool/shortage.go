package backendpool

import (
	"slices"
	"time"
)

// Shortage says why a query found no back end: how many were looked at, and how
// many of them would not do, each counted for the first reason that applies. Of a large service that are those that
// were asked for, or drawn. One whose
// address has gone to another back end, or that has ended, counts as draining. BackingOff have
// asked this daemon for no requests, and Limited have no room under the limit that they named. Busy ones would do once
// they have less under way.
// OtherVersion are those that run another version of the service's software than the query
// asks for, or that it doesn't name.
type Shortage struct {
	Listed, Draining, BackingOff, Limited, Failed, OtherVersion, OldWeights, Busy int
}

// Add adds up what was found in two regions.
func (s Shortage) Add(other Shortage) Shortage {
	return Shortage{
		Listed: s.Listed + other.Listed, Draining: s.Draining + other.Draining, BackingOff: s.BackingOff + other.BackingOff, Limited: s.Limited + other.Limited, Failed: s.Failed + other.Failed,
		OtherVersion: s.OtherVersion + other.OtherVersion, OldWeights: s.OldWeights + other.OldWeights, Busy: s.Busy + other.Busy,
	}
}

// shortage tells why a query finds no back end now. The caller holds the mutex.
func (p *Pool) shortage(now time.Time, query Query) Shortage {
	var shortage Shortage
	scope := p.scope(now, query)
	for _, found := range scope.entries {
		shortage.Listed++
		switch {
		case found.isDraining(), found.isOver():
			shortage.Draining++
		case found.backsOff(now):
			shortage.BackingOff++
		case found.outOfRoom(now), query.ExcludeLimited && found.isLimited():
			shortage.Limited++
		case slices.Contains(query.Exclude, found.backend.ID):
			shortage.Failed++
		case !query.admits(found):
			shortage.OtherVersion++
		case !allowed(now, found, query):
			shortage.OldWeights++
		}
	}
	_, shortage.Busy = p.candidates(now, query, scope)
	return shortage
}
