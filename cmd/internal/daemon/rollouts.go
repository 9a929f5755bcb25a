package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	corerollout "github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/relay"
	"github.com/lotusward/lotusward/internal/rollout"
	"github.com/lotusward/lotusward/platform"
)

// wireRollouts makes what moves services to other versions of their software, where the settings
// offer that.
func (w *Daemon) wireRollouts(registry prometheus.Registerer) {
	bounds := w.settings.Bounds
	if !bounds.OffersRollouts() {
		return
	}
	w.rollouts = rollout.New(rollout.Options{
		Link: w.link, Others: w.members.Others, Count: w.members.Count, Broadcast: w.tree.Tell, Presence: w.presence,
		Directory: &rolloutBelief{directory: w.directory}, Backends: w.backends,
		Standings: platform.NewStandings(w.store), Reports: w.runners,
		ExposureShare: bounds.ExposureShare, ConfirmationLimit: softwareConfirmationLimit(bounds),
		Registerer: registry, Log: w.part("rollout"),
	})
}

// versions are the choices of versions for requests; nil where roll-outs are off.
func (w *Daemon) versions() relay.Versions {
	if w.rollouts == nil {
		return nil
	}
	return w.rollouts
}

// rolloutTable is the state of roll-outs for operators; nil where they are off.
func (w *Daemon) rolloutTable() func() []query.Rollout {
	if w.rollouts == nil {
		return nil
	}
	return func() []query.Rollout {
		var rows []query.Rollout
		for _, status := range w.rollouts.Table() {
			rows = append(rows, rolloutRows(status)...)
		}
		return rows
	}
}

// rolloutRows are the rows of a service: one for each route, or one without a route.
func rolloutRows(status rollout.Status) []query.Rollout {
	routes := status.Routes
	if len(routes) == 0 {
		routes = []rollout.RouteStatus{{}}
	}
	var rows []query.Rollout
	for _, route := range routes {
		rows = append(rows, query.Rollout{
			Service: status.Service, Route: route.Route, Version: status.Target, Stable: status.Stable,
			State: string(status.Stage), Exposing: status.Exposing, Share: status.ShareTotal,
			StableGood: route.StableGood, StableBad: route.StableBad, VersionGood: route.TargetGood, VersionBad: route.TargetBad,
			AllDaemons: status.Pooled, Reason: status.Reason,
		})
	}
	return rows
}

// rolloutBelief implements rollout.Directory by the directory.
type rolloutBelief struct{ directory *directory.Directory }

var _ rollout.Directory = (*rolloutBelief)(nil)

// Services implements rollout.Directory.
func (b *rolloutBelief) Services() []identity.ServiceName {
	state := b.directory.State()
	if state == nil {
		return nil
	}
	var names []identity.ServiceName
	for _, service := range state.Table.Configuration().Services {
		names = append(names, service.Name)
	}
	return names
}

// Software implements rollout.Directory.
func (b *rolloutBelief) Software(service identity.ServiceName) corerollout.Service {
	state := b.directory.State()
	if state == nil {
		return corerollout.Service{}
	}
	return state.Software[service]
}

// ConfirmedAt implements rollout.Directory.
func (b *rolloutBelief) ConfirmedAt() time.Time { return b.directory.ConfirmedAt() }

// StoreClock implements rollout.Directory.
func (b *rolloutBelief) StoreClock(now time.Time) (time.Duration, bool) {
	return b.directory.StoreClock(now)
}

// Learn implements rollout.Directory.
func (b *rolloutBelief) Learn(ctx context.Context, standing corerollout.Standing) {
	b.directory.AddStanding(ctx, standing)
}

// Reads implements rollout.Directory.
func (b *rolloutBelief) Reads() bool { return b.directory.IsReader() }

// LongestTimeout implements rollout.Directory.
func (b *rolloutBelief) LongestTimeout(service identity.ServiceName) time.Duration {
	state := b.directory.State()
	if state == nil {
		return assumedTimeout
	}
	longest := time.Duration(0)
	for _, route := range state.Table.Configuration().Routes {
		if !slices.ContainsFunc(route.Split, func(share routing.Share) bool { return share.Service == service }) {
			continue
		}
		timeout := route.Timeout
		if timeout == 0 {
			timeout = assumedTimeout
		}
		longest = max(longest, timeout)
	}
	return longest
}
