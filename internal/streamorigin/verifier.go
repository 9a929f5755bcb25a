package streamorigin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// verifyTimeout bounds the calls of one verification.
	verifyTimeout = 700 * time.Millisecond
	// verifyIntervalPerDaemon times the number of daemons is the time between two verifications of a daemon, and at least
	// minVerifyInterval: after the crash of a zone callers continue streams at all others at once, and each verification takes one of the
	// store's few writing calls.
	verifyIntervalPerDaemon = 10 * time.Millisecond
	minVerifyInterval       = 20 * time.Millisecond
)

// VerifierOptions configures a Verifier.
type VerifierOptions struct {
	Table port.TableService
	// Refresh brings the list of back ends up to date.
	Refresh  func(ctx context.Context) error
	Registry *Registry
	// Era counts how often the store was restored from an earlier copy; nil means never.
	Era port.EraSource
	// Daemons returns the number of daemons.
	Daemons func() int
	Log     logrus.FieldLogger
}

// Verifier asks the store which versions are listed, and which were lately, so that a daemon which missed some learns of them. It is
// safe for concurrent use: requests that come while the store is asked share the next call.
type Verifier struct {
	options VerifierOptions

	mutex   sync.Mutex
	current *verification
	// rowVersion is the version of the row that was last adopted, and rowProves is set if that names all versions. Only one verification
	// at a time accesses them.
	rowVersion uint64
	rowProves  bool
}

// verification is one look at the store.
type verification struct {
	began time.Time
	done  chan struct{}
	err   error
}

// NewVerifier returns a Verifier.
func NewVerifier(options VerifierOptions) *Verifier { return &Verifier{options: options} }

// Verify makes the registry know all versions that were listed or recorded in the store at a moment after since. It returns when that
// is done, has failed, or the context has ended.
func (v *Verifier) Verify(ctx context.Context, since time.Time) error {
	for ctx.Err() == nil {
		joined, wait := v.join(since)
		if joined == nil {
			pause.For(ctx, wait)
			continue
		}
		select {
		case <-joined.done:
		case <-ctx.Done():
		}
		if joined.ended() && !joined.began.Before(since) {
			return joined.err
		}
	}
	return ctx.Err()
}

// join returns the verification that is under way, the last one if it began after since, or a new one. It returns nil, and how long to
// wait, if it is too early for that.
func (v *Verifier) join(since time.Time) (joined *verification, wait time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := clock.Now()
	if last := v.current; last != nil {
		if !last.ended() || !last.began.Before(since) {
			return last, 0
		}
		if wait := v.interval() - now.Sub(last.began); wait > 0 {
			return nil, wait
		}
	}
	v.current = &verification{began: now, done: make(chan struct{})}
	go v.run(v.current)
	return v.current, 0
}

func (v *Verifier) interval() time.Duration {
	return max(time.Duration(v.options.Daemons())*verifyIntervalPerDaemon, minVerifyInterval)
}

func (v *verification) ended() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

func (v *Verifier) run(started *verification) {
	defer close(started.done)
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	refreshed := make(chan error, 1)
	go func() { refreshed <- v.options.Refresh(ctx) }()
	missed := v.options.Registry.missed()
	proves, err := v.adoptRow(ctx, missed)
	started.err = errors.Join(err, <-refreshed)
	switch {
	case started.err != nil:
	case proves:
		v.options.Registry.verified(started.began)
	case missed:
		started.err = errUnproven
	}
}

// errUnproven is returned if the record may lack versions of which this daemon has not heard.
var errUnproven = errors.New("the record of listed versions is missing, partial, or of before the store was restored")

// adoptRow adopts the recorded versions, and reports whether these are all. If the daemon has missed none, it adopts them only if they
// have changed since the last time. A transaction that only expects the row never shows an outdated one.
func (v *Verifier) adoptRow(ctx context.Context, missed bool) (proves bool, err error) {
	expected := v.rowVersion
	if missed {
		expected = 0
	}
	_, err = v.options.Table.Commit(ctx, port.Transaction{Conditions: []port.Condition{{Key: RowKey, Version: expected}}})
	var changed *port.ConflictError
	if !errors.As(err, &changed) {
		return v.rowProves && expected > 0, err
	}
	v.rowVersion, v.rowProves = 0, false
	for _, row := range changed.Current {
		if row.Key != RowKey || row.Version == 0 {
			continue
		}
		stored, err := decodeRecord(row.Value)
		if err != nil {
			return false, err
		}
		earlier := EarlierUnknown
		if v.rowProves = !stored.Partial && stored.Era == v.options.Era.Era(); v.rowProves {
			earlier = EarlierKnown
		}
		v.options.Registry.AdoptEarlier(stored.versions(), earlier)
		v.rowVersion = row.Version
	}
	return v.rowProves, nil
}

// versions returns the recorded versions by service.
func (r *record) versions() map[identity.ServiceName][]identity.SoftwareVersion {
	versions := map[identity.ServiceName][]identity.SoftwareVersion{}
	for _, each := range r.Services {
		versions[each.Service] = each.Versions
	}
	return versions
}
