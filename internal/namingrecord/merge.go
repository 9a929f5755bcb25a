package namingrecord

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/directory"
)

// merge returns what the row holds and what this daemon knows together, by model and version. Of two
// times of one version the row's stays, unless it is a guess.
func merge(held, seen []directory.SeenVersion) []directory.SeenVersion {
	merged := slices.Clone(held)
	for _, each := range seen {
		place, known := slices.BinarySearchFunc(merged, each, compare)
		switch {
		case !known:
			merged = slices.Insert(merged, place, each)
		case merged[place].StoreClock == 0:
			merged[place] = each
		}
	}
	return newest(merged)
}

// inOrder sorts a list by model and version, each version once.
func inOrder(list []directory.SeenVersion) []directory.SeenVersion {
	slices.SortFunc(list, compare)
	return slices.CompactFunc(list, func(left, right directory.SeenVersion) bool { return compare(left, right) == 0 })
}

// newest keeps the newest versions of each model of a sorted list.
func newest(sorted []directory.SeenVersion) []directory.SeenVersion {
	kept := sorted[:0]
	for index, each := range sorted {
		later := index + keptVersions
		if later < len(sorted) && sorted[later].Model == each.Model {
			continue
		}
		kept = append(kept, each)
	}
	return kept
}

func compare(left, right directory.SeenVersion) int {
	return cmp.Or(cmp.Compare(left.Model, right.Model), cmp.Compare(left.Version, right.Version))
}
