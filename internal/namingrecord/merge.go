package namingrecord

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/directory"
)

// merge combines the versions stored in the row with those that this daemon knows, sorted by model and
// version. If both have a time for a version, the stored one wins unless it is a guess (zero).
func merge(stored, seen []directory.SeenVersion) []directory.SeenVersion {
	merged := slices.Clone(stored)
	for _, each := range seen {
		index, known := slices.BinarySearchFunc(merged, each, compareVersions)
		switch {
		case !known:
			merged = slices.Insert(merged, index, each)
		case merged[index].StoreClock == 0:
			merged[index] = each
		}
	}
	return keepNewest(merged)
}

// sortUnique sorts a list by model and version and removes duplicate versions.
func sortUnique(list []directory.SeenVersion) []directory.SeenVersion {
	slices.SortFunc(list, compareVersions)
	return slices.CompactFunc(list, func(left, right directory.SeenVersion) bool { return compareVersions(left, right) == 0 })
}

// keepNewest returns the newest maxVersionsPerModel versions of each model in a sorted list, whose array it
// reuses.
func keepNewest(sorted []directory.SeenVersion) []directory.SeenVersion {
	kept := sorted[:0]
	for index, each := range sorted {
		later := index + maxVersionsPerModel
		if later < len(sorted) && sorted[later].Model == each.Model {
			continue
		}
		kept = append(kept, each)
	}
	return kept
}

func compareVersions(left, right directory.SeenVersion) int {
	return cmp.Or(cmp.Compare(left.Model, right.Model), cmp.Compare(left.Version, right.Version))
}
