package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Table is a compiled configuration. It is safe for use by several goroutines.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*compiledRoute
	tenants       map[string]*Tenant
	services      map[identity.ServiceName]*Service
	promptStores  []*PromptStore
}

// compiledRoute is a route with the turn of its split.
type compiledRoute struct {
	route       *Route
	totalWeight uint64
	turn        atomic.Uint64
}

// Compile makes a Table of a configuration, which must not change afterwards.
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

// Configuration returns what the table was compiled from.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Version is the configuration's version.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Service returns a service by name, or nil.
func (t *Table) Service(name identity.ServiceName) *Service { return t.services[name] }

// PromptStores returns the stores of prompt caches.
func (t *Table) PromptStores() []*PromptStore { return t.promptStores }

// PromptStore returns the store in which a part belongs, by the part's hash, or nil
// when there is none. All daemons find the same one without talking.
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

// RequiresKey tells whether requests need a key on routes that are not open to
// anonymous callers.
func (t *Table) RequiresKey() bool { return len(t.configuration.Tenants) > 0 }

// Tenant returns the tenant that holds a key, or nil.
func (t *Table) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenants[key]
}

// Match is a request's route and the service that its turn fell on.
type Match struct {
	Route   *Route
	Service identity.ServiceName
}

// Match finds the route of a host and path: the one of that host with the
// longest prefix that begins the path. It returns false when there is none.
func (t *Table) Match(host, path string) (Match, bool) {
	for _, compiled := range t.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, compiled.route.PathPrefix) {
			return Match{Route: compiled.route, Service: compiled.nextService()}, true
		}
	}
	return Match{}, false
}

// withoutPort cuts a port off a host.
func withoutPort(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		return name
	}
	return host
}

// nextService deals the route's requests out by weight. The turn steps through
// the weights by a number that shares no factor with their sum, so that any few
// requests in a row are close to the weights.
func (c *compiledRoute) nextService() identity.ServiceName {
	if len(c.route.Split) == 1 || c.totalWeight == 0 {
		return c.route.Split[0].Service
	}
	position := (c.turn.Add(1) * goldenStep(c.totalWeight)) % c.totalWeight
	for _, share := range c.route.Split {
		weight := uint64(max(share.Weight, 0))
		if position < weight {
			return share.Service
		}
		position -= weight
	}
	return c.route.Split[0].Service
}

// goldenStep returns a number near 0.618 of the total that shares no factor
// with it.
func goldenStep(total uint64) uint64 {
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
