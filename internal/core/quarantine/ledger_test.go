package quarantine

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// oracle remembers all evidence and counts it anew at each question.
type oracle struct {
	crashes   []Crash
	acquitted map[Fingerprint]time.Time
}

// ends are the times at which each back end ended under a request, as far as they count.
func (o *oracle) ends(now time.Time, fingerprint Fingerprint) []time.Time {
	latest := map[uint64]time.Time{}
	for _, each := range o.crashes {
		counts := each.Fingerprint == fingerprint && each.At.After(o.acquitted[fingerprint])
		if counts && each.At.After(latest[each.Backend]) {
			latest[each.Backend] = each.At
		}
	}
	return slices.SortedFunc(func(yield func(time.Time) bool) {
		for at := range maps.Values(latest) {
			if now.Sub(at) < HoldTime && !yield(at) {
				return
			}
		}
	}, time.Time.Compare)
}

// TestVerdictsAreThoseOfAllEvidence draws ends, acquittals and pauses, evidence that comes late,
// twice and out of order, and compares each verdict with one on all that was ever told.
func TestVerdictsAreThoseOfAllEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, told := NewLedger(), &oracle{acquitted: map[Fingerprint]time.Time{}}
		now := start
		fingerprints := rapid.SampledFrom([]Fingerprint{1, 2, 3})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			fingerprint := fingerprints.Draw(t, "fingerprint")
			late := time.Duration(rapid.IntRange(0, 900).Draw(t, "late")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if at := now.Add(-late); at.After(told.acquitted[fingerprint]) && ledger.records[fingerprint] != nil {
					ledger.Acquit(fingerprint, at)
					told.acquitted[fingerprint] = at
				}
			case 1:
				now = now.Add(late)
			case 2:
				ledger.Sweep(now)
			default:
				crash := Crash{Fingerprint: fingerprint, Backend: rapid.Uint64Range(1, 6).Draw(t, "backend"), At: now.Add(-late)}
				counts := now.Sub(crash.At) < HoldTime && crash.At.After(told.acquitted[fingerprint])
				ledger.Add(now, crash)
				if counts {
					told.crashes = append(told.crashes, crash)
				}
			}
			for _, each := range []Fingerprint{1, 2, 3} {
				ends := told.ends(now, each)
				want := Verdict{Crashes: len(ends), Quarantined: len(ends) >= CrashLimit}
				if want.Quarantined {
					want.Left = HoldTime - now.Sub(ends[len(ends)-CrashLimit])
				}
				assert.DeepEqual(t, ledger.Verdict(now, each), want)
			}
		}
	})
}

// TestEvidenceOfQuarantinesCarriesThem gives what one ledger tells to another.
func TestEvidenceOfQuarantinesCarriesThem(t *testing.T) {
	first, second := NewLedger(), NewLedger()
	for index := range 5 {
		first.Add(start, Crash{Fingerprint: 1, Backend: uint64(index), At: start.Add(time.Duration(index) * time.Second)})
	}
	first.Add(start, Crash{Fingerprint: 2, Backend: 1, At: start})
	now := start.Add(10 * time.Second)
	for _, crash := range first.Quarantined(now, 10) {
		assert.Assert(t, second.Add(now, crash))
	}
	assert.Equal(t, second.Verdict(now, 1).Left, first.Verdict(now, 1).Left)
	assert.Assert(t, second.Verdict(now, 1).Quarantined)
	assert.Equal(t, second.Verdict(now, 2).Crashes, 0)
	assert.Equal(t, len(first.Quarantined(now, 0)), 0)
}

// TestLedgerIsBounded takes evidence against more requests than it holds: the newest stay.
func TestLedgerIsBounded(t *testing.T) {
	ledger := NewLedger()
	for index := range 3 * maximumRecords / 2 {
		now := start.Add(time.Duration(index) * time.Millisecond)
		ledger.Add(now, Crash{Fingerprint: Fingerprint(index), Backend: 1, At: now})
		assert.Assert(t, len(ledger.records) <= maximumRecords)
		assert.Equal(t, ledger.Verdict(now, Fingerprint(index)).Crashes, 1)
	}
}
