package peerlink

import (
	"context"
	"slices"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Bounds of what daemons forward for each other.
const (
	// forwardedBytes is how much longer a forwarded datagram may be than what it carries.
	forwardedBytes = 64
	// treeWidth is how many daemons of its zone each one sends to: two levels reach 380, three 7,000.
	treeWidth = 19
	// treeBytesPerSecond bounds what one daemon sends, its own and others' together. A
	// link of 20 Mbit/s carries 2.5 MB a second.
	treeBytesPerSecond = 160 << 10
	// treeBurst is what it sends at once: a datagram of 5 kB to each of treeWidth daemons.
	treeBurst = 96 << 10
	// waitingForwards bounds the datagrams that wait to be sent: more are dropped.
	waitingForwards = 16
)

// Tree tells all other daemons the same by a tree of daemons in each region: each sends to a few,
// which send on. It is for datagrams that are too large to be sent to all by one daemon. Each
// datagram goes down another tree, with daemons of greater capacity mostly at its top, so that a
// daemon that is gone doesn't cut off the same others each time.
type Tree struct {
	carrier  Carrier
	topology Topology
	crossing *Crossing
	limiter  *rate.Limiter
	waiting  chan forwarded
}

// NewTree makes a Tree that tells and forwards nothing until it runs.
func NewTree(carrier Carrier, topology Topology, crossing *Crossing) *Tree {
	tree := &Tree{
		carrier: carrier, topology: topology, crossing: crossing,
		limiter: rate.NewLimiter(treeBytesPerSecond, treeBurst), waiting: make(chan forwarded, waitingForwards),
	}
	carrier.Handle(KindForwarded, tree.receive)
	return tree
}

// Tell sends a body soon. It never blocks: what is too large or finds no room is as good
// as lost.
func (t *Tree) Tell(kind Kind, body any) {
	carried, fits := t.carrier.Encode(kind, body)
	if !fits {
		return
	}
	self := t.carrier.Address()
	t.enqueue(forwarded{number: t.crossing.questions.Next(), shape: shapeZones, origin: self, root: self, carried: carried})
}

// enqueue returns false where there is no room.
func (t *Tree) enqueue(datagram forwarded) bool {
	select {
	case t.waiting <- datagram:
		return true
	default:
		return false
	}
}

// receive hands on what a datagram carries, as from its origin, and sends it on.
func (t *Tree) receive(_ string, body []byte) {
	datagram, whole := decodeForwarded(slices.Clone(body))
	self := t.carrier.Address()
	if !whole || datagram.origin == self {
		return
	}
	if t.enqueue(datagram) && datagram.root == self {
		t.crossing.take(datagram)
	}
	t.carrier.Deliver(datagram.origin, datagram.carried)
}

// Run tells and forwards until the context ends.
func (t *Tree) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case datagram := <-t.waiting:
			t.forward(datagram)
		}
	}
}

// forward sends a datagram to those below this daemon, as far as the bound allows, and over the
// borders where it is this daemon's own.
func (t *Tree) forward(datagram forwarded) {
	self := t.carrier.Address()
	if datagram.origin == self {
		t.crossing.send(datagram.shape, datagram.carried)
	}
	encoded := datagram.encode()
	for _, address := range t.below(datagram) {
		if !t.limiter.AllowN(clock.Now(), len(encoded)) {
			return
		}
		t.carrier.Send(address, encoded)
	}
}

// below are the daemons that this one sends a datagram to.
func (t *Tree) below(datagram forwarded) []string {
	self := t.carrier.Address()
	near := t.topology.Near(self)
	if datagram.shape == shapeFlat {
		if self != datagram.root {
			return nil
		}
		return near
	}
	below := slices.DeleteFunc(append(slices.Clone(near), self), func(address string) bool { return address == datagram.root })
	key := rendezvous.Score(datagram.number, datagram.root)
	if datagram.shape == shapeTree {
		return children(t.topology.Rank(key, below), datagram.root, self)
	}
	return t.belowInZones(key, below, datagram.root)
}

// belowInZones are the daemons below this one in the tree of its zone, and for the root the first of each other zone. The
// others are all daemons of the region but for the root.
func (t *Tree) belowInZones(key uint64, others []string, root string) []string {
	self := t.carrier.Address()
	byZone := map[identity.Zone][]string{}
	for _, address := range others {
		zone := t.topology.ZoneOf(address)
		byZone[zone] = append(byZone[zone], address)
	}
	own := t.topology.ZoneOf(self)
	ranked := t.topology.Rank(key, byZone[own])
	if self != root && own != t.topology.ZoneOf(root) {
		return children(ranked[1:], ranked[0], self) // this daemon is among them
	}
	below := children(ranked, root, self)
	if self != root {
		return below
	}
	heads := make([]string, 0, len(byZone))
	for zone, there := range byZone {
		if zone != own {
			heads = append(heads, t.topology.Rank(key, there)[0])
		}
	}
	return append(heads, below...) // who sends on first
}

// children are the daemons below one in a tree whose root sends to the first of a ranking.
func children(ranked []string, root, self string) []string {
	at := -1 // the root's
	if self != root {
		at = slices.Index(ranked, self)
		if at < 0 {
			return nil
		}
	}
	first := min((at+1)*treeWidth, len(ranked))
	return ranked[first:min(first+treeWidth, len(ranked))]
}
