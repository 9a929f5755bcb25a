package daemon

import (
	"slices"
	"sync/atomic"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
)

// memberDirectory is the newest picture of the other daemons, published by the
// control goroutine for all others.
type memberDirectory struct {
	self    identity.DaemonID
	minimum int
	picture atomic.Pointer[memberPicture]
	// changed receives a value after a change of who is there and in which zone.
	changed chan struct{}
}

type memberPicture struct {
	// all holds every remembered member, this daemon among them.
	all  []membership.Member
	live []configuration.Member
	size int
}

// newMemberDirectory makes a directory that knows of no other daemon. Minimum is
// how many daemons the settings name at least, this one among them.
func newMemberDirectory(self identity.DaemonID, minimum int) *memberDirectory {
	directory := &memberDirectory{self: self, minimum: minimum, changed: make(chan struct{}, 1)}
	directory.publish(nil)
	return directory
}

// publish replaces the picture. It is called often only for the members'
// revisions, so the reader of changed is told of other changes alone.
func (d *memberDirectory) publish(members []membership.Member) {
	picture := &memberPicture{all: members}
	present := 0
	for _, member := range members {
		if member.State == membership.StateLeft {
			continue
		}
		present++
		if member.ID == d.self || !member.Live() {
			continue
		}
		picture.live = append(picture.live, configuration.Member{ID: member.ID, Address: member.Address})
	}
	picture.size = max(present, d.minimum)
	previous := d.picture.Swap(picture)
	if previous == nil || !slices.EqualFunc(previous.all, members, samePresence) {
		d.notify()
	}
}

// samePresence tells whether two members are the same and are there alike.
func samePresence(left, right membership.Member) bool {
	return left.ID == right.ID && left.Zone == right.Zone && left.Live() == right.Live()
}

// notify has the reader of changed look again.
func (d *memberDirectory) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Members implements configuration.Membership.
func (d *memberDirectory) Members() []configuration.Member { return d.picture.Load().live }

// Size implements configuration.Membership. Daemons that died count until they
// are forgotten, so that a minority cannot take itself for all.
func (d *memberDirectory) Size() int { return d.picture.Load().size }

// All returns every remembered member, this daemon among them.
func (d *memberDirectory) All() []membership.Member { return d.picture.Load().all }
