package daemon

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/daemon/claims"
)

const (
	// rosterInterval is how often a daemon looks whether a roster can take effect.
	rosterInterval = 100 * time.Millisecond
	// claimsDrainTimeout bounds how long a stop waits until the ends of claims
	// were told to their replicas.
	claimsDrainTimeout = 5 * time.Second
)

// wireClaims makes this daemon a claim replica and the coordinator of its own
// callers' claims. It comes before the peer address is served, since a replica
// must not forget what it voted in this life.
func (d *Daemon) wireClaims() {
	d.claims = claims.New(claims.Options{
		Self:        d.settings.Identity.Daemon,
		Incarnation: d.incarnation,
		Caller:      d.peers,
		Table:       d.platform.table,
		Log:         d.part("claims"),
	})
	peer.Handle(d.rpc, claims.PathClaim, d.claims.HandleClaim)
	peer.Handle(d.rpc, claims.PathSettle, d.claims.HandleSettle)
	peer.Handle(d.rpc, claims.PathRead, d.claims.HandleRead)
}

// runClaims runs the replica, and at the end waits until the outcomes of this
// daemon's claims are told.
func (d *Daemon) runClaims(ctx context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		defer cancel()
		draining, end := context.WithTimeout(context.Background(), claimsDrainTimeout)
		defer end()
		if err := d.claims.Drain(draining); err != nil {
			d.part("claims").WithError(err).Warn("Some outcomes were not told.")
		}
	})
	defer stop()
	return d.claims.Run(running)
}

// runRosters gives the claim replica each new roster, and tells it when this
// daemon's configuration has been confirmed since its start. A roster takes
// effect only once a majority of daemons has its revision in force: a replica
// that restarts and confirms its configuration with a majority then cannot miss
// a roster that is in use.
func (d *Daemon) runRosters(ctx context.Context) error {
	startedAt := time.Now()
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	var appliedEpoch, confirmedEpoch uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		document := d.configuration.Document()
		if len(document.Rosters) == 0 {
			continue
		}
		epoch := document.Rosters[len(document.Rosters)-1].Epoch
		if epoch > appliedEpoch && d.majorityHas(document.Revision) {
			if d.claims.SetRosters(ctx, document.Rosters) == nil {
				appliedEpoch = epoch
			}
		}
		status := d.configuration.Status()
		confirmed := !status.Provisional && status.ConfirmedAt.After(startedAt)
		if confirmed && epoch == appliedEpoch && epoch > confirmedEpoch {
			if d.claims.ConfigurationConfirmed(ctx, epoch) == nil {
				confirmedEpoch = epoch
			}
		}
	}
}

// majorityHas tells whether most daemons have a revision in force.
func (d *Daemon) majorityHas(revision identity.Revision) bool {
	confirmed := 0
	for _, member := range d.members.All() {
		if member.Revision >= revision || member.ID == d.settings.Identity.Daemon {
			confirmed++
		}
	}
	return confirmed > d.members.Size()/2
}
