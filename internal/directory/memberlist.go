package directory

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// keptMembers bounds how many new daemons a bulletin names: some 20 bytes each.
const keptMembers = 96

// memberList is the set of daemons as this one believes it to be. Rows of daemons are
// never removed, so that the set only grows.
type memberList struct {
	known  map[string]bool
	digest listDigest
	// newest are the daemons that were added last, oldest first.
	newest []string
}

func newMemberList() *memberList { return &memberList{known: map[string]bool{}} }

// add adds daemons. It returns true when any was not known.
func (l *memberList) add(addresses []string) bool {
	changed := false
	for _, address := range addresses {
		if l.known[address] {
			continue
		}
		l.known[address] = true
		l.digest ^= listDigest(rendezvous.Key(address))
		l.newest = append(l.newest, address)
		changed = true
	}
	l.newest = l.newest[max(len(l.newest)-keptMembers, 0):]
	return changed
}

// all returns the addresses in order.
func (l *memberList) all() []string {
	addresses := make([]string, 0, len(l.known))
	for address := range l.known {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// MemberNews says which daemons there are up to a version of the store.
type MemberNews struct {
	// To is the version.
	To uint64
	// Newest are the daemons that came last; Digest is of all of them.
	Newest []string
	Digest listDigest
}

// takeMembers takes in which daemons there are.
func (d *Directory) takeMembers(from string, news *MemberNews) {
	if d.positions[tableMembers].Load() >= news.To {
		return
	}
	d.learnMembers(news.Newest)
	if d.members.digest != news.Digest {
		d.fallBehind(lag{from: from, table: tableMembers})
		return
	}
	advance(d.positions[tableMembers], news.To)
}

// learnMembers adds daemons and tells who wants to know.
func (d *Directory) learnMembers(addresses []string) {
	if d.members.add(addresses) && d.options.OnMembers != nil {
		d.options.OnMembers(d.members.all())
	}
}

// applyMembers takes in daemons' rows that were read.
func (d *Directory) applyMembers(got message) {
	d.learnMembers(got.members.Addresses)
	advance(d.positions[tableMembers], max(got.members.Last, got.members.Version))
	d.showRest()
	if d.turn.readList(got.ended, tableMembers) {
		d.tellMembers()
	}
}

func (d *Directory) tellMembers() {
	d.options.Tell(Bulletin{Members: &MemberNews{To: d.positions[tableMembers].Load(), Newest: d.members.newest, Digest: d.members.digest}})
}
