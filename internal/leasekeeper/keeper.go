// Package leasekeeper drives a lease of package lease over the platform's table.
// A duty that only one daemon may do at a time asks Held before each effect, and
// sends the fencing token with it.
package leasekeeper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/lease"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

// Defaults of the lease's times.
const (
	// DefaultDuration is how long a grant lasts unless it is renewed.
	DefaultDuration = 10 * time.Second
	// DefaultMaximumDrift is far more than what clocks without correction do.
	DefaultMaximumDrift = 0.02
	// callFraction of the duration bounds one call of the table. A table that is
	// slow and no worse must not cost the lease.
	callFraction = 2
)

// Options configure a Keeper.
type Options struct {
	Table    port.TableService
	Settings lease.Settings
	Log      logrus.FieldLogger
	// Eligible tells whether this daemon should try for the lease; nil means
	// always. It is asked often and must not block. With hundreds of daemons
	// only a few should be eligible, since each of them reads the row.
	Eligible func() bool
	// Now is the time by which the lease is judged; nil means clock.Now.
	Now func() time.Time
}

// Keeper tries for a lease and keeps it while it runs.
type Keeper struct {
	options Options
	machine *lease.Machine
	grant   atomic.Pointer[lease.Grant]
	acting  atomic.Bool
	actedAt atomic.Pointer[time.Time]
	// row is the newest known row.
	row atomic.Pointer[port.Row]
	// wake has a value when the row is to say at once that the holder acts.
	wake chan struct{}
	// heard has the newest row that a holder told.
	heard chan port.Row
}

// New makes a keeper that holds nothing until it runs.
func New(options Options) *Keeper {
	if options.Eligible == nil {
		options.Eligible = func() bool { return true }
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	keeper := &Keeper{options: options, machine: lease.New(options.Settings), wake: make(chan struct{}, 1), heard: make(chan port.Row, 1)}
	keeper.grant.Store(&lease.Grant{})
	keeper.row.Store(&port.Row{})
	return keeper
}

// Held returns the fencing token and true while the lease is held by the clock of
// this moment. It is safe for any goroutine. Since the caller may be paused
// between this answer and its effect, the effect must carry the token.
func (k *Keeper) Held() (identity.FencingToken, bool) {
	grant := k.grant.Load()
	return grant.Token, grant.ValidAt(k.options.Now())
}

// MayAct returns the fencing token and true while the holder may act: the row says so
// and was written lately enough, and the holder before has not acted for long enough. It
// is safe for any goroutine.
func (k *Keeper) MayAct() (identity.FencingToken, bool) {
	grant := k.grant.Load()
	return grant.Token, grant.MayActAt(k.options.Now())
}

// TryAct is as MayAct, for a caller that acts at once: a next holder waits because of it.
func (k *Keeper) TryAct() (identity.FencingToken, bool) {
	token, may := k.MayAct()
	if !may {
		return token, false
	}
	now := k.options.Now()
	k.actedAt.Store(&now)
	// The lease may have been released before the act was noted.
	return k.MayAct()
}

// SetActing says whether the holder wants to act. It is safe for any goroutine.
func (k *Keeper) SetActing(acting bool) {
	if k.acting.Swap(acting) || !acting {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Row returns the lease's row as this daemon knows it, for others to hear. It is safe for
// any goroutine.
func (k *Keeper) Row() port.Row { return *k.row.Load() }

// ObserveRow takes in the row as its holder has told it, so that it need not be read. It is
// safe for any goroutine and never blocks.
func (k *Keeper) ObserveRow(row port.Row) {
	select {
	case k.heard <- row:
	default:
	}
}

// Run tries for the lease until the context ends, and then releases it. It
// always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.options.Settings.RetryInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.release()
			return nil
		case <-ticker.C:
		case <-k.wake:
		case row := <-k.heard:
			if err := k.machine.ObserveRow(k.options.Now(), row); err != nil {
				k.options.Log.WithError(err).Error("The lease's row, as told, cannot be read.")
			}
			continue
		}
		k.machine.Want(k.options.Eligible())
		k.machine.SetActing(k.acting.Load())
		// Whoever acts after this sees that it may not any more; earlier acts are noted,
		// and step tells the machine of them before the row says that nobody acts.
		k.publish()
		k.step(ctx)
	}
}

// release gives the lease back, so that nobody has to wait until it lapses.
func (k *Keeper) release() {
	settings := k.options.Settings
	ctx, cancel := context.WithTimeout(context.Background(), settings.Duration/callFraction)
	defer cancel()
	k.machine.Want(false)
	k.publish()
	for ctx.Err() == nil && !k.machine.FullyReleased() {
		k.step(ctx)
		if !k.machine.FullyReleased() {
			pause.For(ctx, settings.RetryInterval())
		}
	}
}

// step makes the call that is due, if any.
func (k *Keeper) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Settings.Duration/callFraction)
	defer cancel()
	if acted := k.actedAt.Load(); acted != nil {
		k.machine.RecordAction(*acted)
	}
	var err error
	switch action := k.machine.Tick(k.options.Now()).(type) {
	case nil:
	case lease.Read:
		err = k.read(ctx, action)
	case lease.Commit:
		err = k.commit(ctx, action)
	}
	if err != nil {
		k.options.Log.WithError(err).Error("The lease's row cannot be read.")
	}
	k.publish()
}

// read reads the row.
func (k *Keeper) read(ctx context.Context, action lease.Read) error {
	rows, err := k.options.Table.Read(ctx, action.Key)
	return k.machine.ReadDone(k.options.Now(), rows, k.logged(err))
}

// commit writes the row.
func (k *Keeper) commit(ctx context.Context, action lease.Commit) error {
	rows, err := k.options.Table.Commit(ctx, action.Transaction)
	return k.machine.CommitDone(k.options.Now(), rows, k.logged(err))
}

// logged logs a failed call. Conflicts belong to the ordinary course.
func (k *Keeper) logged(err error) error {
	var conflict *port.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		k.options.Log.WithError(err).Debug("A call for the lease failed.")
	}
	return err
}

// publish makes the machine's grant visible to Held.
func (k *Keeper) publish() {
	now := k.options.Now()
	before := k.grant.Load()
	grant := k.machine.Grant()
	k.grant.Store(&grant)
	row := k.machine.Row()
	k.row.Store(&row)
	log := k.options.Log.WithField("token", grant.Token)
	switch {
	case grant.ValidAt(now) && grant.Token != before.Token:
		log.Info("The lease is held.")
	case !grant.ValidAt(now) && before.Token != 0 && grant.Token != before.Token:
		log.WithField("token", before.Token).Info("The lease is no longer held.")
	}
}
