package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/leasekeeper"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/weightupdate"
)

// wireDuty makes the update of weights and the lease that it is done under.
func (w *Daemon) wireDuty() {
	bounds := w.settings.Bounds
	duty := &leasekeeper.Duty{
		Pending: func() bool { return w.weights.Pending() }, Preferred: w.directory.IsReader,
		PreferredTimeout: updatePatience(bounds),
		Candidate: &leasekeeper.Candidate{
			Count: w.members.Count, Share: w.shareOfRoom, Held: w.holdsLease, Growth: updatePatience(bounds),
		},
		HolderAnnouncedAt: func() time.Time { return w.follower.LastAnnouncementAt() }, LeaseLifetime: leaseDuration(bounds),
		Reachable: func() bool { return clock.Since(w.directory.ConfirmedAt()) < reachedIntervals*checkInterval(bounds) },
		Impaired:  w.paths.Impaired, ImpairedTimeout: impairedPatienceFactor * updatePatience(bounds),
		Linger: rest(bounds) + leaseLinger,
	}
	w.keeper = leasekeeper.New(leasekeeper.Options{
		Table: w.store, Log: w.part("lease"),
		Eligible: func() bool {
			leaves := w.serving.stopping.Load() && len(w.members.Others()) > 0
			mayBecome := w.directory.Complete() && !leaves
			return (mayBecome || w.holdsLease()) && !w.paths.Isolated() && duty.Eligible(clock.Now())
		},
		Settings: lease.Settings{
			Key: weightupdate.KeyLease, Holder: w.settings.NodeName, Incarnation: identity.Incarnation(rand.Uint64()),
			SoleIncarnation: true, // a machine runs one process of a role
			Duration:        leaseDuration(bounds),
			MaximumDrift:    maximumDrift,
			ActWindow:       time.Duration(actShare * float64(leaseDuration(bounds))),
			HandoverDelay:   rest(bounds),
			Era:             w.store.Era,
		},
	})
	w.weights = weightupdate.New(weightupdate.Options{
		Holder: w.settings.NodeName, Lease: w.keeper, Table: w.store, Pool: w.backends, Named: w.directory,
		Orders: w.runners, Log: w.part("weights"),
		DueBy:    w.dueBy,
		Refresh:  w.refreshLoad,
		Announce: func(announced weightupdate.Announcement) { w.tree.Tell(peerlink.KindPlan, &announced) },
	})
	w.follower = &weightupdate.Follower{
		Table: w.store, Changes: w.store, Pool: w.backends, Lease: w.keeper, Log: w.part("weights"),
		Pending: w.weights.Pending,
	}
	peerlink.HandleDecoded(w.link, peerlink.KindPlan, func(_ string, announced weightupdate.Announcement) { w.follower.HandleAnnouncement(announced) })
}

// dueBy is until when back ends with a version of a model's weights may begin requests.
func (w *Daemon) dueBy(model identity.ModelName, version uint64) time.Time {
	state := w.directory.State()
	if state == nil {
		return time.Time{}
	}
	return state.BeginBy(model, version, w.directory.SteadySince(), versionGrace(w.settings.Bounds))
}

func (w *Daemon) holdsLease() bool {
	_, held := w.keeper.Held()
	return held
}
