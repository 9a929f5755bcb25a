// Package configuration keeps one daemon's configuration the newest: it loads it
// when the daemon starts, commits operators' changes to the table service,
// spreads accepted changes between the daemons, and knows how fresh its
// knowledge is. What may follow what is decided by package revision.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
)

// tableReadBurst is how many background reads of the table may follow at once.
const tableReadBurst = 3

// Runner keeps the configuration of one daemon. Its methods are safe for use by
// any goroutine. Make it with New, and run it with Run.
type Runner struct {
	options Options
	// mutex guards store, isolated and the order of the callbacks.
	mutex    sync.Mutex
	store    *revision.Store
	isolated bool
	document atomic.Pointer[dynamic.Document]

	startedAt  time.Time
	tableReads *rate.Limiter
	// fallback spaces out the questions to the table of a daemon that isn't a
	// root, and voteCounts the questions to all daemons of one that is.
	fallback   *gate
	voteCounts *gate
	// proposing lets one proposal at a time through: they would only conflict.
	proposing chan struct{}
	snapshots snapshotSender
	mirror    mirrorWriter
	pulling   atomic.Bool
	stopped   context.Context
	stop      context.CancelFunc
}

// New makes a runner with an empty document.
func New(options Options) *Runner {
	options = options.withDefaults()
	now := options.Clock()
	runner := &Runner{
		options:    options,
		store:      revision.NewStore(now),
		isolated:   true,
		startedAt:  now,
		tableReads: rate.NewLimiter(rate.Limit(options.TableReadsPerSecond), tableReadBurst),
		proposing:  make(chan struct{}, 1),
		snapshots:  newSnapshotSender(),
	}
	runner.stopped, runner.stop = context.WithCancel(context.Background())
	runner.fallback = newGate(now.Add(firstFallback+runner.herdDelay()), runner.herdPeriod(), fallbackGrowth)
	runner.voteCounts = newGate(now, options.ConfirmInterval/2, 1)
	runner.document.Store(runner.store.Document())
	options.OnIsolated(true)
	return runner
}

// Document returns the newest document. It is never nil.
func (r *Runner) Document() *dynamic.Document { return r.document.Load() }

// Status is what a daemon knows of its configuration.
type Status struct {
	Head revision.Head
	// ConfirmedAt is the last moment at which no newer revision was known; zero
	// when there was none.
	ConfirmedAt time.Time
	// Provisional is set until the first confirmation after the daemon's start.
	Provisional bool
	// Isolated is set while the last confirmation is too old.
	Isolated bool
	Source   revision.Source
}

// Status returns the present status.
func (r *Runner) Status() Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Status{
		Head:        r.store.Head(),
		ConfirmedAt: r.store.ConfirmedAt(),
		Provisional: r.store.Provisional(),
		Isolated:    r.store.Isolated(r.options.Clock(), r.options.IsolationLimit),
		Source:      r.store.Source(),
	}
}

// head returns the document's head.
func (r *Runner) head() revision.Head {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.store.Head()
}

// Revision returns the newest revision, for gossip.
func (r *Runner) Revision() identity.Revision { return r.Document().Revision }

// update changes the store and then publishes what has changed.
func (r *Runner) update(change func(store *revision.Store) error) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	err := change(r.store)
	r.publish()
	return err
}

// publish reports a new document or a changed isolation. A daemon that becomes
// isolated says so before it shows a document, and one that ceases to be says so
// after.
func (r *Runner) publish() {
	isolated := r.store.Isolated(r.options.Clock(), r.options.IsolationLimit)
	if isolated && !r.isolated {
		r.setIsolated(true)
	}
	if document := r.store.Document(); document != r.document.Load() {
		r.document.Store(document)
		r.options.OnDocument(document)
		r.options.Log.Infof("Revision %d is in force, from the %s.", document.Revision, r.store.Source())
	}
	if !isolated && r.isolated {
		r.setIsolated(false)
	}
}

func (r *Runner) setIsolated(isolated bool) {
	r.isolated = isolated
	r.options.OnIsolated(isolated)
	if isolated {
		r.options.Log.Warn("No confirmation that the configuration is the newest.")
		return
	}
	r.options.Log.Infof("The configuration is confirmed at revision %d.", r.store.Head().Revision)
}

// refresh re-evaluates isolation, which time alone changes.
func (r *Runner) refresh() {
	_ = r.update(func(*revision.Store) error { return nil })
}

func (r *Runner) offer(entries []revision.Entry, source revision.Source) error {
	return r.update(func(store *revision.Store) error { return store.Offer(entries, source) })
}

func (r *Runner) install(snapshot revision.Snapshot, source revision.Source) error {
	return r.update(func(store *revision.Store) error {
		_, err := store.Install(snapshot, source)
		return err
	})
}

// confirm records a confirmation of a head at a moment. It fails when the head
// is another document than ours at the same revision.
func (r *Runner) confirm(head revision.Head, at time.Time) error {
	return r.update(func(store *revision.Store) error {
		own := store.Head()
		if head.Revision == own.Revision && head.Digest != own.Digest {
			return &revision.DivergedError{Revision: own.Revision, Expected: head.Digest, Found: own.Digest}
		}
		store.Confirm(head.Revision, at)
		return nil
	})
}
