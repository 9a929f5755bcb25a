package control

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// Watching connects the loop with the exchange of sightings, which it owns.
type Watching struct {
	Exchange *sighting.Exchange
	// Send sends a message without blocking.
	Send func(send sighting.Send)
	// Recheck is told which back end to look at again. It must not block.
	Recheck func(recheck sighting.Recheck)
}

// SetWatching gives the loop its exchange of sightings, after SetMembership and
// before Run.
func (l *Loop) SetWatching(connected Watching) {
	l.state.watching = &connected
}

// HandleSightings takes a message of another daemon.
func (l *Loop) HandleSightings(from identity.DaemonID, message sighting.Message) {
	l.post(sightingsMessage{from: from, message: message})
}

// ObserveUnreachable takes that a watched back end did not answer this daemon.
func (l *Loop) ObserveUnreachable(id identity.BackendID) {
	l.post(unreachableSeen{id: id})
}

// Unwatch takes that this daemon no longer watches a back end.
func (l *Loop) Unwatch(id identity.BackendID) {
	l.post(unwatched{id: id})
}

type sightingsMessage struct {
	from    identity.DaemonID
	message sighting.Message
}

func (e sightingsMessage) apply(state *state, now time.Time) {
	if state.watching != nil {
		state.perform(now, state.watching.Exchange.Handle(now, e.from, e.message))
	}
}

type unreachableSeen struct{ id identity.BackendID }

func (e unreachableSeen) apply(state *state, now time.Time) {
	if state.watching != nil {
		state.perform(now, state.watching.Exchange.ObserveUnreachable(now, e.id))
	}
}

type unwatched struct{ id identity.BackendID }

func (e unwatched) apply(state *state, now time.Time) {
	if state.watching != nil {
		state.perform(now, state.watching.Exchange.Unwatch(now, e.id))
	}
}

// observeWatched passes a status that this daemon asked for to the other daemons.
func (s *state) observeWatched(now time.Time, status enginewire.Status) {
	if s.watching != nil {
		s.watching.Exchange.ObserveLoad(status)
		s.perform(now, s.watching.Exchange.Observe(now, sighting.Seen(status)))
	}
}

// observeListed applies what is known of the back ends of a new machine list.
func (s *state) observeListed(now time.Time) {
	if s.watching == nil {
		return
	}
	for _, id := range s.watching.Exchange.Backends() {
		s.registry.ObserveVerdict(now, id, s.watching.Exchange.Verdict(id))
	}
}

// observeMembers tells the exchange which other daemons are live.
func (s *state) observeMembers(now time.Time, members []membership.Member) {
	if s.watching == nil {
		return
	}
	var live []sighting.Member
	for _, member := range members {
		if member.Live() {
			live = append(live, sighting.Member{
				ID: member.ID, Zone: member.Zone, Address: member.Address,
				Suspect: member.State == membership.StateSuspect,
			})
		}
	}
	s.perform(now, s.watching.Exchange.SetMembers(now, live))
}

// perform does what the exchange of sightings decided.
func (s *state) perform(now time.Time, actions []sighting.Action) {
	changed := false
	for _, action := range actions {
		switch decided := action.(type) {
		case sighting.Send:
			s.watching.Send(decided)
		case sighting.Recheck:
			s.watching.Recheck(decided)
		case sighting.LoadHeard:
			s.policy.ObserveLoad(now, decided.Load.Backend, decided.Load.Incarnation, decided.Load.Report())
		case sighting.Changed:
			s.registry.ObserveVerdict(now, decided.Backend, s.watching.Exchange.Verdict(decided.Backend))
			changed = true
		}
	}
	// Of many changes in a row all but the first wait for the next regular refresh,
	// since each passes all back ends to the scheduler.
	if changed && now.Sub(s.changedAt) >= refreshInterval {
		s.refresh(now)
	}
}
