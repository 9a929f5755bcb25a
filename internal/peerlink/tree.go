package peerlink

import (
	"bytes"
	"context"
	"encoding/binary"
	"slices"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Bounds of what daemons forward for each other.
const (
	// forwardedBytes is how much longer a forwarded datagram may be than what it carries.
	forwardedBytes = 64
	// treeWidth is how many daemons each one sends to: two levels reach 380 daemons.
	treeWidth = 19
	// treeBytesPerSecond bounds what one daemon sends, its own and others' together. A
	// link of 20 Mbit/s carries 2.5 MB a second.
	treeBytesPerSecond = 160 << 10
	treeBurst          = 96 << 10
	waitingForwards    = 16
)

// Tree tells all other daemons the same by a tree of daemons: each sends to a few, which
// send on. It is for datagrams that are too large to be sent to all by one daemon. Each
// datagram goes down another tree, so that a daemon that is gone keeps it from the same
// others only once.
type Tree struct {
	link    *Link
	others  func() []string
	limiter *rate.Limiter
	waiting chan []byte
	sent    atomic.Uint32
}

// NewTree makes a Tree that tells and forwards nothing until it runs. Others returns the
// addresses of the other daemons.
func NewTree(link *Link, others func() []string) *Tree {
	tree := &Tree{
		link: link, others: others, limiter: rate.NewLimiter(treeBytesPerSecond, treeBurst),
		waiting: make(chan []byte, waitingForwards),
	}
	link.Handle(KindForwarded, tree.receive)
	return tree
}

// A forwarded datagram begins with its kind, a number that its tree is drawn from, and the
// length of its origin's address, the address, and then the datagram that it carries.
const (
	numberAt = 1
	lengthAt = numberAt + 4
	originAt = lengthAt + 1
)

// Tell sends a body soon. It never blocks: what is too large or finds no room is as good
// as lost.
func (t *Tree) Tell(kind Kind, body any) {
	carried, fits := t.link.Encode(kind, body)
	if !fits {
		return
	}
	number := t.sent.Add(1)
	origin := t.link.Address()
	var datagram bytes.Buffer
	datagram.WriteByte(byte(KindForwarded))
	_ = binary.Write(&datagram, binary.BigEndian, number)
	datagram.WriteByte(byte(len(origin)))
	datagram.WriteString(origin)
	datagram.Write(carried)
	t.enqueue(datagram.Bytes())
}

func (t *Tree) enqueue(datagram []byte) {
	select {
	case t.waiting <- datagram:
	default:
	}
}

// receive hands on what a datagram carries, as from its origin, and sends it on.
func (t *Tree) receive(_ string, body []byte) {
	datagram := append([]byte{byte(KindForwarded)}, body...)
	origin, carried, whole := readForwarded(datagram)
	if !whole || origin == t.link.Address() || Kind(carried[0]) == KindForwarded {
		return
	}
	t.enqueue(datagram)
	t.link.handle(origin, carried)
}

// readForwarded returns the origin of a datagram and what it carries; false when it is
// malformed.
func readForwarded(datagram []byte) (origin string, carried []byte, whole bool) {
	if len(datagram) < originAt {
		return "", nil, false
	}
	end := originAt + int(datagram[lengthAt])
	if len(datagram) <= end {
		return "", nil, false
	}
	return string(datagram[originAt:end]), datagram[end:], true
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

// forward sends a datagram to those below this daemon, as far as the bound allows.
func (t *Tree) forward(datagram []byte) {
	origin, _, whole := readForwarded(datagram)
	if !whole {
		return
	}
	number := binary.BigEndian.Uint32(datagram[numberAt:lengthAt])
	for _, address := range below(origin, t.link.Address(), t.others(), number) {
		if !t.limiter.AllowN(clock.Now(), len(datagram)) {
			return
		}
		t.link.Send(address, datagram)
	}
}

// below are the daemons below one in the tree of an origin and a number.
func below(origin, self string, others []string, number uint32) []string {
	all := slices.DeleteFunc(append(slices.Clone(others), self), func(address string) bool { return address == origin })
	if len(all) == 0 {
		return nil
	}
	slices.Sort(all)
	start := int(rendezvous.Score(uint64(number), origin) % uint64(len(all)))
	at := -1 // the origin's
	if self != origin {
		at = (slices.Index(all, self) - start + len(all)) % len(all)
	}
	var children []string
	for child := (at + 1) * treeWidth; child < min((at+2)*treeWidth, len(all)); child++ {
		children = append(children, all[(child+start)%len(all)])
	}
	return children
}
