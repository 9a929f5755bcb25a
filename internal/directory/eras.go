package directory

import "github.com/lotusward/lotusward/internal/port"

// Earlier builds compare store versions without an era (see port.PositionOf). Messages to them name versions of the
// present era only, and anything that has an era is sent in a kind of bulletin that they ignore: they would take a
// position for a version that lies beyond all that they ever read.

// Era returns the store's era up to which this daemon knows the list of back ends.
func (d *Directory) Era() uint64 { return port.EraOf(d.positions[tableBackends].Load()) }

// Era returns the newest era of the store in a bulletin; zero if it names none.
func (b Bulletin) Era() uint64 {
	var position uint64
	if b.Declared != nil {
		position = max(b.Declared.StoreVersion, b.Declared.RowVersion)
	}
	if b.Backends != nil {
		position = max(position, b.Backends.To)
	}
	if b.Members != nil {
		position = max(position, b.Members.To)
	}
	return port.EraOf(position)
}

// InEra returns h with its versions converted to positions of an era.
func (h Have) InEra(era uint64) Have {
	for _, version := range []*uint64{&h.RowVersion, &h.NeedRowVersion, &h.BackendsTo, &h.NeedBackendsTo, &h.MembersTo} {
		*version = port.PositionOf(era, *version)
	}
	return h
}

// WithoutEra returns the update with positions converted to versions.
func (u Update) WithoutEra() Update {
	u.Snapshot = u.Snapshot.WithoutEra()
	if u.List != nil {
		list := *u.List
		list.From, list.To = port.VersionOf(list.From), port.VersionOf(list.To)
		u.List = &list
	}
	return u
}

// WithoutEra returns the snapshot with positions converted to versions.
func (s Snapshot) WithoutEra() Snapshot {
	for _, position := range []*uint64{&s.StoreVersion, &s.RowVersion, &s.BackendsTo, &s.MembersTo} {
		*position = port.VersionOf(*position)
	}
	return s
}
