package quota

import (
	"strings"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Owner identifies the owner of a limit: a tenant, or one incarnation of a backend. Create it with
// OwnerOfTenant or OwnerOfBackend.
type Owner string

// backendPrefix marks owners that are backends. Tenant names cannot contain it.
const backendPrefix = "\x00"

// OwnerOfTenant returns the owner for a tenant.
func OwnerOfTenant(name identity.TenantName) Owner { return Owner(name) }

// OwnerOfBackend returns the owner for a backend.
func OwnerOfBackend(id identity.BackendID) Owner { return Owner(backendPrefix + string(id)) }

// Backend returns the ID of the owning backend, or false if the owner is a tenant.
func (o Owner) Backend() (identity.BackendID, bool) {
	id, found := strings.CutPrefix(string(o), backendPrefix)
	return identity.BackendID(id), found
}
