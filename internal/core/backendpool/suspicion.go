package backendpool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Times of suspicion.
const (
	// suspiciousSilence is how long nothing may come from a back end that has requests
	// under way before it is probed.
	suspiciousSilence = 300 * time.Millisecond
	// probeInterval lies between two probes of a back end that answers them.
	probeInterval = time.Second
	// returnLead is how long before the end of its ejection an unreached back end is
	// probed.
	returnLead = 250 * time.Millisecond
	// unreachedEjection is how long a back end is out after a failed probe. It is probed
	// again before.
	unreachedEjection = time.Second
	// longestProbe is how long a probe may take at a busy daemon.
	longestProbe = time.Second
	// maximumSuspects bounds the probes that begin at a time: a daemon that is cut off
	// itself may accuse many back ends.
	maximumSuspects = 16
	// silenceProbeRate and silenceProbeBurst bound a daemon's probes for silence alone.
	// Where back ends are slow many are silent and well; the daemons together still find
	// out soon about one that is not, and tell each other.
	silenceProbeRate  = 0.5
	silenceProbeBurst = 4
	// hearsayProbers is about how many of all daemons probe a back end that they know from others alone to be out of
	// reach: one that is gone would get a connection a second of each of hundreds until its row lapses.
	hearsayProbers = 16
	// hearsayTime is how long those that don't probe it leave it out since it was last told: others tell again.
	hearsayTime = 3 * time.Second
)

// suspicion is what makes a back end be probed.
type suspicion struct {
	// quietSince is since when nothing has come from the back end, though requests were
	// under way all the time.
	quietSince time.Time
	// accused is set when another daemon did not reach the back end.
	accused bool
	// cutAt is when a connection with a request under way was lost; zero once a probe that
	// began later has ended.
	//
	// Such a back end is probed at once: one that has ended is found out before further requests
	// are sent there in vain, and those that were under way there can be held to account.
	cutAt time.Time
	// unreached is set since the back end could not be reached, and own where this daemon has found that out.
	unreached, own bool
	// probing is set while a probe is under way, which began at probingFrom, and probedAt when
	// the last one ended.
	probing               bool
	probingFrom, probedAt time.Time
}

// ProbeTarget is a back end that is to be probed.
type ProbeTarget struct {
	ID      identity.BackendID
	Address string
}

// TakeDueProbes returns the back ends to be probed now: those that were not reached before
// they are tried again, those that another daemon did not reach, and within a rate those
// that have been silent for longest though requests are under way. Probed must follow for
// each.
func (p *Pool) TakeDueProbes(now time.Time) []ProbeTarget {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found, silent []*entry
	p.visits += uint64(len(p.watched))
	for candidate := range p.watched {
		switch candidate.suspect(now) {
		case causeUnreached:
			if candidate.isHearsay() && !p.probesHearsay(candidate) {
				candidate.passOver(now)
				continue
			}
			found = append(found, candidate)
		case causeSilent:
			silent = append(silent, candidate)
		case causeNone:
			if !candidate.isWatched() {
				delete(p.watched, candidate)
			}
		}
	}
	slices.SortFunc(silent, func(left, right *entry) int {
		return cmp.Or(left.suspicion.quietSince.Compare(right.suspicion.quietSince), cmp.Compare(left.key, right.key))
	})
	found = found[:min(len(found), maximumSuspects)]
	for _, candidate := range silent {
		if !p.silenceProbes.AllowN(now, 1) {
			break
		}
		found = append(found, candidate)
	}
	var suspects []ProbeTarget
	for _, candidate := range found {
		candidate.beginProbe(now)
		suspects = append(suspects, ProbeTarget{ID: candidate.backend.ID, Address: candidate.backend.Address})
	}
	return suspects
}

// beginProbe notes that a probe is under way. A back end that could not be reached stays out until it has ended: one that
// is late would otherwise leave a gap in which requests go there.
func (e *entry) beginProbe(now time.Time) {
	e.suspicion.probing, e.suspicion.probingFrom = true, now
	if until := now.Add(longestProbe); e.suspicion.unreached && until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// isWatched tells whether the back end may have to be probed soon.
func (e *entry) isWatched() bool {
	doubt := &e.suspicion
	return e.inFlight > 0 || doubt.probing || doubt.unreached || doubt.accused || !doubt.cutAt.IsZero()
}

// isHearsay tells whether only others have found the back end out of reach.
func (e *entry) isHearsay() bool { return !e.suspicion.own && e.suspicion.cutAt.IsZero() }

// probesHearsay tells whether this daemon is one of those that probe a back end that others did not reach: it is by
// chance, the same each time. The caller holds the mutex.
func (p *Pool) probesHearsay(found *entry) bool {
	drawn := float64(rendezvous.Score(p.seed, found.name)) / math.MaxUint64
	return drawn*float64(p.daemons) < hearsayProbers
}

// passOver leaves the probe of a back end to others. It stays out for as long as they may tell of it again.
func (e *entry) passOver(now time.Time) {
	doubt := &e.suspicion
	doubt.accused, doubt.probedAt = false, now
	if !doubt.unreached {
		return
	}
	if now.Sub(e.accusedAt) > hearsayTime {
		doubt.unreached = false
		return
	}
	e.ejectedUntil = now.Add(shortestEjection)
}

// cause is why a back end is to be probed.
type cause int

const (
	causeNone cause = iota
	// causeUnreached: this daemon or another one did not reach it.
	causeUnreached
	// causeSilent: nothing has come from it though requests are under way.
	causeSilent
)

// suspect tells whether the back end is to be probed.
func (e *entry) suspect(now time.Time) cause {
	doubt := &e.suspicion
	switch {
	case doubt.probing, e.isOver():
		return causeNone
	case doubt.unreached:
		if e.ejectedUntil.Sub(now) <= returnLead {
			return causeUnreached
		}
		return causeNone
	case !doubt.cutAt.IsZero():
		return causeUnreached
	case now.Sub(doubt.probedAt) < probeInterval:
		return causeNone
	case doubt.accused:
		return causeUnreached
	case e.inFlight > 0 && now.Sub(doubt.quietSince) >= suspiciousSilence:
		return causeSilent
	default:
		return causeNone
	}
}

// ProbeOutcome is what a probe changed.
type ProbeOutcome int

// The outcomes of probes.
const (
	ProbeNoChange ProbeOutcome = iota
	// ProbeEjected: the back end is out until a probe reaches it.
	ProbeEjected
	// ProbeReinstated: the back end was out since it could not be reached.
	ProbeReinstated
)

// RecordProbe notes whether a probe reached a back end. One that was not reached is out until
// a probe reaches it, and its requests are told.
func (p *Pool) RecordProbe(now time.Time, id identity.BackendID, reached bool) ProbeOutcome {
	defer p.checked(id, reached)
	if reached {
		defer p.freed()
		return p.probeReached(now, id)
	}
	outcome, lost := p.probeFailed(now, id)
	for _, tell := range lost {
		tell()
	}
	return outcome
}

func (p *Pool) probeReached(now time.Time, id identity.BackendID) ProbeOutcome {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil {
		return ProbeNoChange
	}
	found.suspicion.probed(now)
	if !found.suspicion.unreached {
		return ProbeNoChange
	}
	found.suspicion.unreached, found.suspicion.own = false, false
	found.ejectedUntil = now
	found.ejection = 0
	return ProbeReinstated
}

// probeFailed returns what is to be told to the requests under way.
func (p *Pool) probeFailed(now time.Time, id identity.BackendID) (ProbeOutcome, []func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil {
		return ProbeNoChange, nil
	}
	wasOut := found.ejected(now)
	found.suspicion.probed(now)
	found.suspicion.unreached, found.suspicion.own = true, true
	p.watched[found] = true
	found.ejectedUntil = now.Add(unreachedEjection)
	if wasOut {
		return ProbeNoChange, found.lost()
	}
	p.noteDoubt(found, ResultUnreachable)
	return ProbeEjected, found.lost()
}

func (s *suspicion) probed(now time.Time) {
	s.probing = false
	s.accused = false
	if s.cutAt.Before(s.probingFrom) {
		s.cutAt = time.Time{}
	}
	s.probedAt = now
	s.quietSince = now
}

// lost returns what is to be told to the requests under way.
func (e *entry) lost() []func() {
	var tell []func()
	for ticket := range e.tickets {
		if ticket.onLost != nil {
			tell = append(tell, ticket.onLost)
		}
	}
	return tell
}

// OnReachability sets what is told whenever it shows whether a back end can be reached. It must be
// set before the pool is used, and must not block.
func (p *Pool) OnReachability(checked func(id identity.BackendID, reached bool)) { p.checked = checked }

// OnProbeRequested sets what is told when a back end is to be probed at once. It must be set before
// the pool is used, and must not block.
func (p *Pool) OnProbeRequested(suspected func()) { p.suspected = suspected }

// OnLost sets what is called when the back end can no longer be reached. It must not
// block.
func (t *Ticket) OnLost(lost func()) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.onLost = lost
}
