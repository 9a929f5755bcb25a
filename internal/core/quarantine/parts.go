package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// simultaneousGap is the time within which crashes count as one event: a zone, a switch or a service ends whatever its backends
// run, while requests that crash backends do so one after the other.
const simultaneousGap = 25 * time.Millisecond

// An assessment of parts is reused for blameTTL if there is no new evidence, and for assessInterval if there is: an assessment
// looks at all records, and the end of a zone brings thousands of crashes.
const (
	blameTTL       = time.Second
	assessInterval = 5 * time.Millisecond
)

// PartFingerprintOf returns the fingerprint of a shared part of prompts. The tenant is empty unless its parts are its own.
func PartFingerprintOf(tenant, id string) Fingerprint {
	hash := sha256.New()
	hash.Write([]byte("part"))
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(tenant)))
	hash.Write(length[:])
	hash.Write([]byte(tenant))
	hash.Write([]byte(id))
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// eventSet is a set of crash events.
type eventSet map[int]bool

// blame is the assessment of all parts: a smallest set of parts that explains the crash events. Each blamed part is mapped to all
// parts that explain the same events, among them itself.
type blame struct {
	at     time.Time
	groups map[Fingerprint][]Fingerprint
}

// StatusOfParts returns the assessment of a prompt with some shared parts. It is quarantined if one of them explains CrashLimit
// events or more that no other part explains better. If several parts explain the same events, a prompt that has some but not all
// of them is ambiguous.
func (t *Tracker) StatusOfParts(now time.Time, parts []Fingerprint) Status {
	status := Status{OfPart: true}
	if len(t.parts) == 0 {
		return status
	}
	current := t.currentBlame(now)
	for _, part := range parts {
		group := current.groups[part]
		record := t.records[part]
		if group == nil || record == nil {
			continue
		}
		found := record.status(now)
		status.Crashes = max(status.Crashes, found.Crashes)
		hasAll := !slices.ContainsFunc(group, func(each Fingerprint) bool { return !slices.Contains(parts, each) })
		if !hasAll {
			status.Ambiguous = true
			continue
		}
		status.Quarantined = true
		status.Remaining = max(status.Remaining, found.Remaining)
	}
	return status
}

// CrashesOfPart returns the number of events that count against a part, whoever explains them.
func (t *Tracker) CrashesOfPart(now time.Time, part Fingerprint) int {
	found := t.records[part]
	if found == nil || !found.part {
		return 0
	}
	return len(found.events(now, t.events()))
}

// currentBlame returns the assessment of all parts, which is made again after new evidence.
func (t *Tracker) currentBlame(now time.Time) *blame {
	limit := blameTTL
	if t.outdated {
		limit = assessInterval
	}
	if t.blame == nil || now.Sub(t.blame.at) >= limit {
		t.blame, t.outdated = t.assess(now), false
	}
	return t.blame
}

// assess blames the request or part that explains most events, then the one that explains most of the rest, and so on.
func (t *Tracker) assess(now time.Time) *blame {
	made := &blame{at: now, groups: map[Fingerprint][]Fingerprint{}}
	events := t.events()
	left := map[Fingerprint]eventSet{}
	for fingerprint, each := range t.records {
		if len(each.crashes) < CrashLimit {
			continue
		}
		if found := each.events(now, events); len(found) >= CrashLimit {
			left[fingerprint] = found
		}
	}
	for {
		best, found := t.mostEvents(left)
		if !found {
			return made
		}
		explained, group := left[best], []Fingerprint{}
		if !t.records[best].part {
			delete(left, best)
			explain(left, explained)
			continue
		}
		for other, set := range left {
			if t.records[other].part && maps.Equal(set, explained) {
				group = append(group, other)
			}
		}
		slices.Sort(group)
		for _, each := range group {
			made.groups[each] = group
			delete(left, each)
		}
		explain(left, explained)
	}
}

// explain removes explained events, and the parts that have too few others.
func explain(left map[Fingerprint]eventSet, explained eventSet) {
	maps.DeleteFunc(left, func(_ Fingerprint, set eventSet) bool {
		maps.DeleteFunc(set, func(event int, _ bool) bool { return explained[event] })
		return len(set) < CrashLimit
	})
}

// mostEvents returns the request or part with the most events, or false if there is none. Of equals a request comes first: its
// retries explain the events of its own parts.
func (t *Tracker) mostEvents(left map[Fingerprint]eventSet) (Fingerprint, bool) {
	if len(left) == 0 {
		return 0, false
	}
	rank := map[bool]int{false: 0, true: 1}
	return slices.MinFunc(slices.Collect(maps.Keys(left)), func(one, other Fingerprint) int {
		return cmp.Or(
			cmp.Compare(len(left[other]), len(left[one])),
			cmp.Compare(rank[t.records[one].part], rank[t.records[other].part]),
			cmp.Compare(one, other),
		)
	}), true
}

// events numbers the events of all known crashes, by the hashes of the backends' IDs.
func (t *Tracker) events() map[uint64]int {
	if t.numbered != nil {
		return t.numbered
	}
	backends := slices.SortedFunc(maps.Keys(t.crashedAt), func(one, other uint64) int {
		return cmp.Or(t.crashedAt[one].Compare(t.crashedAt[other]), cmp.Compare(one, other))
	})
	t.numbered = make(map[uint64]int, len(backends))
	event := 0
	for index, backend := range backends {
		if index > 0 && t.crashedAt[backend].Sub(t.crashedAt[backends[index-1]]) >= simultaneousGap {
			event++
		}
		t.numbered[backend] = event
	}
	return t.numbered
}

// events returns the events of the crashes that count against the record.
func (r *record) events(now time.Time, numbered map[uint64]int) eventSet {
	found := eventSet{}
	for _, crash := range r.crashes {
		if now.Sub(crash.At) < EvidenceTTL {
			found[numbered[crash.Backend]] = true
		}
	}
	return found
}

// noteCrash records when a backend crashed, and drops the assessments made without it.
func (t *Tracker) noteCrash(crash Crash) {
	if crash.Part {
		t.parts[crash.Fingerprint] = true
	}
	if at, known := t.crashedAt[crash.Backend]; !known || crash.At.Before(at) {
		t.crashedAt[crash.Backend] = crash.At
		t.numbered = nil
	}
	t.outdated = true
}

// sweepParts drops what belongs to no record any more.
func (t *Tracker) sweepParts(now time.Time) {
	maps.DeleteFunc(t.parts, func(part Fingerprint, _ bool) bool { return t.records[part] == nil })
	before := len(t.crashedAt)
	maps.DeleteFunc(t.crashedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= EvidenceTTL })
	if len(t.crashedAt) != before {
		t.numbered, t.blame = nil, nil
	}
}
