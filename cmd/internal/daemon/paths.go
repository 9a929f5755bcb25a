package daemon

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/backendpath"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/forward"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// descriptorsPerForward is how many of the machine's descriptors there are for each request that may be in flight for
	// other daemons. Each takes two.
	descriptorsPerForward = 16
	// minForwards and maxForwards bound the result; minForwards also holds if the descriptors are not known.
	minForwards = 64
	maxForwards = 1024
)

// forwardCapacity returns how many requests may be in flight for other daemons.
func forwardCapacity(descriptors int) int {
	return min(max(descriptors/descriptorsPerForward, minForwards), maxForwards)
}

// wirePaths makes what sends requests to back ends directly or through other daemons, and requests of other daemons.
func (w *Daemon) wirePaths() {
	inquiry := forward.NewInquiry(forward.InquiryOptions{
		Link: w.link, Others: w.members.Others,
		IsPresent: func(address string) bool { return w.presence.Present(clock.Now(), w.members.Count(), address) },
		Check:     func(ctx context.Context, backend uint64) forward.Reachability { return w.paths.CheckFor(ctx, backend) },
		Capacity:  func() (bool, int) { return w.forwards.Capacity() },
	})
	client := forward.NewClient(forward.ClientOptions{Pool: w.pool, Inquiry: inquiry, Distance: w.distanceTo})
	w.paths = backendpath.New(backendpath.Options{
		Direct: w.runners, Forward: client.Send, Helpers: inquiry, Others: w.members.Others, Pool: w.backends, Log: w.part("paths"),
	})
}

// wireForwards makes what sends requests of other daemons, and counts them.
func (w *Daemon) wireForwards(registry *prometheus.Registry) {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lotusward", Name: "forwarded_for_others_total",
		Help: "Requests of other daemons by how they ended here (answered, failed, cut, refused).",
	}, []string{"outcome"})
	registry.MustRegister(ended)
	w.forwards = forward.NewServer(forward.ServerOptions{
		Send: w.paths.SendDirect, IsDaemon: w.isDaemon, Permits: w.permitsForward, Lost: w.noteForwardLost,
		Accepting: func() bool { return !w.serving.stopping.Load() && !w.paths.Isolated() },
		MaxBody:   func() int64 { return w.serving.maximumBody() },
		Capacity:  forwardCapacity(w.settings.Limits.MaxFds), Ledger: w.ledger,
		Observe: func(outcome string) { ended.WithLabelValues(outcome).Inc() }, Log: w.part("forward"),
	})
	w.snapshots.Handle("POST "+forward.Path, w.forwards)
}

// registerLinks adds the state of the daemon's own links to back ends.
func (w *Daemon) registerLinks(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "lotusward", Name: "links_down", Help: "Back ends that other daemons reach and this one does not.",
		}, func() float64 { return float64(w.paths.LinksDown()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "lotusward", Name: "isolated", Help: "1 while this daemon reaches no back end directly although other daemons do.",
		}, func() float64 {
			if w.paths.Isolated() {
				return 1
			}
			return 0
		}),
	)
}

// isDaemon reports whether another daemon has an IP address.
func (w *Daemon) isDaemon(ip string) bool {
	return slices.ContainsFunc(w.members.Others(), func(address string) bool {
		host, _, err := net.SplitHostPort(address)
		return err == nil && host == ip
	})
}

// permitsForward reports whether a request of another daemon may be sent: its back end is known here, and neither its key nor
// its route is gone from a configuration that is newer than that daemon's.
func (w *Daemon) permitsForward(dispatch *relay.Dispatch, key string) bool {
	backend, listed := w.backends.BackendByKey(rendezvous.Key(string(dispatch.Backend)))
	if !listed || backend.ID != dispatch.Backend || backend.Address != dispatch.Address || backend.Draining {
		return false
	}
	if w.crashes.Verdict(relay.Fingerprint(dispatch.Request, dispatch.Tenant)).Quarantined {
		return false
	}
	state := w.directory.State()
	if state == nil {
		return false
	}
	if state.Table.Version() < dispatch.Configuration {
		return true
	}
	if !state.Table.HasRoute(dispatch.Request.Host, dispatch.Request.Path) {
		return false
	}
	if dispatch.Tenant == "" {
		return true
	}
	tenant := state.Table.Tenant(key)
	return tenant != nil && tenant.Name == dispatch.Tenant
}

// noteForwardLost takes in that a back end may have ended under a request of another daemon.
func (w *Daemon) noteForwardLost(dispatch *relay.Dispatch) {
	w.crashes.Lost(relay.Fingerprint(dispatch.Request, dispatch.Tenant), dispatch.Backend)
	w.backends.RequestProbe(clock.Now(), dispatch.Backend)
}

// noteReachability takes in whether a back end can be reached. One that can't be is evidence against the requests that it had
// only once this daemon has reached another one: all of its links may have failed at that moment.
func (w *Daemon) noteReachability(id identity.BackendID, reached bool) {
	if reached {
		w.crashes.Checked(id, true)
		return
	}
	if !w.crashes.HasLost(id) {
		return // unreachable back ends are probed over and over
	}
	go func() {
		if w.paths.ConfirmFailure(context.Background(), id) {
			w.crashes.Checked(id, false)
		}
	}()
}

// countBackends keeps the number of back ends known to what judges the daemon's links.
func (w *Daemon) countBackends(ctx context.Context) error {
	pause.Every(ctx, sweepTime, func(now time.Time) {
		total, _ := w.backends.Count(now)
		w.paths.SetTotal(total)
	})
	return nil
}
