package rollout

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// minimumTrialBackends is the smallest number of back ends that a trial uses. With fewer, a faulty back end can't
// be told from a faulty version.
const minimumTrialBackends = 3

// TrialBackends selects the back ends (hashes of their IDs) of the target that receive the trial's requests.
// Their share of the listed ones is the target's share of the requests, so that each back end has the load that
// it will have once the target serves alone. The selection is by rendezvous hashing, so that all daemons select
// the same ones.
func TrialBackends(order Order, listed []uint64, share float64) []uint64 {
	count := max(minimumTrialBackends, int(math.Ceil(share*float64(len(listed)))))
	members := make([]string, len(listed))
	for index, backend := range listed {
		members[index] = string(binary.BigEndian.AppendUint64(nil, backend))
	}
	key := rendezvous.Key(string(order.Service) + "/" + strconv.FormatUint(order.Number, 10))
	chosen := []uint64{}
	for _, member := range rendezvous.Top(key, members, count) {
		chosen = append(chosen, binary.BigEndian.Uint64([]byte(member)))
	}
	return chosen
}

// ChooseStable selects the stable version of a service that has no standing yet, from the number of listed back
// ends of each version: the version with the most back ends that no order targets, and the lexically smallest of
// equals. If orders target all listed versions, it selects among these, since no other version could serve. It is
// empty if nothing is listed.
func ChooseStable(listed map[identity.SoftwareVersion]int, targets []identity.SoftwareVersion) identity.SoftwareVersion {
	free := maps.Clone(listed)
	for _, target := range targets {
		delete(free, target)
	}
	if stable := mostListed(free); stable != "" {
		return stable
	}
	return mostListed(listed)
}

// mostListed returns the version with the most back ends. Back ends without a version aren't counted.
func mostListed(listed map[identity.SoftwareVersion]int) identity.SoftwareVersion {
	most, count := identity.SoftwareVersion(""), 0
	for _, version := range slices.Sorted(maps.Keys(listed)) {
		if version != "" && listed[version] > count {
			most, count = version, listed[version]
		}
	}
	return most
}
