package backendpool

import (
	"slices"
	"time"
)

// Shortage counts the back ends examined for a query that found none, by the first reason that excludes each. For a
// large service these are the ones polled or sampled. Draining includes back ends that have ended or whose address
// now belongs to another one. BackingOff ones have asked this daemon for no requests, and Limited ones have no
// capacity left under their stated limits. Failed ones have already failed this request. OtherVersion ones run
// another version of the service's software than the query requires, or aren't among those it allows. UnknownWeights
// ones are not known to hold the query's model. Busy ones become suitable once their load falls.
type Shortage struct {
	Listed, Draining, BackingOff, Limited, Failed, OtherVersion, UnknownWeights, OldWeights, Busy int
}

// Add returns the sum of the shortages in two regions.
func (s Shortage) Add(other Shortage) Shortage {
	return Shortage{
		Listed: s.Listed + other.Listed, Draining: s.Draining + other.Draining, BackingOff: s.BackingOff + other.BackingOff, Limited: s.Limited + other.Limited, Failed: s.Failed + other.Failed,
		OtherVersion: s.OtherVersion + other.OtherVersion, UnknownWeights: s.UnknownWeights + other.UnknownWeights, OldWeights: s.OldWeights + other.OldWeights, Busy: s.Busy + other.Busy,
	}
}

// shortage returns why a query finds no back end at this time. The caller holds the mutex.
func (p *Pool) shortage(now time.Time, query Query) Shortage {
	var shortage Shortage
	scope := p.scope(now, query)
	for _, found := range scope.entries {
		shortage.Listed++
		switch {
		case found.isDraining(), found.hasEnded():
			shortage.Draining++
		case found.backsOff(now):
			shortage.BackingOff++
		case found.limitExhausted(now), query.ExcludeLimited && found.isLimited():
			shortage.Limited++
		case slices.Contains(query.Exclude, found.backend.ID):
			shortage.Failed++
		case !query.admits(found):
			shortage.OtherVersion++
		case query.lacksWeights(found):
			shortage.UnknownWeights++
		case !allowed(now, found, query):
			shortage.OldWeights++
		}
	}
	_, shortage.Busy = p.candidates(now, query, scope)
	return shortage
}
