package membership

import (
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// relayTimeout is how long a helper waits for the acknowledgement it passes on.
const relayTimeout = 5 * time.Second

// probe is one probe on its way.
type probe struct {
	target    identity.DaemonID
	startedAt time.Time
	retried   bool
	helped    bool
}

// relay is a probe made in another daemon's place.
type relay struct {
	address  string
	sequence uint64
	endsAt   time.Time
}

// probeOrder walks through candidates in a random order that is drawn anew after
// each pass, so that the time between two probes of one member is bounded.
type probeOrder struct {
	waiting []identity.DaemonID
}

func (n *Node) tickProbes(now time.Time) {
	n.endProbes(now)
	for sequence, passed := range n.relays {
		if now.After(passed.endsAt) {
			delete(n.relays, sequence)
		}
	}
	if now.Before(n.nextProbe) {
		return
	}
	n.nextProbe = now.Add(n.options.ProbeInterval)
	n.startProbe(now)
	n.pingAccused()
}

// endProbes repeats pings that may have been lost, asks helpers for probes without a direct answer, and suspects the
// targets of probes without any. Sequences are walked in order, to be
// deterministic.
func (n *Node) endProbes(now time.Time) {
	for _, sequence := range sortedKeys(n.probes) {
		running := n.probes[sequence]
		waited := now.Sub(running.startedAt)
		if waited >= n.options.ProbeInterval {
			delete(n.probes, sequence)
			n.suspect(now, running.target)
			continue
		}
		if waited >= n.options.RetryAfter && !running.retried {
			running.retried = true
			n.pingAgain(sequence, running.target)
		}
		if waited >= n.options.DirectTimeout && !running.helped {
			running.helped = true
			n.askHelpers(sequence, running.target)
		}
	}
}

func sortedKeys[Value any](values map[uint64]Value) []uint64 {
	keys := make([]uint64, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (n *Node) startProbe(now time.Time) {
	target := n.nextTarget()
	if target == nil {
		return
	}
	n.nextSequence++
	n.probes[n.nextSequence] = &probe{target: target.ID, startedAt: now}
	n.ping(target, n.nextSequence)
}

// nextTarget picks mostly from the own zone. Where one of the two sides has
// nobody to probe, the other is taken.
func (n *Node) nextTarget() *entry {
	n.probeCount++
	inZone := func(candidate *entry) bool { return candidate.Zone == n.self.Zone }
	outside := func(candidate *entry) bool { return candidate.Zone != n.self.Zone }
	if n.probeCount%n.options.CrossZoneEvery == 0 {
		if target := n.nextOf(&n.crossOrder, outside); target != nil {
			return target
		}
	}
	if target := n.nextOf(&n.zoneOrder, inZone); target != nil {
		return target
	}
	return n.nextOf(&n.crossOrder, outside)
}

func (n *Node) nextOf(order *probeOrder, eligible func(*entry) bool) *entry {
	for attempt := 0; attempt < 2; attempt++ {
		for len(order.waiting) > 0 {
			known, found := n.members[order.waiting[0]]
			order.waiting = order.waiting[1:]
			if found && known != n.self && known.State == StateAlive && eligible(known) {
				return known
			}
		}
		order.waiting = n.shuffled(eligible)
	}
	return nil
}

func (n *Node) shuffled(eligible func(*entry) bool) []identity.DaemonID {
	var ids []identity.DaemonID
	for _, known := range n.list {
		if known != n.self && known.State == StateAlive && eligible(known) {
			ids = append(ids, known.ID)
		}
	}
	n.random.Shuffle(len(ids), func(left, right int) { ids[left], ids[right] = ids[right], ids[left] })
	return ids
}

// ping sends a ping. A target that is not believed alive is told so, first of
// all, to refute it in the answer.
func (n *Node) ping(target *entry, sequence uint64) {
	message := Message{Kind: MessagePing, Sequence: sequence, Target: target.ID}
	if target.State != StateAlive {
		message.Members = []Member{target.Member}
	}
	n.send(target.Address, message)
}

// pingAccused gives those whom this daemon suspects another chance, so that their
// refutation needs no gossip to come here.
func (n *Node) pingAccused() {
	for _, known := range n.list {
		if known.accused && known.State == StateSuspect {
			n.nextSequence++
			n.ping(known, n.nextSequence)
		}
	}
}

func (n *Node) pingAgain(sequence uint64, target identity.DaemonID) {
	if known, found := n.members[target]; found {
		n.ping(known, sequence)
	}
}

func (n *Node) askHelpers(sequence uint64, target identity.DaemonID) {
	known, found := n.members[target]
	if !found {
		return
	}
	for _, helper := range n.pick(n.options.Helpers, n.list, known) {
		n.send(helper.Address, Message{
			Kind: MessagePingRequest, Sequence: sequence,
			Target: known.ID, TargetAddress: known.Address,
		})
	}
}

func (n *Node) suspect(now time.Time, id identity.DaemonID) {
	known, found := n.members[id]
	if !found || known.State != StateAlive {
		return
	}
	update := known.Member
	update.State = StateSuspect
	update.Since = now.Unix()
	known.suspectedAt = now
	n.change(known, update)
	known.accused = true
}

func (n *Node) tickSuspicions(now time.Time) {
	for _, known := range n.list {
		if known.State != StateSuspect || now.Sub(known.suspectedAt) < n.options.SuspicionTimeout {
			continue
		}
		update := known.Member
		update.State = StateDead
		update.Since = now.Unix()
		n.change(known, update)
	}
}

func (n *Node) handlePing(now time.Time, from identity.DaemonID, address string, message Message) {
	if message.Target != n.self.ID {
		return
	}
	answer := Message{Kind: MessageAck, Sequence: message.Sequence}
	if n.mustRefute(message) {
		answer.Members = append(answer.Members, n.self.Member)
	}
	if fact, ended := n.endOf(from); ended {
		answer.Members = append(answer.Members, fact)
	}
	n.addFacts(&answer, n.pingAllowance(now))
	n.send(address, answer)
}

// mustRefute tells whether the sender believes something else of this daemon.
func (n *Node) mustRefute(message Message) bool {
	return slices.ContainsFunc(message.Members, func(update Member) bool { return update.ID == n.self.ID })
}

func (n *Node) handlePingRequest(now time.Time, address string, message Message) {
	n.nextSequence++
	n.relays[n.nextSequence] = relay{address: address, sequence: message.Sequence, endsAt: now.Add(relayTimeout)}
	n.send(message.TargetAddress, Message{Kind: MessagePing, Sequence: n.nextSequence, Target: message.Target})
}

func (n *Node) handleAck(now time.Time, from identity.DaemonID, message Message) {
	n.noteJoined(now)
	delete(n.probes, message.Sequence)
	passed, found := n.relays[message.Sequence]
	if !found {
		return
	}
	delete(n.relays, message.Sequence)
	answer := Message{Kind: MessageAck, Sequence: passed.sequence}
	if known, found := n.members[from]; found {
		answer.Members = []Member{known.Member}
	}
	n.send(passed.address, answer)
}
