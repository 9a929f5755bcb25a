// Package peerlinktest has a network between daemons for tests: datagrams take a time, and
// are lost, cut or held up as a test says. It works in the time of a synctest bubble too.
package peerlinktest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/peerlink"
)

// Delay is how long a datagram takes.
const Delay = 2 * time.Millisecond

// Network carries datagrams between nodes.
type Network struct {
	mutex sync.Mutex
	luck  *rand.Rand
	lossy float64
	nodes map[string]*Node
	// blocks tells whether datagrams from one address to another are lost, way is how long one
	// takes, and observe is told of each that is sent. Nil are none, Delay and nobody.
	blocks  func(from, to string) bool
	way     func(from, to string) time.Duration
	observe func(from, to string, datagram []byte)
}

// Block sets which datagrams are lost, by sender and receiver; nil is none.
func (n *Network) Block(blocks func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.blocks = blocks
}

// SetWay sets how long datagrams take, by sender and receiver.
func (n *Network) SetWay(way func(from, to string) time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.way = way
}

// Observe sets who is told of each datagram that is sent, also of lost ones. It must not send.
func (n *Network) Observe(observe func(from, to string, datagram []byte)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.observe = observe
}

// NewNetwork makes a network without nodes.
func NewNetwork(seed uint64) *Network {
	return &Network{luck: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*Node{}}
}

// Lose makes the network lose a share of the datagrams.
func (n *Network) Lose(share float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lossy = share
}

// Node is one daemon's link. It implements peerlink.Carrier.
type Node struct {
	network  *Network
	address  string
	handlers map[peerlink.Kind]peerlink.Handler
	observe  func(from string)
	side     int
	down     bool
	frozen   bool
	// held is what happens once the node is no longer frozen.
	held []func()
}

var _ peerlink.Carrier = (*Node)(nil)

// Malformed implements peerlink.Carrier: in tests all daemons are of one build.
func (n *Node) Malformed(from string, kind peerlink.Kind, err error) {
	panic(fmt.Sprintf("%s can't read %s of %s: %v", n.address, kind, from, err))
}

// Add adds a node.
func (n *Network) Add(address string) *Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	added := &Node{network: n, address: address, handlers: map[peerlink.Kind]peerlink.Handler{}}
	n.nodes[address] = added
	return added
}

// Address implements peerlink.Carrier.
func (n *Node) Address() string { return n.address }

// Handle implements peerlink.Carrier; a later handler of a kind replaces an earlier one.
func (n *Node) Handle(kind peerlink.Kind, handler peerlink.Handler) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.handlers[kind] = handler
}

// Observe sets who is told of the sender of each datagram.
func (n *Node) Observe(observe func(from string)) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.observe = observe
}

// Encode implements peerlink.Carrier.
func (n *Node) Encode(kind peerlink.Kind, body any) ([]byte, bool) {
	encoded, err := msgpack.Marshal(body)
	return append([]byte{byte(kind)}, encoded...), err == nil
}

// Send implements peerlink.Carrier.
func (n *Node) Send(to string, datagram []byte) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	receiver := n.network.nodes[to]
	if n.network.observe != nil && !n.down {
		n.network.observe(n.address, to, datagram)
	}
	if receiver == nil || n.down || receiver.down || receiver.side != n.side || n.network.luck.Float64() < n.network.lossy {
		return
	}
	if n.network.blocks != nil && n.network.blocks(n.address, to) {
		return
	}
	way := Delay
	if n.network.way != nil {
		way = n.network.way(n.address, to)
	}
	time.AfterFunc(way, func() { receiver.WhenAwake(func() { receiver.receive(n.address, datagram) }) })
}

func (n *Node) receive(from string, datagram []byte) {
	n.network.mutex.Lock()
	observe, down := n.observe, n.down
	n.network.mutex.Unlock()
	if down {
		return
	}
	if observe != nil {
		observe(from)
	}
	n.Deliver(from, datagram)
}

// Deliver implements peerlink.Carrier.
func (n *Node) Deliver(from string, datagram []byte) {
	n.network.mutex.Lock()
	handler := n.handlers[peerlink.Kind(datagram[0])]
	n.network.mutex.Unlock()
	if handler != nil {
		handler(from, datagram[1:])
	}
}

// SetDown stops a node, or starts it again.
func (n *Node) SetDown(down bool) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.down = down
}

// Working tells whether the node is neither down nor frozen.
func (n *Node) Working() bool {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	return !n.down && !n.frozen
}

// Reaches reports whether datagrams of the node reach another one.
func (n *Node) Reaches(other *Node) bool {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	return !n.down && !other.down && n.side == other.side
}

// SetSide puts a node on a side of a cut; nodes of different sides don't reach each other.
func (n *Node) SetSide(side int) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.side = side
}

// Freeze makes a node stand still: what arrives is handled once it thaws.
func (n *Node) Freeze() {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.frozen = true
}

// Thaw ends Freeze.
func (n *Node) Thaw() {
	n.network.mutex.Lock()
	held := n.held
	n.frozen, n.held = false, nil
	n.network.mutex.Unlock()
	for _, do := range held {
		do()
	}
}

// WhenAwake does something now, or once the node is no longer frozen.
func (n *Node) WhenAwake(do func()) {
	n.network.mutex.Lock()
	if n.frozen {
		n.held = append(n.held, do)
		n.network.mutex.Unlock()
		return
	}
	n.network.mutex.Unlock()
	do()
}
