package capacity

import (
	"fmt"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

const tenantsWord = "tenants"

func tenantName(index int) identity.TenantName {
	return identity.TenantName(fmt.Sprintf("tenant-%05d", index))
}

func limitsChange(number int) dynamic.Change {
	return dynamic.Change{
		ID: "0193a5f0-7c1e-7b1a-9f54-3c2d1e0f9a8b", Operator: "anna", At: start,
		Operation: dynamic.Operation{SetLimits: &dynamic.SetLimits{
			Tenant: tenantName(0), Limits: dynamic.TenantLimits{TokensPerSecond: float64(1000 + number)},
		}},
	}
}

func madeTenants(count int) []dynamic.Tenant {
	var tenants []dynamic.Tenant
	for index := range count {
		tenants = append(tenants, dynamic.Tenant{
			Name: tenantName(index), KeyHashes: []string{view.HashKey(fmt.Sprint("key of ", index))},
			Limits: dynamic.TenantLimits{TokensPerSecond: 1000, ConcurrentRequests: 20, Weight: 1},
		})
	}
	return tenants
}

// document makes a configuration with a full history of changes.
func (m *measurement) document(tenants int) *dynamic.Document {
	made := &dynamic.Document{Revision: 1, Tenants: madeTenants(tenants)}
	for number := range dynamic.HistoryLength {
		made = m.applied(made, limitsChange(number))
	}
	return made
}

func (m *measurement) applied(document *dynamic.Document, change dynamic.Change) *dynamic.Document {
	next, err := dynamic.Apply(document, change)
	m.note(err)
	return next
}

// measureConfiguration measures what a change costs, and what the document takes.
func (m *measurement) measureConfiguration() {
	sizes := m.growing(m.sizes.Tenants)
	slopes := &m.slopes.Configuration
	slopes.ApplySeconds = m.watch.over(tenantsWord, sizes, func(size int) func() {
		document, change := m.document(size), limitsChange(1)
		return func() {
			next := m.applied(document, change)
			_, err := dynamic.DigestOf(next)
			m.note(err)
		}
	})
	slopes.ViewSeconds = m.watch.over(tenantsWord, sizes, func(size int) func() {
		document := m.document(size)
		return func() { view.New(document, nil) }
	})
	slopes.DocumentBytes = heapOver(tenantsWord, sizes, m.document)
	documents := map[int]*dynamic.Document{}
	for _, size := range sizes {
		documents[size] = m.document(size)
	}
	slopes.ViewBytes = heapOver(tenantsWord, sizes, func(size int) *view.View { return view.New(documents[size], nil) })
	encoded := projection.Slope{Unit: bytesUnit, Of: tenantsWord}
	for _, size := range sizes {
		body, err := dynamic.EncodeDocument(documents[size])
		m.note(err)
		encoded.Points = append(encoded.Points, projection.Point{Size: float64(size), Value: float64(len(body))})
	}
	slopes.EncodedBytes = encoded
	change, err := dynamic.EncodeChange(limitsChange(1))
	m.note(err)
	slopes.ChangeBytes = projection.Constant(bytesUnit, float64(len(change)))
}

func tenantLimits(count int) []scheduler.TenantLimit {
	limits := make([]scheduler.TenantLimit, count)
	for index := range limits {
		limits[index] = scheduler.TenantLimit{Tenant: tenantName(index), Weight: 1, TokensPerSecond: 1000, ConcurrentRequests: 20}
	}
	return limits
}
