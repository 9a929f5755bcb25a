package backendpool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Query holds the parameters of a pick.
type Query struct {
	Service identity.ServiceName
	// Home is the hash of the prompt's longest shared prefix; zero means that the prompt has no home.
	Home uint64
	// Model is empty for requests without a model.
	Model identity.ModelName
	// WeightsRequired excludes back ends that are not known to hold the model.
	WeightsRequired bool
	// BeginBy returns the time by which a request must start on a version of the model's weights; the zero time
	// means no bound, as does a nil function.
	BeginBy func(version uint64) time.Time
	// Exclude lists the back ends that have failed this request.
	Exclude []identity.BackendID
	// SharedTokens is the number of prompt tokens shared with other requests, OwnTokens the number of the others.
	SharedTokens, OwnTokens int
	// OutputTokens is the expected output length; zero if unknown.
	OutputTokens int
	// Cached returns where the shared prefixes are cached for a version of the weights. Nil means that nothing is
	// known.
	Cached func(version uint64) Cached
	// Limits bound the load of a back end for it to be picked.
	Limits Limits
	// CandidateKeys are the hashes of the IDs of the back ends to choose among, such as a sample; nil means all.
	CandidateKeys []uint64
	// Software is the version of the service's software that the back end must run; empty means any, unless
	// ExactSoftware is set.
	Software      identity.SoftwareVersion
	ExactSoftware bool
	// OtherSoftware lists further versions that the back end may run.
	OtherSoftware []identity.SoftwareVersion
	// ReservedSoftware lists versions at whose back ends requests wait that may run at these alone, see entry.full.
	ReservedSoftware []identity.SoftwareVersion
	// AllowedKeys are the hashes of the IDs of the back ends that may serve the request; nil means all.
	AllowedKeys []uint64
	// ExcludeLimited excludes back ends that have stated a request limit.
	ExcludeLimited bool
	// Trial is set for requests that test a software version. They are spread evenly, see chooseForTrial.
	// Unreachable or leaving back ends are excluded even if there are no others. Those ejected for failed requests
	// are used as a last resort, because they provide the evidence against a bad version.
	Trial bool
	// Region is the region that the back end must be in; empty means any.
	Region identity.Region
	// FastCrossRegionMoves is set if transferring a token's cache from another region is faster than computing it.
	FastCrossRegionMoves bool
	// cachedEverywhere returns the cached prefixes in all regions.
	cachedEverywhere func(version uint64) Cached
	// newest is the newest version of the weights at any suitable back end.
	newest uint64
	// home is the prompt's home if it was found without examining all back ends.
	home *entry
}

// Pool tracks the back ends of all services and picks one for each request. It is safe for concurrent use.
type Pool struct {
	mutex    sync.Mutex
	zone     identity.Zone
	services map[identity.ServiceName]*group
	// byRegion groups the same back ends by region; region is the daemon's own.
	byRegion  map[regionKey]*group
	region    identity.Region
	distances distance.Map
	byID      map[identity.BackendID]*entry
	// notices are those that incarnations have sent in responses, listed or not.
	notices map[identity.BackendID]*notices
	// byKey indexes the entries by the hashes of their IDs.
	byKey map[uint64]*entry
	// byNameKey indexes them by the hashes of their names.
	byNameKey map[uint64]*entry
	// byAddress indexes them by address. A new back end may be listed at an address before the ended one is
	// removed.
	byAddress map[string][]*entry
	// newest holds the newest version of each model's weights that any back end is known to have held.
	newest map[identity.ModelName]uint64
	// seed makes this daemon's random selection of back ends to probe differ from that of others.
	seed uint64
	// draws counts the samples drawn, and visits the back ends examined for queries and updates.
	draws, visits uint64
	// watched are the back ends that may have to be probed: those with requests of this daemon in flight and those
	// suspected of having failed.
	watched map[*entry]bool
	// peerLoaded are those for which other daemons have reported load.
	peerLoaded map[*entry]bool
	// departed are unlisted back ends with requests of this daemon in flight.
	departed map[*entry]bool
	// loadChanged are the back ends on which this daemon's load has changed, and changed is signaled at each
	// change.
	loadChanged map[*entry]bool
	changed     chan struct{}
	// refusalAllowance is the remaining budget for requests that are refused in trials of refusing back ends.
	refusalAllowance float64
	// silenceProbes limits the rate of probes of silent back ends.
	silenceProbes *rate.Limiter
	// findings are queued for the homes of the back ends.
	findings []Finding
	// pendingLimits are the back ends whose request limits are queued for other daemons, by the hashes of their
	// IDs.
	pendingLimits map[uint64]bool
	// failureReports are queued for other daemons.
	failureReports []FailureReport
	// updates counts the updates of the list.
	updates   uint64
	placement Placement
	// daemons is the number of daemons that choose among the same back ends.
	daemons int
	// othersComplete is set while all other daemons report their loads. Otherwise their loads are known only for
	// the back ends that were polled (Query.CandidateKeys).
	othersComplete bool
	// leaving holds the back ends that are being taken out of service, by the hashes of their IDs.
	leaving map[uint64]leavingState
	// onCapacityFreed is called, without the mutex, when a request that found all back ends busy may find a free
	// one.
	onCapacityFreed func()
	// onReachability is called, without the mutex, when it is learned whether a back end is reachable.
	onReachability func(id identity.BackendID, reached bool)
	// onProbeRequested is called, without the mutex, when a back end is to be probed at once.
	onProbeRequested func()
	// onListChanged is called, without the mutex, once a call of Update or Apply has changed the list.
	onListChanged func(changed []Backend, gone []identity.BackendID)
	// ended is called, without the mutex, with the address of each back end that has ended.
	ended func(address string)
}

// New returns an empty pool for a daemon in the given zone.
func New(zone identity.Zone) *Pool {
	return &Pool{
		zone:            zone,
		seed:            rand.Uint64(),
		services:        map[identity.ServiceName]*group{},
		byRegion:        map[regionKey]*group{},
		byID:            map[identity.BackendID]*entry{},
		notices:         map[identity.BackendID]*notices{},
		onCapacityFreed: func() {},
		onReachability:  func(identity.BackendID, bool) {},

		onProbeRequested: func() {},
		ended:            func(string) {},
		onListChanged:    func([]Backend, []identity.BackendID) {},
		byKey:            map[uint64]*entry{},
		byNameKey:        map[uint64]*entry{},
		byAddress:        map[string][]*entry{},
		newest:           map[identity.ModelName]uint64{},
		watched:          map[*entry]bool{},
		peerLoaded:       map[*entry]bool{},
		departed:         map[*entry]bool{},
		loadChanged:      map[*entry]bool{},
		changed:          make(chan struct{}, 1),

		pendingLimits: map[uint64]bool{},

		refusalAllowance: trialBurst,

		silenceProbes: rate.NewLimiter(silenceProbeRate, silenceProbeBurst),
	}
}

// OnCapacityFreed sets the callback for when a request that found all back ends busy may find a free one. It must
// be set before the pool is used, and must not block.
func (p *Pool) OnCapacityFreed(callback func()) { p.onCapacityFreed = callback }

// SetDaemons sets the number of daemons that choose among the same back ends.
func (p *Pool) SetDaemons(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.daemons = count
}

// Change lists the effects of an update of the list.
type Change struct {
	Added, Removed, Draining []identity.BackendID
}

// Backends returns a copy of the list, in which those that have announced draining are marked as draining.
func (p *Pool) Backends() []Backend {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]Backend, 0, len(p.byID))
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		list = append(list, p.byID[id].described())
	}
	return list
}

// Count returns the number of back ends, and of those that are ejected or draining.
func (p *Pool) Count(now time.Time) (total, out int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, found := range p.byID {
		if found.isDraining() || found.ejected(now) {
			out++
		}
	}
	return len(p.byID), out
}

// Pick reserves a back end for a request. It returns nil if none is suitable.
func (p *Pool) Pick(now time.Time, query Query) *Ticket {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pick(now, query)
}

// PickOrExplain reserves a back end, or returns nil and the reasons why none is suitable. Both reflect the same
// moment: otherwise a back end freed in between would appear in neither.
func (p *Pool) PickOrExplain(now time.Time, query Query) (*Ticket, Shortage) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ticket := p.pick(now, query); ticket != nil {
		return ticket, Shortage{}
	}
	return nil, p.shortage(now, query)
}

// pick implements Pick. The caller holds the mutex.
func (p *Pool) pick(now time.Time, query Query) *Ticket {
	query = query.memoized()
	scope := p.scope(now, query)
	candidates, _ := p.candidates(now, query, scope)
	if len(candidates) == 0 {
		return nil
	}
	query.home = scope.home
	query.newest = p.newestVersion(now, query)
	query = p.withRegionalCache(query).memoized()
	picked, work := p.choose(candidates, query)
	waiting := picked.waiting()
	tokens := query.SharedTokens + query.OwnTokens
	if picked.inFlight == 0 {
		picked.probeState.silentSince = now
	}
	picked.inFlight++
	p.watched[picked] = true
	picked.reading += work
	picked.tokens += tokens
	ticket := &Ticket{
		Backend: picked.backend, Version: picked.version(query.Model), Source: p.source(now, query, picked),
		Key: picked.key, Candidates: len(candidates), Waiting: waiting, Limit: picked.requestLimit(), pickedAt: now, entry: picked, pool: p, work: work, tokens: tokens, maxTokens: query.Limits.Tokens, reading: true,
	}
	if picked.tickets == nil {
		picked.tickets = map[*Ticket]bool{}
	}
	picked.tickets[ticket] = true
	picked.picked(ticket)
	p.noteTrial(picked, ticket)
	p.markLoadChanged(picked)
	return ticket
}

// InFlight returns the number of requests of all daemons in flight at a back end.
func (p *Pool) InFlight(id identity.BackendID) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil {
		return 0
	}
	return float64(found.inFlight) + found.others.InFlight
}
