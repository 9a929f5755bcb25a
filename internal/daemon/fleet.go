package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/controller"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/daemon/fleetkeeper"
	"github.com/lotusward/lotusward/internal/daemon/leasekeeper"
	"github.com/lotusward/lotusward/internal/daemon/prewarmer"
)

const (
	// leaseCandidates is how many live daemons try for the fleet lease. More would
	// only read its row more often.
	leaseCandidates = 3
	// pathClaimStatus is the call by which the fleet controller asks a claim
	// replica whether it votes in all its slots.
	pathClaimStatus = "/claims/v1/status"
	// claimStatusTimeout bounds that call.
	claimStatusTimeout = time.Second
)

// wireFleet makes this daemon a candidate for the duty of the fleet controller.
func (d *Daemon) wireFleet() {
	d.lease = leasekeeper.New(leasekeeper.Options{
		Table: d.platform.table,
		Settings: lease.Settings{
			Key:          fleetkeeper.LeaseKey,
			Holder:       d.settings.Identity.Daemon,
			Incarnation:  d.incarnation,
			Duration:     d.settings.Tuning.LeaseDuration,
			MaximumDrift: leasekeeper.DefaultMaximumDrift,
		},
		Log:      d.part("lease"),
		Eligible: d.isLeaseCandidate,
	})
	d.fleet = fleetkeeper.New(fleetkeeper.Options{
		Lease:    d.lease,
		Views:    d.loop,
		Backends: d.engines,
		Settings: controller.DefaultSettings(),
		Log:      d.part("fleet"),
		Interval: d.settings.Tuning.ControllerInterval,
		Rosters:  fleetRosters{daemon: d},
	})
	peer.Handle(d.rpc, pathClaimStatus, func(ctx context.Context, _ claimStatusRequest) (claim.Status, error) {
		return d.claims.Status(ctx)
	})
}

// isLeaseCandidate tells whether this daemon is one of the few that try for the
// fleet lease. All who know the same live daemons agree on them. The holder stays
// one, so that a daemon which joins does not push it out.
func (d *Daemon) isLeaseCandidate() bool {
	if _, held := d.lease.Held(); held {
		return true
	}
	daemons := []identity.DaemonID{d.settings.Identity.Daemon}
	for _, member := range d.members.Members() {
		daemons = append(daemons, member.ID)
	}
	candidates := rendezvous.Top(rendezvous.Key(fleetkeeper.LeaseKey), daemons, leaseCandidates)
	return slices.Contains(candidates, d.settings.Identity.Daemon)
}

type claimStatusRequest struct{}

// fleetRosters gives the fleet controller what it needs for rosters of claim
// replicas. It implements fleetkeeper.Rosters.
type fleetRosters struct{ daemon *Daemon }

// Present implements fleetkeeper.Rosters.
func (r fleetRosters) Present() []dynamic.Daemon {
	var present []dynamic.Daemon
	for _, member := range r.daemon.members.All() {
		if member.Live() {
			present = append(present, dynamic.Daemon{ID: member.ID, Zone: member.Zone, Address: member.Address})
		}
	}
	return present
}

// Expected implements fleetkeeper.Rosters.
func (r fleetRosters) Expected() int { return r.daemon.members.Size() }

// Active implements fleetkeeper.Rosters by asking every replica of the roster.
func (r fleetRosters) Active(epoch uint64) map[identity.DaemonID]bool {
	roster, found := r.daemon.configuration.Document().NewestRoster()
	if !found {
		return nil
	}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	active := make(map[identity.DaemonID]bool)
	for _, replica := range roster.Daemons {
		asking.Go(func() {
			status, err := r.askStatus(replica)
			if err != nil || status.Epoch != epoch || status.ActiveSlots != status.Slots {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			active[replica.ID] = true
		})
	}
	asking.Wait()
	return active
}

func (r fleetRosters) askStatus(replica dynamic.Daemon) (claim.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimStatusTimeout)
	defer cancel()
	if replica.ID == r.daemon.settings.Identity.Daemon {
		return r.daemon.claims.Status(ctx)
	}
	var status claim.Status
	err := r.daemon.peers.Call(ctx, replica.Address, pathClaimStatus, claimStatusRequest{}, &status)
	return status, err
}

// Propose implements fleetkeeper.Rosters.
func (r fleetRosters) Propose(ctx context.Context, change dynamic.Change) error {
	_, err := r.daemon.configuration.Propose(ctx, change)
	return err
}

// wirePrewarmer lets the holder of the fleet lease compute declared prefixes.
func (d *Daemon) wirePrewarmer() {
	d.prewarmer = prewarmer.New(prewarmer.Options{
		Lease:      d.lease,
		Views:      d.loop,
		Objects:    d.platform.objects,
		Scheduling: d.loop,
		Engines:    d.engines,
		Log:        d.part("prewarm"),
	})
}
