package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Blamed is a request or a shared part of prompts that is blamed for crashes.
type Blamed struct {
	Fingerprint Fingerprint
	Part        bool
	// Crashes is the number of backends that crashed under it, and Newest how long ago the last one did.
	Crashes int
	Newest  time.Duration
	// Remaining is the time until the quarantine ends without a further crash.
	Remaining time.Duration
	// Companions is the number of other parts that explain the same crash events; see Status.Ambiguous.
	Companions int
}

// Blamed returns all quarantined requests and blamed parts, those with the newest crash first.
func (t *Tracker) Blamed(now time.Time) []Blamed {
	var blamed []Blamed
	groups := t.currentBlame(now).groups
	for fingerprint, each := range t.records {
		status, group := each.status(now), groups[fingerprint]
		if !status.Quarantined || (each.part && group == nil) {
			continue
		}
		blamed = append(blamed, Blamed{
			Fingerprint: fingerprint, Part: each.part, Crashes: status.Crashes, Newest: now.Sub(each.newest()), Remaining: status.Remaining,
			Companions: max(len(group)-1, 0),
		})
	}
	slices.SortFunc(blamed, func(one, other Blamed) int {
		return cmp.Or(cmp.Compare(one.Newest, other.Newest), cmp.Compare(one.Fingerprint, other.Fingerprint))
	})
	return blamed
}
