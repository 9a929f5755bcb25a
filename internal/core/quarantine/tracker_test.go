package quarantine

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// crashKey identifies the crash of one backend under one request.
type crashKey struct {
	fingerprint Fingerprint
	backend     uint64
}

// oracle is a reference model. It keeps the time at which each crash was first reported, for as
// long as the crash counts.
type oracle struct {
	crashedAt   map[crashKey]time.Time
	succeededAt map[Fingerprint]time.Time
}

// add records a crash.
func (o *oracle) add(now time.Time, crash Crash) {
	key := crashKey{crash.Fingerprint, crash.Backend}
	before, known := o.crashedAt[key]
	if known && o.counts(now, key, before) || !o.counts(now, key, crash.At) {
		return
	}
	o.crashedAt[key] = crash.At
}

func (o *oracle) counts(now time.Time, key crashKey, at time.Time) bool {
	return now.Sub(at) < EvidenceTTL && at.After(o.succeededAt[key.fingerprint])
}

// crashTimes returns the times of the crashes that count against a request, oldest first.
func (o *oracle) crashTimes(now time.Time, fingerprint Fingerprint) []time.Time {
	return slices.SortedFunc(func(yield func(time.Time) bool) {
		for key, at := range o.crashedAt {
			if key.fingerprint == fingerprint && o.counts(now, key, at) && !yield(at) {
				return
			}
		}
	}, time.Time.Compare)
}

// TestStatusMatchesModel draws crashes, successes and pauses, with evidence that arrives late,
// twice and out of order, and compares each status with that of a reference model that sees the
// full history.
func TestStatusMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, model := NewTracker(), &oracle{crashedAt: map[crashKey]time.Time{}, succeededAt: map[Fingerprint]time.Time{}}
		now := start
		fingerprints := rapid.SampledFrom([]Fingerprint{1, 2, 3})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			fingerprint := fingerprints.Draw(t, "fingerprint")
			late := time.Duration(rapid.IntRange(0, 900).Draw(t, "late")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if at := now.Add(-late); at.After(model.succeededAt[fingerprint]) && tracker.records[fingerprint] != nil {
					tracker.RecordSuccess(fingerprint, at)
					model.succeededAt[fingerprint] = at
				}
			case 1:
				now = now.Add(late)
			case 2:
				tracker.Sweep(now)
			default:
				crash := Crash{Fingerprint: fingerprint, Backend: rapid.Uint64Range(1, 6).Draw(t, "backend"), At: now.Add(-late)}
				tracker.Add(now, crash)
				model.add(now, crash)
			}
			for _, each := range []Fingerprint{1, 2, 3} {
				times := model.crashTimes(now, each)
				want := Status{Crashes: len(times), Quarantined: len(times) >= CrashLimit}
				if want.Quarantined {
					want.Remaining = EvidenceTTL - now.Sub(times[len(times)-CrashLimit])
				}
				assert.DeepEqual(t, tracker.Status(now, each), want)
			}
		}
	})
}

// TestQuarantinedEvidenceTransfers passes the evidence of one tracker to another and expects the
// same quarantines there.
func TestQuarantinedEvidenceTransfers(t *testing.T) {
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

// TestTrackerIsBounded adds evidence against more requests than a tracker stores. The newest must
// be kept.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for index := range 3 * maxRecords / 2 {
		now := start.Add(time.Duration(index) * time.Millisecond)
		tracker.Add(now, Crash{Fingerprint: Fingerprint(index), Backend: 1, At: now})
		assert.Assert(t, len(tracker.records) <= maxRecords)
		assert.Equal(t, tracker.Status(now, Fingerprint(index)).Crashes, 1)
	}
}

// TestRepeatedEvidenceDoesNotExtendQuarantine sends evidence back and forth between two trackers
// with a delay each time, as daemons do. The quarantine must end as if it had been sent once.
func TestRepeatedEvidenceDoesNotExtendQuarantine(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	for backend := range uint64(CrashLimit) {
		first.Add(start, Crash{Fingerprint: 1, Backend: backend + 1, At: start})
	}
	now := start
	for now.Sub(start) < EvidenceTTL+time.Minute {
		for _, way := range [][2]*Tracker{{first, second}, {second, first}} {
			for _, crash := range way[0].Quarantined(now, 1) {
				crash.At = crash.At.Add(500 * time.Millisecond) // the age was computed when it was sent
				way[1].Add(now.Add(500*time.Millisecond), crash)
			}
		}
		now = now.Add(time.Second)
	}
	assert.Assert(t, !first.Status(now, 1).Quarantined && !second.Status(now, 1).Quarantined)
}
