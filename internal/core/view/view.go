// Package view compiles the configuration document and the known back ends into
// one immutable value that traffic goroutines read without locks.
package view

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
)

// View is one consistent picture of configuration and back ends.
type View struct {
	Document *dynamic.Document
	Backends []scheduler.Backend
	// Isolated is set while the daemon cannot know whether its configuration is
	// the newest: it reaches neither the table nor a majority of its peers.
	Isolated bool
	// BackendsKnown is set once a daemon that starts has heard of the back ends.
	BackendsKnown bool

	tenantsByKeyHash map[string]*dynamic.Tenant
	models           map[identity.ModelName]*dynamic.Model
	services         map[identity.ServiceName]*dynamic.Service
	// serving are the weights versions in use where they differ from the document's.
	serving map[identity.ModelName]identity.WeightsVersion
}

// New compiles a view. Neither argument may be modified afterwards.
func New(document *dynamic.Document, backends []scheduler.Backend) *View {
	compiled := &View{
		Document:         document,
		Backends:         backends,
		tenantsByKeyHash: make(map[string]*dynamic.Tenant, len(document.Tenants)),
		models:           make(map[identity.ModelName]*dynamic.Model, len(document.Models)),
		services:         make(map[identity.ServiceName]*dynamic.Service, len(document.Services)),
	}
	for index := range document.Tenants {
		tenant := &document.Tenants[index]
		for _, hash := range tenant.KeyHashes {
			compiled.tenantsByKeyHash[hash] = tenant
		}
	}
	for index := range document.Models {
		compiled.models[document.Models[index].Name] = &document.Models[index]
	}
	for index := range document.Services {
		compiled.services[document.Services[index].Name] = &document.Services[index]
	}
	compiled.serving = servingVersions(document.Models, backends)
	return compiled
}

// WithBackends returns a copy of the view with other back ends.
func (v *View) WithBackends(backends []scheduler.Backend) *View {
	changed := *v
	changed.Backends = backends
	changed.serving = servingVersions(v.Document.Models, backends)
	return &changed
}

// WithIsolated returns a copy of the view with Isolated set as given.
func (v *View) WithIsolated(isolated bool) *View {
	changed := *v
	changed.Isolated = isolated
	return &changed
}

// WithBackendsKnown returns a copy of the view with BackendsKnown set as given.
func (v *View) WithBackendsKnown(known bool) *View {
	changed := *v
	changed.BackendsKnown = known
	return &changed
}

// HashKey returns the form in which the configuration stores a bearer key.
func HashKey(bearerKey string) string {
	sum := sha256.Sum256([]byte(bearerKey))
	return hex.EncodeToString(sum[:])
}

// TenantByKey finds the tenant of a bearer key, or nil.
func (v *View) TenantByKey(bearerKey string) *dynamic.Tenant {
	return v.tenantsByKeyHash[HashKey(bearerKey)]
}

// Model finds a model by name, or nil.
func (v *View) Model(name identity.ModelName) *dynamic.Model {
	return v.models[name]
}

// ServingVersion is the version of a model's weights that requests run on now. It
// is the configured one, but while engines are still being loaded with it, the one
// that most of them have.
func (v *View) ServingVersion(model *dynamic.Model) identity.WeightsVersion {
	if version, found := v.serving[model.Name]; found {
		return version
	}
	return model.Version
}

// Service finds a service by name, or nil.
func (v *View) Service(name identity.ServiceName) *dynamic.Service {
	return v.services[name]
}

// NotRepeatable tells whether a tenant's request to a path of a service must run
// at most once, by the service itself or by an event that is on.
func (v *View) NotRepeatable(tenant identity.TenantName, service identity.ServiceName, path string, now time.Time) bool {
	if found := v.services[service]; found != nil {
		if matchesAny(found.NotRepeatable, path) {
			return true
		}
	}
	for index := range v.Document.Events {
		event := &v.Document.Events[index]
		if now.Before(event.Start) || !now.Before(event.End) {
			continue
		}
		if !slices.Contains(event.Tenants, tenant) {
			continue
		}
		for _, route := range event.NotRepeatable {
			if route.Service == service && strings.HasPrefix(path, route.Prefix) {
				return true
			}
		}
	}
	return false
}

func matchesAny(prefixes []string, path string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		return strings.HasPrefix(path, prefix)
	})
}
