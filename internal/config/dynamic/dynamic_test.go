package dynamic

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/finding"
)

var start = time.Date(2026, 12, 5, 5, 30, 0, 123456789, time.FixedZone("MUT", 4*3600))

func keyHash(number int) string { return fmt.Sprintf("%064x", number) }

func baseDocument(tenants int) *Document {
	document := &Document{Revision: 1}
	for number := range tenants {
		document.Tenants = append(document.Tenants, Tenant{
			Name:      identity.TenantName(fmt.Sprintf("tenant-%05d", number)),
			KeyHashes: []string{keyHash(number)},
			Limits:    TenantLimits{TokensPerSecond: 1000, ConcurrentRequests: 20, Weight: 1},
		})
	}
	return document
}

func drawOperation(t *rapid.T) Operation {
	tenant := identity.TenantName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"))
	backend := identity.BackendID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "backend"))
	number := rapid.IntRange(0, 9).Draw(t, "number")
	event := fmt.Sprintf("event-%d", number%3)
	operations := []Operation{
		{PutTenant: &Tenant{Name: tenant, KeyHashes: []string{keyHash(number)}}},
		{RemoveTenant: &tenant},
		{SetLimits: &SetLimits{Tenant: tenant, Limits: TenantLimits{Weight: float64(number)}}},
		{PutEvent: &Event{Name: event, Start: start, End: start.Add(time.Hour), Tenants: []identity.TenantName{}}},
		{CancelEvent: &event},
		{DrainBackend: &backend},
		{ReturnBackend: &backend},
		{PutOrder: &StandingOrder{Backend: backend, Role: fmt.Sprint(number)}},
		{PutModel: &Model{Name: "m", Version: identity.WeightsVersion(fmt.Sprint(number)), ContextTokens: 1}},
		{PutService: &Service{Name: "s", Kind: identity.KindApp, ConcurrentLoads: number}},
		{PutRoster: &Roster{Epoch: uint64(number + 1)}},
		{Replace: &Document{
			Tenants: []Tenant{{Name: "c"}, {Name: "a"}},
			Rosters: []Roster{{Epoch: uint64(number)}}[:number%2],
		}},
	}
	return rapid.SampledFrom(operations).Draw(t, "operation")
}

func drawChange(t *rapid.T, document *Document) Change {
	change := Change{
		ID:        fmt.Sprintf("change-%d", document.Revision),
		Operator:  rapid.SampledFrom([]string{"anna", "ben"}).Draw(t, "operator"),
		At:        start.Add(time.Duration(document.Revision) * time.Second),
		Operation: drawOperation(t),
	}
	if rapid.Bool().Draw(t, "based") {
		base := identity.Revision(rapid.Uint64Range(0, uint64(document.Revision)).Draw(t, "base"))
		change.Base = &base
	}
	return change
}

func digest(t assert.TestingT, document *Document) Digest {
	sum, err := DigestOf(document)
	assert.NilError(t, err)
	return sum
}

// The oracle of conflicts is the plain list of what each revision touched.
func TestApplyConflictsExactlyWhenItsItemWasTouchedSinceItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := &Document{}
		touched := map[identity.Revision]Item{}
		before := map[identity.Revision]*Document{0: document}
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			change := drawChange(t, document)
			item := change.Operation.item()
			expectConflict := false
			for revision, other := range touched {
				if change.Base != nil && revision > *change.Base && (other == item || other == ItemAll || item == ItemAll) {
					expectConflict = true
				}
			}
			old := digest(t, document)
			next, err := Apply(document, change)
			assert.Equal(t, digest(t, document), old, "Apply modified its argument")

			var conflict *ConflictError
			assert.Equal(t, errors.As(err, &conflict), expectConflict, "%v", err)
			if conflict != nil {
				assert.Equal(t, conflict.ChangedBy != "", true)
				assert.Assert(t, conflict.ChangeRevision > *change.Base)
				if item == touched[conflict.ChangeRevision] && !replacedSince(touched, *change.Base) {
					based := before[*change.Base].itemJSON(change.Operation)
					assert.Equal(t, string(conflict.BasedOn), string(based))
				}
			}
			if err != nil {
				continue
			}
			assert.Equal(t, next.Revision, document.Revision+1)
			assert.Assert(t, newestEpoch(next) >= newestEpoch(document), "a roster's epoch went back")
			summed, err := fullSum(next)
			assert.NilError(t, err)
			assert.Equal(t, *next.entries, summed, "the sum was not kept")
			touched[next.Revision] = item
			before[next.Revision] = next
			document = next
		}
	})
}

func newestEpoch(document *Document) uint64 {
	if len(document.Rosters) == 0 {
		return 0
	}
	return document.Rosters[len(document.Rosters)-1].Epoch
}

func replacedSince(touched map[identity.Revision]Item, base identity.Revision) bool {
	for revision, item := range touched {
		if revision > base && (item == ItemAll || item == ItemRosters) {
			return true
		}
	}
	return false
}

func TestReplicasThatStoreAndSendDifferentlyHaveEqualDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, stored, sent := &Document{}, &Document{}, &Document{}
		for range rapid.IntRange(1, 15).Draw(t, "changes") {
			change := drawChange(t, direct)
			next, err := Apply(direct, change)
			if err != nil {
				continue
			}
			direct = next
			stored = applyThroughJSON(t, stored, change)
			sent = applyThroughMsgpack(t, sent, change)
			assert.Equal(t, digest(t, stored), digest(t, direct))
			assert.Equal(t, digest(t, sent), digest(t, direct))
		}
	})
}

func applyThroughJSON(t *rapid.T, document *Document, change Change) *Document {
	encoded, err := json.Marshal(change)
	assert.NilError(t, err)
	var decoded Change
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	next, err := Apply(document, decoded)
	assert.NilError(t, err)
	encoded, err = json.Marshal(next)
	assert.NilError(t, err)
	reread := &Document{}
	assert.NilError(t, json.Unmarshal(encoded, reread))
	return reread
}

func applyThroughMsgpack(t *rapid.T, document *Document, change Change) *Document {
	encoded, err := EncodeChange(change)
	assert.NilError(t, err)
	decoded, err := DecodeChange(encoded)
	assert.NilError(t, err)
	next, err := Apply(document, decoded)
	assert.NilError(t, err)
	whole, err := EncodeDocument(next)
	assert.NilError(t, err)
	reread, err := DecodeDocument(whole)
	assert.NilError(t, err)
	return reread
}

func TestBaseOlderThanTheHistoryIsAConflict(t *testing.T) {
	document := &Document{}
	for number := range HistoryLength + 1 {
		next, err := Apply(document, Change{
			ID: fmt.Sprint(number), Operator: "anna", At: start,
			Operation: Operation{PutTenant: &Tenant{Name: "a"}},
		})
		assert.NilError(t, err)
		document = next
	}
	assert.Equal(t, len(document.History), HistoryLength)
	event := Operation{PutEvent: &Event{Name: "e"}}
	for base, expectConflict := range map[identity.Revision]bool{0: true, 1: false} {
		_, err := Apply(document, Change{ID: "late", Base: &base, Operation: event})
		var conflict *ConflictError
		assert.Equal(t, errors.As(err, &conflict), expectConflict, "base %d: %v", base, err)
	}
}

func TestExampleIsValidAndSurvivesAnImport(t *testing.T) {
	document, err := ParseDocument("example.yaml", Example)
	assert.NilError(t, err)
	imported, err := Apply(nil, Change{ID: "import", Operator: "anna", At: start, Operation: Operation{Replace: document}})
	assert.NilError(t, err)
	assert.NilError(t, Validate(imported))
	assert.Equal(t, len(imported.Tenants), 2)
}

func TestOperatorsPageShowsTheExample(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operations", "configuration.md"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "```yaml\n"+string(Example)+"```\n"))
}

func TestParseDocumentReportsAllFindingsWithTheirPlaces(t *testing.T) {
	text := `tenants:
  - name: club
    key_hashes: [abc]
  - name: club
    limits: {weight: -1}
events:
  - name: race
    start: 2026-12-05T05:30:00Z
    end: 2026-12-05T05:30:00Z
    tenants: [nobody]
rosters:
  - epoch: 1
    daemons: [{id: d1, address: "host:7400"}]
`
	_, err := ParseDocument("import.yaml", []byte(text))
	var found *finding.Error
	assert.Assert(t, errors.As(err, &found), "%v", err)
	for _, expected := range []string{
		"import.yaml:3:18: tenants[0].key_hashes[0]: is not a SHA-256 sum",
		`tenants[1].name: "club" stands twice`,
		"tenants[1].limits.weight: must not be negative",
		"events[0].end: is not after the start",
		`events[0].tenants[0]: there is no tenant "nobody"`,
		`rosters[0].daemons[0].address: "host:7400" is not an IP number with a port`,
	} {
		assert.Assert(t, strings.Contains(err.Error(), expected), "%q not in:\n%v", expected, err)
	}
	assert.Equal(t, len(found.Findings), 6, "%v", err)

	_, err = ParseDocument("import.yaml", []byte("tenant: []\nmodels:\n  - nam: x\n"))
	assert.ErrorContains(t, err, "import.yaml:1:1: tenant: unknown key")
	assert.ErrorContains(t, err, "import.yaml:3:5: models[0].nam: unknown key")
}

func FuzzParseDocument(f *testing.F) {
	f.Add(Example)
	f.Add([]byte(`{"tenants":[{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := ParseDocument("fuzz", text)
		if err != nil {
			var found *finding.Error
			assert.Assert(t, errors.As(err, &found) && len(found.Findings) > 0, "%v", err)
			return
		}
		assert.NilError(t, Validate(document))
	})
}

func FuzzDecodeChange(f *testing.F) {
	for _, operation := range []Operation{{Replace: &Document{}}, {PutTenant: &Tenant{Name: "a"}}} {
		encoded, err := EncodeChange(Change{ID: "seed", Operator: "anna", At: start, Operation: operation})
		assert.NilError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		change, err := DecodeChange(encoded)
		if err != nil {
			return
		}
		again, err := EncodeChange(change)
		assert.NilError(t, err)
		_, err = DecodeChange(again)
		assert.NilError(t, err)
	})
}
