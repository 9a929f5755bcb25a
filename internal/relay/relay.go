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
	"github.com/lotusward/lotusward/internal/core/regionchoice"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Bounds on a backend's load beyond which requests wait at the daemon.
const (
	// maxPrefillShare is the share of the target latency that the prompts read before a request
	// may take.
	maxPrefillShare = 0.5
	// prefillTokenTime is roughly how long a backend takes to read one prompt token.
	prefillTokenTime = 25 * time.Microsecond
	// shortPromptShare is the share of the maxPrefillShare token count up to which a prompt never
	// waits, because it delays nobody.
	shortPromptShare = 0.1
	// promptMemoryShare is the share of a backend's memory that the prompts in flight may occupy;
	// the rest caches shared parts. With 0.7, fewer requests are refused under overload, but more
	// shared parts are evicted and recomputed, so that more answers are late. Where transfers
	// between backends are fast, the value makes no difference.
	promptMemoryShare = 0.5
	// maxWaitShare is the share of its time limit that a request without a target latency may wait
	// at the daemon.
	maxWaitShare = 0.4
)

// Options configures a Relay.
type Options struct {
	Control  Control
	Pool     *backendpool.Pool
	Backends Backends
	Budgets  *RetryBudgets
	Policy   Policy
	// Memory records which backends and stores hold shared parts of prompts.
	Memory *promptcache.Index
	// Stores returns the believed contents of the prompt cache store at an address.
	Stores func(address string) *cachewatch.Cache
	// Daemons returns the assumed number of daemons.
	Daemons func() int
	// Loads refreshes the load of backends when there are too many daemons to broadcast it. If
	// nil, loads are never refreshed.
	Loads Loads
	// Rooms provides the free capacity of other regions. It is nil if all daemons broadcast all of
	// their loads.
	Rooms Rooms
	// Limits enforces the limits of tenants; nil means no limits.
	Limits TenantLimits
	// BackendLimits enforces the request limits that backends advertise; nil enforces none.
	BackendLimits BackendLimits
	// Crashes tracks which requests were in flight when backends crashed; nil disables the
	// tracking.
	Crashes Crashes
	// Versions selects the software versions of a service that requests go to; nil allows any.
	Versions Versions
	// StreamOrigins remembers which software version began a stream; nil remembers none.
	StreamOrigins StreamOrigins
	// Observer is notified of each decision.
	Observer Observer
	// Now is the clock for deadlines and durations; nil means clock.Now.
	Now func() time.Time
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	options        Options
	links          *linkBudgets
	waitLists      *waitLists
	startLatencies *startLatencies
	// credit bounds the requests sent to other regions.
	credit *regionchoice.Credit
}

// New returns a Relay with the given options.
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
	made := &Relay{options: options, links: newLinkBudgets(), waitLists: newWaitLists(options.Now), startLatencies: newStartLatencies(), credit: regionchoice.NewCredit(rand.Float64)}
	options.Pool.OnCapacityFreed(made.waitLists.wakeFirst)
	return made
}

// Serve answers one request. The context ends when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, request *Request, caller Caller) {
	admitted, refusal := r.admit(request)
	if refusal != nil {
		r.options.Observer.Refused(request, r.earlyCompletion(request), *refusal)
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

// reasonNoMemory is the refusal reason if there is no memory for a request's body.
const reasonNoMemory = "no_memory"

// memoryRetryAfter is the retry delay for requests refused with reasonNoMemory. Slow callers are
// ended within that time, which frees their memory.
const memoryRetryAfter = 2 * time.Second

// RefuseUnread records that there was no memory for a request's body and returns the refusal for
// its caller. The request has not run.
func (r *Relay) RefuseUnread(request *Request) Refusal {
	refusal := Refusal{Kind: RefusalNotRun, Reason: reasonNoMemory, RetryAfter: memoryRetryAfter}
	r.options.Observer.Refused(request, r.earlyCompletion(request), refusal)
	return refusal
}

// TenantOf returns the tenant that a key authenticates, or an empty name if the key is unknown.
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

// earlyCompletion describes a request that was refused on arrival.
func (r *Relay) earlyCompletion(request *Request) *Completion {
	state := r.options.Control.State()
	if state == nil {
		return nil
	}
	return &Completion{
		ConfigurationVersion: state.Table.Version(),
		ConfirmationAge:      r.options.Now().Sub(r.options.Control.ConfirmedAt()),
		Elapsed:              r.options.Now().Sub(request.ArrivedAt),
	}
}

// retryAfterJitter is the maximum random extension of a retry delay, as a share of the delay.
// Without it, callers refused while all backends back off would all return at the moment when the
// first backend accepts requests again.
const retryAfterJitter = 0.5

// backoffRetryAfter returns the retry delay for callers if all backends of a service have asked
// for no requests or have no capacity under their rate limits, and zero otherwise.
func (r *Relay) backoffRetryAfter(service identity.ServiceName) time.Duration {
	now := r.options.Now()
	backAt := r.options.Pool.NextAvailableAt(now, service)
	if backAt.IsZero() {
		return 0
	}
	wait := float64(backAt.Sub(now))
	return time.Duration(wait + rand.Float64()*retryAfterJitter*wait)
}

// query selects the backends that are eligible for an admitted request.
func (r *Relay) query(admitted *admission, exclude []identity.BackendID) backendpool.Query {
	query := backendpool.Query{Service: admitted.match.Service, Exclude: exclude}
	prompt := admitted.request.Prompt
	if prompt == nil {
		return query
	}
	query.Model = prompt.Model
	// Without known weights the prompt would have no cache salt.
	query.WeightsRequired = admitted.state.Table.DeclaresModel(admitted.match.Service, prompt.Model)
	query.Home = affinityKey(admitted)
	query.BeginBy = func(version uint64) time.Time { return r.beginBound(prompt.Model, version).At }
	total, own := promptTokens(prompt.Parts)
	query.SharedTokens, query.OwnTokens = total-own, own
	query.OutputTokens = prompt.OutputTokens
	query.Cached = func(version uint64) backendpool.Cached { return r.cached(admitted, version, "") }
	return query
}

// loadLimits bounds the load that the backend of a request may have.
func loadLimits(admitted *admission) backendpool.Limits {
	var bound backendpool.Limits
	if admitted.request.Prompt == nil {
		return bound
	}
	target := admitted.match.Route.TargetLatency
	total, _ := promptTokens(admitted.request.Prompt.Parts)
	reading := maxPrefillShare * float64(target) / float64(prefillTokenTime)
	if target > 0 && float64(total) > shortPromptShare*reading {
		bound.Reading = reading
	}
	bound.EnforceSlots = true
	if bound.Reading == 0 {
		return bound
	}
	if service := admitted.state.Table.Service(admitted.match.Service); service != nil && service.Engine != nil {
		bound.Tokens = promptMemoryShare * float64(service.Engine.CapacityTokens)
	}
	return bound
}

// beginBound returns until when a request may start on a version of a model's weights. It uses the
// current state, which may be newer than the one the request was admitted with.
func (r *Relay) beginBound(model identity.ModelName, version uint64) BeginBound {
	control := r.options.Control
	return control.State().BeginBound(model, version, control.SteadySince(), r.options.Policy.VersionGrace)
}

// affinityKey returns the hash of the longest prefix shared with other requests, or zero if the
// prompt has none.
func affinityKey(admitted *admission) uint64 {
	parts := admitted.request.Prompt.Parts
	if len(parts) < 2 {
		return 0
	}
	shared := parts[len(parts)-2].ID
	if isolated := admitted.sender.isolatedTenant(); isolated != "" {
		shared += "/" + string(isolated)
	}
	return max(rendezvous.Key(shared), 1)
}

// dispatch describes one attempt to send an admitted request to the ticket's backend.
func (r *Relay) dispatch(admitted *admission, ticket *backendpool.Ticket, resumeAfter string) *Dispatch {
	dispatch := &Dispatch{
		Request:     admitted.request,
		Backend:     ticket.Backend.ID,
		Address:     ticket.Backend.Address,
		Priority:    admitted.priority(),
		ResumeAfter: resumeAfter,

		Configuration: admitted.state.Table.Version(),
	}
	if !admitted.deadline.IsZero() {
		// at least a millisecond, because zero would mean no bound
		dispatch.Timeout = max(admitted.deadline.Sub(r.options.Now()), time.Millisecond)
	}
	dispatch.Tenant = admitted.sender.tenantName()
	if admitted.request.Prompt != nil {
		r.describeCache(admitted, ticket, dispatch)
	}
	return dispatch
}

// resultOf maps the evidence of a failed send to the result reported to the pool.
func resultOf(evidence outcome.Evidence) backendpool.Result {
	if evidence == outcome.Unreached {
		return backendpool.ResultUnreachable
	}
	return backendpool.ResultConnectionLost
}
