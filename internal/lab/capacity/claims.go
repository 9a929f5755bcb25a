package capacity

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/claim"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

// rememberedClaims is how many claims the measurement of memory makes.
const rememberedClaims = 50_000

func daemonName(index int) identity.DaemonID {
	return identity.DaemonID(fmt.Sprintf("daemon-%03d", index))
}

func (m *measurement) roster() dynamic.Roster {
	roster := dynamic.Roster{Epoch: 1}
	for index := range m.sizes.Daemons {
		roster.Daemons = append(roster.Daemons, dynamic.Daemon{
			ID: daemonName(index), Zone: zoneName(index % m.sizes.Zones), Address: fmt.Sprintf("10.20.%d.%d:7946", index/250, index%250+1),
		})
	}
	return roster
}

// claimGroup is the three replicas of all slots of a small roster.
type claimGroup struct {
	groups   *claim.Groups
	replicas []*claim.Replica
	now      claim.Timestamp
	count    uint64
}

func newClaimGroup() *claimGroup {
	roster := dynamic.Roster{Epoch: 1}
	for index := range claim.GroupSize {
		roster.Daemons = append(roster.Daemons, dynamic.Daemon{ID: daemonName(index), Zone: zoneName(index)})
	}
	made := &claimGroup{groups: claim.NewGroups(roster), now: claim.TimestampOf(start).Add(time.Minute)}
	limits := claim.DefaultLimits()
	// The bound is raised, since a measurement makes more claims than fit.
	limits.Capacity = 1 << 30
	for _, daemon := range roster.Daemons {
		replica := claim.NewReplica(claim.Options{Self: daemon.ID, Incarnation: 1, Started: claim.TimestampOf(start), Limits: limits})
		replica.SetGroups(claim.TimestampOf(start), made.groups, nil)
		replica.ConfigurationConfirmed(roster.Epoch)
		made.replicas = append(made.replicas, replica)
	}
	return made
}

// claimOne grants and settles one new key.
func (g *claimGroup) claimOne() error {
	g.count++
	key := claim.Key{}
	binary.BigEndian.PutUint16(key[:], uint16(g.count))
	binary.BigEndian.PutUint64(key[8:], g.count)
	claimant := claim.Claimant{Daemon: daemonName(0), Incarnation: 1, Sequence: g.count}
	coordinator := claim.NewCoordinator(g.groups, key, claimant, g.now)
	coordinator.Start()
	for _, replica := range g.replicas {
		coordinator.HandleReply(replica.HandleClaim(g.now, claim.ClaimRequest{Epoch: 1, Key: key, Claimant: claimant, Born: g.now}))
	}
	if coordinator.Verdict() != claim.VerdictGranted {
		return fmt.Errorf("capacity: claim %d was not granted", g.count)
	}
	for _, replica := range g.replicas {
		replica.HandleSettle(g.now, claim.SettleRequest{Epoch: 1, Key: key, Claimant: claimant, Born: g.now, State: identity.RunStateRan})
	}
	return nil
}

// measureClaims measures decisions without messages, and memory.
func (m *measurement) measureClaims() {
	slopes := &m.slopes.Claims
	group := newClaimGroup()
	slopes.DecisionSeconds = m.watch.one(func() { m.note(group.claimOne()) })
	remembered := newClaimGroup()
	heap := heapOf(func() *claimGroup {
		for range rememberedClaims {
			m.note(remembered.claimOne())
		}
		return remembered
	})
	runtime.KeepAlive(remembered)
	slopes.MemoryBytes = projection.Constant(bytesUnit, heap/rememberedClaims/claim.GroupSize)
	roster := m.roster()
	slopes.GroupsSeconds = m.watch.one(func() { claim.NewGroups(roster) })
}
