package claim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// No key may have two grants that can lead to a run, whatever the network,
// restarts, clocks and changes of roster do. Nor may a claim be told that
// nothing ran, or that the request ran, when that is not so.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.IntRange(1, 6).Draw(t, "machines")
		choose := func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") }
		s := newSimulation(choose, mechanisms{}, machines)
		for range 250 {
			s.step()
			assert.Equal(t, s.oracle.violation, "")
		}
	})
}

// randomRun returns the number of steps until a violation, or zero.
func randomRun(seed uint64, without mechanisms) (int, string) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := newSimulation(random.IntN, without, 3+int(seed%3))
	for step := range 800 {
		s.step()
		if s.oracle.violation != "" {
			return step + 1, s.oracle.violation
		}
	}
	return 0, ""
}

func TestAtMostOneGrantInLongRuns(t *testing.T) {
	for seed := range uint64(2000) {
		step, violation := randomRun(seed, mechanisms{})
		assert.Equal(t, violation, "", "seed %d, step %d", seed, step)
	}
}

// Each mechanism is needed: without it, the same simulation finds two grants.
func TestMechanismsAreNeeded(t *testing.T) {
	cases := map[string]mechanisms{
		"floor":    {floor: true},
		"seal":     {seal: true},
		"readSize": {readSize: true},
		"conflict": {conflict: true},
		"future":   {future: true},
	}
	for name, without := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6000) {
				if step, violation := randomRun(seed, without); step > 0 {
					t.Logf("seed %d, step %d: %s", seed, step, violation)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// These mechanisms matter in rare orders of events, which are played here with
// the mechanism and without it.
func TestMechanismsAreNeededInFixedTraces(t *testing.T) {
	cases := map[string]struct {
		without mechanisms
		trace   func(s *simulation)
	}{
		"incarnations": {mechanisms{incarnations: true}, traceVoteOfEarlierLife},
		"confirmation": {mechanisms{confirmation: true}, traceForgottenSeal},
		"vouchers":     {mechanisms{vouchers: true}, traceNobodyRemembersTheSeal},
		"addressee":    {mechanisms{addressee: true}, traceReplyToEarlierLife},
		"ownFloor":     {mechanisms{ownFloor: true}, traceTakeOverTwice},
		"horizon":      {mechanisms{horizon: true}, traceExpiredAtTheDonors},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			intact := newSimulation(chooseLowest, mechanisms{}, 6)
			example.trace(intact)
			assert.Equal(t, intact.oracle.violation, "")

			broken := newSimulation(chooseLowest, example.without, 6)
			example.trace(broken)
			assert.Equal(t, broken.oracle.violation, "a key was granted twice")
		})
	}
}

func chooseLowest(int) int { return 0 }

// A vote of before a replica's restart meets one that was given after it.
func traceVoteOfEarlierLife(s *simulation) {
	key := simulatedKey{key: Key{0, 0, 1}, born: s.now}
	s.claim(s.machines[3], key)
	s.deliverBetween(0, 3)
	s.now = s.now.Add(time.Second)
	s.restart(s.machines[0])
	s.confirm(s.machines[0])
	delayed := s.network
	s.network = nil
	s.recoverWith(0, 0, 1, 2)
	s.claim(s.machines[2], key)
	s.deliverBetween(0, 2)
	s.network = delayed
	s.deliverBetween(1, 3)
}

// A reply to a life that voted since reaches the next life.
func traceReplyToEarlierLife(s *simulation) {
	s.restart(s.machines[0])
	s.confirm(s.machines[0])
	s.recoverWith(0, 1, 2)
	replies := s.network
	s.network = nil
	s.now = s.now.Add(time.Second)
	key := simulatedKey{key: Key{0, 0, 1}, born: s.now}
	s.claim(s.machines[3], key)
	s.deliverBetween(0, 3)
	delayed := s.network
	s.restart(s.machines[0])
	s.confirm(s.machines[0])
	s.network = replies
	s.deliverBetween(0)
	s.claim(s.machines[4], key)
	s.deliverBetween(0, 2, 4)
	s.network = delayed
	s.deliverBetween(1, 3)
}

// A replica votes, restarts, and takes over from the old roster once more.
func traceTakeOverTwice(s *simulation) {
	s.sealFirstRoster()
	s.now = s.now.Add(time.Second)
	key := simulatedKey{key: Key{0, 0, 1}, born: s.now}
	s.claim(s.machines[5], key)
	s.deliverBetween(3)
	delayed := s.network
	s.network = nil
	s.now = s.now.Add(time.Second)
	s.restart(s.machines[3])
	s.confirm(s.machines[3])
	s.recoverWith(3, 0, 2, 3)
	s.network = nil
	s.claim(s.machines[4], key)
	s.deliverBetween(3, 4)
	s.network = delayed
	s.deliverBetween(5)
}

// A replica was sealed, restarts, and learns of the old roster only.
func traceForgottenSeal(s *simulation) {
	s.sealFirstRoster()
	s.restart(s.machines[0])
	s.setGroups(s.machines[0], 0)
	s.grantInBothRosters()
}

// All replicas of a sealed group restart, learn of the old roster only, and ask
// each other whether they were sealed.
func traceNobodyRemembersTheSeal(s *simulation) {
	s.sealFirstRoster()
	for index := range 3 {
		s.restart(s.machines[index])
		s.setGroups(s.machines[index], 0)
	}
	s.recoverWith(0, 0, 1, 2)
	s.recoverWith(1, 0, 1, 2)
	s.grantInBothRosters()
}

// sealFirstRoster has a second roster take over from two of three replicas.
func (s *simulation) sealFirstRoster() {
	s.history = append(s.history, s.groupsOf(2, s.machines[3:6]))
	s.retired = false
	for index := 3; index < 6; index++ {
		s.confirm(s.machines[index])
		s.recoverWith(index, 0, 2, index)
	}
	s.network = nil
}

// grantInBothRosters claims a new key from two replicas of each roster.
func (s *simulation) grantInBothRosters() {
	s.now = s.now.Add(time.Second)
	key := simulatedKey{key: Key{0, 0, 1}, born: s.now}
	s.claim(s.machines[1], key)
	s.deliverBetween(0, 1)
	s.network = nil
	s.claim(s.machines[3], key)
	s.deliverBetween(3, 4)
}

// Replicas with fast clocks expire a claim before replicas with slow clocks take
// over from them.
func traceExpiredAtTheDonors(s *simulation) {
	key := simulatedKey{key: Key{0, 0, 1}, born: s.now}
	for index := range 3 {
		s.machines[index].skew = testLimits.MaxClockSkew
	}
	s.claim(s.machines[0], key)
	s.deliverBetween(0, 1, 2)
	s.now = s.now.Add(testLimits.Retention - time.Millisecond)
	for _, m := range s.machines[:3] {
		m.replica.Expire(s.clock(m))
		m.replica.sweep = 0
	}
	s.history = append(s.history, s.groupsOf(2, s.machines[3:6]))
	s.retired = false
	for index := 3; index < 6; index++ {
		s.confirm(s.machines[index])
		s.recoverWith(index, 0, 1, 2, index)
	}
	s.claim(s.machines[3], key)
	s.deliverBetween(3, 4, 5)
}

// deliverBetween delivers what is under way to the given machines, in order,
// until there is no more.
func (s *simulation) deliverBetween(indexes ...int) {
	for position := 0; position < len(s.network); {
		message := s.network[position]
		if !s.isAmong(message.to, indexes) {
			position++
			continue
		}
		s.network = append(s.network[:position:position], s.network[position+1:]...)
		s.receive(message)
		position = 0
	}
}

func (s *simulation) isAmong(name identity.DaemonID, indexes []int) bool {
	for _, index := range indexes {
		if s.machines[index].daemon.ID == name {
			return true
		}
	}
	return false
}

// recoverWith lets a machine read from others.
func (s *simulation) recoverWith(index int, others ...int) {
	m := s.machines[index]
	for _, read := range m.replica.Recover(s.clock(m)) {
		s.send(read.To.ID, read.Request)
	}
	s.deliverBetween(others...)
}

// After any faults, once they end, a single claimant is granted a new key with
// any one replica of three out of reach, and the table is not asked.
func TestNewKeysAreGrantedAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") }
		s := newSimulation(choose, mechanisms{}, 4)
		for range 150 {
			s.step()
		}
		s.heal()
		group := s.newest().Of(0)
		reachable := []int{0, 1, 2, 3}
		if len(group) == GroupSize {
			cut := choose(GroupSize)
			reachable = slices.DeleteFunc(reachable, func(index int) bool {
				return s.machines[index].daemon.ID == group[cut].ID
			})
		}
		key := simulatedKey{key: Key{0, 0, 255, 255}, born: s.now}
		claimer := s.machines[reachable[choose(len(reachable))]]
		s.claim(claimer, key)
		s.deliverBetween(reachable...)
		assert.Equal(t, claimer.claims[len(claimer.claims)-1].coordinator.Verdict(), VerdictGranted)
	})
}

// heal ends all faults, lets old claims expire and lets all replicas recover.
func (s *simulation) heal() {
	s.now = s.now.Add(testLimits.Retention + time.Second)
	s.network = nil
	for range 3 {
		for index, m := range s.machines {
			s.confirm(m)
			m.replica.sweep = 0
			m.replica.Expire(s.clock(m))
			s.recoverWith(index, 0, 1, 2, 3)
		}
	}
	s.now = s.now.Add(time.Second)
}

func TestGroupsUseDifferentZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]identity.Zone{"a", "b", "c"}), 1, 12).Draw(t, "zones")
		roster := dynamic.Roster{Epoch: 1}
		distinct := map[identity.Zone]bool{}
		for index, zone := range zones {
			distinct[zone] = true
			id := identity.DaemonID(rune('a' + index))
			roster.Daemons = append(roster.Daemons, dynamic.Daemon{ID: id, Zone: zone})
		}
		groups := NewGroups(roster)
		for slot := range Slot(SlotCount) {
			group := groups.Of(slot)
			assert.Equal(t, len(group), min(GroupSize, len(zones)))
			used := map[identity.Zone]bool{}
			for _, member := range group {
				used[member.Zone] = true
			}
			assert.Equal(t, len(used), min(len(group), len(distinct)))
		}
	})
}
