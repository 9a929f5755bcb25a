// Package baseline holds the simple placement policies against which the
// scheduler is measured, and a clairvoyant one that bounds what is possible.
// They send every request at once; queues form in the engines.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// retryAfter is the pause that refusals ask for.
const retryAfter = time.Second

// chooser picks one of the eligible back ends; there is at least one.
type chooser interface {
	choose(request *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend
}

// policy is what the baselines have in common.
type policy struct {
	chooser     chooser
	backends    []scheduler.Backend
	outstanding map[identity.BackendID]int
}

var _ scheduler.Policy = (*policy)(nil)

func newPolicy(chooser chooser) *policy {
	return &policy{chooser: chooser, outstanding: make(map[identity.BackendID]int)}
}

// SetBackends implements scheduler.Policy.
func (p *policy) SetBackends(_ time.Time, backends []scheduler.Backend) []scheduler.Action {
	p.backends = backends
	return nil
}

// SetTenants implements scheduler.Policy.
func (p *policy) SetTenants(time.Time, []scheduler.TenantLimit) {}

// Arrive implements scheduler.Policy.
func (p *policy) Arrive(_ time.Time, request scheduler.Request) []scheduler.Action {
	eligible := p.eligible(&request)
	if len(eligible) == 0 {
		reason := scheduler.ReasonNoBackend
		if len(request.Excluded) > 0 {
			reason = scheduler.ReasonNoOtherBackend
		}
		return []scheduler.Action{scheduler.Refuse{RequestID: request.ID, Reason: reason, RetryAfter: retryAfter}}
	}
	chosen := p.chooser.choose(&request, eligible)
	p.outstanding[chosen.ID]++
	return []scheduler.Action{scheduler.Start{RequestID: request.ID, Backend: chosen}}
}

func (p *policy) eligible(request *scheduler.Request) []scheduler.Backend {
	var eligible []scheduler.Backend
	for _, backend := range p.backends {
		if backend.Leaving || backend.Kind != request.Kind || slices.Contains(request.Excluded, backend.ID) {
			continue
		}
		if request.Kind == identity.KindEngine && !serves(&backend, request) {
			continue
		}
		eligible = append(eligible, backend)
	}
	return eligible
}

func serves(backend *scheduler.Backend, request *scheduler.Request) bool {
	return slices.ContainsFunc(backend.Models, func(loaded enginewire.LoadedModel) bool {
		return loaded.Ready && loaded.Model == request.Model && loaded.Version == request.Version
	})
}

// Cancel implements scheduler.Policy.
func (p *policy) Cancel(time.Time, identity.RequestID) []scheduler.Action { return nil }

// FirstToken implements scheduler.Policy.
func (p *policy) FirstToken(time.Time, scheduler.FirstToken) []scheduler.Action { return nil }

// Finish implements scheduler.Policy.
func (p *policy) Finish(_ time.Time, report scheduler.Finish) []scheduler.Action {
	p.outstanding[report.Backend]--
	return nil
}

// ObserveLoad implements scheduler.Policy.
func (p *policy) ObserveLoad(time.Time, identity.BackendID, identity.Incarnation, enginewire.Load) {}

// ObserveCacheEvents implements scheduler.Policy.
func (p *policy) ObserveCacheEvents(time.Time, identity.BackendID, enginewire.CacheEventBatch) {}

// Tick implements scheduler.Policy.
func (p *policy) Tick(time.Time) []scheduler.Action { return nil }

// random draws.
type random struct{ source *rand.Rand }

// NewRandom makes the policy that draws a back end for each request.
func NewRandom(seed uint64) scheduler.Policy {
	return newPolicy(random{source: rand.New(rand.NewPCG(seed, 0))})
}

func (r random) choose(_ *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend {
	return eligible[r.source.IntN(len(eligible))]
}

// roundRobin counts for each kind of back end.
type roundRobin struct {
	next map[identity.BackendKind]uint64
}

// NewRoundRobin makes the policy that takes back ends in turn.
func NewRoundRobin(seed uint64) scheduler.Policy {
	next := map[identity.BackendKind]uint64{identity.KindEngine: seed >> 8, identity.KindApp: seed >> 8}
	return newPolicy(roundRobin{next: next})
}

func (r roundRobin) choose(request *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend {
	r.next[request.Kind]++
	return eligible[r.next[request.Kind]%uint64(len(eligible))]
}

// leastOutstanding picks by the requests that this daemon has sent and not got back.
type leastOutstanding struct {
	policy *policy
	source *rand.Rand
}

// NewLeastOutstanding makes the policy that takes the back end with the fewest
// outstanding requests of this daemon, a random one of several.
func NewLeastOutstanding(seed uint64) scheduler.Policy {
	made := newPolicy(nil)
	made.chooser = leastOutstanding{policy: made, source: rand.New(rand.NewPCG(seed, 1))}
	return made
}

func (l leastOutstanding) choose(_ *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend {
	best := eligible[0]
	ties := 0
	for _, candidate := range eligible {
		difference := l.policy.outstanding[candidate.ID] - l.policy.outstanding[best.ID]
		if difference < 0 {
			best, ties = candidate, 1
			continue
		}
		if difference == 0 {
			ties++
			if l.source.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// rendezvousRoot hashes the first block of the prompt, and falls back to the
// least outstanding for pages.
type rendezvousRoot struct{ pages chooser }

// NewRendezvous makes the policy that ranks engines by rendezvous hashing on the
// prompt's first block.
func NewRendezvous(seed uint64) scheduler.Policy {
	made := newPolicy(nil)
	pages := leastOutstanding{policy: made, source: rand.New(rand.NewPCG(seed, 1))}
	made.chooser = rendezvousRoot{pages: pages}
	return made
}

func (r rendezvousRoot) choose(request *scheduler.Request, eligible []scheduler.Backend) scheduler.Backend {
	if len(request.Chain) == 0 {
		return r.pages.choose(request, eligible)
	}
	root := uint64(request.Chain[0])
	best := eligible[0]
	for _, candidate := range eligible[1:] {
		if rendezvous.Score(root, string(candidate.ID)) > rendezvous.Score(root, string(best.ID)) {
			best = candidate
		}
	}
	return best
}
