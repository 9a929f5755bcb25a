package streamorigin

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
)

const (
	// homesPerStream is the number of daemons that are told of a stream, in different zones if there are several. In a region of up
	// to maxTellAll daemons all are told, so that one that is left knows all streams.
	homesPerStream = 2
	maxTellAll     = 8
	// candidatesPerZone is the number of daemons of each zone that may be homes of a stream. All are asked, so that a daemon
	// that joined or did not respond since hides no stream.
	candidatesPerZone = 2
	// maxAskAll is the number of other daemons up to which all of them are asked.
	maxAskAll = 16
)

// candidate is a daemon that may be a home of a stream.
type candidate struct {
	address string
	zone    identity.Zone
	score   uint64
}

// zoneCandidates are the candidates of a zone, the best one first.
type zoneCandidates struct {
	zone  identity.Zone
	found []candidate
}

// candidates returns the daemons of each zone that may be homes of a stream, the best one first.
func (r *Registry) candidates(key streamorigin.Key, daemons []string) []candidate {
	var zones []zoneCandidates
	for _, address := range daemons {
		zone := r.options.Topology.ZoneOf(address)
		at := slices.IndexFunc(zones, func(each zoneCandidates) bool { return each.zone == zone })
		if at < 0 {
			at = len(zones)
			zones = append(zones, zoneCandidates{zone: zone})
		}
		zones[at].add(candidate{address: address, zone: zone, score: rendezvous.Score(uint64(key), address)})
	}
	var all []candidate
	for _, each := range zones {
		all = append(all, each.found...)
	}
	slices.SortFunc(all, higherScore)
	return all
}

// add adds a candidate, of which candidatesPerZone are kept.
func (z *zoneCandidates) add(added candidate) {
	if len(z.found) == candidatesPerZone && added.score < z.found[len(z.found)-1].score {
		return
	}
	z.found = append(z.found, added)
	slices.SortFunc(z.found, higherScore)
	z.found = z.found[:min(len(z.found), candidatesPerZone)]
}

func higherScore(left, right candidate) int {
	return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.address, right.address))
}

// homes returns the daemons to tell of a stream, of which this one may be one.
func (r *Registry) homes(key streamorigin.Key) []string {
	return r.homesAmong(key, r.withSelf(r.options.Topology.Near(r.self)))
}

// homesAmong returns which of some daemons to tell of a stream: the best candidates that respond, of different zones if possible, or
// all that respond if they are few.
func (r *Registry) homesAmong(key streamorigin.Key, daemons []string) []string {
	if len(daemons) <= maxTellAll {
		return slices.DeleteFunc(slices.Clone(daemons), r.isUnresponsive)
	}
	responding := slices.DeleteFunc(r.candidates(key, daemons), func(each candidate) bool { return r.isUnresponsive(each.address) })
	var homes []string
	zones := map[identity.Zone]bool{}
	for _, each := range responding {
		if len(homes) < homesPerStream && !zones[each.zone] {
			zones[each.zone] = true
			homes = append(homes, each.address)
		}
	}
	for _, each := range responding {
		if len(homes) < homesPerStream && !slices.Contains(homes, each.address) {
			homes = append(homes, each.address)
		}
	}
	return homes
}

// isUnresponsive reports whether another daemon did not confirm or answer lately.
func (r *Registry) isUnresponsive(address string) bool {
	return address != r.self && r.silence.Contains(address, r.options.Now())
}

// asked returns the other daemons that may know of a stream.
func (r *Registry) asked(key streamorigin.Key) []string {
	others := r.options.Topology.Others()
	if len(others) <= maxAskAll {
		return others
	}
	var addresses []string
	for _, each := range r.candidates(key, others) {
		addresses = append(addresses, each.address)
	}
	return addresses
}

// withSelf returns the others and this daemon.
func (r *Registry) withSelf(others []string) []string {
	return append(slices.Clone(others), r.self)
}
