package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// DefaultGoneAfter is how long a daemon is gone before its place is given up.
	// Restarts and replacements under the same name are over long before.
	DefaultGoneAfter = 5 * time.Minute
	// DefaultPresentAfter is how long a new daemon is seen before it gets a place.
	DefaultPresentAfter = time.Minute
	// FirstPresentAfter is how long daemons are seen before they make up the first
	// roster. It is short: until there is one, no request can be claimed.
	FirstPresentAfter = 3 * time.Second
	// smallestRoster is the size below which a roster isn't shrunk: a group of
	// claim replicas has three members.
	smallestRoster = 3
)

// RosterInput is what a new roster of claim replicas is proposed from.
type RosterInput struct {
	Current dynamic.Roster
	// Alive are the daemons that are present and have been for some time.
	Alive []dynamic.Daemon
	// GoneFor is how long the absent daemons of the roster have been gone.
	GoneFor map[identity.DaemonID]time.Duration
	// GoneAfter is how long a daemon must have been gone to lose its place.
	GoneAfter time.Duration
	// Active are the daemons that are known to have the current epoch in force
	// and to vote in all their slots.
	Active map[identity.DaemonID]bool
}

// ProposeRoster makes the roster of the next epoch, or returns false when nothing
// is to be changed now. It waits until the present epoch is in force, and changes
// fewer than half of the roster's places, so that the daemons which keep theirs
// still hold every claim that a majority granted. When half of the roster or more
// seems gone it changes nothing: this daemon may be the one that is cut off. The
// next roster after all replicas of a slot were lost is the operators' to set.
func ProposeRoster(input RosterInput) (dynamic.Roster, bool) {
	size := len(input.Current.Daemons)
	minority := (size - 1) / 2
	gone := input.gone()
	if size == 0 || len(gone) > minority {
		return dynamic.Roster{}, false
	}
	work := &rosterWork{daemons: slices.Clone(input.Current.Daemons), changes: minority}
	work.move(input.Alive)
	newcomers := work.newcomers(input.Alive)
	for _, id := range gone {
		newcomers = work.replace(id, newcomers)
	}
	if minority == 0 {
		work.changes = 1 // one place may be added to a roster of one or two
	}
	work.add(newcomers)
	// This is looked at last since it is the most work.
	if !work.changed || !input.inForce() {
		return dynamic.Roster{}, false
	}
	slices.SortFunc(work.daemons, compareDaemons)
	return dynamic.Roster{Epoch: input.Current.Epoch + 1, Daemons: work.daemons}, true
}

// FirstRoster makes the first roster out of the daemons that are present, or
// returns false while fewer are than are expected. It may only be put where there
// has never been a roster: nothing has been claimed then, so nothing is lost.
func FirstRoster(alive []dynamic.Daemon, expected int) (dynamic.Roster, bool) {
	if len(alive) == 0 || len(alive) < expected {
		return dynamic.Roster{}, false
	}
	first := slices.Clone(alive)
	slices.SortFunc(first, compareDaemons)
	return dynamic.Roster{Epoch: 1, Daemons: first}, true
}

// gone lists the daemons of the roster that have been gone for long, longest first.
func (i RosterInput) gone() []identity.DaemonID {
	var gone []identity.DaemonID
	for _, daemon := range i.Current.Daemons {
		if absent, found := i.GoneFor[daemon.ID]; found && absent >= i.GoneAfter {
			gone = append(gone, daemon.ID)
		}
	}
	slices.SortStableFunc(gone, func(a, b identity.DaemonID) int {
		return cmp.Or(cmp.Compare(i.GoneFor[b], i.GoneFor[a]), cmp.Compare(a, b))
	})
	return gone
}

// inForce tells whether most daemons of the roster vote, and at least one replica
// of each slot does: the next roster's replicas take over from it.
func (i RosterInput) inForce() bool {
	voting := 0
	for _, daemon := range i.Current.Daemons {
		if i.Active[daemon.ID] {
			voting++
		}
	}
	if 2*voting <= len(i.Current.Daemons) {
		return false
	}
	groups := claim.NewGroups(i.Current)
	for slot := range claim.Slot(claim.SlotCount) {
		votes := func(daemon dynamic.Daemon) bool { return i.Active[daemon.ID] }
		if !slices.ContainsFunc(groups.Of(slot), votes) {
			return false
		}
	}
	return true
}

// rosterWork is a roster being changed.
type rosterWork struct {
	daemons []dynamic.Daemon
	// changes is how many more places may change.
	changes int
	changed bool
}

// move takes over the new addresses and zones of daemons that keep their places.
func (w *rosterWork) move(alive []dynamic.Daemon) {
	for _, daemon := range alive {
		index := w.index(daemon.ID)
		if index >= 0 && w.daemons[index] != daemon && w.changes > 0 {
			w.daemons[index] = daemon
			w.spend()
		}
	}
}

// newcomers are the present daemons without a place, ordered by ID.
func (w *rosterWork) newcomers(alive []dynamic.Daemon) []dynamic.Daemon {
	newcomers := slices.DeleteFunc(slices.Clone(alive), func(daemon dynamic.Daemon) bool {
		return w.index(daemon.ID) >= 0
	})
	slices.SortFunc(newcomers, compareDaemons)
	return newcomers
}

// replace gives a gone daemon's place to a newcomer, of its own zone if there is
// one, and returns the other newcomers. Without newcomers the place goes, unless
// the roster would be too small.
func (w *rosterWork) replace(gone identity.DaemonID, newcomers []dynamic.Daemon) []dynamic.Daemon {
	if w.changes <= 0 {
		return newcomers
	}
	place := w.index(gone)
	zone := w.daemons[place].Zone
	switch {
	case len(newcomers) > 0:
		chosen := max(0, slices.IndexFunc(newcomers, func(daemon dynamic.Daemon) bool { return daemon.Zone == zone }))
		w.daemons[place] = newcomers[chosen]
		newcomers = slices.Delete(newcomers, chosen, chosen+1)
	case len(w.daemons) > smallestRoster:
		w.daemons = slices.Delete(w.daemons, place, place+1)
	default:
		return newcomers
	}
	w.spend()
	return newcomers
}

// add gives newcomers places of their own, those first whose zone has the fewest.
func (w *rosterWork) add(newcomers []dynamic.Daemon) {
	for w.changes > 0 && len(newcomers) > 0 {
		best := 0
		for index := range newcomers {
			if w.inZone(newcomers[index].Zone) < w.inZone(newcomers[best].Zone) {
				best = index
			}
		}
		w.daemons = append(w.daemons, newcomers[best])
		newcomers = slices.Delete(newcomers, best, best+1)
		w.spend()
	}
}

// spend counts a change.
func (w *rosterWork) spend() {
	w.changes--
	w.changed = true
}

// index returns the place of a daemon, or -1.
func (w *rosterWork) index(id identity.DaemonID) int {
	return slices.IndexFunc(w.daemons, func(daemon dynamic.Daemon) bool { return daemon.ID == id })
}

// inZone counts the daemons of a zone.
func (w *rosterWork) inZone(zone identity.Zone) int {
	count := 0
	for _, daemon := range w.daemons {
		if daemon.Zone == zone {
			count++
		}
	}
	return count
}

// compareDaemons orders daemons by ID.
func compareDaemons(a, b dynamic.Daemon) int { return cmp.Compare(a.ID, b.ID) }

// Presence keeps since when daemons have been present or gone, by the clock of
// its caller. It starts anew with each holder of the fleet lease, which errs on
// the side of changing nothing.
type Presence struct {
	presentSince map[identity.DaemonID]time.Time
	goneSince    map[identity.DaemonID]time.Time
}

// NewPresence makes an empty record.
func NewPresence() *Presence {
	return &Presence{
		presentSince: make(map[identity.DaemonID]time.Time),
		goneSince:    make(map[identity.DaemonID]time.Time),
	}
}

// Observe takes the daemons that are present now. It returns those that have been
// for at least presentAfter, and how long each absent daemon of the roster has
// been gone.
func (p *Presence) Observe(now time.Time, present []dynamic.Daemon, roster dynamic.Roster, presentAfter time.Duration) ([]dynamic.Daemon, map[identity.DaemonID]time.Duration) {
	presentNow := make(map[identity.DaemonID]time.Time, len(present))
	var settled []dynamic.Daemon
	for _, daemon := range present {
		since, known := p.presentSince[daemon.ID]
		if !known {
			since = now
		}
		presentNow[daemon.ID] = since
		if now.Sub(since) >= presentAfter {
			settled = append(settled, daemon)
		}
	}
	p.presentSince = presentNow
	return settled, p.observeGone(now, roster)
}

// observeGone returns how long the absent daemons of the roster have been gone.
func (p *Presence) observeGone(now time.Time, roster dynamic.Roster) map[identity.DaemonID]time.Duration {
	goneNow := make(map[identity.DaemonID]time.Time)
	goneFor := make(map[identity.DaemonID]time.Duration)
	for _, daemon := range roster.Daemons {
		if _, present := p.presentSince[daemon.ID]; present {
			continue
		}
		since, known := p.goneSince[daemon.ID]
		if !known {
			since = now
		}
		goneNow[daemon.ID] = since
		goneFor[daemon.ID] = now.Sub(since)
	}
	p.goneSince = goneNow
	return goneFor
}
