package sighting

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Identity is how a daemon introduces itself.
type Identity struct {
	ID   identity.DaemonID
	Zone identity.Zone
	// Address is the peer address, IP:port.
	Address string
	// Incarnation grows with each start of the daemon.
	Incarnation identity.Incarnation
}

// Member is another live daemon.
type Member struct {
	ID   identity.DaemonID
	Zone identity.Zone
	// Address is the peer address, IP:port.
	Address string
	// Suspect members stay, but what they said counts for nothing meanwhile.
	Suspect bool
}

// Exchange is one daemon's part of the spread of sightings. It is owned by one
// goroutine, which hands it every message and calls Tick every 20 to 100 ms.
type Exchange struct {
	self    Identity
	options Options
	random  *rand.Rand

	members map[identity.DaemonID]Member
	mates   []Member
	others  []Member
	reports map[identity.DaemonID]*report
	own     *report
	// watchers lists for each back end whose reports hold a sighting of it.
	watchers map[identity.BackendID][]*report
	// observed is what this daemon sees itself.
	observed map[identity.BackendID]observation
	// heardAt is when another's word about an observed back end changed last.
	heardAt map[identity.BackendID]time.Time

	// loads are those of the watched back ends; loadCursor is whose turn is next.
	loads      map[identity.BackendID]Load
	loadCursor identity.BackendID
	nextLoads  time.Time

	pushes    map[identity.DaemonID]*push
	pushOrder []identity.DaemonID
	allowance float64
	refilled  time.Time
	nextPush  time.Time
	lastPush  time.Time
	nextSync  time.Time
	syncCount int
	actions   []Action
}

type observation struct {
	Sighting
	at time.Time
}

// New makes an exchange that knows of no other daemon. Random is used by it alone.
func New(now time.Time, self Identity, random *rand.Rand, options Options) *Exchange {
	exchange := &Exchange{
		self: self, options: options, random: random,
		members:  make(map[identity.DaemonID]Member),
		reports:  make(map[identity.DaemonID]*report),
		own:      newReport(self.ID, self.Incarnation),
		watchers: make(map[identity.BackendID][]*report),
		observed: make(map[identity.BackendID]observation),
		heardAt:  make(map[identity.BackendID]time.Time),
		loads:    make(map[identity.BackendID]Load),
		pushes:   make(map[identity.DaemonID]*push),
		refilled: now,
		nextPush: now,
		nextSync: now,
	}
	exchange.reports[self.ID] = exchange.own
	return exchange
}

// SetMembers replaces the other live daemons. The reports of those that are gone
// are forgotten.
func (e *Exchange) SetMembers(now time.Time, members []Member) []Action {
	e.members = make(map[identity.DaemonID]Member, len(members))
	e.mates, e.others = nil, nil
	for _, member := range members {
		if member.ID == e.self.ID {
			continue
		}
		e.members[member.ID] = member
		switch {
		case member.Suspect: // most likely nothing reaches it
		case member.Zone == e.self.Zone:
			e.mates = append(e.mates, member)
		default:
			e.others = append(e.others, member)
		}
	}
	for _, known := range e.sortedReports() {
		e.trust(now, known)
	}
	return e.takeActions()
}

// trust brings a report in line with what is believed of its watcher.
func (e *Exchange) trust(now time.Time, known *report) {
	member, live := e.members[known.watcher]
	trusted := live && !member.Suspect
	if known == e.own || live && trusted == known.trusted {
		return
	}
	known.trusted = trusted
	if !live {
		delete(e.reports, known.watcher)
		e.dropPush(known.watcher)
	}
	for _, backend := range known.backends() {
		if !live {
			e.unlink(backend, known)
		}
		e.changed(backend)
		e.publish(now, backend)
	}
}

// Observe takes what this daemon saw of a back end that it watches.
func (e *Exchange) Observe(now time.Time, seen Sighting) []Action {
	before, found := e.observed[seen.Backend]
	if found && seen.StateVersion < before.StateVersion {
		return nil
	}
	e.observed[seen.Backend] = observation{Sighting: seen, at: now}
	if !found || !before.says(seen) {
		e.changed(seen.Backend)
	}
	e.publish(now, seen.Backend)
	return e.takeActions()
}

// ObserveUnreachable takes that a watched back end did not answer.
func (e *Exchange) ObserveUnreachable(now time.Time, backend identity.BackendID) []Action {
	delete(e.loads, backend)
	seen := Sighting{Backend: backend, StateVersion: e.observed[backend].StateVersion}
	return e.Observe(now, seen)
}

// Unwatch takes that this daemon no longer watches a back end.
func (e *Exchange) Unwatch(now time.Time, backend identity.BackendID) []Action {
	if _, found := e.observed[backend]; !found {
		return nil
	}
	delete(e.observed, backend)
	delete(e.heardAt, backend)
	delete(e.loads, backend)
	e.changed(backend)
	e.publish(now, backend)
	return e.takeActions()
}

// publish brings this daemon's report in line with what it observes.
func (e *Exchange) publish(now time.Time, backend identity.BackendID) {
	published, found := e.own.sightings[backend]
	found = found && !published.Withdrawn
	observed, observing := e.observed[backend]
	switch {
	case found && observing && published.says(observed.Sighting):
		return
	case observing && !e.saidByOther(observed.Sighting):
		// What another contradicted since it was seen is looked at again first.
		if !observed.at.Before(e.heardAt[backend]) {
			e.append(now, observed.Sighting)
		}
	case found:
		e.append(now, Sighting{Backend: backend, Withdrawn: true})
	}
}

// saidByOther tells whether another trusted watcher has published the same.
func (e *Exchange) saidByOther(observed Sighting) bool {
	return slices.ContainsFunc(e.watchers[observed.Backend], func(other *report) bool {
		return other != e.own && other.trusted && other.sightings[observed.Backend].says(observed)
	})
}

func (e *Exchange) append(now time.Time, added Sighting) {
	from := e.own.sequence
	e.own.sequence++
	added.Sequence = e.own.sequence
	e.own.sightings[added.Backend] = added
	e.link(added.Backend, e.own)
	e.own.forgetWithdrawals(e.options.WithdrawalRetention)
	e.push(now, e.own, from)
	e.tellWatchers(added.Backend, from)
}

// tellWatchers sends a change of the own report at once to the others who published
// the back end, so that they look at it again without delay.
func (e *Exchange) tellWatchers(backend identity.BackendID, from uint64) {
	for _, other := range e.watchers[backend] {
		member, live := e.members[other.watcher]
		if !live || member.Suspect || other.sightings[backend].Withdrawn {
			continue
		}
		delta := e.own.delta(from, datagramBytes)
		e.send(member.Address, Message{Kind: MessageDeltas, Deltas: []Delta{delta}}, delta.size() > datagramBytes)
	}
}

// Handle takes a message of another daemon.
func (e *Exchange) Handle(now time.Time, from identity.DaemonID, message Message) []Action {
	for _, delta := range message.Deltas {
		e.merge(now, delta, message.Kind == MessageDeltas)
	}
	e.mergeLoads(message.Loads)
	switch message.Kind {
	case MessageDigests:
		e.handleDigests(message)
	case MessageVersions:
		e.handleVersions(now, message)
	case MessagePull:
		e.sendNewer(message.Address, unpackVersions(message.Versions))
	}
	return e.takeActions()
}

// merge takes a delta of another's report. Only the reports of live members
// count; one that is not known to be live yet is pulled later. News is passed on.
func (e *Exchange) merge(now time.Time, delta Delta, news bool) {
	member, live := e.members[delta.Watcher]
	if !live || !delta.valid() {
		return
	}
	known := e.reports[delta.Watcher]
	if known != nil && delta.Epoch < known.epoch {
		return
	}
	if known == nil || delta.Epoch > known.epoch {
		known = e.startReport(now, delta, !member.Suspect)
	}
	from := known.sequence
	changed, advanced := known.apply(delta)
	if advanced {
		known.forgetWithdrawals(e.options.WithdrawalRetention)
	}
	if advanced && news {
		e.push(now, known, from)
	} else if delta.To == known.sequence {
		e.heardAgain(known.watcher)
	}
	for _, backend := range changed {
		e.heard(now, backend, known)
	}
}

// startReport puts an empty report in the place of one of an earlier life.
func (e *Exchange) startReport(now time.Time, delta Delta, trusted bool) *report {
	if earlier := e.reports[delta.Watcher]; earlier != nil {
		for _, backend := range earlier.backends() {
			e.unlink(backend, earlier)
			e.changed(backend)
			e.publish(now, backend)
		}
	}
	started := newReport(delta.Watcher, delta.Epoch)
	started.trusted = trusted
	e.reports[delta.Watcher] = started
	return started
}

// heard acts on another's changed word about a back end.
func (e *Exchange) heard(now time.Time, backend identity.BackendID, from *report) {
	said, found := from.sightings[backend]
	if found {
		e.link(backend, from)
	} else {
		e.unlink(backend, from)
	}
	e.changed(backend)
	observed, observing := e.observed[backend]
	if !observing {
		return
	}
	if found && !said.Withdrawn && !said.says(observed.Sighting) {
		e.heardAt[backend] = now
		e.emit(Recheck{Backend: backend, Unreachable: !said.Reachable})
	}
	e.publish(now, backend)
}

func (e *Exchange) link(backend identity.BackendID, of *report) {
	if !slices.Contains(e.watchers[backend], of) {
		e.watchers[backend] = append(e.watchers[backend], of)
	}
}

func (e *Exchange) unlink(backend identity.BackendID, of *report) {
	left := slices.DeleteFunc(e.watchers[backend], func(candidate *report) bool { return candidate == of })
	e.watchers[backend] = left
	if len(left) == 0 {
		delete(e.watchers, backend)
	}
}

func (e *Exchange) changed(backend identity.BackendID) { e.emit(Changed{Backend: backend}) }

func (e *Exchange) emit(action Action) { e.actions = append(e.actions, action) }

func (e *Exchange) takeActions() []Action {
	taken := e.actions
	e.actions = nil
	return taken
}
