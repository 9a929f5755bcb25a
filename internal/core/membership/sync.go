package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// bucketCount is the number of buckets that facts are digested in.
	bucketCount = 32
	// seedEvery makes each such exchange try a seed that is not known to be live,
	// so that those who forgot each other meet again.
	seedEvery = 4
	// hurriedSyncFacts is how many facts about members, learned since the last
	// exchange, make the next one come soon.
	hurriedSyncFacts = 4
	// stillComingShare of the members, one in so many, may lack a confirmation
	// before an exchange is worth its bytes.
	stillComingShare = 4
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func (n *Node) digests() []uint64 {
	digests := make([]uint64, bucketCount)
	for _, known := range n.list {
		digests[known.idHash%bucketCount] ^= known.digest()
	}
	for id, fact := range n.backends {
		digests[bucketOf(string(id))] ^= fact.digest()
	}
	return digests
}

func (n *Node) tickSync(now time.Time) {
	n.checkConfirmed(now)
	if now.Before(n.nextSync) {
		return
	}
	interval := n.options.SyncInterval
	if !n.joined {
		interval = n.options.JoinInterval
	}
	n.nextSync = now.Add(interval/2 + spread(n.random, interval))
	target := n.syncTarget()
	if target == "" {
		return
	}
	n.sendReliable(target, Message{
		Kind:    MessageSyncRequest,
		Members: []Member{n.self.Member},
		Digests: n.digests(),
	})
}

// checkConfirmed makes a few exchanges for each new revision that is still not
// known to be in force everywhere: some confirmations are always lost, and a member
// that really lags must not make all others ask forever.
func (n *Node) checkConfirmed(now time.Time) {
	if n.confirmLeft == 0 || now.Before(n.confirmAt) {
		return
	}
	confirmed, total, _ := n.InForce(n.self.Revision)
	if confirmed == total {
		n.confirmLeft = 0
		return
	}
	n.confirmAt = now.Add(n.options.GossipInterval)
	if (total-confirmed)*stillComingShare > total && now.Before(n.confirmBy) {
		return
	}
	n.confirmLeft--
	n.nextSync = now
}

// syncTarget picks a live member, or now and then an absent seed.
func (n *Node) syncTarget() string {
	seeds := n.absentSeeds()
	live := n.pick(1, n.list)
	trySeed := !n.joined || len(live) == 0 || n.random.IntN(seedEvery) == 0
	if trySeed && len(seeds) > 0 {
		return seeds[n.random.IntN(len(seeds))]
	}
	if len(live) > 0 {
		return live[0].Address
	}
	return ""
}

// absentSeeds lists the seeds where no live member is known to be.
func (n *Node) absentSeeds() []string {
	present := n.liveAddresses()
	var seeds []string
	for _, seed := range n.seeds {
		if !present[seed] {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (n *Node) liveAddresses() map[string]bool {
	present := make(map[string]bool, len(n.list))
	for _, known := range n.list {
		if known.Live() {
			present[known.Address] = true
		}
	}
	return present
}

// tickAbsent pings one dead member, unless another daemon took over its address.
// If it lives, it refutes.
func (n *Node) tickAbsent(now time.Time) {
	if now.Before(n.nextAbsent) {
		return
	}
	n.nextAbsent = now.Add(n.options.AbsentInterval/2 + spread(n.random, n.options.AbsentInterval))
	present := n.liveAddresses()
	var dead []*entry
	for _, known := range n.list {
		if known.State == StateDead && !present[known.Address] {
			dead = append(dead, known)
		}
	}
	if len(dead) == 0 {
		return
	}
	n.nextSequence++
	n.ping(dead[n.random.IntN(len(dead))], n.nextSequence)
}

func (n *Node) handleSyncRequest(now time.Time, from identity.DaemonID, message Message) {
	differing := differingBuckets(n.digests(), message.Digests)
	answer := Message{Kind: MessageSyncReply, Buckets: differing}
	answer.Members, answer.Backends = n.factsIn(differing)
	if fact, ended := n.endOf(from); ended && !slices.ContainsFunc(answer.Members, func(member Member) bool { return member.ID == from }) {
		answer.Members = append(answer.Members, fact)
	}
	answer.Loads = n.ZoneLoads()
	n.sendReliable(message.Address, answer)
}

func differingBuckets(own, other []uint64) uint32 {
	var differing uint32
	for bucket, digest := range own {
		if bucket >= len(other) || other[bucket] != digest {
			differing |= 1 << bucket
		}
	}
	return differing
}

func (n *Node) factsIn(buckets uint32) ([]Member, []BackendFact) {
	var members []Member
	for _, known := range n.list {
		if buckets&(1<<(known.idHash%bucketCount)) != 0 {
			members = append(members, known.Member)
		}
	}
	var backends []BackendFact
	for _, fact := range n.BackendFacts() {
		if buckets&(1<<bucketOf(string(fact.Backend))) != 0 {
			backends = append(backends, fact)
		}
	}
	return members, backends
}

// handleSyncReply gives back what the other side lacks. Its facts were merged
// before.
func (n *Node) handleSyncReply(now time.Time, message Message) {
	n.noteJoined(now)
	n.hurrySync(now)
	members, backends := n.factsIn(message.Buckets)
	answer := Message{Kind: MessageSyncPush}
	theirs := make(map[identity.DaemonID]Member, len(message.Members))
	for _, member := range message.Members {
		theirs[member.ID] = member
	}
	for _, member := range members {
		if known, found := theirs[member.ID]; !found || !member.sameAs(known) {
			answer.Members = append(answer.Members, member)
		}
	}
	theirBackends := make(map[identity.BackendID]BackendFact, len(message.Backends))
	for _, fact := range message.Backends {
		theirBackends[fact.Backend] = fact
	}
	for _, fact := range backends {
		if known, found := theirBackends[fact.Backend]; !found || fact.supersedes(known) {
			answer.Backends = append(answer.Backends, fact)
		}
	}
	if len(answer.Members)+len(answer.Backends) > 0 {
		n.sendReliable(message.Address, answer)
	}
}

// hurrySync asks again soon when much was learned since the last exchange: after
// a start of many or a partition, exchanges bring more than gossip can.
func (n *Node) hurrySync(now time.Time) {
	if n.learned >= hurriedSyncFacts {
		n.nextSync = now.Add(n.options.JoinInterval/2 + spread(n.random, n.options.JoinInterval))
	}
	n.learned = 0
}

func (n *Node) noteJoined(now time.Time) {
	if n.joined {
		return
	}
	n.joined = true
	n.nextSync = now.Add(spread(n.random, n.options.SyncInterval))
}
