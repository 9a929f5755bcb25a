package dynamic

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/finding"
)

var (
	// namePattern bounds the names of services, tenants, events, daemons and back ends.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	// modelPattern also allows the slashes and colons of published model names.
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)
	// keyHashPattern is a SHA-256 sum in lower-case hexadecimal.
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate reports everything that is wrong with a document together, as a
// *finding.Error with the path of each field.
func Validate(document *Document) error {
	checker := newChecker(document)
	checker.check()
	return checker.findings.Err()
}

// checker gathers findings on one document.
type checker struct {
	document *Document
	findings finding.List
	services map[identity.ServiceName]bool
	models   map[identity.ModelName]bool
	tenants  map[identity.TenantName]bool
}

func newChecker(document *Document) *checker {
	return &checker{
		document: document,
		services: make(map[identity.ServiceName]bool, len(document.Services)),
		models:   make(map[identity.ModelName]bool, len(document.Models)),
		tenants:  make(map[identity.TenantName]bool, len(document.Tenants)),
	}
}

func (c *checker) check() {
	c.checkServices()
	c.checkModels()
	c.checkTenants()
	c.checkEvents()
	c.checkDrains()
	c.checkOrders()
	c.checkRosters()
}

// checkName reports a name that is malformed or stands twice.
func checkName[N ~string](list *finding.List, seen map[N]bool, pattern *regexp.Regexp, name N, path string) {
	if !pattern.MatchString(string(name)) {
		list.Add(path, "%q is not a valid name", string(name))
	}
	if seen[name] {
		list.Add(path, "%q stands twice", string(name))
	}
	seen[name] = true
}

// reference reports a name that no entry has.
func reference[N ~string](list *finding.List, known map[N]bool, name N, path, kind string) {
	if !known[name] {
		list.Add(path, "there is no %s %q", kind, string(name))
	}
}

func notNegative[N int | float64](list *finding.List, value N, path string) {
	if !(value >= 0) {
		list.Add(path, "must not be negative")
	}
}

func (c *checker) checkServices() {
	// Services refer to models, which are listed after them.
	for index := range c.document.Models {
		c.models[c.document.Models[index].Name] = true
	}
	for index, service := range c.document.Services {
		path := fmt.Sprintf("services[%d]", index)
		checkName(&c.findings, c.services, namePattern, service.Name, path+".name")
		if service.Kind != identity.KindEngine && service.Kind != identity.KindApp {
			c.findings.Add(path+".kind", "%q is neither %s nor %s", service.Kind, identity.KindEngine, identity.KindApp)
		}
		for position, model := range service.Models {
			reference(&c.findings, c.models, model, fmt.Sprintf("%s.models[%d]", path, position), "model")
		}
		for position, prefix := range service.NotRepeatable {
			c.checkPathPrefix(prefix, fmt.Sprintf("%s.not_repeatable[%d]", path, position))
		}
		notNegative(&c.findings, service.ConcurrentLoads, path+".concurrent_loads")
	}
}

func (c *checker) checkPathPrefix(prefix, path string) {
	if !strings.HasPrefix(prefix, "/") {
		c.findings.Add(path, "%q does not start with a slash", prefix)
	}
}

func (c *checker) checkModels() {
	seen := make(map[identity.ModelName]bool, len(c.document.Models))
	for index, model := range c.document.Models {
		path := fmt.Sprintf("models[%d]", index)
		checkName(&c.findings, seen, modelPattern, model.Name, path+".name")
		if model.Version == "" {
			c.findings.Add(path+".version", "is empty")
		}
		if model.ContextTokens <= 0 {
			c.findings.Add(path+".context_tokens", "must be positive")
		}
		adapters := make(map[identity.AdapterName]bool, len(model.Adapters))
		for position, adapter := range model.Adapters {
			checkName(&c.findings, adapters, modelPattern, adapter, fmt.Sprintf("%s.adapters[%d]", path, position))
		}
	}
}

func (c *checker) checkTenants() {
	owners := make(map[string]identity.TenantName, len(c.document.Tenants))
	for index := range c.document.Tenants {
		tenant := &c.document.Tenants[index]
		if c.tenantIsPlain(tenant, owners) {
			continue
		}
		c.checkTenant(tenant, fmt.Sprintf("tenants[%d]", index), owners)
	}
}

// tenantIsPlain is the quick check of a tenant with nothing wrong: it spares
// the making of paths for thousands of tenants.
func (c *checker) tenantIsPlain(tenant *Tenant, owners map[string]identity.TenantName) bool {
	limits := tenant.Limits
	if c.tenants[tenant.Name] || !namePattern.MatchString(string(tenant.Name)) || len(tenant.KeyHashes) != 1 {
		return false
	}
	if !(limits.TokensPerSecond >= 0) || limits.ConcurrentRequests < 0 || !(limits.Weight >= 0) {
		return false
	}
	hash := tenant.KeyHashes[0]
	if _, taken := owners[hash]; taken || !keyHashPattern.MatchString(hash) {
		return false
	}
	owners[hash] = tenant.Name
	c.tenants[tenant.Name] = true
	return true
}

func (c *checker) checkTenant(tenant *Tenant, path string, owners map[string]identity.TenantName) {
	checkName(&c.findings, c.tenants, namePattern, tenant.Name, path+".name")
	for position, hash := range tenant.KeyHashes {
		hashPath := fmt.Sprintf("%s.key_hashes[%d]", path, position)
		if !keyHashPattern.MatchString(hash) {
			c.findings.Add(hashPath, "is not a SHA-256 sum in lower-case hexadecimal")
		}
		if owner, taken := owners[hash]; taken {
			c.findings.Add(hashPath, "the key belongs to tenant %q already", owner)
		}
		owners[hash] = tenant.Name
	}
	notNegative(&c.findings, tenant.Limits.TokensPerSecond, path+".limits.tokens_per_second")
	notNegative(&c.findings, tenant.Limits.ConcurrentRequests, path+".limits.concurrent_requests")
	notNegative(&c.findings, tenant.Limits.Weight, path+".limits.weight")
}

func (c *checker) checkDrains() {
	seen := make(map[identity.BackendID]bool, len(c.document.Drains))
	for index, drain := range c.document.Drains {
		checkName(&c.findings, seen, namePattern, drain.Backend, fmt.Sprintf("drains[%d].backend", index))
	}
}

func (c *checker) checkOrders() {
	seen := make(map[Item]bool, len(c.document.Orders))
	for index, order := range c.document.Orders {
		path := fmt.Sprintf("orders[%d]", index)
		if !namePattern.MatchString(string(order.Backend)) {
			c.findings.Add(path+".backend", "%q is not a valid name", string(order.Backend))
		}
		if order.Model == "" && order.Role == "" {
			c.findings.Add(path, "asks for neither a model nor a role")
		}
		if order.Model != "" {
			reference(&c.findings, c.models, order.Model, path+".model", "model")
		}
		if seen[orderItem(order)] {
			c.findings.Add(path, "another order is about the same thing")
		}
		seen[orderItem(order)] = true
	}
}

func (c *checker) checkRosters() {
	if len(c.document.Rosters) > rostersKept {
		c.findings.Add("rosters", "has %d rosters, at most %d are kept", len(c.document.Rosters), rostersKept)
	}
	for index, roster := range c.document.Rosters {
		path := fmt.Sprintf("rosters[%d]", index)
		if index > 0 && roster.Epoch <= c.document.Rosters[index-1].Epoch {
			c.findings.Add(path+".epoch", "is not newer than the one before")
		}
		c.checkRoster(roster, path)
	}
}

func (c *checker) checkRoster(roster Roster, path string) {
	if len(roster.Daemons) == 0 {
		c.findings.Add(path+".daemons", "is empty")
	}
	seen := make(map[identity.DaemonID]bool, len(roster.Daemons))
	addresses := make(map[string]bool, len(roster.Daemons))
	for position, daemon := range roster.Daemons {
		daemonPath := fmt.Sprintf("%s.daemons[%d]", path, position)
		checkName(&c.findings, seen, namePattern, daemon.ID, daemonPath+".id")
		address, err := netip.ParseAddrPort(daemon.Address)
		if err != nil || address.Port() == 0 {
			c.findings.Add(daemonPath+".address", "%q is not an IP number with a port", daemon.Address)
		}
		if addresses[daemon.Address] {
			c.findings.Add(daemonPath+".address", "%q stands twice", daemon.Address)
		}
		addresses[daemon.Address] = true
	}
}
