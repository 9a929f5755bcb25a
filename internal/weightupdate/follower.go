package weightupdate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	followInterval = 3 * time.Second
	// pendingInterval is how often the follower checks whether it needs the plan's row.
	pendingInterval = 500 * time.Millisecond
	// Failed calls are retried with exponential backoff, so that many daemons don't overload a store that rejects calls.
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = 2 * time.Second
)

// Changes reports when the plan's row may have changed.
type Changes interface {
	// WaitPlan blocks until one of the daemons' own rows may have changed since a store version, or until wait has
	// passed. It returns the version to pass to the next call.
	WaitPlan(ctx context.Context, after uint64, wait time.Duration) (uint64, error)
}

// Follower applies the plan of the current lease holder to this daemon's pool.
type Follower struct {
	Table   port.TableService
	Changes Changes
	Pool    *backendpool.Pool
	Lease   Lease
	// Pending reports whether any back end has outdated weights, so that the plan is needed.
	Pending func() bool
	Log     logrus.FieldLogger

	mutex sync.Mutex
	// token is the highest fencing token seen.
	token identity.FencingToken
	// lastAnnouncementAt is when the last announcement was accepted.
	lastAnnouncementAt time.Time
}

// HandleAnnouncement applies a holder's announcement. Announcements with a fencing token older than the highest seen
// are ignored.
func (f *Follower) HandleAnnouncement(announced Announcement) {
	if _, held := f.Lease.Held(); held || !f.acceptToken(announced.Token) {
		return
	}
	f.mutex.Lock()
	f.lastAnnouncementAt = clock.Now()
	f.mutex.Unlock()
	announced.apply(f.Pool)
	if announced.LeaseVersion > 0 {
		f.Lease.ObserveRow(port.Row{Key: KeyLease, Version: announced.LeaseVersion, Value: announced.LeaseValue})
	}
}

// acceptToken records a fencing token; it returns false if the token is older than the highest seen.
func (f *Follower) acceptToken(token identity.FencingToken) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if token < f.token {
		return false
	}
	f.token = token
	return true
}

// LastAnnouncementAt returns when a holder last announced its plan, or zero if none has.
func (f *Follower) LastAnnouncementAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastAnnouncementAt
}

// ReceivesAnnouncements reports whether announcements arrive, so that the plan's row need not be read.
func (f *Follower) ReceivesAnnouncements() bool {
	return clock.Since(f.LastAnnouncementAt()) < announcementTimeout
}

// Run follows the plan until the context ends. The row is read only if the daemon has needed a plan for
// announcementTimeout and no announcement has arrived.
func (f *Follower) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = minFollowBackoff
	pauses.MaxInterval = maxFollowBackoff
	var after, version uint64
	lastNotNeeded := clock.Now()
	for ctx.Err() == nil {
		if !f.needsRow() {
			lastNotNeeded = clock.Now()
		}
		if clock.Since(lastNotNeeded) < announcementTimeout {
			pause.For(ctx, pendingInterval)
			continue
		}
		version = f.follow(ctx, version)
		next, err := f.wait(ctx, after)
		after = next // after a failure, this reads the store's whole history
		var notFound *port.NotFoundError
		switch {
		case errors.As(err, &notFound):
			pause.For(ctx, minFollowBackoff)
		case err != nil:
			pause.For(ctx, pauses.NextBackOff())
		default:
			pauses.Reset()
		}
	}
	return nil
}

// needsRow reports whether this daemon needs the plan and receives no announcements.
func (f *Follower) needsRow() bool {
	return !f.ReceivesAnnouncements() && f.Pending()
}

func (f *Follower) wait(ctx context.Context, after uint64) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, followInterval+callTimeout)
	defer cancel()
	return f.Changes.WaitPlan(bounded, after, followInterval)
}

// follow reads the plan's row, applies it and returns the row's version. The holder skips this, since it applies its
// own plan in each tick.
func (f *Follower) follow(ctx context.Context, version uint64) uint64 {
	if _, held := f.Lease.Held(); held {
		return version
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := f.Table.Read(bounded, KeyPlan)
	if err != nil || len(rows) == 0 || rows[0].Version == version {
		return version
	}
	plan, err := DecodePlan(rows[0].Value)
	if err != nil {
		f.Log.WithError(err).Error("The plan of the weight update cannot be read.")
		return rows[0].Version
	}
	if !f.acceptToken(plan.Token) {
		return rows[0].Version
	}
	plan.Follow(f.Pool)
	f.Log.WithFields(logrus.Fields{"token": plan.Token, "loading": plan.Loading}).Debug("The plan of the weight update changed.")
	return rows[0].Version
}
