package fleetkeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/controller"
	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// rosterInterval is the time between two looks at the roster.
	rosterInterval = 10 * time.Second
	// firstRosterInterval is the same while there is no roster yet.
	firstRosterInterval = time.Second
)

// Operator is the name under which the keeper proposes changes.
const Operator = "fleet-controller"

// Rosters is what the keeper needs to propose rosters of claim replicas.
type Rosters interface {
	// Present returns the daemons that are present now, this one among them.
	Present() []dynamic.Daemon
	// Expected is how many daemons there are at least, as far as is known.
	Expected() int
	// Active returns the daemons that are known to have a roster's epoch in force
	// and to vote in all their slots.
	Active(epoch uint64) map[identity.DaemonID]bool
	// Propose commits a change of the configuration.
	Propose(ctx context.Context, change dynamic.Change) error
}

// rosterDuty is the keeper's state for rosters during one grant.
type rosterDuty struct {
	presence *controller.Presence
	nextAt   time.Time
}

// newRosterDuty begins a grant's duty.
func newRosterDuty() rosterDuty {
	return rosterDuty{presence: controller.NewPresence()}
}

// proposeRoster proposes the next roster when one is due.
func (k *Keeper) proposeRoster(ctx context.Context, document *dynamic.Document) {
	now := k.options.Now()
	if k.options.Rosters == nil || now.Before(k.rosters.nextAt) {
		return
	}
	current, found := document.NewestRoster()
	if !found {
		k.rosters.nextAt = now.Add(firstRosterInterval)
		k.proposeFirstRoster(ctx, now, document)
		return
	}
	k.rosters.nextAt = now.Add(rosterInterval)
	present := k.options.Rosters.Present()
	alive, goneFor := k.rosters.presence.Observe(now, present, current, controller.DefaultPresentAfter)
	roster, due := controller.ProposeRoster(controller.RosterInput{
		Current:   current,
		Alive:     alive,
		GoneFor:   goneFor,
		GoneAfter: controller.DefaultGoneAfter,
		Active:    k.options.Rosters.Active(current.Epoch),
	})
	if !due {
		return
	}
	if _, held := k.options.Lease.Held(); !held {
		return
	}
	k.commitRoster(ctx, now, document.Revision, roster)
}

// proposeFirstRoster makes all present daemons claim replicas, once they are as
// many as expected. Without any configuration there is nothing to claim for.
func (k *Keeper) proposeFirstRoster(ctx context.Context, now time.Time, document *dynamic.Document) {
	present := k.options.Rosters.Present()
	alive, _ := k.rosters.presence.Observe(now, present, dynamic.Roster{}, controller.FirstPresentAfter)
	roster, due := controller.FirstRoster(alive, k.options.Rosters.Expected())
	if !due || document.Revision == 0 {
		return
	}
	if _, held := k.options.Lease.Held(); held {
		k.commitRoster(ctx, now, document.Revision, roster)
	}
}

// commitRoster proposes a roster. The base revision makes two holders' proposals
// conflict, and the epoch is refused unless it is the next one.
func (k *Keeper) commitRoster(ctx context.Context, now time.Time, base identity.Revision, roster dynamic.Roster) {
	change := dynamic.Change{
		ID:        fmt.Sprintf("%s-%d-roster-%d", Operator, k.fence, roster.Epoch),
		Operator:  Operator,
		At:        now,
		Base:      &base,
		Operation: dynamic.Operation{PutRoster: &roster},
	}
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	log := k.options.Log.WithField("epoch", roster.Epoch)
	if err := k.options.Rosters.Propose(ctx, change); err != nil {
		log.WithError(err).Warn("A new roster was not accepted.")
		return
	}
	log.Info("A new roster was accepted.")
}
