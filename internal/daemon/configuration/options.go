package configuration

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
)

// Defaults of Options.
const (
	// DefaultIsolationLimit is how old the last confirmation may become.
	DefaultIsolationLimit = 4 * time.Second
	// DefaultConfirmInterval is how often a daemon asks for a confirmation. With
	// three levels below the roots, a confirmation is at most four intervals old,
	// and five while the first root counts votes for the others.
	DefaultConfirmInterval = 700 * time.Millisecond
	// DefaultCallTimeout bounds one call to a peer.
	DefaultCallTimeout = time.Second
	// DefaultTableTimeout bounds one background call to the table service.
	DefaultTableTimeout = 2 * time.Second
	// DefaultHedgeDelay is how long the table may take before peers are asked too.
	DefaultHedgeDelay = 300 * time.Millisecond
	// DefaultMirrorGrace is how long a starting daemon tries the table and its
	// peers before it takes the mirror.
	DefaultMirrorGrace = 2 * time.Second
	// DefaultMirrorInterval is the least time between two writes of the mirror.
	DefaultMirrorInterval = 5 * time.Second
	// DefaultCallsAtOnce is how many peers are called at a time.
	DefaultCallsAtOnce = 32
	// DefaultProposeTimeout bounds a proposal, with all its tries.
	DefaultProposeTimeout = 15 * time.Second
	// DefaultTableReadsPerSecond bounds a daemon's background reads of the table.
	DefaultTableReadsPerSecond = 2
	// DefaultHerdReadsPerSecond is the rate over all daemons to which first reads
	// of the table are stretched while a starting daemon doesn't see most others.
	DefaultHerdReadsPerSecond = 40
)

// Options make a Runner. Table, Objects, Peers and Self are needed.
type Options struct {
	Self    Member
	Table   port.TableService
	Objects port.ObjectStore
	Peers   Peers
	Log     logrus.FieldLogger
	Clock   func() time.Time
	// OnDocument gets every new document, in the order of revisions. It must not
	// call back into the runner.
	OnDocument func(document *dynamic.Document)
	// OnIsolated gets every change of isolation. It is first called with true,
	// before any document. It must not call back into the runner.
	OnIsolated func(isolated bool)

	IsolationLimit      time.Duration
	ConfirmInterval     time.Duration
	CallTimeout         time.Duration
	TableTimeout        time.Duration
	HedgeDelay          time.Duration
	MirrorGrace         time.Duration
	MirrorInterval      time.Duration
	ProposeTimeout      time.Duration
	CallsAtOnce         int
	TableReadsPerSecond float64

	// NewBackOff makes the waits between the tries of one proposal.
	NewBackOff func() backoff.BackOff
	// Go runs a function beside the caller; nil means a goroutine.
	Go func(function func())
	// Random gives numbers from 0 up to 1 for jitter and for the choice of peers.
	// It must be safe for use by any goroutine.
	Random func() float64
}

func (o Options) withDefaults() Options {
	o.IsolationLimit = cmp.Or(o.IsolationLimit, DefaultIsolationLimit)
	o.ConfirmInterval = cmp.Or(o.ConfirmInterval, DefaultConfirmInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.TableTimeout = cmp.Or(o.TableTimeout, DefaultTableTimeout)
	o.HedgeDelay = cmp.Or(o.HedgeDelay, DefaultHedgeDelay)
	o.MirrorGrace = cmp.Or(o.MirrorGrace, DefaultMirrorGrace)
	o.MirrorInterval = cmp.Or(o.MirrorInterval, DefaultMirrorInterval)
	o.ProposeTimeout = cmp.Or(o.ProposeTimeout, DefaultProposeTimeout)
	o.CallsAtOnce = cmp.Or(o.CallsAtOnce, DefaultCallsAtOnce)
	o.TableReadsPerSecond = cmp.Or(o.TableReadsPerSecond, DefaultTableReadsPerSecond)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnDocument == nil {
		o.OnDocument = func(*dynamic.Document) {}
	}
	if o.OnIsolated == nil {
		o.OnIsolated = func(bool) {}
	}
	if o.NewBackOff == nil {
		o.NewBackOff = newProposalBackOff
	}
	if o.Go == nil {
		o.Go = func(function func()) { go function() }
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// The waits between the tries of one proposal.
const (
	proposalFirstWait   = 20 * time.Millisecond
	proposalLongestWait = time.Second
)

func newProposalBackOff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = proposalFirstWait
	exponential.MaxInterval = proposalLongestWait
	return exponential
}

// forEach runs a function on all items, with a bounded number at a time.
func forEach[T any](items []T, atOnce int, function func(item T)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for _, item := range items {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			function(item)
		})
	}
	group.Wait()
}
