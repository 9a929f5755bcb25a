package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/cachewatch"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/promptcache"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/regionchoice"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// What a back end may have under way before requests wait at the daemon.
const (
	// readingShare of the target latency is the most that may be read before a request.
	readingShare = 0.5
	// usualTokenTime is about how long a back end takes to read a token.
	usualTokenTime = 25 * time.Microsecond
	// shortShare of that is how long a prompt is that never waits: it holds nobody up.
	shortShare = 0.1
	// promptShare of a back end's memory is the most for prompts under way: the rest keeps parts
	// that others share. With 0.7 fewer requests are refused in an overload, and more shared parts
	// are dropped and read again, so that more answers come late. Where moves between back ends are
	// quick there is no difference.
	promptShare = 0.5
	// waitShare of its time is the longest that a request without a target latency waits at
	// the daemon.
	waitShare = 0.4
)

// Options are what a Relay works with.
type Options struct {
	Control  Control
	Pool     *backendpool.Pool
	Backends Backends
	Budgets  *Budgets
	Policy   Policy
	// Memory remembers where shared parts of prompts went.
	Memory *promptcache.Index
	// Stores returns what the store of prompt caches at an address is believed to hold.
	Stores func(address string) *cachewatch.Cache
	// Daemons returns how many daemons there may be.
	Daemons func() int
	// Loads knows what is under way at back ends where there are too many daemons to tell
	// all; nil is never.
	Loads Loads
	// Rooms knows what room other regions have; nil where all daemons tell all of their loads.
	Rooms Rooms
	// Limits keeps tenants within their limits; nil where there are none.
	Limits TenantLimits
	// BackendLimits keeps back ends within the limits that they name; nil keeps none.
	BackendLimits BackendLimits
	// Crashes knows under which requests back ends ended; nil is never.
	Crashes Crashes
	// Versions decides which versions of a service's software requests go to; nil is any.
	Versions Versions
	// Journal is told of each decision.
	Journal Journal
	// Now is the time by which spans are judged; nil means clock.Now.
	Now func() time.Time
}

// Relay serves requests. It is safe for use by several goroutines.
type Relay struct {
	options Options
	links   *linkBudgets
	waiting *waitingLists
	begins  *beginTimes
	// credit bounds what is sent to other regions.
	credit *regionchoice.Credit
}

// New makes a Relay.
func New(options Options) *Relay {
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Crashes == nil {
		options.Crashes = noCrashes{}
	}
	if options.BackendLimits == nil {
		options.BackendLimits = noBackendLimits{}
	}
	made := &Relay{options: options, links: newLinkBudgets(), waiting: newWaitingLists(options.Now), begins: newBeginTimes(), credit: regionchoice.NewCredit(rand.Float64)}
	options.Pool.OnFreed(made.waiting.wakeFirst)
	return made
}

// Serve answers one request. The context ends when the caller has left.
func (r *Relay) Serve(ctx context.Context, request *Request, caller Caller) {
	admitted, refusal := r.admit(request)
	if refusal != nil {
		r.options.Journal.Refused(request, r.arrival(request), *refusal)
		caller.Refuse(*refusal)
		return
	}
	r.options.Budgets.Request(admitted.match.Service, r.options.Now())
	request.Account.SetDeadline(admitted.deadline)
	run := newRun(r, admitted, caller)
	if admitted.deadline.IsZero() {
		run.serveWithinLimit(ctx)
		return
	}
	bounded, cancel := context.WithTimeoutCause(ctx, admitted.deadline.Sub(r.options.Now()), errDeadline)
	defer cancel()
	run.serveWithinLimit(bounded)
}

// reasonNoMemory is the reason of refusals of requests whose bodies can't be held now.
const reasonNoMemory = "no_memory"

// memoryRetryAfter is when a request comes back whose body can't be held now: slow callers are ended within that time.
const memoryRetryAfter = 2 * time.Second

// RefuseUnread notes that a request's body could not be held, and returns what its caller is to be told: it has not run.
func (r *Relay) RefuseUnread(request *Request) Refusal {
	refusal := Refusal{Kind: RefusalNotRun, Reason: reasonNoMemory, RetryAfter: memoryRetryAfter}
	r.options.Journal.Refused(request, r.arrival(request), refusal)
	return refusal
}

// TenantOf is the tenant that a key authenticates; empty where none is known to.
func (r *Relay) TenantOf(key string) identity.TenantName {
	state := r.options.Control.State()
	if state == nil {
		return ""
	}
	tenant := state.Table.Tenant(key)
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// arrival describes a request that was refused at its arrival.
func (r *Relay) arrival(request *Request) *Ending {
	state := r.options.Control.State()
	if state == nil {
		return nil
	}
	return &Ending{
		ConfigurationVersion: state.Table.Version(),
		ConfirmationAge:      r.options.Now().Sub(r.options.Control.ConfirmedAt()),
		Elapsed:              r.options.Now().Sub(request.ArrivedAt),
	}
}

// admission is a request with what was decided when it arrived.
type admission struct {
	request *Request
	state   *State
	match   routing.Match
	// tenant is nil for anonymous requests.
	tenant   *routing.Tenant
	deadline time.Time
	// fingerprint is the same for all tries of the request.
	fingerprint quarantine.Fingerprint
}

// admit finds the request's route and tenant in the present state.
func (r *Relay) admit(request *Request) (*admission, *Refusal) {
	state := r.options.Control.State()
	if state == nil {
		return nil, r.notRun("no_configuration")
	}
	age := r.options.Now().Sub(r.options.Control.ConfirmedAt())
	match, found := state.Table.Match(request.Host, request.Path)
	if !found {
		return nil, r.denial(age, RefusalNoRoute)
	}
	tenant := state.Table.Tenant(request.Key)
	if state.Table.RequiresKey() && !match.Route.AllowAnonymous {
		if age > r.options.Policy.ConfirmationForKeys {
			return nil, r.notRun("unconfirmed_configuration")
		}
		if tenant == nil {
			return nil, r.denial(age, RefusalUnknownKey)
		}
	}
	if age > r.options.Policy.ConfirmationForKeys {
		tenant = nil
	}
	return &admission{
		request:  request,
		state:    state,
		match:    match,
		tenant:   tenant,
		deadline: deadline(request, match.Route),

		fingerprint: fingerprint(request, tenant),
	}, nil
}

// fingerprint is of who asks for what.
func fingerprint(request *Request, tenant *routing.Tenant) quarantine.Fingerprint {
	name := ""
	if tenant != nil {
		name = string(tenant.Name)
	}
	return quarantine.FingerprintOf(name, request.Method, request.Host, request.Target, request.Body)
}

// denial refuses for good, or for now when the configuration may be outdated.
func (r *Relay) denial(age time.Duration, kind RefusalKind) *Refusal {
	if age > r.options.Policy.ConfirmationForDenials {
		return r.notRun("unconfirmed_configuration")
	}
	return &Refusal{Kind: kind, Reason: string(kind)}
}

func (r *Relay) notRun(reason string) *Refusal {
	return &Refusal{Kind: RefusalNotRun, Reason: reason, RetryAfter: r.options.Policy.RetryAfter}
}

// returnSpread is over which share of its wait a caller's return is drawn beyond it. Callers that are refused while
// all back ends back off would otherwise all come back in the moment in which the first one takes requests again.
const returnSpread = 0.5

// returnAfter is after how long callers are to come back, where all back ends of a service have asked for no
// requests or have no room under their limits; zero where not.
func (r *Relay) returnAfter(service identity.ServiceName) time.Duration {
	now := r.options.Now()
	backAt := r.options.Pool.BackAt(now, service)
	if backAt.IsZero() {
		return 0
	}
	wait := float64(backAt.Sub(now))
	return time.Duration(wait + rand.Float64()*returnSpread*wait)
}

// deadline is when the caller's patience or the route's timeout ends, whichever
// comes first; zero when neither is known.
func deadline(request *Request, route *routing.Route) time.Time {
	patience := request.Patience
	if patience == 0 || (route.Timeout > 0 && route.Timeout < patience) {
		patience = route.Timeout
	}
	if patience == 0 {
		return time.Time{}
	}
	return request.ArrivedAt.Add(patience)
}

// query says which back ends will do for an admitted request.
func (r *Relay) query(admitted *admission, exclude []identity.BackendID) backendpool.Query {
	query := backendpool.Query{Service: admitted.match.Service, Exclude: exclude}
	prompt := admitted.request.Prompt
	if prompt == nil {
		return query
	}
	query.Model = prompt.Model
	query.Home = home(admitted)
	query.BeginBy = func(version uint64) time.Time { return r.beginBound(prompt.Model, version).At }
	total, own := promptTokens(prompt.Parts)
	query.SharedTokens, query.OwnTokens = total-own, own
	query.OutputTokens = prompt.OutputTokens
	query.Cached = func(version uint64) backendpool.Cached { return r.cached(admitted, version, "") }
	return query
}

// limits bound what the back end of a request may have under way.
func limits(admitted *admission) backendpool.Limits {
	var bound backendpool.Limits
	if admitted.request.Prompt == nil {
		return bound
	}
	target := admitted.match.Route.TargetLatency
	total, _ := promptTokens(admitted.request.Prompt.Parts)
	reading := readingShare * float64(target) / float64(usualTokenTime)
	if target > 0 && float64(total) > shortShare*reading {
		bound.Reading = reading
	}
	bound.Places = true
	if bound.Reading == 0 {
		return bound
	}
	if service := admitted.state.Table.Service(admitted.match.Service); service != nil && service.Engine != nil {
		bound.Tokens = promptShare * float64(service.Engine.CapacityTokens)
	}
	return bound
}

// beginBound is until when a request may begin on a version of a model's weights. It
// is taken from the present state, which may be newer than the request's own.
func (r *Relay) beginBound(model identity.ModelName, version uint64) BeginBound {
	control := r.options.Control
	return control.State().BeginBound(model, version, control.SteadySince(), r.options.Policy.VersionGrace)
}

// home is the hash of the deepest part that other requests share, or zero when
// the prompt has none.
func home(admitted *admission) uint64 {
	parts := admitted.request.Prompt.Parts
	if len(parts) < 2 {
		return 0
	}
	shared := parts[len(parts)-2].ID
	if admitted.tenant != nil && admitted.tenant.Isolated {
		shared += "/" + string(admitted.tenant.Name)
	}
	return max(rendezvous.Key(shared), 1)
}

// priority is the rank of an admitted request; 0 goes first.
func (a *admission) priority() int {
	if a.tenant != nil && a.tenant.Priority != nil {
		return *a.tenant.Priority
	}
	return a.match.Route.Priority
}

// dispatch describes the sending of an admitted request to a ticket's back end.
func (r *Relay) dispatch(admitted *admission, ticket *backendpool.Ticket, resumeAfter string) *Dispatch {
	dispatch := &Dispatch{
		Request:     admitted.request,
		Backend:     ticket.Backend.ID,
		Address:     ticket.Backend.Address,
		Priority:    admitted.priority(),
		ResumeAfter: resumeAfter,
	}
	if !admitted.deadline.IsZero() {
		// Zero would be no bound: a millisecond at least.
		dispatch.Patience = max(admitted.deadline.Sub(r.options.Now()), time.Millisecond)
	}
	if tenant := admitted.tenant; tenant != nil {
		dispatch.Tenant = tenant.Name
	}
	if admitted.request.Prompt != nil {
		r.describeCache(admitted, ticket, dispatch)
	}
	return dispatch
}

// resultOf tells the pool what a failed sending says about the back end.
func resultOf(evidence outcome.Evidence) backendpool.Result {
	if evidence == outcome.Unreached {
		return backendpool.ResultUnreached
	}
	return backendpool.ResultCut
}
