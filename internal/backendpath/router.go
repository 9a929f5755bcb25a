// Package backendpath chooses the path that requests take to a back end: directly or, while the daemon's own link to it is
// down, through another daemon. A connection that fails is blamed on the back end only if other daemons don't reach it
// either.
package backendpath

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/linkhealth"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/forward"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// connectTimeout is how long a back end may take to accept a connection if other daemons can be asked about it. Its
	// network answers within a few milliseconds, however busy it is.
	connectTimeout = 150 * time.Millisecond
	// retryTimeout is how long the back end may take that another daemon has reached. Many connections are made at once when a
	// back end is no longer silent.
	retryTimeout = 400 * time.Millisecond
	// askAhead is how long a connection may take before other daemons are asked, so that the answer is there when it fails.
	// Connections to another region take 80 ms.
	askAhead = 100 * time.Millisecond
	// linkLineRate bounds the log lines on single links, in lines a second.
	linkLineRate = 20
)

// errConnectTimeout cancels an attempt whose back end accepts no connection.
var errConnectTimeout = errors.New("the back end took too long to accept a connection")

// Helpers are the other daemons.
type Helpers interface {
	// Ask returns whether other daemons reach a back end.
	Ask(ctx context.Context, backend identity.BackendID) forward.Reachability
}

// Pool is what the router needs to know of the back ends. It is implemented by backendpool.Pool.
type Pool interface {
	Backends() []backendpool.Backend
	BackendAt(address string) (backendpool.Backend, bool)
	BackendByKey(key uint64) (backendpool.Backend, bool)
}

// Options configures a Router.
type Options struct {
	// Direct sends requests over the daemon's own links.
	Direct relay.Backends
	// Forward sends a request through another daemon.
	Forward func(ctx context.Context, dispatch *relay.Dispatch) (*relay.Answer, error)
	Helpers Helpers
	// Others returns the addresses of the other daemons.
	Others func() []string
	Pool   Pool
	Log    logrus.FieldLogger
}

// Router implements relay.Backends. It is safe for concurrent use.
type Router struct {
	options Options
	links   *linkhealth.Tracker
	lines   *rate.Limiter
	// connecting and asking share attempts to connect for other daemons, and questions to them, by address.
	connecting, asking singleflight.Group

	mutex sync.Mutex
	// inFlight are the direct exchanges.
	inFlight map[*exchange]bool
	// isolated is the last logged state of the links.
	isolated bool
}

// New returns a Router. Its state is kept up to date while Run runs.
func New(options Options) *Router {
	return &Router{options: options, links: linkhealth.New(), lines: rate.NewLimiter(linkLineRate, linkLineRate), inFlight: map[*exchange]bool{}}
}

var _ relay.Backends = (*Router)(nil)

// Isolated reports whether the daemon reaches no back end directly although other daemons do.
func (r *Router) Isolated() bool { return r.links.Isolated() }

// Impaired reports whether the daemon reaches too few back ends directly for duties that concern all of them.
func (r *Router) Impaired() bool { return r.links.Impaired() }

// LinksDown returns the number of back ends that other daemons reach and this one does not.
func (r *Router) LinksDown() int { return r.links.Down() }

// Send implements relay.Backends.
func (r *Router) Send(ctx context.Context, dispatch *relay.Dispatch) (*relay.Answer, error) {
	if r.links.IsDown(clock.Now(), dispatch.Address) {
		return r.options.Forward(ctx, dispatch)
	}
	if r.links.ClaimCheck(clock.Now(), dispatch.Address) && r.check(dispatch.Address) == linkDown {
		return r.options.Forward(ctx, dispatch)
	}
	began := clock.Now()
	answer, err := r.SendDirect(ctx, dispatch)
	var failed *connectError
	if !errors.As(err, &failed) || ctx.Err() != nil {
		return answer, err
	}
	switch r.explainFailure(dispatch.Address, began, failed.timedOut) {
	case linkDown:
		return r.options.Forward(ctx, dispatch)
	case linkWorks:
		return r.SendDirect(ctx, dispatch)
	default:
		return nil, err
	}
}

// connectError is the cause of an attempt that made no connection.
type connectError struct {
	cause error
	// timedOut is set if the back end was silent.
	timedOut bool
}

// Error implements error.
func (e *connectError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error.
func (e *connectError) Unwrap() error { return e.cause }

// SendDirect makes one attempt over the daemon's own link.
func (r *Router) SendDirect(ctx context.Context, dispatch *relay.Dispatch) (*relay.Answer, error) {
	bounded, cancel := context.WithCancelCause(ctx)
	connecting := time.AfterFunc(r.connectTimeout(), func() { cancel(errConnectTimeout) })
	defer connecting.Stop()
	asking := r.askSoon(dispatch.Address)
	defer asking.Stop()
	made := r.begin(dispatch)
	connected := false
	attempt := *dispatch
	attempt.CheckAccepting = func() error {
		if !connected && !connecting.Stop() {
			return errConnectTimeout
		}
		connected = true
		asking.Stop()
		if dispatch.CheckAccepting == nil {
			return nil
		}
		return dispatch.CheckAccepting()
	}
	answer, err := r.options.Direct.Send(bounded, &attempt)
	if err == nil {
		made.recordActivity(clock.Now())
		answer.Body = &directBody{ReadCloser: answer.Body, exchange: made, context: ctx}
		return answer, nil
	}
	made.end()
	var failed *relay.SendError
	switch {
	case ctx.Err() != nil || !errors.As(err, &failed):
	case failed.Evidence != outcome.Unreached:
		made.checkLost(ctx)
	case !connected:
		failed.Cause = &connectError{cause: failed.Cause, timedOut: errors.Is(failed.Cause, errConnectTimeout)}
	}
	return nil, err
}

// connectTimeout returns how long a back end may take to accept a connection. It is longer if no other daemon could help.
func (r *Router) connectTimeout() time.Duration {
	if len(r.options.Others()) == 0 {
		return httpexchange.DefaultDialTimeout
	}
	return connectTimeout
}

// askSoon asks other daemons about an address after a moment, unless the timer is stopped before.
func (r *Router) askSoon(address string) *time.Timer {
	return time.AfterFunc(askAhead, func() { r.askOthers(address) })
}

// explainFailure returns the state of a link on which a connection failed that was begun at a time; silent is set if it timed
// out. If another daemon reaches the back end, the link is tried once more: the back end may have been silent until then, or
// this daemon paused. A connection that was made meanwhile proves the link as well.
func (r *Router) explainFailure(address string, began time.Time, silent bool) linkState {
	r.links.Failed(began, address)
	if r.askOthers(address) != forward.Reached {
		if silent {
			return backendSilent
		}
		return backendRefuses
	}
	retriedAt := clock.Now()
	if r.connectWithin(context.Background(), address, retryTimeout) == backendpool.Connected || r.links.ConnectedSince(began, address) {
		return linkWorks
	}
	r.links.Failed(retriedAt, address)
	r.setDown(address, began, silent)
	return linkDown
}

// askOthers returns whether other daemons reach the back end at an address now. Concurrent callers share one question.
func (r *Router) askOthers(address string) forward.Reachability {
	backend, listed := r.options.Pool.BackendAt(address)
	if !listed || len(r.options.Others()) == 0 {
		return forward.ReachabilityUnknown
	}
	answer, _, _ := r.asking.Do(address, func() (any, error) {
		return r.options.Helpers.Ask(context.Background(), backend.ID), nil
	})
	return answer.(forward.Reachability)
}

// setDown marks the link to an address as down, and reports it to the requests that depend on it.
func (r *Router) setDown(address string, began time.Time, silent bool) {
	if r.links.ReachedElsewhere(clock.Now(), address) && r.lines.Allow() {
		r.options.Log.WithFields(logrus.Fields{"address": address, "silent": silent, "links_down": r.links.Down()}).
			Warn("The link to a back end is down: other daemons reach it, and requests go through them.")
	}
	r.noteIsolation()
	if !silent {
		return // open connections are reset as well, or still work
	}
	r.loseSilent(address, began)
	// Requests may have been sent on open connections while the link was checked.
	marked := clock.Now()
	time.AfterFunc(connectTimeout, func() {
		if r.links.IsDown(clock.Now(), address) {
			r.loseSilent(address, marked)
		}
	})
}

// loseSilent reports a silent link to the requests on it that were silent since a time, and has other links checked that have
// such requests.
func (r *Router) loseSilent(address string, since time.Time) {
	isolated := r.links.Isolated()
	others := map[string]bool{}
	for _, each := range r.silentSince(since) {
		if isolated || each.address == address {
			each.lose()
		} else {
			others[each.address] = true
		}
	}
	for other := range others {
		if r.links.ClaimCheck(clock.Now(), other) {
			go r.check(other)
		}
	}
}

// noteIsolation logs whether the daemon is isolated if that has changed.
func (r *Router) noteIsolation() {
	isolated := r.links.Isolated()
	r.mutex.Lock()
	changed := r.isolated != isolated
	r.isolated = isolated
	r.mutex.Unlock()
	log := r.options.Log.WithField("links_down", r.links.Down())
	switch {
	case changed && isolated:
		log.Warn("The daemon reaches no back end directly: all requests go through other daemons.")
	case changed:
		log.Info("The daemon reaches back ends directly again.")
	}
}
