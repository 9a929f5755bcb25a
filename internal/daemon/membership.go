package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/daemon/configuration"
	"github.com/lotusward/lotusward/internal/daemon/control"
	"github.com/lotusward/lotusward/internal/daemon/gossip"
)

// joinInterval is how often a starting daemon tries to reach another one. It is
// short since all may start together, each before the others listen.
const joinInterval = 200 * time.Millisecond

// leaveNotice is how long a leaving daemon goes on to gossip that it leaves.
const leaveNotice = 500 * time.Millisecond

// wireMembership connects the membership core, which the control loop owns, with
// the network.
func (d *Daemon) wireMembership() {
	d.transport = gossip.New(d.datagrams, d.peers, d.part("membership"))
	d.transport.Register(d.rpc, d.loop)
	node := membership.New(time.Now(), membership.Identity{
		ID:          d.settings.Identity.Daemon,
		Zone:        d.settings.Identity.Zone,
		Address:     d.advertisedPeerAddress(),
		Incarnation: d.incarnation,
	}, d.settings.Peers.Seeds, newRandom(), d.membershipOptions())
	d.loop.SetMembership(control.Membership{
		Node:             node,
		Send:             d.transport.Send,
		OnMembers:        d.members.publish,
		OnHigherRevision: d.higherRevisionSeen,
	})
}

func (d *Daemon) membershipOptions() membership.Options {
	options := membership.DefaultOptions()
	options.ProbeInterval = d.settings.Tuning.ProbeInterval
	options.DirectTimeout = d.settings.Tuning.ProbeTimeout
	options.SuspicionTimeout = d.settings.Tuning.SuspicionTimeout
	options.JoinInterval = joinInterval
	options.MinimumMembers = d.minimumMembers()
	return options
}

// minimumMembers is how many daemons the settings name, this one among them.
func (d *Daemon) minimumMembers() int {
	own := d.advertisedPeerAddress()
	count := 1
	for _, seed := range d.settings.Peers.Seeds {
		if seed != own {
			count++
		}
	}
	return count
}

// higherRevisionSeen has the configuration runner fetch what another daemon has.
func (d *Daemon) higherRevisionSeen(seen membership.HighestRevisionSeen) {
	member := configuration.Member{ID: seen.From, Address: seen.Address}
	d.configuration.Hint(member, seen.Revision)
}

// runMembership carries messages until the context ends, and then tells the
// others that this daemon leaves.
func (d *Daemon) runMembership(ctx context.Context) error {
	carrying, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		d.loop.Leave()
		time.Sleep(leaveNotice)
		cancel()
	})
	defer stop()
	return d.transport.Run(carrying, d.loop)
}

// newRandom makes a source of random numbers for one owner.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
