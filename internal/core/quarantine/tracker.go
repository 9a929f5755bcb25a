package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashLimit is under how many back ends' ends a request is quarantined. One end says
	// little: whatever else was under way there was cut as well, up to 16 requests. A request
	// that was merely there is seldom there at a second end, since it is served in between: while
	// a quarter of 18 back ends ended six times in a day, none was quarantined, with two as with
	// three (six seeds). Each end more cuts some four other requests.
	CrashLimit = 2
	// EvidenceTTL is how long evidence counts, so that a quarantine ends this long after the last
	// end but one: a request that ends whoever runs it then ends two back ends in ten minutes
	// at most, and one that was quarantined wrongly, or that the back ends have learnt to
	// stand, is served again without an operator.
	EvidenceTTL = 10 * time.Minute
	// maximumRecords bounds the requests that are remembered, some 200 bytes each. A zone that
	// is lost with 466 back ends takes some 9,300 requests with it; the oldest evidence goes
	// first.
	maximumRecords = 16 << 10
	// maximumCrashes bounds the ends that are remembered of one request.
	maximumCrashes = 8
)

// Crash says that a back end ended while it may have been running a request.
type Crash struct {
	Fingerprint Fingerprint
	// Backend is the hash of the back end's ID.
	Backend uint64
	At      time.Time
}

// Status is what is believed of a request.
type Status struct {
	// Crashes is how many back ends have ended under it.
	Crashes int
	// Quarantined requests are given to no back end, and Left is for how long still.
	Quarantined bool
	Remaining        time.Duration
	// Uncertain requests would be quarantined if all back ends had ended of which that is
	// being looked into. A ledger knows of none.
	Uncertain bool
}

// Tracker counts the back ends that ended under each request. Make it with NewLedger; it isn't
// safe for use by several goroutines.
type Tracker struct {
	records map[Fingerprint]*record
}

// record is what is remembered of one request.
type record struct {
	// crashes are ordered by their time.
	crashes []Crash
	// acquittedAt is when the request last had a whole answer: no earlier evidence counts.
	acquittedAt time.Time
}

// NewTracker makes a Ledger without evidence.
func NewTracker() *Tracker { return &Tracker{records: map[Fingerprint]*record{}} }

// Add takes evidence in. It returns false if it was known, or counts for nothing.
func (l *Tracker) Add(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) >= EvidenceTTL {
		return false
	}
	found := l.records[crash.Fingerprint]
	if found == nil {
		l.makeRoom(now)
		found = &record{}
		l.records[crash.Fingerprint] = found
	}
	return found.add(now, crash)
}

// add takes evidence in. An end keeps the time at which it was first heard of: what daemons send
// each other again and again is older by its way each time, and would never end otherwise.
func (r *record) add(now time.Time, crash Crash) bool {
	r.crashes = slices.DeleteFunc(r.crashes, func(each Crash) bool { return now.Sub(each.At) >= EvidenceTTL })
	known := slices.ContainsFunc(r.crashes, func(each Crash) bool { return each.Backend == crash.Backend })
	if known || !crash.At.After(r.acquittedAt) {
		return false
	}
	r.crashes = append(r.crashes, crash)
	slices.SortStableFunc(r.crashes, byTime)
	r.crashes = r.crashes[max(0, len(r.crashes)-maximumCrashes):]
	return true
}

func byTime(left, right Crash) int { return left.At.Compare(right.At) }

// RecordSuccess notes that a request had a whole answer at a time, so that the back end that ran it
// did not end of it. It returns false if nothing was held against the request.
func (l *Tracker) RecordSuccess(fingerprint Fingerprint, at time.Time) bool {
	found := l.records[fingerprint]
	if found == nil || !at.After(found.acquittedAt) {
		return false
	}
	before := len(found.crashes)
	found.acquittedAt = at
	found.crashes = slices.DeleteFunc(found.crashes, func(each Crash) bool { return !each.At.After(at) })
	return len(found.crashes) < before
}

// Status tells what is believed of a request.
func (l *Tracker) Status(now time.Time, fingerprint Fingerprint) Status {
	found := l.records[fingerprint]
	if found == nil {
		return Status{}
	}
	return found.verdict(now)
}

func (r *record) verdict(now time.Time) Status {
	first := slices.IndexFunc(r.crashes, func(each Crash) bool { return now.Sub(each.At) < EvidenceTTL })
	if first < 0 {
		return Status{}
	}
	counted := r.crashes[first:]
	verdict := Status{Crashes: len(counted), Quarantined: len(counted) >= CrashLimit}
	if verdict.Quarantined {
		verdict.Remaining = EvidenceTTL - now.Sub(counted[len(counted)-CrashLimit].At)
	}
	return verdict
}

// Quarantined returns the evidence against the requests that are quarantined, the newest
// requests first, and of no more of them than most.
func (l *Tracker) Quarantined(now time.Time, most int) []Crash {
	var held []*record
	for _, each := range l.records {
		if each.verdict(now).Quarantined {
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

// newest is the time of the newest evidence of any kind.
func (r *record) newest() time.Time {
	if len(r.crashes) == 0 {
		return r.acquittedAt
	}
	return r.crashes[len(r.crashes)-1].At
}

// Sweep forgets what counts no longer.
func (l *Tracker) Sweep(now time.Time) {
	maps.DeleteFunc(l.records, func(_ Fingerprint, each *record) bool { return now.Sub(each.newest()) >= EvidenceTTL })
}

// makeRoom forgets the oldest evidence where there is too much, and a tenth at once, so that
// it is seldom sorted.
func (l *Tracker) makeRoom(now time.Time) {
	if len(l.records) < maximumRecords {
		return
	}
	l.Sweep(now)
	oldest := slices.SortedFunc(maps.Keys(l.records), func(left, right Fingerprint) int {
		return l.records[left].newest().Compare(l.records[right].newest())
	})
	for _, fingerprint := range oldest[:max(0, len(oldest)-maximumRecords*9/10)] {
		delete(l.records, fingerprint)
	}
}
