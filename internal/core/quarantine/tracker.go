package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of backends that must have crashed under a request before it is
	// quarantined. One crash is weak evidence, since up to 16 requests are in flight on a backend when
	// it crashes. An innocent request is rarely present at a second crash, because it is usually
	// served in between: with a quarter of 18 backends crashing six times in a day, none was
	// quarantined, whether the limit was two or three (six seeds). Each further crash fails about four
	// other requests.
	CrashLimit = 2
	// EvidenceTTL is how long a crash counts as evidence. A quarantine ends this long after the
	// second-newest crash, so a request that crashes every backend crashes at most two in ten minutes,
	// and one that was quarantined by mistake, or that a new version of the backends handles, is
	// served again without an operator.
	EvidenceTTL = 10 * time.Minute
	// maxRecords bounds the number of tracked requests, at about 200 bytes each. The loss of a zone
	// with 466 backends affects about 9,300 requests. The oldest evidence is evicted first.
	maxRecords = 16 << 10
	// maxCrashesPerRequest bounds the crashes stored for one request.
	maxCrashesPerRequest = 8
	// maxCrashesPerPart bounds those stored for one part. Crashes that it is no longer known to explain would be blamed on others.
	maxCrashesPerPart = 64
)

// Crash records that a backend crashed while it may have been running a request.
type Crash struct {
	Fingerprint Fingerprint
	// Backend is the hash of the backend's ID.
	Backend uint64
	At      time.Time
	// Part is set if Fingerprint is that of a shared part of prompts rather than of a request.
	Part bool
}

// Status is the current assessment of a request.
type Status struct {
	// Crashes is the number of backends that crashed under the request.
	Crashes int
	// Quarantined requests are not dispatched to any backend. Remaining is the time until the
	// quarantine ends.
	Quarantined bool
	Remaining   time.Duration
	// Uncertain is set if the request would be quarantined once the crashes still under investigation
	// are confirmed. A Tracker never sets it.
	Uncertain bool
	// Ambiguous is set if a shared part of the prompt may crash backends or another part that was always there as well. Such
	// prompts are dispatched one at a time, which tells these parts apart.
	Ambiguous bool
	// OfPart is set if the status is that of a shared part of the prompt.
	OfPart bool
}

// IsBlamed reports whether the request is quarantined or ambiguous.
func (s Status) IsBlamed() bool { return s.Quarantined || s.Ambiguous }

// Tracker counts the backends that crashed under each request. Create it with NewTracker. It is
// not safe for concurrent use.
type Tracker struct {
	records map[Fingerprint]*record
	// parts are the records of parts, and crashedAt is when each backend crashed, by the hash of its ID.
	parts     map[Fingerprint]bool
	crashedAt map[uint64]time.Time
	// numbered and blame are kept until there is new evidence; nil is not made. outdated is set if there is evidence that blame
	// does not consider yet.
	numbered map[uint64]int
	blame    *blame
	outdated bool
}

// record is the evidence about one request.
type record struct {
	// crashes are sorted by time, oldest first.
	crashes []Crash
	// succeededAt is the time of the latest complete response. Crashes up to that time do not count.
	succeededAt time.Time
	part        bool
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{records: map[Fingerprint]*record{}, parts: map[Fingerprint]bool{}, crashedAt: map[uint64]time.Time{}}
}

// Add records a crash. It returns false if the crash was already known, has expired, or precedes a
// successful response.
func (t *Tracker) Add(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) >= EvidenceTTL {
		return false
	}
	found := t.records[crash.Fingerprint]
	if found == nil {
		t.evictOldest(now)
		found = &record{part: crash.Part}
		t.records[crash.Fingerprint] = found
	}
	if !found.add(now, crash) {
		return false
	}
	t.noteCrash(crash)
	return true
}

// add records a crash, keeping the time at which it was first reported. Daemons send crashes to
// each other repeatedly, and the time derived from a received age is later by the network delay
// each time, so taking the newest time would extend a quarantine forever.
func (r *record) add(now time.Time, crash Crash) bool {
	r.crashes = slices.DeleteFunc(r.crashes, func(each Crash) bool { return now.Sub(each.At) >= EvidenceTTL })
	known := slices.ContainsFunc(r.crashes, func(each Crash) bool { return each.Backend == crash.Backend })
	if known || !crash.At.After(r.succeededAt) {
		return false
	}
	r.crashes = append(r.crashes, crash)
	slices.SortStableFunc(r.crashes, byTime)
	most := maxCrashesPerRequest
	if r.part {
		most = maxCrashesPerPart
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-most):]
	return true
}

func byTime(left, right Crash) int { return left.At.Compare(right.At) }

// RecordSuccess records that a request got a complete response at a time, so earlier crashes were
// not caused by it. It returns false if there was no evidence to discard.
func (t *Tracker) RecordSuccess(fingerprint Fingerprint, at time.Time) bool {
	found := t.records[fingerprint]
	if found == nil || !at.After(found.succeededAt) {
		return false
	}
	before := len(found.crashes)
	found.succeededAt = at
	found.crashes = slices.DeleteFunc(found.crashes, func(each Crash) bool { return !each.At.After(at) })
	if len(found.crashes) == before {
		return false
	}
	t.blame = nil
	return true
}

// Status returns the current assessment of a request.
func (t *Tracker) Status(now time.Time, fingerprint Fingerprint) Status {
	found := t.records[fingerprint]
	if found == nil {
		return Status{}
	}
	return found.status(now)
}

func (r *record) status(now time.Time) Status {
	first := slices.IndexFunc(r.crashes, func(each Crash) bool { return now.Sub(each.At) < EvidenceTTL })
	if first < 0 {
		return Status{}
	}
	counted := r.crashes[first:]
	status := Status{Crashes: len(counted), Quarantined: len(counted) >= CrashLimit}
	if status.Quarantined {
		status.Remaining = EvidenceTTL - now.Sub(counted[len(counted)-CrashLimit].At)
	}
	return status
}

// Quarantined returns the evidence that quarantines requests, for at most the given number of
// requests, those with the newest evidence first.
func (t *Tracker) Quarantined(now time.Time, most int) []Crash {
	var held []*record
	for _, each := range t.records {
		if each.status(now).Quarantined {
			held = append(held, each)
		}
	}
	slices.SortFunc(held, func(left, right *record) int {
		return cmp.Or(right.newest().Compare(left.newest()), cmp.Compare(left.crashes[0].Fingerprint, right.crashes[0].Fingerprint))
	})
	var evidence []Crash
	for _, each := range held[:min(len(held), most)] {
		evidence = append(evidence, each.crashes[max(0, len(each.crashes)-CrashLimit):]...)
	}
	return evidence
}

// newest returns the time of the latest crash, or of the latest success if there are no crashes.
func (r *record) newest() time.Time {
	if len(r.crashes) == 0 {
		return r.succeededAt
	}
	return r.crashes[len(r.crashes)-1].At
}

// Sweep removes expired records.
func (t *Tracker) Sweep(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Fingerprint, each *record) bool { return now.Sub(each.newest()) >= EvidenceTTL })
	t.sweepParts(now)
}

// evictOldest makes space for a new record when the tracker is full. It drops a tenth of the
// records at once, so that the sort is rarely needed.
func (t *Tracker) evictOldest(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.Sweep(now)
	oldest := slices.SortedFunc(maps.Keys(t.records), func(left, right Fingerprint) int {
		return t.records[left].newest().Compare(t.records[right].newest())
	})
	for _, fingerprint := range oldest[:max(0, len(oldest)-maxRecords*9/10)] {
		delete(t.records, fingerprint)
	}
	t.sweepParts(now)
}
