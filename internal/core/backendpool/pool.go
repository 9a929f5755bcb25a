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

// Query is what a pick depends on.
type Query struct {
	Service identity.ServiceName
	// Home is the hash of the prompt's deepest shared part; zero has no home.
	Home uint64
	// Model is empty for requests without one.
	Model identity.ModelName
	// BeginBy tells until when a request may begin on a version of the model's
	// weights, the zero time for no bound; nil sets no bounds.
	BeginBy func(version uint64) time.Time
	// Exclude are back ends that have failed this request.
	Exclude []identity.BackendID
	// SharedTokens of the prompt are shared with other requests, OwnTokens are not.
	SharedTokens, OwnTokens int
	// OutputTokens is how long the answer is expected to be; zero is unknown.
	OutputTokens int
	// Cached says where the shared parts are, as made under a version of the
	// weights; nil knows nothing.
	Cached func(version uint64) Cached
	// Limits bound what a back end may have under way to take the request.
	Limits Limits
	// CandidateKeys are the hashes of the IDs of the back ends to choose from; nil is all.
	CandidateKeys []uint64
	// Software is the version of the service's software that a back end must run; empty is
	// any.
	Software identity.SoftwareVersion
	// AllowedKeys are the hashes of the IDs of the back ends that the request may go to; nil is all.
	AllowedKeys []uint64
	// ExcludeLimited leaves out the back ends that have named a limit of requests.
	ExcludeLimited bool
	// Trial is set for requests that try a version: they are spread evenly, see chooseForTrial.
	// Back ends that can't be reached or are leaving are left out even while no other will do;
	// those that are doubted since they failed requests are taken then, as the evidence against a
	// bad version comes from these.
	Trial bool
	// Region is where the back end must be; empty is anywhere.
	Region identity.Region
	// FastCrossRegionMoves is set where taking a token's cache from another region is quicker than reading.
	FastCrossRegionMoves bool
	// farCached says where the parts are in all regions.
	farCached func(version uint64) Cached
	// newest is the newest version that any back end which would do holds.
	newest uint64
	// home is the prompt's home where it was found without looking at all back ends.
	home *entry
}

// Pool is safe for use by several goroutines.
type Pool struct {
	mutex    sync.Mutex
	zone     identity.Zone
	services map[identity.ServiceName]*group
	// byRegion are the same by their regions; region is the daemon's own.
	byRegion  map[regional]*group
	region    identity.Region
	distances distance.Map
	byID      map[identity.BackendID]*entry
	// said is what lives have said of themselves in answers, listed or not.
	said map[identity.BackendID]*said
	// byKey are the same by the hashes of their IDs.
	byKey map[uint64]*entry
	// byNameKey are the same by the hashes of their names.
	byNameKey map[uint64]*entry
	// byAddress are the same by their addresses: another one may be listed there before the one that has ended is gone.
	byAddress map[string][]*entry
	// newest are the newest versions of models' weights that any of them was known to hold.
	newest map[identity.ModelName]uint64
	// seed draws what this daemon does and others don't.
	seed uint64
	// draws counts the scopes that were drawn, and visits the back ends that were looked at for queries and updates.
	draws, visits uint64
	// watched are the back ends that may have to be probed: those that have requests of this daemon under way, and those
	// that are suspected.
	watched map[*entry]bool
	// loaded are those at which others were told to have something under way.
	loaded map[*entry]bool
	// departed are those that are no longer listed and have requests of this daemon under way.
	departed map[*entry]bool
	// touched are the back ends at which what this daemon has under way has changed, and
	// changed gets a value at each change.
	touched map[*entry]bool
	changed chan struct{}
	// refusalAllowance is how many more requests may be refused at refusing back ends that are tried again.
	refusalAllowance float64
	// silenceProbes bounds the probes of silent back ends.
	silenceProbes *rate.Limiter
	// findings wait to be told to the homes of the back ends.
	findings []Finding
	// limitsToTell are the back ends whose limits of requests wait to be told, by the hashes of their IDs.
	limitsToTell map[uint64]bool
	// doubts wait to be told to other daemons.
	doubts []FailureReport
	// updates counts the updates of the list.
	updates   uint64
	placement Placement
	// daemons is how many daemons choose among the same back ends.
	daemons int
	// othersWhole is set while all other daemons tell their loads. Others are known of the back
	// ends that were asked for alone (Query.Among).
	othersWhole bool
	// leaving says which back ends are taken out of use on purpose, by the hashes of
	// their IDs.
	leaving map[uint64]leavingState
	// freed is called, without the mutex, when a request that found all back ends busy
	// may find one free.
	freed func()
	// checked is called, without the mutex, when it shows whether a back end can be reached.
	checked func(id identity.BackendID, reached bool)
	// suspected is called, without the mutex, when a back end is to be probed at once.
	suspected func()
	// listedAnew is called, without the mutex, with each change of the list.
	listedAnew func(changed []Backend, gone []identity.BackendID)
	// ended is called, without the mutex, with the address of a back end that has ended.
	ended func(address string)
}

// New makes an empty pool for a daemon in a zone.
func New(zone identity.Zone) *Pool {
	return &Pool{
		zone:     zone,
		seed:     rand.Uint64(),
		services: map[identity.ServiceName]*group{},
		byRegion: map[regional]*group{},
		byID:     map[identity.BackendID]*entry{},
		said:     map[identity.BackendID]*said{},
		freed:    func() {},
		checked:  func(identity.BackendID, bool) {},

		suspected:  func() {},
		ended:      func(string) {},
		listedAnew: func([]Backend, []identity.BackendID) {},
		byKey:      map[uint64]*entry{},
		byNameKey:  map[uint64]*entry{},
		byAddress:  map[string][]*entry{},
		newest:     map[identity.ModelName]uint64{},
		watched:    map[*entry]bool{},
		loaded:     map[*entry]bool{},
		departed:   map[*entry]bool{},
		touched:    map[*entry]bool{},
		changed:    make(chan struct{}, 1),

		limitsToTell: map[uint64]bool{},

		refusalAllowance: trialBurst,

		silenceProbes: rate.NewLimiter(silenceProbeRate, silenceProbeBurst),
	}
}

// OnCapacityFreed sets what is called when a request that found all back ends busy may find
// one free. It must be set before the pool is used, and must not block.
func (p *Pool) OnCapacityFreed(freed func()) { p.freed = freed }

// SetDaemons changes how many daemons choose among the same back ends.
func (p *Pool) SetDaemons(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.daemons = count
}

// Change is what an update did.
type Change struct {
	Added, Removed, Draining []identity.BackendID
}

// Backends returns a copy of the list. Those that say themselves that they drain are draining.
func (p *Pool) Backends() []Backend {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]Backend, 0, len(p.byID))
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		list = append(list, p.byID[id].described())
	}
	return list
}

// Count returns how many back ends there are, and how many of them are taken out
// or leaving.
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

// Pick takes a place at a back end for a request, or returns nil when none will do.
func (p *Pool) Pick(now time.Time, query Query) *Ticket {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pick(now, query)
}

// PickOrExplain takes a place at a back end, or returns nil and why none will do. Both are
// of one moment: a back end that becomes free in between would be in neither.
func (p *Pool) PickOrExplain(now time.Time, query Query) (*Ticket, Shortage) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ticket := p.pick(now, query); ticket != nil {
		return ticket, Shortage{}
	}
	return nil, p.shortage(now, query)
}

// pick is for callers that hold the mutex.
func (p *Pool) pick(now time.Time, query Query) *Ticket {
	query = query.remembered()
	scope := p.scope(now, query)
	candidates, _ := p.candidates(now, query, scope)
	if len(candidates) == 0 {
		return nil
	}
	query.home = scope.home
	query.newest = p.newestVersion(now, query)
	query = p.near(query).remembered()
	picked, work := p.choose(candidates, query)
	waiting := picked.waiting()
	tokens := query.SharedTokens + query.OwnTokens
	if picked.inFlight == 0 {
		picked.suspicion.quietSince = now
	}
	picked.inFlight++
	p.watched[picked] = true
	picked.reading += work
	picked.tokens += tokens
	ticket := &Ticket{
		Backend: picked.backend, Version: picked.version(query.Model), Source: p.source(now, query, picked),
		Key: picked.key, Candidates: len(candidates), Waiting: waiting, Limit: picked.requestLimit(), pickedAt: now, entry: picked, pool: p, work: work, tokens: tokens, mostTokens: query.Limits.Tokens, reading: true,
	}
	if picked.tickets == nil {
		picked.tickets = map[*Ticket]bool{}
	}
	picked.tickets[ticket] = true
	picked.picked(ticket)
	p.noteTrial(picked, ticket)
	p.touch(picked)
	return ticket
}

// InFlight is how many requests of all daemons are under way at a back end.
func (p *Pool) InFlight(id identity.BackendID) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byID[id]
	if found == nil {
		return 0
	}
	return float64(found.inFlight) + found.others.InFlight
}
