package directory

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// maxBulletinMembers bounds how many new daemons a bulletin names, at some 40 bytes each.
const maxBulletinMembers = 96

// memberList is this daemon's set of all daemons. Daemons' rows are never removed, so the set only grows, except
// that the former address of a daemon that has moved is removed: it must not be counted twice.
type memberList struct {
	known map[string]member.Descriptor
	// addresses maps the names of daemons to their addresses.
	addresses map[uint64]string
	digest    listDigest
	// newest are the daemons that were last added or whose descriptors last changed, oldest first.
	newest []member.Descriptor
}

func newMemberList() *memberList {
	return &memberList{known: map[string]member.Descriptor{}, addresses: map[uint64]string{}}
}

// add adds daemons. If older is set, the descriptors are older than the known ones, and daemons that are already
// known keep their descriptors. It returns true if anything changed.
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

// former returns the descriptor of a daemon at another address; false if there is none.
func (l *memberList) former(described member.Descriptor) (member.Descriptor, bool) {
	address, named := l.addresses[described.Name]
	if !named || described.Name == 0 || address == described.Address {
		return member.Descriptor{}, false
	}
	former, known := l.known[address]
	return former, known && former.Name == described.Name
}

// forget removes a daemon's descriptor.
func (l *memberList) forget(described member.Descriptor) {
	l.digest ^= memberDigest(described)
	delete(l.known, described.Address)
	l.newest = slices.DeleteFunc(l.newest, func(other member.Descriptor) bool { return other.Address == described.Address })
}

// memberDigest returns the contribution of one daemon to the digest of the list.
func memberDigest(described member.Descriptor) listDigest {
	return listDigest(rendezvous.Key(described.String()))
}

// all returns the daemons, ordered by address.
func (l *memberList) all() []member.Descriptor {
	list := make([]member.Descriptor, 0, len(l.known))
	for _, described := range l.known {
		list = append(list, described)
	}
	slices.SortFunc(list, func(left, right member.Descriptor) int { return cmp.Compare(left.Address, right.Address) })
	return list
}

// MemberNews describes which daemons there are up to a version of the store.
type MemberNews struct {
	// To is the store's version.
	To uint64
	// Newest are the most recent daemons; Digest covers all of them.
	Newest []member.Descriptor
	Digest listDigest
}

// mergeMemberNews adds daemons from a bulletin. If the digests still differ, it asks the sender for the rest.
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

// mergeMembers adds daemons, as known up to a version of the store, and calls OnMembers if any changed.
func (d *Directory) mergeMembers(told []member.Descriptor, to uint64) {
	if d.members.add(told, to < d.positions[tableMembers].Load()) && d.options.OnMembers != nil {
		d.options.OnMembers(d.members.all())
	}
}

// applyMembers applies daemons' rows that were read.
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

// broadcastToNewMembers repeats the last broadcast of what operators declared if daemons were added since: starting
// daemons wait for a sign of the reader.
func (d *Directory) broadcastToNewMembers() {
	if count := len(d.members.known); d.lastDeclared != nil && count > d.lastDeclaredMembers {
		d.lastDeclaredMembers = count
		d.options.Broadcast(Bulletin{Declared: d.lastDeclared})
	}
}

func (d *Directory) broadcastMembers() {
	d.options.Broadcast(Bulletin{Members: &MemberNews{To: d.positions[tableMembers].Load(), Newest: d.members.newest, Digest: d.members.digest}})
}
