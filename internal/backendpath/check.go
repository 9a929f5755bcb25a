package backendpath

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/forward"
	"github.com/lotusward/lotusward/internal/pause"
)

const (
	// runInterval is the interval at which links that are down are checked.
	runInterval = 100 * time.Millisecond
	// isolationSamples is how many back ends a daemon without links checks at a time, beside those whose links it knows to
	// be down, which may have ended in the meantime.
	isolationSamples = 2
	// proofSamples is how many back ends are tried to prove that the daemon's own links work.
	proofSamples = 2
)

// linkState is the result of a check.
type linkState int

const (
	// linkWorks means that the back end accepts connections.
	linkWorks linkState = iota
	// linkDown means that only other daemons reach it.
	linkDown
	// backendRefuses and backendSilent mean that other daemons don't reach it either, or can't tell. It refuses this daemon's
	// connections, or doesn't respond.
	backendRefuses
	backendSilent
)

// Reach implements relay.Backends. It takes connectTimeout, the time of a question to other daemons, and retryTimeout at most,
// whatever the context.
func (r *Router) Reach(_ context.Context, address string) backendpool.ConnectResult {
	switch r.check(address) {
	case backendRefuses:
		return backendpool.ConnectRefused
	case backendSilent:
		return backendpool.ConnectTimedOut
	default:
		return backendpool.Connected
	}
}

// check finds out whether a back end can be reached now and by whom. It never relies on an earlier result, because the back end
// may have ended since.
func (r *Router) check(address string) linkState {
	began := clock.Now()
	asking := r.askSoon(address)
	result := r.connect(context.Background(), address)
	asking.Stop()
	if result == backendpool.Connected {
		return linkWorks
	}
	return r.explainFailure(address, began, result == backendpool.ConnectTimedOut)
}

// connect tries to connect to an address within connectTimeout.
func (r *Router) connect(ctx context.Context, address string) backendpool.ConnectResult {
	return r.connectWithin(ctx, address, connectTimeout)
}

// connectWithin tries to connect to an address within a time.
func (r *Router) connectWithin(ctx context.Context, address string, timeout time.Duration) backendpool.ConnectResult {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := r.options.Direct.Reach(bounded, address)
	if result == backendpool.Connected {
		r.noteConnected(address)
	}
	return result
}

// noteConnected records that a link works.
func (r *Router) noteConnected(address string) {
	if r.links.Connected(clock.Now(), address) && r.lines.Allow() {
		r.options.Log.WithField("address", address).Info("The link to a back end works again.")
	}
	r.noteIsolation()
}

// CheckFor returns whether this daemon reaches a back end itself, given by the hash of its ID. It is for other daemons, and
// never asks any.
func (r *Router) CheckFor(ctx context.Context, key uint64) forward.Reachability {
	if r.links.Isolated() {
		return forward.ReachabilityUnknown
	}
	backend, listed := r.options.Pool.BackendByKey(key)
	if !listed {
		return forward.ReachabilityUnknown
	}
	began := clock.Now()
	if r.connectShared(ctx, backend.Address) {
		return forward.Reached
	}
	if r.links.ActiveSince(began) || r.connectsToAny(ctx) {
		return forward.Unreached
	}
	return forward.ReachabilityUnknown
}

// connectsToAny reports whether any of a few back ends accepts a connection, which proves that the daemon's own links work.
func (r *Router) connectsToAny(ctx context.Context) bool {
	return slices.ContainsFunc(r.sample(proofSamples), func(address string) bool { return r.connectShared(ctx, address) })
}

// ConfirmFailure reports whether a back end that can't be reached has failed itself, rather than this daemon's links to all of them:
// another one, to which no attempt has failed, accepts a connection now. If there is no other one, links that are not in doubt are
// trusted.
func (r *Router) ConfirmFailure(ctx context.Context, failed identity.BackendID) bool {
	others := slices.DeleteFunc(r.options.Pool.Backends(), func(backend backendpool.Backend) bool { return backend.ID == failed })
	if len(others) == 0 {
		return !r.links.Uncertain()
	}
	untried := slices.DeleteFunc(others, func(backend backendpool.Backend) bool { return r.links.HasFailed(backend.Address) })
	rand.Shuffle(len(untried), func(left, right int) { untried[left], untried[right] = untried[right], untried[left] })
	return slices.ContainsFunc(untried[:min(len(untried), proofSamples)], func(backend backendpool.Backend) bool {
		return r.connect(ctx, backend.Address) == backendpool.Connected
	})
}

// connectShared is connect for other daemons' questions, of which several may come at the same moment.
func (r *Router) connectShared(ctx context.Context, address string) bool {
	connected, _, _ := r.connecting.Do(address, func() (any, error) {
		return r.connect(ctx, address) == backendpool.Connected, nil
	})
	return connected.(bool)
}

// sample returns the addresses of some back ends, drawn at random.
func (r *Router) sample(count int) []string {
	all := r.options.Pool.Backends()
	var drawn []string
	for range min(count, len(all)) {
		drawn = append(drawn, all[rand.IntN(len(all))].Address)
	}
	return drawn
}

// Run checks links that are down until the context ends.
func (r *Router) Run(ctx context.Context) error {
	pause.Every(ctx, runInterval, func(now time.Time) { r.checkDue(ctx, now) })
	return nil
}

// checkDue checks the links that are due.
func (r *Router) checkDue(ctx context.Context, now time.Time) {
	due := r.links.TakeDueChecks(now)
	if len(due) > 0 && r.links.Isolated() {
		due = append(due, r.sample(isolationSamples)...)
	}
	for _, address := range due {
		go func() {
			began := clock.Now()
			if r.connect(ctx, address) != backendpool.Connected && ctx.Err() == nil {
				r.links.Failed(began, address)
			}
		}()
	}
}

// SetTotal sets the number of back ends that there are.
func (r *Router) SetTotal(total int) { r.links.SetTotal(total) }
