// Package leasekeeper runs the state machine of package lease against the platform's table. Code that only one daemon
// may run at a time calls Held before each side effect, and sends the fencing token with it.
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

// Default lease timing.
const (
	// DefaultDuration is how long a grant is valid unless it is renewed.
	DefaultDuration = 10 * time.Second
	// DefaultMaximumDrift is the assumed relative clock drift, far above that of uncorrected clocks.
	DefaultMaximumDrift = 0.02
	// callFraction is the divisor of the lease duration that gives the timeout of a table call. A table that is merely
	// slow must not cost the holder its lease.
	callFraction = 2
)

// Options configure a Keeper.
type Options struct {
	Table    port.TableService
	Settings lease.Settings
	Log      logrus.FieldLogger
	// Eligible reports whether this daemon should try for the lease; nil means always. It is called often and must not
	// block. With hundreds of daemons only a few should be eligible, since each of them reads the row.
	Eligible func() bool
	// Now is the clock that lease times are compared with; nil means clock.Now.
	Now func() time.Time
}

// Keeper acquires a lease and renews it while it runs.
type Keeper struct {
	options Options
	machine *lease.Machine
	grant   atomic.Pointer[lease.Grant]
	acting  atomic.Bool
	actedAt atomic.Pointer[time.Time]
	// row is the newest known lease row.
	row atomic.Pointer[port.Row]
	// wake has a value when the row must be written at once to record that the holder acts.
	wake chan struct{}
	// announced buffers one row that a holder has announced.
	announced chan port.Row
}

// New returns a Keeper that doesn't try for the lease until Run is called.
func New(options Options) *Keeper {
	if options.Eligible == nil {
		options.Eligible = func() bool { return true }
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	keeper := &Keeper{options: options, machine: lease.New(options.Settings), wake: make(chan struct{}, 1), announced: make(chan port.Row, 1)}
	keeper.grant.Store(&lease.Grant{})
	keeper.row.Store(&port.Row{})
	return keeper
}

// Held returns the fencing token and true while the lease is valid at the current time. It is safe for concurrent use.
// Since the caller may be paused between this call and its side effect, the effect must carry the token.
func (k *Keeper) Held() (identity.FencingToken, bool) {
	grant := k.grant.Load()
	return grant.Token, grant.ValidAt(k.options.Now())
}

// MayAct returns the fencing token and true while the holder may act: the row says so and was written recently enough,
// and the previous holder has not acted for long enough. It is safe for concurrent use.
func (k *Keeper) MayAct() (identity.FencingToken, bool) {
	grant := k.grant.Load()
	return grant.Token, grant.MayActAt(k.options.Now())
}

// TryAct is like MayAct, for a caller that acts immediately afterwards. It records the action, for which the next
// holder has to wait.
func (k *Keeper) TryAct() (identity.FencingToken, bool) {
	token, may := k.MayAct()
	if !may {
		return token, false
	}
	now := k.options.Now()
	k.actedAt.Store(&now)
	// The lease may have been released before the action was recorded.
	return k.MayAct()
}

// SetActing sets whether the holder wants to act. It is safe for concurrent use.
func (k *Keeper) SetActing(acting bool) {
	if k.acting.Swap(acting) || !acting {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Row returns the lease row as this daemon knows it, to be announced to others. It is safe for concurrent use.
func (k *Keeper) Row() port.Row { return *k.row.Load() }

// ObserveRow accepts the row that its holder has announced, so that it need not be read. It is safe for concurrent use
// and never blocks.
func (k *Keeper) ObserveRow(row port.Row) {
	select {
	case k.announced <- row:
	default:
	}
}

// Run acquires and renews the lease until the context ends, and then releases it. It always returns nil.
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
		case row := <-k.announced:
			if err := k.machine.ObserveRow(k.options.Now(), row); err != nil {
				k.options.Log.WithError(err).Error("The announced lease row cannot be read.")
			}
			continue
		}
		k.machine.Want(k.options.Eligible())
		k.machine.SetActing(k.acting.Load())
		// From here on TryAct sees that it may no longer act. Earlier actions are recorded already, and step passes them to
		// the machine before the row says that the holder doesn't act.
		k.publish()
		k.step(ctx)
	}
}

// release releases the lease, so that other daemons need not wait until it expires.
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

// step makes the table call that is due, if any.
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
		k.options.Log.WithError(err).Error("The lease row cannot be read.")
	}
	k.publish()
}

// read reads the lease row and passes the result to the machine.
func (k *Keeper) read(ctx context.Context, action lease.Read) error {
	rows, err := k.options.Table.Read(ctx, action.Key)
	return k.machine.ReadDone(k.options.Now(), rows, k.logFailure(err))
}

// commit writes the lease row and passes the result to the machine.
func (k *Keeper) commit(ctx context.Context, action lease.Commit) error {
	rows, err := k.options.Table.Commit(ctx, action.Transaction)
	return k.machine.CommitDone(k.options.Now(), rows, k.logFailure(err))
}

// logFailure logs the error of a failed call and returns it. Conflicts are expected and not logged.
func (k *Keeper) logFailure(err error) error {
	var conflict *port.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		k.options.Log.WithError(err).Debug("A table call for the lease failed.")
	}
	return err
}

// publish makes the machine's grant and row visible to Held, MayAct and Row.
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
