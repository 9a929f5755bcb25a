package hollow

import (
	"fmt"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// seedCount is how many daemons the settings of all others name.
const seedCount = 3

// fleet is a network of daemons with what a run counts on it.
type fleet struct {
	network *Network
	codec   *WireCodec
	// deaths counts the times that a daemon took another for dead.
	deaths int
	// follow makes daemons put each higher revision in force when they hear of it.
	follow bool
	// reached notes when a fact of interest came to a daemon.
	reached func(host *Host, action membership.Action)
}

// newFleet starts all daemons at once.
func newFleet(size, zones int, seed uint64, conditions Conditions) (*fleet, error) {
	codec, err := NewWireCodec()
	if err != nil {
		return nil, err
	}
	made := &fleet{network: NewNetwork(seed, conditions, membership.DefaultOptions()), codec: codec, follow: true}
	made.network.Codec = codec
	made.network.Observe = made.observe
	var seeds []string
	for index := range seedCount {
		seeds = append(seeds, hostAddress(index))
	}
	for index := range size {
		id := identity.DaemonID(fmt.Sprintf("daemon-%03d", index))
		zone := identity.Zone(fmt.Sprintf("zone-%d", index%zones))
		made.network.Add(id, zone, hostAddress(index), seeds)
	}
	return made, nil
}

func hostAddress(index int) string {
	return fmt.Sprintf("10.20.%d.%d:7946", index/250, index%250+1)
}

func (f *fleet) observe(host *Host, action membership.Action) {
	switch event := action.(type) {
	case membership.MemberChanged:
		if event.Member.State == membership.StateDead {
			f.deaths++
		}
	case membership.HighestRevisionSeen:
		if f.follow {
			host.Node.SetRevision(event.Revision)
		}
	}
	if f.reached != nil {
		f.reached(host, action)
	}
}

func (f *fleet) each(holds func(*Host) bool) bool {
	for _, host := range f.network.Hosts() {
		if host.Running && !holds(host) {
			return false
		}
	}
	return true
}

// join waits until every daemon knows every other.
func (f *fleet) join(limit time.Duration) (time.Duration, bool) {
	size := len(f.network.Hosts())
	return f.network.RunUntil(limit, func() bool {
		return f.each(func(host *Host) bool { return host.Node.Size() == size })
	})
}

// traffic is what all hosts sent and received together.
func (f *fleet) traffic() Traffic {
	var sum Traffic
	for _, host := range f.network.Hosts() {
		sum.SentMessages += host.Traffic.SentMessages
		sum.SentBytes += host.Traffic.SentBytes
		sum.ReceivedMessages += host.Traffic.ReceivedMessages
		sum.ReceivedBytes += host.Traffic.ReceivedBytes
	}
	return sum
}
