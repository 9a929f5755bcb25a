package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// nearRounds is how many rounds a starting daemon asks those of its own region first: these
	// may be starting too, or gone.
	nearRounds = 3
	// nearFallbackAsks is how many of the otherAsks daemons that are asked after those that surely know
	// are near ones.
	nearFallbackAsks = 3
	// lowCapacityHandicap is how much longer daemons wait at a start that know of one with clearly more
	// room: where all start at once, one of those is first.
	lowCapacityHandicap = 150 * time.Millisecond
)

// sortByProximity puts the daemons of this one's zone before the others, then those of its region, and keeps their order
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

// randomPeers are some daemons, drawn at random, of which most are near ones.
func (d *Directory) randomPeers() []string {
	drawn := pickRandom(d.options.Topology.Near(d.options.Self), nearFallbackAsks)
	return append(drawn, pickRandom(d.options.Others(), fallbackAsks-len(drawn))...)
}

// pickRandom draws some of a list, none where it is empty.
func pickRandom(addresses []string, count int) []string {
	var drawn []string
	for len(addresses) > 0 && len(drawn) < count {
		drawn = append(drawn, addresses[rand.IntN(len(addresses))])
	}
	return drawn
}

// upstreamOf is whom this daemon asks for news of a reader: the daemons of the reader's region form a
// tree below it, so that each is asked by few, and those of another region one below the one that
// asks the reader. Those with room are mostly high in it.
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

// parent is the daemon above the one at a place of a ranking, in a tree below a root.
func parent(root string, ranked []string, at int) string {
	if at < treeFanOut {
		return root
	}
	return ranked[at/treeFanOut-1]
}

// joinHandicap is how much longer a starting daemon asks others before it reads the store, where its
// calls take long, or one of them has clearly more room.
func (d *Directory) joinHandicap(contacts []string) time.Duration {
	handicap := d.role.handicap()
	own := d.options.Topology.CapacityOf(d.options.Self)
	if slices.ContainsFunc(contacts, func(address string) bool { return d.options.Topology.CapacityOf(address) >= capacityAdvantage*own }) {
		handicap += lowCapacityHandicap
	}
	return handicap
}
