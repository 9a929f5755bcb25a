package quarantine

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// end is the end of a back end under a request.
type end struct {
	fingerprint Fingerprint
	backend     uint64
}

// oracle has the time at which it first heard of each end, as long as that counts.
type oracle struct {
	ended     map[end]time.Time
	acquitted map[Fingerprint]time.Time
}

// add hears of an end.
func (o *oracle) add(now time.Time, crash Crash) {
	key := end{crash.Fingerprint, crash.Backend}
	before, known := o.ended[key]
	if known && o.counts(now, key, before) || !o.counts(now, key, crash.At) {
		return
	}
	o.ended[key] = crash.At
}

func (o *oracle) counts(now time.Time, key end, at time.Time) bool {
	return now.Sub(at) < EvidenceTTL && at.After(o.acquitted[key.fingerprint])
}

// ends are the times at which back ends ended under a request, as far as they count.
func (o *oracle) ends(now time.Time, fingerprint Fingerprint) []time.Time {
	return slices.SortedFunc(func(yield func(time.Time) bool) {
		for key, at := range o.ended {
			if key.fingerprint == fingerprint && o.counts(now, key, at) && !yield(at) {
				return
			}
		}
	}, time.Time.Compare)
}

// TestVerdictsAreThoseOfAllEvidence draws ends, acquittals and pauses, evidence that comes late,
// twice and out of order, and compares each verdict with one on all that was ever told.
func TestVerdictsAreThoseOfAllEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, told := NewTracker(), &oracle{ended: map[end]time.Time{}, acquitted: map[Fingerprint]time.Time{}}
		now := start
		fingerprints := rapid.SampledFrom([]Fingerprint{1, 2, 3})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			fingerprint := fingerprints.Draw(t, "fingerprint")
			late := time.Duration(rapid.IntRange(0, 900).Draw(t, "late")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if at := now.Add(-late); at.After(told.acquitted[fingerprint]) && ledger.records[fingerprint] != nil {
					ledger.RecordSuccess(fingerprint, at)
					told.acquitted[fingerprint] = at
				}
			case 1:
				now = now.Add(late)
			case 2:
				ledger.Sweep(now)
			default:
				crash := Crash{Fingerprint: fingerprint, Backend: rapid.Uint64Range(1, 6).Draw(t, "backend"), At: now.Add(-late)}
				ledger.Add(now, crash)
				told.add(now, crash)
			}
			for _, each := range []Fingerprint{1, 2, 3} {
				ends := told.ends(now, each)
				want := Status{Crashes: len(ends), Quarantined: len(ends) >= CrashLimit}
				if want.Quarantined {
					want.Remaining = EvidenceTTL - now.Sub(ends[len(ends)-CrashLimit])
				}
				assert.DeepEqual(t, ledger.Status(now, each), want)
			}
		}
	})
}

// TestEvidenceOfQuarantinesCarriesThem gives what one ledger tells to another.
func TestEvidenceOfQuarantinesCarriesThem(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	for index := range 5 {
		first.Add(start, Crash{Fingerprint: 1, Backend: uint64(index), At: start.Add(time.Duration(index) * time.Second)})
	}
	first.Add(start, Crash{Fingerprint: 2, Backend: 1, At: start})
	now := start.Add(10 * time.Second)
	for _, crash := range first.Quarantined(now, 10) {
		assert.Assert(t, second.Add(now, crash))
	}
	assert.Equal(t, second.Status(now, 1).Remaining, first.Status(now, 1).Remaining)
	assert.Assert(t, second.Status(now, 1).Quarantined)
	assert.Equal(t, second.Status(now, 2).Crashes, 0)
	assert.Equal(t, len(first.Quarantined(now, 0)), 0)
}

// TestLedgerIsBounded takes evidence against more requests than it holds: the newest stay.
func TestLedgerIsBounded(t *testing.T) {
	ledger := NewTracker()
	for index := range 3 * maximumRecords / 2 {
		now := start.Add(time.Duration(index) * time.Millisecond)
		ledger.Add(now, Crash{Fingerprint: Fingerprint(index), Backend: 1, At: now})
		assert.Assert(t, len(ledger.records) <= maximumRecords)
		assert.Equal(t, ledger.Status(now, Fingerprint(index)).Crashes, 1)
	}
}

// TestRepeatedEvidenceDoesNotRenew sends evidence to and fro, a little late each time, as daemons
// do: the quarantine ends when it would have.
func TestRepeatedEvidenceDoesNotRenew(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	for backend := range uint64(CrashLimit) {
		first.Add(start, Crash{Fingerprint: 1, Backend: backend + 1, At: start})
	}
	now := start
	for now.Sub(start) < EvidenceTTL+time.Minute {
		for _, way := range [][2]*Tracker{{first, second}, {second, first}} {
			for _, crash := range way[0].Quarantined(now, 1) {
				crash.At = crash.At.Add(500 * time.Millisecond) // its age was of when it was sent
				way[1].Add(now.Add(500*time.Millisecond), crash)
			}
		}
		now = now.Add(time.Second)
	}
	assert.Assert(t, !first.Status(now, 1).Quarantined && !second.Status(now, 1).Quarantined)
}
