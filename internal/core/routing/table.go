package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Table is a compiled configuration. It is safe for concurrent use.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*compiledRoute
	tenants       map[string]*Tenant
	services      map[identity.ServiceName]*Service
	promptStores  []*PromptStore
}

// compiledRoute is a route with the position in its traffic split.
type compiledRoute struct {
	route       *Route
	totalWeight uint64
	sequence    atomic.Uint64
}

// Compile returns the Table of a configuration, which must not be modified afterwards.
func Compile(configuration *Configuration) *Table {
	table := &Table{
		configuration: configuration,
		byHost:        map[string][]*compiledRoute{},
		tenants:       map[string]*Tenant{},
		services:      map[identity.ServiceName]*Service{},
	}
	for index := range configuration.Routes {
		table.addRoute(&configuration.Routes[index])
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, longestPrefixFirst)
	}
	for index := range configuration.Tenants {
		tenant := &configuration.Tenants[index]
		for _, key := range tenant.Keys {
			table.tenants[key] = tenant
		}
	}
	for index := range configuration.Services {
		table.addService(&configuration.Services[index])
	}
	return table
}

func longestPrefixFirst(left, right *compiledRoute) int {
	return cmp.Compare(len(right.route.PathPrefix), len(left.route.PathPrefix))
}

func (t *Table) addRoute(route *Route) {
	compiled := &compiledRoute{route: route}
	for _, share := range route.Split {
		compiled.totalWeight += uint64(max(share.Weight, 0))
	}
	host := strings.ToLower(route.Host)
	t.byHost[host] = append(t.byHost[host], compiled)
}

func (t *Table) addService(service *Service) {
	t.services[service.Name] = service
	if service.PromptStore != nil {
		t.promptStores = append(t.promptStores, service.PromptStore)
	}
}

// Configuration returns the configuration from which the table was compiled.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Service returns a service by name, or nil.
func (t *Table) Service(name identity.ServiceName) *Service { return t.services[name] }

// DeclaresModel reports whether a service is declared to serve a model.
func (t *Table) DeclaresModel(name identity.ServiceName, model identity.ModelName) bool {
	service := t.services[name]
	return service != nil && service.Engine != nil && slices.Contains(service.Engine.Models, model)
}

// PromptStores returns the stores of prompt caches.
func (t *Table) PromptStores() []*PromptStore { return t.promptStores }

// PromptStore returns the store responsible for a prompt part, given the part's hash, or nil if
// there is none. All daemons choose the same store without coordination.
func (t *Table) PromptStore(part uint64) *PromptStore {
	var found *PromptStore
	var best uint64
	for _, store := range t.promptStores {
		if score := rendezvous.Score(part, store.Address); found == nil || score > best {
			found, best = store, score
		}
	}
	return found
}

// RequiresKey reports whether requests need a key on routes that don't allow anonymous callers.
func (t *Table) RequiresKey() bool { return len(t.configuration.Tenants) > 0 }

// Tenant returns the tenant to which a key belongs, or nil.
func (t *Table) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenants[key]
}

// Match is a request's route and the service selected by its traffic split.
type Match struct {
	Route   *Route
	Service identity.ServiceName
}

// Match finds the route of the host whose path prefix is the longest match. It returns false if
// there is none.
func (t *Table) Match(host, path string) (Match, bool) {
	compiled := t.find(host, path)
	if compiled == nil {
		return Match{}, false
	}
	return Match{Route: compiled.route, Service: compiled.nextService()}, true
}

// HasRoute reports whether Match finds a route. Unlike Match, it does not advance the route's traffic split.
func (t *Table) HasRoute(host, path string) bool { return t.find(host, path) != nil }

// find returns the route with the longest matching prefix, or nil.
func (t *Table) find(host, path string) *compiledRoute {
	for _, compiled := range t.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, compiled.route.PathPrefix) {
			return compiled
		}
	}
	return nil
}

// withoutPort strips the port from a host.
func withoutPort(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		return name
	}
	return host
}

// nextService selects a service by weighted round-robin. Successive positions are a step apart
// that is coprime with the total weight, so that any short run of requests comes close to the
// weights.
func (c *compiledRoute) nextService() identity.ServiceName {
	if len(c.route.Split) == 1 || c.totalWeight == 0 {
		return c.route.Split[0].Service
	}
	position := (c.sequence.Add(1) * coprimeStep(c.totalWeight)) % c.totalWeight
	for _, share := range c.route.Split {
		weight := uint64(max(share.Weight, 0))
		if position < weight {
			return share.Service
		}
		position -= weight
	}
	return c.route.Split[0].Service
}

// coprimeStep returns a number near 0.618 of the total (the golden ratio) that is coprime with it.
func coprimeStep(total uint64) uint64 {
	step := max(total*618/1000, 1)
	for greatestCommonDivisor(step, total) != 1 {
		step++
	}
	return step
}

func greatestCommonDivisor(left, right uint64) uint64 {
	for right != 0 {
		left, right = right, left%right
	}
	return left
}
