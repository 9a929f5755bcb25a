package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

const (
	// maximumFactBytes bounds the facts in one datagram; with the evidence of
	// contact and the frame it stays below the datagram's limit.
	maximumFactBytes = 900
	// pingFactBytes bounds the facts in an acknowledgement.
	pingFactBytes = 300
	// Estimates of encoded sizes without strings, in bytes.
	memberBytes       = 38
	backendBytes      = 32
	loadBytes         = 16
	confirmationBytes = 14
	// hurriedGossip is how soon a fact that must not wait is sent on.
	hurriedGossip = 20 * time.Millisecond
)

// hurryGossip brings the next round of gossip forward.
func (n *Node) hurryGossip(now time.Time) {
	soon := now.Add(hurriedGossip)
	if n.nextGossip.After(soon) {
		n.nextGossip = soon
	}
}

func (n *Node) tickGossip(now time.Time) {
	if now.Before(n.nextGossip) {
		return
	}
	n.nextGossip = now.Add(n.options.GossipInterval)
	n.fillAllowance()
	for _, target := range n.gossipTargets() {
		message := Message{Kind: MessageGossip, Round: n.contact.round, Contact: n.contact.packed()}
		n.addFacts(&message, min(maximumFactBytes, int(n.allowance)))
		n.send(target.Address, message)
	}
}

func (n *Node) fillAllowance() {
	refill := float64(n.options.GossipBytes) * n.options.GossipInterval.Seconds()
	n.allowance = min(n.allowance+refill, float64(n.options.GossipBurst))
}

// pingAllowance is how many bytes of facts an acknowledgement may carry.
func (n *Node) pingAllowance(time.Time) int { return min(pingFactBytes, int(n.allowance)) }

func (n *Node) gossipTargets() []*entry {
	targets := n.pick(n.options.ZoneFanout, n.zones[n.self.Zone])
	others := n.pick(n.options.Fanout-len(targets), n.list, targets...)
	return append(targets, others...)
}

// pick draws up to count different live members other than this daemon and the
// unwanted ones.
func (n *Node) pick(count int, candidates []*entry, unwanted ...*entry) []*entry {
	const triesEach = 8
	var picked []*entry
	if len(candidates) == 0 {
		return nil
	}
	for try := 0; try < count*triesEach && len(picked) < count; try++ {
		drawn := candidates[n.random.IntN(len(candidates))]
		if drawn == n.self || !drawn.Live() || slices.Contains(picked, drawn) || slices.Contains(unwanted, drawn) {
			continue
		}
		picked = append(picked, drawn)
	}
	return picked
}

// transmits is how often a fact is sent on by each daemon.
func (n *Node) transmits(above int) int {
	return above + int(math.Ceil(math.Log(float64(len(n.list)+1))))
}

// addFacts puts in what is to be sent on, most urgent first: leaving back ends,
// members, loads, confirmations.
func (n *Node) addFacts(message *Message, limit int) {
	room := limit
	fits := func(size int) bool {
		if size > room {
			return false
		}
		room -= size
		return true
	}
	n.addBackends(message, fits)
	n.addMembers(message, fits)
	n.addLoads(message, fits)
	n.addConfirmations(message, fits)
	n.allowance = max(0, n.allowance-float64(limit-room))
}

func (n *Node) addBackends(message *Message, fits func(int) bool) {
	n.backendQueue.take(n.transmits(n.options.UrgentTransmits), func(id identity.BackendID) bool {
		fact, found := n.backends[id]
		if !found {
			return true
		}
		if !fits(backendBytes + len(id)) {
			return false
		}
		message.Backends = append(message.Backends, fact)
		return true
	})
}

func (n *Node) addMembers(message *Message, fits func(int) bool) {
	add := func(id identity.DaemonID) bool {
		known, found := n.members[id]
		if !found {
			return true
		}
		if !fits(memberBytes + len(id) + len(known.Zone) + len(known.Address)) {
			return false
		}
		message.Members = append(message.Members, known.Member)
		return true
	}
	n.memberQueue.take(n.transmits(n.options.UrgentTransmits), add)
	n.joinQueue.take(n.transmits(n.options.ConfirmTransmits), add)
}

func (n *Node) addLoads(message *Message, fits func(int) bool) {
	n.loadQueue.take(n.options.LoadTransmits, func(zone identity.Zone) bool {
		load := n.loads[zone]
		if !fits(loadBytes + len(zone) + len(load.Data)) {
			return false
		}
		message.Loads = append(message.Loads, load)
		return true
	})
}

func (n *Node) addConfirmations(message *Message, fits func(int) bool) {
	n.confirmQueue.take(n.transmits(n.options.ConfirmTransmits), func(id identity.DaemonID) bool {
		known, found := n.members[id]
		if !found {
			return true
		}
		group := confirmationOf(message, known.Revision)
		size := referenceBytes
		if group == nil {
			size += confirmationBytes
		}
		if !fits(size) {
			return false
		}
		if group == nil {
			message.Confirmations = append(message.Confirmations, Confirmation{Revision: known.Revision})
			group = &message.Confirmations[len(message.Confirmations)-1]
		}
		group.Members = packReference(group.Members, known.reference)
		return true
	})
}

func confirmationOf(message *Message, revision identity.Revision) *Confirmation {
	for index := range message.Confirmations {
		if message.Confirmations[index].Revision == revision {
			return &message.Confirmations[index]
		}
	}
	return nil
}

func packReference(packed []byte, packing reference) []byte {
	var whole [8]byte
	binary.BigEndian.PutUint64(whole[:], uint64(packing))
	return append(packed, whole[8-referenceBytes:]...)
}

func unpackReference(packed []byte) reference {
	var whole [8]byte
	copy(whole[8-referenceBytes:], packed[:referenceBytes])
	return reference(binary.BigEndian.Uint64(whole[:]))
}
