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

// minimumTrialBackends is the number of back ends that a trial takes at least: with fewer, what
// one back end does can't be told from what the version does.
const minimumTrialBackends = 3

// TrialBackends returns those of the target's listed back ends (hashes of their IDs) that get the
// trial's requests: the share of them that the target gets of the requests, so that each has the
// load that it will have once the target serves alone. All daemons choose the same ones.
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

// ChooseStable returns the stable version of a service that has no standing yet: of the versions of its
// listed back ends (with their number) that no order targets, the one with the most back ends; of
// equals the lesser name. Where orders target all of them, it is one of these, since there is no
// other that could serve. It is empty where nothing is listed.
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

// mostListed is the version with the most back ends. Those that name no version are of none.
func mostListed(listed map[identity.SoftwareVersion]int) identity.SoftwareVersion {
	most, count := identity.SoftwareVersion(""), 0
	for _, version := range slices.Sorted(maps.Keys(listed)) {
		if version != "" && listed[version] > count {
			most, count = version, listed[version]
		}
	}
	return most
}
