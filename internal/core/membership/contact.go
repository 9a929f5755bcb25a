package membership

import (
	"math/bits"
	"time"
)

// Evidence of contact. Time is cut into numbered rounds. A daemon enters a new
// round when its own clock says that the last one is over, or when it hears of a
// newer one, and then knows only itself to be in it. Gossip carries the round and
// the set of daemons known to be in it, and sets of the same round are united. A
// daemon whose set holds a majority has a chain of messages from each of these,
// sent after the round began. A paused daemon or a cut-off minority cannot have.
//
// A set is a bitmap in which each daemon has a slot, by a hash of its name and
// the round. Daemons that share a slot count as one, so that the count is never
// too high; slots differ from round to round, so that nobody is hidden for long.
const (
	contactBytes = 128
	contactSlots = contactBytes * 8
)

type contact struct {
	round     uint64
	enteredAt time.Time
	seen      [contactBytes]byte
	// mask holds the slots of the known members in this round.
	mask       [contactBytes]byte
	maskValid  bool
	majorityAt time.Time
}

func (c *contact) enter(now time.Time, round uint64, selfHash uint64) {
	c.round = round
	c.enteredAt = now
	c.seen = [contactBytes]byte{}
	c.maskValid = false
	setSlot(&c.seen, selfHash, round)
}

func setSlot(set *[contactBytes]byte, idHash, round uint64) {
	slot := mix(idHash, round) % contactSlots
	set[slot/8] |= 1 << (slot % 8)
}

// packed returns a copy of the set for a message.
func (c *contact) packed() []byte {
	copied := c.seen
	return copied[:]
}

func (n *Node) tickContact(now time.Time) {
	if now.Sub(n.contact.enteredAt) >= n.options.RoundInterval {
		n.contact.enter(now, n.contact.round+1, n.self.idHash)
		n.countContact()
	}
}

func (n *Node) mergeContact(now time.Time, message Message) {
	if len(message.Contact) != contactBytes || message.Round < n.contact.round {
		return
	}
	if message.Round > n.contact.round {
		n.contact.enter(now, message.Round, n.self.idHash)
	}
	for index, octet := range message.Contact {
		n.contact.seen[index] |= octet
	}
	n.countContact()
}

// countContact notes the time of the round when a majority is in its set.
func (n *Node) countContact() {
	if n.contact.majorityAt.Equal(n.contact.enteredAt) || !n.joined {
		return
	}
	seen := 0
	mask, total := n.contactMask()
	for index, octet := range mask {
		seen += bits.OnesCount8(octet & n.contact.seen[index])
	}
	if 2*seen > max(total, n.options.MinimumMembers) {
		n.contact.majorityAt = n.contact.enteredAt
	}
}

// contactMask returns the slots and the number of the members that count: all
// that did not leave by their own word, dead ones too while they are remembered.
func (n *Node) contactMask() (*[contactBytes]byte, int) {
	total := 0
	for _, known := range n.list {
		if known.State != StateLeft {
			total++
		}
	}
	if n.contact.maskValid {
		return &n.contact.mask, total
	}
	n.contact.mask = [contactBytes]byte{}
	for _, known := range n.list {
		if known.State != StateLeft {
			setSlot(&n.contact.mask, known.idHash, n.contact.round)
		}
	}
	n.contact.maskValid = true
	return &n.contact.mask, total
}
