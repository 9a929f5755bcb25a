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
	// pendingInterval is how often it is looked whether the plan is needed.
	pendingInterval = 500 * time.Millisecond
	// Pauses after failed calls grow, so that many daemons don't keep a store busy
	// with calls that it refuses.
	shortestFollowPause = 100 * time.Millisecond
	longestFollowPause  = 2 * time.Second
)

// Changes tells when the plan's row may have changed.
type Changes interface {
	// WaitPlan returns when a row of the daemons' own may have changed after a
	// version of the store, or after a time, with the version to wait after next.
	WaitPlan(ctx context.Context, after uint64, wait time.Duration) (uint64, error)
}

// Follower makes this daemon heed the plan of whichever daemon holds the lease.
type Follower struct {
	Table   port.TableService
	Changes Changes
	Pool    *backendpool.Pool
	Lease   Lease
	// Pending tells whether there is work on weights, of which a plan tells.
	Pending func() bool
	Log     logrus.FieldLogger

	mutex sync.Mutex
	// token is the highest of a holder that this daemon has heard of.
	token identity.FencingToken
	// heardAt is when the last announcement came.
	heardAt time.Time
}

// Hear heeds what a holder announces. An announcement of a holder before the known
// one is passed over.
func (f *Follower) Hear(announced Announcement) {
	if _, held := f.Lease.Held(); held || !f.admit(announced.Token) {
		return
	}
	f.mutex.Lock()
	f.heardAt = clock.Now()
	f.mutex.Unlock()
	announced.follow(f.Pool)
	if announced.LeaseVersion > 0 {
		f.Lease.Hear(port.Row{Key: KeyLease, Version: announced.LeaseVersion, Value: announced.LeaseValue})
	}
}

// admit tells whether a token is not of a holder before the known one.
func (f *Follower) admit(token identity.FencingToken) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if token < f.token {
		return false
	}
	f.token = token
	return true
}

// HeardAt is when a holder last announced its plan; zero is never.
func (f *Follower) HeardAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heardAt
}

// Hears tells whether a holder announces its plan, so that its row need not be read.
func (f *Follower) Hears() bool {
	return clock.Since(f.HeardAt()) < announcementTimeout
}

// Run follows the plan until the context ends. The row is read only while nobody has
// announced a plan for a while that this daemon needs.
func (f *Follower) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = shortestFollowPause
	pauses.MaxInterval = longestFollowPause
	var after, version uint64
	calm := clock.Now()
	for ctx.Err() == nil {
		if !f.needsRow() {
			calm = clock.Now()
		}
		if clock.Since(calm) < announcementTimeout {
			pause.For(ctx, pendingInterval)
			continue
		}
		version = f.follow(ctx, version)
		next, err := f.wait(ctx, after)
		after = next // the store's whole history after a failure
		var lost *port.NotFoundError
		switch {
		case errors.As(err, &lost):
			pause.For(ctx, shortestFollowPause)
		case err != nil:
			pause.For(ctx, pauses.NextBackOff())
		default:
			pauses.Reset()
		}
	}
	return nil
}

// needsRow tells whether the plan's row may tell anything that this daemon needs now.
func (f *Follower) needsRow() bool {
	return !f.Hears() && f.Pending()
}

func (f *Follower) wait(ctx context.Context, after uint64) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, followInterval+callTimeout)
	defer cancel()
	return f.Changes.WaitPlan(bounded, after, followInterval)
}

// follow reads the plan and heeds it. It returns the row's version. The holder
// follows its own plan as it makes it.
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
	if !f.admit(plan.Token) {
		return rows[0].Version
	}
	plan.Follow(f.Pool)
	f.Log.WithFields(logrus.Fields{"token": plan.Token, "loading": plan.Loading}).Debug("The plan of the weight update changed.")
	return rows[0].Version
}
