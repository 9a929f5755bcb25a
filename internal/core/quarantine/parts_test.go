package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// partOf returns the fingerprint of a part.
func partOf(id string) Fingerprint { return PartFingerprintOf("", id) }

// partsOf returns the fingerprints of parts.
func partsOf(ids ...string) []Fingerprint {
	var parts []Fingerprint
	for _, id := range ids {
		parts = append(parts, partOf(id))
	}
	return parts
}

// crashUnder records that a backend crashed under prompts with some parts.
func crashUnder(tracker *Tracker, at time.Time, backend uint64, ids ...string) {
	for _, id := range ids {
		tracker.Add(at, Crash{Fingerprint: partOf(id), Backend: backend, At: at, Part: true})
	}
}

func serve(tracker *Tracker, at time.Time, ids ...string) {
	for _, id := range ids {
		tracker.RecordSuccess(partOf(id), at)
	}
}

// TestFatalPartIsBlamedAlone crashes backends under prompts with one fatal part, whose other parts are served elsewhere.
func TestFatalPartIsBlamedAlone(t *testing.T) {
	tracker := NewTracker()
	crashUnder(tracker, start, 1, "fatal", "popular", "rare")
	serve(tracker, start.Add(50*time.Millisecond), "popular")
	crashUnder(tracker, start.Add(time.Second), 2, "fatal", "popular", "other")
	now := start.Add(2 * time.Second)
	assert.Assert(t, tracker.StatusOfParts(now, partsOf("fatal", "new")).Quarantined)
	for _, sound := range []string{"popular", "rare", "other", "new"} {
		assert.Assert(t, !tracker.StatusOfParts(now, partsOf(sound)).IsBlamed(), sound)
	}
}

// TestCompanionsOfAFatalPartAreTold blames a fatal part and two that always stand beside it, until one of these is served alone.
func TestCompanionsOfAFatalPartAreTold(t *testing.T) {
	tracker := NewTracker()
	crashUnder(tracker, start, 1, "fatal", "first", "last")
	crashUnder(tracker, start.Add(time.Second), 2, "fatal", "first", "last")
	now := start.Add(2 * time.Second)
	assert.Assert(t, tracker.StatusOfParts(now, partsOf("first", "fatal", "last")).Quarantined)
	companions := tracker.StatusOfParts(now, partsOf("first", "last"))
	assert.Assert(t, companions.Ambiguous && !companions.Quarantined)
	serve(tracker, now, "first", "last")
	assert.Assert(t, !tracker.StatusOfParts(now, partsOf("first", "last")).IsBlamed())
	assert.Assert(t, tracker.StatusOfParts(now, partsOf("fatal")).Quarantined)
}

// TestPartsOfAZoneThatEndedAreNotBlamed ends many backends within moments, under prompts of which nothing is served.
func TestPartsOfAZoneThatEndedAreNotBlamed(t *testing.T) {
	tracker := NewTracker()
	for backend := range uint64(40) {
		crashUnder(tracker, start.Add(time.Duration(backend)*5*time.Millisecond), backend+1, "everywhere", fmt.Sprint("some", backend%7))
	}
	now := start.Add(time.Second)
	assert.Assert(t, !tracker.StatusOfParts(now, partsOf("everywhere", "some1")).IsBlamed())
}

// TestRetriedRequestDoesNotBlameItsParts crashes backends under the retries of one request.
func TestRetriedRequestDoesNotBlameItsParts(t *testing.T) {
	tracker := NewTracker()
	for backend := range uint64(3) {
		at := start.Add(time.Duration(backend) * time.Second)
		tracker.Add(at, Crash{Fingerprint: 99, Backend: backend + 1, At: at})
		crashUnder(tracker, at, backend+1, "part")
	}
	now := start.Add(4 * time.Second)
	assert.Assert(t, tracker.Status(now, 99).Quarantined)
	assert.Assert(t, !tracker.StatusOfParts(now, partsOf("part")).IsBlamed())
}

// TestBlamedAgreesWithStatus lists what is blamed after drawn crashes and successes; the oracle asks for the status of each.
func TestBlamedAgreesWithStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(), start
		ids := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			id, backend := rapid.SampledFrom(ids).Draw(t, "part"), uint64(rapid.IntRange(1, 9).Draw(t, "backend"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				serve(tracker, now, id)
			case 1:
				tracker.Add(now, Crash{Fingerprint: Fingerprint(backend % 3), Backend: backend, At: now})
			default:
				crashUnder(tracker, now, backend, id, rapid.SampledFrom(ids).Draw(t, "companion"))
			}
			listed := map[Fingerprint]Blamed{}
			for _, each := range tracker.Blamed(now) {
				listed[each.Fingerprint] = each
			}
			for _, part := range partsOf(ids...) {
				status, found := tracker.StatusOfParts(now, []Fingerprint{part}), listed[part]
				assert.Equal(t, found.Part, status.IsBlamed())
				assert.Equal(t, found.Companions > 0, status.Ambiguous)
				assert.Equal(t, found.Crashes, status.Crashes)
			}
			for request := range Fingerprint(3) {
				status, found := tracker.Status(now, request), listed[request]
				assert.Equal(t, found.Crashes > 0, status.Quarantined)
				assert.Equal(t, found.Remaining, status.Remaining)
			}
		}
	})
}

// TestBlameEnds lets the evidence expire.
func TestBlameEnds(t *testing.T) {
	tracker := NewTracker()
	crashUnder(tracker, start, 1, "fatal")
	crashUnder(tracker, start.Add(time.Second), 2, "fatal")
	status := tracker.StatusOfParts(start.Add(2*time.Second), partsOf("fatal"))
	assert.Assert(t, status.Quarantined)
	assert.Assert(t, !tracker.StatusOfParts(start.Add(2*time.Second).Add(status.Remaining), partsOf("fatal")).IsBlamed())
	tracker.Sweep(start.Add(EvidenceTTL + 2*time.Second))
	assert.Equal(t, len(tracker.parts)+len(tracker.crashedAt), 0)
}

// TestFatalPartIsFound draws prompts with and without one fatal part, which run beside each other on backends. Each crash counts
// against all parts that ran there, and a prompt without the fatal part is served some time later. The fatal part must be blamed
// from the third crash on, and no part that was served since its last crash.
func TestFatalPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(), start
		sound := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
		suspected := map[string]bool{}
		crashes := rapid.IntRange(3, 12).Draw(t, "crashes")
		for crash := range crashes {
			now = now.Add(time.Duration(rapid.IntRange(25, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			beside := rapid.SliceOfN(sound, 0, 6).Draw(t, "beside")
			crashUnder(tracker, now, uint64(crash+1), append(beside, "fatal")...)
			for _, id := range beside {
				suspected[id] = true
			}
			for _, id := range rapid.SliceOfN(sound, 0, 8).Draw(t, "served") {
				serve(tracker, now.Add(10*time.Millisecond), id)
				delete(suspected, id)
			}
			fatal := tracker.StatusOfParts(now.Add(20*time.Millisecond), partsOf("fatal"))
			if crash >= 1 {
				assert.Assert(t, fatal.IsBlamed(), "after %d crashes", crash+1)
			}
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				status := tracker.StatusOfParts(now.Add(20*time.Millisecond), partsOf(id))
				assert.Assert(t, suspected[id] || !status.IsBlamed(), "%s was served", id)
				assert.Assert(t, !status.Quarantined, "%s is never the only explanation", id)
			}
		}
	})
}
