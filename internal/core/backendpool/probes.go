package backendpool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Parameters of probing.
const (
	// silenceThreshold is how long a back end with requests in flight may send nothing before it is probed.
	silenceThreshold = 300 * time.Millisecond
	// probeInterval is the least time between probes of a back end that responds to them.
	probeInterval = time.Second
	// reprobeLead is how long before the end of its ejection an unreachable back end is probed.
	reprobeLead = 250 * time.Millisecond
	// unreachableEjection is how long a back end is ejected after a failed probe. It is probed again before the
	// end.
	unreachableEjection = time.Second
	// maxProbeDuration is how long a probe may take at a busy daemon.
	maxProbeDuration = time.Second
	// maxProbesPerRound bounds the probes for unreachability that start at one time: a partitioned daemon may
	// report many back ends.
	maxProbesPerRound = 16
	// silenceProbeRate and silenceProbeBurst limit a daemon's probes for silence alone. Where back ends are slow,
	// many are silent but healthy; the daemons together still soon detect a failed one and inform each other.
	silenceProbeRate  = 0.5
	silenceProbeBurst = 4
	// secondHandProbers is the approximate number of daemons that probe a back end that only others have found
	// unreachable. Without the limit, an ended back end would get a connection a second from each of hundreds of
	// daemons until its row expires.
	secondHandProbers = 16
	// secondHandHold is how long the daemons that don't probe such a back end avoid it after the last report, which
	// others repeat.
	secondHandHold = 3 * time.Second
)

// probeState determines when a back end is probed.
type probeState struct {
	// silentSince is the start of the current period in which requests were in flight and nothing arrived from the
	// back end.
	silentSince time.Time
	// reportedDown is set if another daemon couldn't reach the back end.
	reportedDown bool
	// connectionLostAt is when a connection with a request in flight was lost; zero once a probe started later has
	// completed.
	//
	// Such a back end is probed at once, so that no further requests are sent to one that has ended, and the
	// requests that were in flight there can be examined as a possible cause.
	connectionLostAt time.Time
	// unreachable is set while the back end can't be reached, and observedHere if this daemon itself has found
	// that.
	unreachable, observedHere bool
	// probing is set while a probe is in flight, which started at probeStartedAt. lastProbedAt is when the last one
	// completed.
	probing                      bool
	probeStartedAt, lastProbedAt time.Time
}

// ProbeTarget is a back end to probe.
type ProbeTarget struct {
	ID      identity.BackendID
	Address string
}

// TakeDueProbes returns the back ends to probe now: unreachable ones before their ejection ends, those that another
// daemon couldn't reach, and, within a rate limit, those that have been silent for longest with requests in flight.
// RecordProbe must be called for each.
func (p *Pool) TakeDueProbes(now time.Time) []ProbeTarget {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found, silent []*entry
	p.visits += uint64(len(p.watched))
	for candidate := range p.watched {
		switch candidate.probeCause(now) {
		case causeUnreachable:
			if candidate.isSecondHand() && !p.probesSecondHand(candidate) {
				candidate.skipProbe(now)
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
		return cmp.Or(left.probeState.silentSince.Compare(right.probeState.silentSince), cmp.Compare(left.key, right.key))
	})
	found = found[:min(len(found), maxProbesPerRound)]
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

// beginProbe records the start of a probe. An unreachable back end stays ejected until the probe completes: a late
// probe would otherwise leave a gap in which requests are sent there.
func (e *entry) beginProbe(now time.Time) {
	e.probeState.probing, e.probeState.probeStartedAt = true, now
	if until := now.Add(maxProbeDuration); e.probeState.unreachable && until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// isWatched reports whether the back end may have to be probed soon.
func (e *entry) isWatched() bool {
	state := &e.probeState
	return e.requests() > 0 || state.probing || state.unreachable || state.reportedDown || !state.connectionLostAt.IsZero()
}

// isSecondHand reports whether only other daemons have found the back end unreachable.
func (e *entry) isSecondHand() bool {
	return !e.probeState.observedHere && e.probeState.connectionLostAt.IsZero()
}

// probesSecondHand reports whether this daemon is among those that probe a back end that others couldn't reach. The
// choice is random but stable. The caller holds the mutex.
func (p *Pool) probesSecondHand(found *entry) bool {
	drawn := float64(rendezvous.Score(p.seed, found.name)) / math.MaxUint64
	return drawn*float64(p.daemons) < secondHandProbers
}

// skipProbe leaves the probe to other daemons. The back end stays ejected for as long as they may repeat the
// report.
func (e *entry) skipProbe(now time.Time) {
	state := &e.probeState
	state.reportedDown, state.lastProbedAt = false, now
	if !state.unreachable {
		return
	}
	if now.Sub(e.lastReportedAt) > secondHandHold {
		state.unreachable = false
		return
	}
	e.ejectedUntil = now.Add(minEjection)
}

// cause is the reason for a probe.
type cause int

const (
	causeNone cause = iota
	// causeUnreachable means that this or another daemon couldn't reach it, or lost a connection with a request in
	// flight.
	causeUnreachable
	// causeSilent means that it has sent nothing although requests are in flight.
	causeSilent
)

// probeCause returns why the back end is to be probed now, or causeNone.
func (e *entry) probeCause(now time.Time) cause {
	state := &e.probeState
	switch {
	case state.probing, e.hasEnded():
		return causeNone
	case state.unreachable:
		if e.ejectedUntil.Sub(now) <= reprobeLead {
			return causeUnreachable
		}
		return causeNone
	case !state.connectionLostAt.IsZero():
		return causeUnreachable
	case now.Sub(state.lastProbedAt) < probeInterval:
		return causeNone
	case state.reportedDown:
		return causeUnreachable
	case e.inFlight > 0 && now.Sub(state.silentSince) >= silenceThreshold:
		return causeSilent
	default:
		return causeNone
	}
}

// ProbeOutcome is the effect of a probe.
type ProbeOutcome int

const (
	ProbeNoChange ProbeOutcome = iota
	// ProbeEjected means that the back end is ejected until a probe reaches it.
	ProbeEjected
	// ProbeReinstated means that the back end had been ejected as unreachable and is in use again.
	ProbeReinstated
)

// RecordProbe records the result of a probe. A back end that a probe can't connect to is ejected until one does, and its
// requests are notified.
func (p *Pool) RecordProbe(now time.Time, id identity.BackendID, result ConnectResult) ProbeOutcome {
	defer p.onReachability(id, result == Connected)
	if result == Connected {
		defer p.onCapacityFreed()
		return p.probeReached(now, id)
	}
	outcome, lost := p.probeFailed(now, id)
	for _, notify := range lost {
		notify(result == ConnectTimedOut)
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
	found.probeState.recordProbe(now)
	if !found.probeState.unreachable {
		return ProbeNoChange
	}
	found.probeState.unreachable, found.probeState.observedHere = false, false
	found.ejectedUntil = now
	found.ejection = 0
	return ProbeReinstated
}

// probeFailed returns the callbacks of the requests in flight.
func (p *Pool) probeFailed(now time.Time, id identity.BackendID) (ProbeOutcome, []func(silent bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil {
		return ProbeNoChange, nil
	}
	wasOut := found.ejected(now)
	found.probeState.recordProbe(now)
	found.probeState.unreachable, found.probeState.observedHere = true, true
	p.watched[found] = true
	found.ejectedUntil = now.Add(unreachableEjection)
	if wasOut {
		return ProbeNoChange, found.lost()
	}
	p.queueFailureReport(found, ResultUnreachable)
	return ProbeEjected, found.lost()
}

func (s *probeState) recordProbe(now time.Time) {
	s.probing = false
	s.reportedDown = false
	if s.connectionLostAt.Before(s.probeStartedAt) {
		s.connectionLostAt = time.Time{}
	}
	s.lastProbedAt = now
	s.silentSince = now
}

// lost returns the callbacks of the requests in flight.
func (e *entry) lost() []func(silent bool) {
	var notify []func(silent bool)
	for ticket := range e.tickets {
		if ticket.onLost != nil {
			notify = append(notify, ticket.onLost)
		}
	}
	return notify
}

// OnReachability sets the callback for each result on whether a back end is reachable. It must be set before the
// pool is used, and must not block.
func (p *Pool) OnReachability(callback func(id identity.BackendID, reached bool)) {
	p.onReachability = callback
}

// OnProbeRequested sets the callback for when a back end is to be probed at once. It must be set before the pool is
// used, and must not block.
func (p *Pool) OnProbeRequested(callback func()) { p.onProbeRequested = callback }

// OnLost sets the callback for when the back end becomes unreachable. silent is set if it doesn't respond, so that it may be
// about to go on with its requests; otherwise it has ended. The callback must not block.
func (t *Ticket) OnLost(lost func(silent bool)) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.onLost = lost
}
