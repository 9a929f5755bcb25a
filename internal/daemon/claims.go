package daemon

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/daemon/claims"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// rosterInterval is how often a daemon looks whether a roster can take effect.
	rosterInterval = 100 * time.Millisecond
	// rosterQuestionTimeout bounds the question to all daemons for a new roster.
	rosterQuestionTimeout = time.Second
	// newKeysAfter is how long after a replica has its first roster it votes on keys
	// made then: twice the clock skew and the most future birth of
	// claim.DefaultLimits. An earlier life may have voted on keys whose makers'
	// clocks were ahead.
	newKeysAfter = 400 * time.Millisecond
	// firstRosterWait is how long a request that must run at most once is held in a
	// daemon that has just started and has no claim roster in use yet.
	firstRosterWait = 2 * time.Second
	// claimsDrainTimeout bounds how long a stop waits until the ends of claims
	// were told to their replicas and written to the table.
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

// startingClaims holds claims by votes until this daemon votes itself. Without that,
// a key made just now would be in doubt for no reason but the daemon's own start.
// Keys of unknown birth are claimed in the table, which needs no roster.
type startingClaims struct {
	port.Claims
	ready <-chan struct{}
}

// Claim implements port.Claims.
func (c startingClaims) Claim(ctx context.Context, key port.ClaimKey) port.ClaimVerdict {
	if key.Born.IsZero() {
		return c.Claims.Claim(ctx, key)
	}
	timer := time.NewTimer(firstRosterWait)
	defer timer.Stop()
	select {
	case <-c.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.Claims.Claim(ctx, key)
}

// runClaims runs the replica, and at the end waits until the outcomes of this
// daemon's claims are told and written.
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
	progress := rosterProgress{startedAt: time.Now()}
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.advanceRoster(ctx, &progress)
		}
	}
}

// rosterProgress is how far this daemon's claim replica is with the rosters.
type rosterProgress struct {
	startedAt time.Time
	// applied and confirmed are the epochs of the newest roster that the replica
	// uses, and of the newest that it was told to be the configuration's newest.
	applied, confirmed uint64
}

// advanceRoster applies the newest roster, and confirms it, where that can be done.
func (d *Daemon) advanceRoster(ctx context.Context, progress *rosterProgress) {
	document := d.configuration.Document()
	roster, found := document.NewestRoster()
	status := d.configuration.Status()
	if !found || status.Provisional || !status.ConfirmedAt.After(progress.startedAt) {
		return
	}
	log := d.part("claims").WithField("epoch", roster.Epoch)
	if roster.Epoch > progress.applied && d.applyRosters(ctx, document) {
		progress.applied = roster.Epoch
		log.Info("The claim roster is in use.")
	}
	if roster.Epoch != progress.applied || roster.Epoch <= progress.confirmed {
		return
	}
	if d.claims.ConfigurationConfirmed(ctx, roster.Epoch) != nil {
		return // tried again at the next look
	}
	if progress.confirmed == 0 {
		time.AfterFunc(newKeysAfter, func() { close(d.votes) })
	}
	progress.confirmed = roster.Epoch
	log.Info("This replica votes on claims.")
}

// applyRosters has the replica use a document's rosters, if most daemons have the
// document in force, and tells whether it does.
func (d *Daemon) applyRosters(ctx context.Context, document *dynamic.Document) bool {
	return d.majorityHas(ctx, document.Revision) && d.claims.SetRosters(ctx, document.Rosters) == nil
}

// majorityHas asks all daemons whether most of them have a revision in force.
// Gossip does not do: what it says of a daemon may be from before its restart.
func (d *Daemon) majorityHas(ctx context.Context, revision identity.Revision) bool {
	limited, cancel := context.WithTimeout(ctx, rosterQuestionTimeout)
	defer cancel()
	inForce := d.configuration.InForce(limited, revision)
	return inForce.Daemons > inForce.Of/2
}

// canClaim tells whether keys that callers make now can be claimed.
func (d *Daemon) canClaim() bool {
	if _, found := d.configuration.Document().NewestRoster(); !found {
		return true
	}
	select {
	case <-d.votes:
		return true
	default:
		return false
	}
}
