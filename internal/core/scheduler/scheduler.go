package scheduler

import (
	"cmp"
	"time"

	"github.com/lotusward/lotusward/internal/core/admission"
	"github.com/lotusward/lotusward/internal/core/belief"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/placement"
	"github.com/lotusward/lotusward/internal/core/placement/eligible"
	"github.com/lotusward/lotusward/internal/core/placement/estimate"
	"github.com/lotusward/lotusward/internal/core/placement/firsttoken"
	"github.com/lotusward/lotusward/internal/core/placement/leastcost"
)

// The defaults of Options.
const (
	DefaultQueueLimit = 4096
	DefaultWindow     = 100 * time.Millisecond
	DefaultLoadLag    = 110 * time.Millisecond
	DefaultRootBlocks = 256
)

// Options are the settings of a Scheduler. A zero field takes its default.
type Options struct {
	// Zone is the daemon's own zone; back ends of other zones cost a round trip.
	Zone identity.Zone
	// QueueLimit is how many requests wait at most.
	QueueLimit int
	// Window is how much work is sent to an engine ahead of what it computes, as
	// time. The rest waits here, where it can still change its place.
	Window time.Duration
	// LoadLag is how old a load report is on average when it arrives.
	LoadLag time.Duration
	// RootBlocks is the length of the prefix on which daemons that know nothing
	// agree on an engine.
	RootBlocks int
	// MaxIndexEntries bounds the belief of what engines cache.
	MaxIndexEntries int
	// NoImport keeps requests from importing a prefix's KV where that is cheaper.
	NoImport bool
}

func (o Options) withDefaults() Options {
	o.QueueLimit = cmp.Or(o.QueueLimit, DefaultQueueLimit)
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.LoadLag = cmp.Or(o.LoadLag, DefaultLoadLag)
	o.RootBlocks = cmp.Or(o.RootBlocks, DefaultRootBlocks)
	return o
}

// Scheduler places requests on back ends. It implements Policy.
type Scheduler struct {
	options  Options
	began    time.Time
	index    *belief.Index
	limits   *admission.Limits
	pipeline placement.Pipeline

	backends map[identity.BackendID]*backendState
	bySlot   []*backendState
	groups   map[eligible.Work]*group
	paces    map[eligible.Work]*estimate.Pace

	sequence uint64
	waiting  map[identity.RequestID]*job
	running  map[identity.RequestID]*job
	retrying map[identity.RequestID]retry

	// actions collects what the present call leads to.
	actions []Action
	// notices are for the other daemons.
	notices []Notice
	// reuseTold is when the other daemons were last told of a prefix's reuse.
	reuseTold map[reusedPrefix]float64
	// Scratch space of decisions.
	matches    []belief.Match
	candidates []placement.Candidate
	considered map[*backendState]bool
}

// retry keeps a request's place in its tenant's concurrency between attempts.
type retry struct {
	tenant identity.TenantName
	until  float64
}

var _ Policy = (*Scheduler)(nil)

// tieSeconds is the difference of costs that the estimates cannot tell apart.
const (
	tieSeconds = 0.002
	tieShare   = 0.05
)

// New makes a scheduler that knows no back ends yet.
func New(options Options) *Scheduler {
	options = options.withDefaults()
	return &Scheduler{
		options: options,
		index:   belief.New(belief.Options{MaxEntries: options.MaxIndexEntries}),
		limits:  admission.NewLimits(),
		pipeline: placement.Pipeline{
			Filters: []placement.Filter{eligible.NotExcluded{}},
			Scorer:  firsttoken.Scorer{},
			Picker:  leastcost.Picker{ToleranceSeconds: tieSeconds, ToleranceShare: tieShare},
		},
		backends:   make(map[identity.BackendID]*backendState),
		groups:     make(map[eligible.Work]*group),
		paces:      make(map[eligible.Work]*estimate.Pace),
		waiting:    make(map[identity.RequestID]*job),
		running:    make(map[identity.RequestID]*job),
		retrying:   make(map[identity.RequestID]retry),
		reuseTold:  make(map[reusedPrefix]float64),
		considered: make(map[*backendState]bool),
	}
}

// seconds is a time as seconds since the scheduler's first call.
func (s *Scheduler) seconds(now time.Time) float64 {
	if s.began.IsZero() {
		s.began = now
	}
	at := now.Sub(s.began).Seconds()
	s.index.SetTime(at)
	return at
}

// takeActions returns what the present call led to.
func (s *Scheduler) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// SetTenants implements Policy.
func (s *Scheduler) SetTenants(now time.Time, limits []TenantLimit) {
	shares := make([]admission.TenantShare, len(limits))
	for index, limit := range limits {
		shares[index] = admission.TenantShare(limit)
	}
	s.limits.SetShares(now, shares)
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(now time.Time, id identity.RequestID) []Action {
	if cancelled := s.waiting[id]; cancelled != nil {
		s.withdraw(cancelled)
		s.release(now, cancelled)
	}
	s.dropRetry(now, id)
	s.dispatchAll(s.seconds(now))
	return s.takeActions()
}

// Tick implements Policy.
func (s *Scheduler) Tick(now time.Time) []Action {
	at := s.seconds(now)
	s.refuseLate(now)
	s.rebalance(now)
	s.dispatchAll(at)
	s.expireRetries(now)
	return s.takeActions()
}
