package administration

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/quota"
	"github.com/lotusward/lotusward/internal/core/routing"
	"github.com/lotusward/lotusward/internal/relay"
)

// errNoConfiguration is returned before the first configuration.
var errNoConfiguration = errors.New("this daemon knows no configuration yet")

// Snapshot makes tables of what this daemon believes now. It implements Tables.
type Snapshot struct {
	Control relay.Control
	Pool    *backendpool.Pool
	// Self is this daemon's address, and Others returns those of the others.
	Self   string
	Others func() []string
	// Rollouts returns the state of services' software versions; nil where roll-outs are off.
	Rollouts func() []query.Rollout
	// Quarantines returns what this daemon blames for ends of back ends.
	Quarantines func() []quarantine.Blamed
	// Limits returns what this daemon grants of limits.
	Limits func() []quota.Usage
	// Held returns what this daemon holds for callers; nil is not known.
	Held func() buffers.Usage
}

// Table implements Tables.
func (s *Snapshot) Table(source query.Source) (query.Table, error) {
	state := s.Control.State()
	switch {
	case source == query.SourceBackends:
		return query.TableOf(s.backends(false)), nil
	case source == query.SourceLeavingBackends:
		return query.TableOf(s.backends(true)), nil
	case source == query.SourceDaemons:
		return query.TableOf(s.daemons()), nil
	case source == query.SourceQuarantines:
		return query.TableOf(quarantinesOf(s.Quarantines())), nil
	case source == query.SourceRollouts:
		return query.TableOf(s.rollouts()), nil
	case state == nil:
		return query.Table{}, errNoConfiguration
	case source == query.SourceModels:
		return query.TableOf(s.models(state)), nil
	case source == query.SourceRoutes:
		return query.TableOf(routesOf(state.Table.Configuration())), nil
	case source == query.SourceServices:
		return query.TableOf(s.services(state.Table.Configuration())), nil
	case source == query.SourceTenants:
		return query.TableOf(s.tenants(state.Table.Configuration())), nil
	default:
		return query.Table{}, fmt.Errorf("there is no table of %s", source)
	}
}

func (s *Snapshot) backends(onlyLeaving bool) []query.Backend {
	var rows []query.Backend
	for _, state := range s.Pool.States(clock.Now()) {
		if onlyLeaving && !state.Leaving {
			continue
		}
		rows = append(rows, query.Backend{
			Backend: state.Backend.ID.Name(), Incarnation: int(state.Backend.ID.Incarnation()),
			Service: state.Backend.Service, Zone: state.Backend.Zone, Address: state.Backend.Address,
			Software: state.Backend.Software,
			Models:   versionsText(state.Versions), Leaving: state.Leaving, Backoff: state.Backoff, Refusing: state.Refusing, Doubted: state.Ejected,
			Running: state.InFlight, Own: state.OwnInFlight, ReadingTokens: state.Reading,
		})
	}
	return rows
}

func (s *Snapshot) rollouts() []query.Rollout {
	if s.Rollouts == nil {
		return nil
	}
	return s.Rollouts()
}

func quarantinesOf(blamed []quarantine.Blamed) []query.Quarantine {
	rows := make([]query.Quarantine, 0, len(blamed))
	for _, each := range blamed {
		rows = append(rows, query.Quarantine{
			Fingerprint: each.Fingerprint.String(), Part: each.Part, Crashes: each.Crashes, Newest: each.Newest, Remaining: each.Remaining,
			Companions: each.Companions,
		})
	}
	return rows
}

func versionsText(versions map[identity.ModelName]uint64) string {
	var texts []string
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		texts = append(texts, fmt.Sprintf("%s@%d", model, versions[model]))
	}
	return strings.Join(texts, ", ")
}

func (s *Snapshot) daemons() []query.Daemon {
	rows := []query.Daemon{{Address: s.Self, Self: true}}
	for _, address := range s.Others() {
		rows = append(rows, query.Daemon{Address: address})
	}
	return rows
}

func (s *Snapshot) models(state *relay.State) []query.Model {
	states := s.Pool.States(clock.Now())
	var rows []query.Model
	for _, service := range state.Table.Configuration().Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			rows = append(rows, modelRow(state, states, service.Name, model))
		}
	}
	return rows
}

func modelRow(state *relay.State, states []backendpool.State, service identity.ServiceName, model identity.ModelName) query.Model {
	row := query.Model{Service: service, Model: model, Version: state.NewestVersion(model)}
	if named := state.Versions[model]; len(named) > 0 {
		row.Named = clock.Since(named[len(named)-1].NamedAfter)
	}
	for _, backend := range states {
		held := backend.Versions[model]
		if backend.Backend.Service != service || held == 0 {
			continue
		}
		row.Backends++
		if held < row.Version {
			row.Behind++
		}
	}
	return row
}

func routesOf(configuration *routing.Configuration) []query.Route {
	var rows []query.Route
	for _, route := range configuration.Routes {
		rows = append(rows, query.Route{
			Route: route.Name, Host: route.Host, Path: route.PathPrefix, Kind: string(route.Kind), Services: sharesText(route.Split),
			Priority: route.Priority, Attempts: route.MaxAttempts, Target: route.TargetLatency, Timeout: route.Timeout,
		})
	}
	return rows
}

func sharesText(shares []routing.Share) string {
	texts := make([]string, len(shares))
	for index, share := range shares {
		texts[index] = fmt.Sprintf("%s x %d", share.Service, share.Weight)
	}
	return strings.Join(texts, ", ")
}

func (s *Snapshot) services(configuration *routing.Configuration) []query.Service {
	states := s.Pool.States(clock.Now())
	var rows []query.Service
	for _, service := range configuration.Services {
		row := query.Service{Service: service.Name}
		if service.Engine != nil {
			row.Slots, row.CapacityTokens = service.Engine.Slots, service.Engine.CapacityTokens
			row.Models = joined(service.Engine.Models)
		}
		if service.PromptStore != nil {
			row.PromptStore = service.PromptStore.Address
		}
		countBackends(&row, states)
		rows = append(rows, row)
	}
	return rows
}

func countBackends(row *query.Service, states []backendpool.State) {
	for _, state := range states {
		if state.Backend.Service != row.Service {
			continue
		}
		row.Backends++
		row.Running += state.InFlight
		if state.Leaving {
			row.Leaving++
		}
		if state.Ejected {
			row.Doubted++
		}
	}
}

func (s *Snapshot) tenants(configuration *routing.Configuration) []query.Tenant {
	var rows []query.Tenant
	uses, held := s.Limits(), s.heldByTenant()
	for _, tenant := range configuration.Tenants {
		row := query.Tenant{Tenant: tenant.Name, Keys: len(tenant.Keys), Isolated: tenant.Isolated, HeldBytes: held[tenant.Name]}
		if limit := tenant.Limit; limit != nil {
			row.LimitUnit, row.LimitPerSecond, row.LimitBurst = string(limit.Unit), limit.RatePerSecond, limit.Burst
		}
		for _, use := range uses {
			if use.Owner == quota.OwnerOfTenant(tenant.Name) {
				row.GrantedHere, row.LimitLeft = true, use.Level
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// heldByTenant is what this daemon holds for callers, in bytes.
func (s *Snapshot) heldByTenant() map[identity.TenantName]int {
	held := map[identity.TenantName]int{}
	if s.Held == nil {
		return held
	}
	for _, tenant := range s.Held().Tenants {
		held[tenant.Tenant] = int(tenant.Held)
	}
	return held
}

func joined[N ~string](names []N) string {
	texts := make([]string, len(names))
	for index, name := range names {
		texts[index] = string(name)
	}
	return strings.Join(texts, ", ")
}
