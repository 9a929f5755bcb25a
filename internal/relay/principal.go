package relay

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/routing"
)

// principalKind says what a request's key tells of its sender. A request with a key never counts as anonymous: without its tenant
// it would run with the wrong name, priority, limit and cache.
type principalKind int

const (
	// principalAnonymous sent no key, or keys aren't used.
	principalAnonymous principalKind = iota
	// principalTenant sent the key of a tenant.
	principalTenant
	// principalUnknown sent a key of no tenant.
	principalUnknown
	// principalUnconfirmed sent a key while the configuration may be outdated.
	principalUnconfirmed
)

// principal is the sender of a request.
type principal struct {
	kind principalKind
	// tenant is nil unless kind is principalTenant.
	tenant *routing.Tenant
}

// identify returns the sender of a request with a key under a configuration that was confirmed some time ago.
func (r *Relay) identify(table *routing.Table, key string, confirmed time.Duration) principal {
	switch {
	case key == "" || !table.RequiresKey():
		return principal{kind: principalAnonymous}
	case confirmed > r.options.Policy.MaxConfirmationAgeForKeys:
		return principal{kind: principalUnconfirmed}
	}
	if tenant := table.Tenant(key); tenant != nil {
		return principal{kind: principalTenant, tenant: tenant}
	}
	return principal{kind: principalUnknown}
}

// tenantName returns the tenant's name; empty for anonymous senders.
func (p principal) tenantName() identity.TenantName {
	if p.tenant == nil {
		return ""
	}
	return p.tenant.Name
}

// isolatedTenant returns the name of the tenant if it shares no cache with others, or else an empty name.
func (p principal) isolatedTenant() identity.TenantName {
	if p.tenant == nil || !p.tenant.Isolated {
		return ""
	}
	return p.tenant.Name
}

// limit returns the limit of the tenant; nil means none.
func (p principal) limit() *routing.TenantLimit {
	if p.tenant == nil {
		return nil
	}
	return p.tenant.Limit
}
