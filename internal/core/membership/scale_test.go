package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/membership/membershiptest"
)

const (
	fleetSize  = 60
	fleetZones = 3
)

// newFleet starts daemons that lose one datagram in twenty, and lets them join.
func newFleet(t *testing.T) *membershiptest.Network {
	t.Helper()
	network := membershiptest.NewNetwork(1, membershiptest.LocalConditions(), membership.DefaultOptions())
	seeds := []string{address(0), address(1), address(2)}
	for index := 0; index < fleetSize; index++ {
		id := identity.DaemonID(fmt.Sprintf("daemon-%d", index))
		network.Add(id, identity.Zone(fmt.Sprintf("zone-%d", index%fleetZones)), address(index), seeds)
	}
	_, joined := network.RunUntil(40*time.Second, func() bool { return eachHost(network, knowsAll) })
	assert.Assert(t, joined)
	network.Run(10 * time.Second)
	return network
}

func knowsAll(host *membershiptest.Host) bool { return len(host.Node.Members()) == fleetSize }

func eachHost(network *membershiptest.Network, holds func(*membershiptest.Host) bool) bool {
	for _, host := range network.Hosts() {
		if host.Running && !holds(host) {
			return false
		}
	}
	return true
}

// countDeaths returns a counter of the times that anybody was declared dead.
func countDeaths(network *membershiptest.Network) *int {
	deaths := new(int)
	network.Observe = func(_ *membershiptest.Host, action membership.Action) {
		if changed, is := action.(membership.MemberChanged); is && changed.Member.State == membership.StateDead {
			*deaths++
		}
	}
	return deaths
}

func TestPauseOfASecondKillsNobody(t *testing.T) {
	network := newFleet(t)
	deaths := countDeaths(network)
	for _, host := range network.Hosts()[:30] {
		host.Pause(time.Second)
		network.Run(700 * time.Millisecond)
	}
	network.Run(10 * time.Second)
	assert.Equal(t, *deaths, 0)
}

// TestLongPauseAccusesNobodyElse pauses a daemon for longer than a suspicion
// lasts. What it waited for in its pause must not count against the others.
func TestLongPauseAccusesNobodyElse(t *testing.T) {
	network := newFleet(t)
	accused := 0
	for round := 0; round < 10; round++ {
		paused := network.Hosts()[round]
		network.Observe = func(host *membershiptest.Host, action membership.Action) {
			changed, is := action.(membership.MemberChanged)
			if is && host == paused && changed.Member.State != membership.StateAlive {
				accused++
			}
		}
		paused.Pause(20 * time.Second)
		network.Run(20100 * time.Millisecond)
	}
	assert.Equal(t, accused, 0)
}

// TestCutLinkAccusesNobody cuts the link between two daemons that others reach.
func TestCutLinkAccusesNobody(t *testing.T) {
	network := newFleet(t)
	network.Conditions.Loss = 0
	left, right := network.Hosts()[3], network.Hosts()[6]
	network.Cut = func(from, to *membershiptest.Host) bool {
		return from == left && to == right || from == right && to == left
	}
	accused := 0
	network.Observe = func(_ *membershiptest.Host, action membership.Action) {
		if changed, is := action.(membership.MemberChanged); is && changed.Member.State != membership.StateAlive {
			accused++
		}
	}
	network.Run(2 * time.Minute)
	assert.Equal(t, accused, 0)
}

// TestHalvesMeetAgainWithoutSeeds cuts the fleet in two after all seeds died.
func TestHalvesMeetAgainWithoutSeeds(t *testing.T) {
	network := newFleet(t)
	for _, seed := range network.Hosts()[:3] {
		seed.Crash()
	}
	half := map[*membershiptest.Host]bool{}
	for _, host := range network.Hosts()[:fleetSize/2] {
		half[host] = true
	}
	network.Cut = func(from, to *membershiptest.Host) bool { return half[from] != half[to] }
	network.Run(2 * time.Minute)
	network.Cut = nil
	_, met := network.RunUntil(time.Minute, func() bool {
		return eachHost(network, func(host *membershiptest.Host) bool {
			_, live, _ := host.Node.InForce(0)
			return live == fleetSize-3
		})
	})
	assert.Assert(t, met)
}

func TestDeathIsKnownEverywhereWithinSeconds(t *testing.T) {
	network := newFleet(t)
	victim := network.Hosts()[17]
	victim.Crash()
	took, known := network.RunUntil(10*time.Second, func() bool {
		return eachHost(network, func(host *membershiptest.Host) bool {
			member, _ := host.Node.Member(victim.ID)
			return member.State == membership.StateDead
		})
	})
	assert.Assert(t, known, "not known everywhere after %s", took)
}

func TestLeaveAndRevisionReachAllWithinFourSeconds(t *testing.T) {
	network := newFleet(t)
	network.Observe = func(host *membershiptest.Host, action membership.Action) {
		if seen, is := action.(membership.HighestRevisionSeen); is {
			host.Node.SetRevision(seen.Revision)
		}
	}
	for round := 1; round <= 10; round++ {
		revision := identity.Revision(round)
		backend := identity.BackendID(fmt.Sprintf("engine-%d", round))
		teller := network.Hosts()[round]
		teller.Node.SetRevision(revision)
		teller.Node.ObserveBackend(network.Now(), membership.BackendFact{Backend: backend, Version: 1, Leaving: true})
		_, reached := network.RunUntil(4*time.Second, func() bool {
			return eachHost(network, func(host *membershiptest.Host) bool {
				confirmed, _, _ := host.Node.InForce(revision)
				return confirmed == fleetSize && len(host.Node.BackendFacts()) == round
			})
		})
		assert.Assert(t, reached, "round %d", round)
	}
}

// TestOnlyAMajorityHasContact cuts one zone of three off. Its daemons must not
// take themselves for a majority, also long after they declared the rest dead.
func TestOnlyAMajorityHasContact(t *testing.T) {
	network := newFleet(t)
	network.Run(5 * time.Second)
	cutOff := func(host *membershiptest.Host) bool { return host.Zone == "zone-0" }
	network.Cut = func(from, to *membershiptest.Host) bool { return cutOff(from) != cutOff(to) }
	cutAt := network.Now()
	for second := 0; second < 60; second++ {
		network.Run(time.Second)
		for _, host := range network.Hosts() {
			contact := host.Node.MajorityContactAt()
			if cutOff(host) {
				assert.Assert(t, contact.Before(cutAt.Add(time.Second)), "%s in second %d", host.ID, second)
				continue
			}
			assert.Assert(t, network.Now().Sub(contact) < 4*time.Second, "%s in second %d", host.ID, second)
		}
	}
	network.Cut = nil
	_, healed := network.RunUntil(time.Minute, func() bool {
		return eachHost(network, func(host *membershiptest.Host) bool {
			_, total, _ := host.Node.InForce(0)
			return total == fleetSize && network.Now().Sub(host.Node.MajorityContactAt()) < 4*time.Second
		})
	})
	assert.Assert(t, healed)
}

// TestHerdRestartKillsNobody restarts all at once.
func TestHerdRestartKillsNobody(t *testing.T) {
	network := newFleet(t)
	deaths := countDeaths(network)
	for _, host := range network.Hosts() {
		host.Restart()
	}
	_, joined := network.RunUntil(30*time.Second, func() bool { return eachHost(network, knowsAll) })
	assert.Assert(t, joined)
	assert.Equal(t, *deaths, 0)
}
