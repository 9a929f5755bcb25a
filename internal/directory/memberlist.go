package directory

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// maxBulletinMembers bounds how many new daemons a bulletin names: some 40 bytes each.
const maxBulletinMembers = 96

// memberList is the set of daemons as this one believes it to be. Rows of daemons are
// never removed, so that the set only grows, but for the former address of a daemon that has
// moved: who counts the daemons that may be there must not count it twice.
type memberList struct {
	known map[string]member.Descriptor
	// addresses are of the daemons whose names are known, by name.
	addresses map[uint64]string
	digest    listDigest
	// newest are the daemons that were added or described anew last, oldest first.
	newest []member.Descriptor
}

func newMemberList() *memberList {
	return &memberList{known: map[string]member.Descriptor{}, addresses: map[uint64]string{}}
}

// add adds daemons. Those that are known at the same address are described anew only where
// what is told is not older than what is known. It returns true when anything changed.
func (l *memberList) add(told []member.Descriptor, older bool) bool {
	changed := false
	for _, described := range told {
		before, known := l.known[described.Address]
		if known && (older || before.String() == described.String()) {
			continue
		}
		former, moved := l.former(described)
		if moved && older {
			continue
		}
		if known {
			l.forget(before)
		}
		if moved {
			l.forget(former)
		}
		l.known[described.Address] = described
		l.addresses[described.Name] = described.Address
		l.digest ^= memberDigest(described)
		l.newest = append(l.newest, described)
		changed = true
	}
	l.newest = l.newest[max(len(l.newest)-maxBulletinMembers, 0):]
	return changed
}

// former is what was known of a daemon at another address; false where nothing was.
func (l *memberList) former(described member.Descriptor) (member.Descriptor, bool) {
	address, named := l.addresses[described.Name]
	if !named || described.Name == 0 || address == described.Address {
		return member.Descriptor{}, false
	}
	former, known := l.known[address]
	return former, known && former.Name == described.Name
}

// forget drops what was known of a daemon.
func (l *memberList) forget(described member.Descriptor) {
	l.digest ^= memberDigest(described)
	delete(l.known, described.Address)
	l.newest = slices.DeleteFunc(l.newest, func(other member.Descriptor) bool { return other.Address == described.Address })
}

// memberDigest is the part of one daemon in the digest of the list.
func memberDigest(described member.Descriptor) listDigest {
	return listDigest(rendezvous.Key(described.String()))
}

// all returns the daemons by address.
func (l *memberList) all() []member.Descriptor {
	list := make([]member.Descriptor, 0, len(l.known))
	for _, described := range l.known {
		list = append(list, described)
	}
	slices.SortFunc(list, func(left, right member.Descriptor) int { return cmp.Compare(left.Address, right.Address) })
	return list
}

// MemberNews says which daemons there are up to a version of the store.
type MemberNews struct {
	// To is the version.
	To uint64
	// Newest are the daemons that came last; Digest is of all of them.
	Newest []member.Descriptor
	Digest listDigest
}

// mergeMemberNews takes in which daemons there are.
func (d *Directory) mergeMemberNews(from string, news *MemberNews) {
	if d.positions[tableMembers].Load() >= news.To {
		return
	}
	d.mergeMembers(news.Newest, news.To)
	if d.members.digest != news.Digest {
		d.requestMissing(missingData{from: from, table: tableMembers})
		return
	}
	advance(d.positions[tableMembers], news.To)
}

// mergeMembers adds daemons, as told up to a version of the store, and tells who wants to know.
func (d *Directory) mergeMembers(told []member.Descriptor, to uint64) {
	if d.members.add(told, to < d.positions[tableMembers].Load()) && d.options.OnMembers != nil {
		d.options.OnMembers(d.members.all())
	}
}

// applyMembers takes in daemons' rows that were read.
func (d *Directory) applyMembers(got message) {
	to := max(got.members.Last, got.members.Version)
	d.logMalformed(d.malformed.noteChanged(tableMembers, got.members.Malformed), "Some daemons' rows cannot be read.")
	d.mergeMembers(got.members.InOrder(), to)
	advance(d.positions[tableMembers], to)
	d.publishMembersAndClock()
	if d.role.noteOwnRead(got.ended, tableMembers) {
		d.broadcastMembers()
		d.broadcastToNewMembers()
	}
}

// broadcastToNewMembers tells daemons that came since what operators have declared was last told, that this one reads: those that
// start wait for that.
func (d *Directory) broadcastToNewMembers() {
	if count := len(d.members.known); d.declaredTold != nil && count > d.declaredToldTo {
		d.declaredToldTo = count
		d.options.Broadcast(Bulletin{Declared: d.declaredTold})
	}
}

func (d *Directory) broadcastMembers() {
	d.options.Broadcast(Bulletin{Members: &MemberNews{To: d.positions[tableMembers].Load(), Newest: d.members.newest, Digest: d.members.digest}})
}
