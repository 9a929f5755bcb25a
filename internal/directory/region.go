package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// nearRounds is in how many rounds a starting daemon asks nearby daemons first; later rounds don't, since these
	// may be starting too, or be gone.
	nearRounds = 3
	// nearFallbackAsks is how many of the fallbackAsks daemons are nearby ones.
	nearFallbackAsks = 3
	// lowCapacityHandicap is the additional delay at the start of a daemon that knows another one with clearly more
	// capacity: when all start at once, one of the latter reads first.
	lowCapacityHandicap = 150 * time.Millisecond
)

// sortByProximity sorts daemons of this one's zone first, then those of its region, and keeps their order
// otherwise.
func (d *Directory) sortByProximity(addresses []string) {
	near := d.options.Topology.Near(d.options.Self)
	away := func(address string) int {
		switch {
		case d.options.IsOwnZone != nil && d.options.IsOwnZone(address):
			return 0
		case slices.Contains(near, address):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(addresses, func(left, right string) int { return cmp.Compare(away(left), away(right)) })
}

// randomPeers returns some random daemons, most of them nearby.
func (d *Directory) randomPeers() []string {
	drawn := pickRandom(d.options.Topology.Near(d.options.Self), nearFallbackAsks)
	return append(drawn, pickRandom(d.options.Others(), fallbackAsks-len(drawn))...)
}

// pickRandom picks addresses at random, with repetition; none if the list is empty.
func pickRandom(addresses []string, count int) []string {
	var drawn []string
	for len(addresses) > 0 && len(drawn) < count {
		drawn = append(drawn, addresses[rand.IntN(len(addresses))])
	}
	return drawn
}

// upstreamOf returns the daemon that this one asks for data of the reader. The daemons of the reader's region form
// a tree below it, so that each is asked by few; those of another region form a tree below the one that asks the
// reader. Daemons with more capacity are mostly high in the tree.
func (d *Directory) upstreamOf(reader string) string {
	near := d.options.Topology.Near(d.options.Self)
	all := slices.DeleteFunc(append(slices.Clone(near), d.options.Self), func(address string) bool { return address == reader })
	ranked := d.options.Topology.Rank(rendezvous.Key(reader), all)
	at := slices.Index(ranked, d.options.Self)
	if !slices.Contains(d.options.Others(), reader) || slices.Contains(near, reader) {
		return parent(reader, ranked, at)
	}
	if at == 0 {
		return reader
	}
	return parent(ranked[0], ranked[1:], at-1)
}

// parent returns the daemon above the one at a position of a ranking, in a tree below a root.
func parent(root string, ranked []string, at int) string {
	if at < treeFanOut {
		return root
	}
	return ranked[at/treeFanOut-1]
}

// joinHandicap returns an additional delay before a starting daemon reads the store: its calls to the store take
// long, or a contact has clearly more capacity.
func (d *Directory) joinHandicap(contacts []string) time.Duration {
	handicap := d.role.handicap()
	own := d.options.Topology.CapacityOf(d.options.Self)
	if slices.ContainsFunc(contacts, func(address string) bool { return d.options.Topology.CapacityOf(address) >= capacityAdvantage*own }) {
		handicap += lowCapacityHandicap
	}
	return handicap
}
