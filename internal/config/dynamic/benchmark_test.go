package dynamic

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// targetTenants is the number of tenants at the target size.
const targetTenants = 15_000

// fullHistory gives a document a history of its greatest length.
func fullHistory(b *testing.B, document *Document) *Document {
	for range HistoryLength {
		document = applied(b, document, limitsChange())
	}
	return document
}

func limitsChange() Change {
	return Change{
		ID: "0193a5f0-7c1e-7b1a-9f54-3c2d1e0f9a8b", Operator: "anna", At: start,
		Operation: Operation{SetLimits: &SetLimits{Tenant: "tenant-07500", Limits: TenantLimits{TokensPerSecond: 2000}}},
	}
}

func applied(b *testing.B, document *Document, change Change) *Document {
	next, err := Apply(document, change)
	assert.NilError(b, err)
	return next
}

func BenchmarkApplyTenantLimits(b *testing.B) {
	document := fullHistory(b, baseDocument(targetTenants))
	change := limitsChange()
	b.ReportAllocs()
	for b.Loop() {
		applied(b, document, change)
	}
}

func BenchmarkApplyDrain(b *testing.B) {
	document := fullHistory(b, baseDocument(targetTenants))
	backend := identity.BackendID("runner-0001")
	change := Change{ID: "drain", Operator: "anna", At: start, Operation: Operation{DrainBackend: &backend}}
	b.ReportAllocs()
	for b.Loop() {
		applied(b, document, change)
	}
}

func BenchmarkValidate(b *testing.B) {
	document := baseDocument(targetTenants)
	for b.Loop() {
		assert.NilError(b, Validate(document))
	}
}

func BenchmarkDigest(b *testing.B) {
	document := fullHistory(b, baseDocument(targetTenants))
	b.ReportAllocs()
	for b.Loop() {
		_, err := DigestOf(document)
		assert.NilError(b, err)
	}
}

// BenchmarkSizes reports bytes, not time.
func BenchmarkSizes(b *testing.B) {
	change, err := EncodeChange(limitsChange())
	assert.NilError(b, err)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	document := fullHistory(b, baseDocument(targetTenants))
	runtime.GC()
	runtime.ReadMemStats(&after)
	encoded, err := EncodeDocument(document)
	assert.NilError(b, err)
	for b.Loop() {
		runtime.KeepAlive(document)
	}
	b.ReportMetric(float64(len(change)), "change-bytes")
	b.ReportMetric(float64(len(encoded)), "document-encoded-bytes")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "document-heap-bytes")
}
