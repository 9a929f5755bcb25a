// Package membershiptest runs the membership of many daemons in one process and in
// simulated time, on a simulated network that loses, repeats and delays messages, for
// tests.
package membershiptest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// tickInterval is the time between two ticks of a daemon.
const tickInterval = 50 * time.Millisecond

// socketBuffer is how many messages wait for a paused daemon; the rest is lost.
const socketBuffer = 256

// Conditions are how the simulated network treats messages.
type Conditions struct {
	// Loss and Repeat are the shares of datagrams that are lost or come twice.
	Loss   float64
	Repeat float64
	// ZoneDelay is the one-way delay inside a zone, CrossDelay between zones.
	ZoneDelay  time.Duration
	CrossDelay time.Duration
	// Jitter is added evenly between zero and itself, and reorders datagrams.
	Jitter time.Duration
}

// LocalConditions are those between zones of one region, with some loss.
func LocalConditions() Conditions {
	return Conditions{
		Loss: 0.05, ZoneDelay: 200 * time.Microsecond,
		CrossDelay: 1500 * time.Microsecond, Jitter: time.Millisecond,
	}
}

// Network runs daemons in simulated time, in one goroutine. The same seed
// gives the same run.
type Network struct {
	Conditions Conditions
	// Cut, when not nil, tells whether nothing passes from one host to another.
	Cut func(from, to *Host) bool
	// Observe, when not nil, is told every action that is not a message.
	Observe func(host *Host, action membership.Action)
	Options membership.Options

	now       time.Time
	random    *rand.Rand
	hosts     []*Host
	addresses map[string]*Host
	pending   eventHeap
	sequence  uint64
}

// Host is one daemon's machine.
type Host struct {
	Node    *membership.Node
	ID      identity.DaemonID
	Zone    identity.Zone
	Address string
	// Running is false after a crash, until a restart.
	Running bool

	network     *Network
	seeds       []string
	pausedUntil time.Time
	buffered    []delivery
	life        int
}

type delivery struct {
	from    identity.DaemonID
	address string
	message membership.Message
}

// NewNetwork makes an empty network.
func NewNetwork(seed uint64, conditions Conditions, options membership.Options) *Network {
	return &Network{
		Conditions: conditions,
		Options:    options,
		now:        time.Unix(1_800_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, seed)),
		addresses:  make(map[string]*Host),
	}
}

// Now returns the simulated time.
func (n *Network) Now() time.Time { return n.now }

// Hosts returns all hosts in the order they were added.
func (n *Network) Hosts() []*Host { return n.hosts }

// Add starts a daemon.
func (n *Network) Add(id identity.DaemonID, zone identity.Zone, address string, seeds []string) *Host {
	host := &Host{ID: id, Zone: zone, Address: address, network: n, seeds: seeds}
	n.hosts = append(n.hosts, host)
	n.addresses[address] = host
	host.Restart()
	return host
}

// Restart starts a new life of the daemon, with nothing kept.
func (h *Host) Restart() { h.RestartAt(h.network.now) }

// RestartAt starts a new life whose incarnation is taken from a clock that shows
// at, to stand in for clocks that are off.
func (h *Host) RestartAt(at time.Time) {
	network := h.network
	h.life++
	h.Running = true
	h.pausedUntil = time.Time{}
	h.buffered = nil
	random := rand.New(rand.NewPCG(network.random.Uint64(), uint64(h.life)))
	self := membership.Identity{
		ID: h.ID, Zone: h.Zone, Address: h.Address,
		Incarnation: identity.Incarnation(at.UnixMicro()),
	}
	h.Node = membership.New(network.now, self, h.seeds, random, network.Options)
	network.scheduleTick(h, time.Duration(network.random.Int64N(int64(tickInterval))))
}

// Crash ends the daemon without a word.
func (h *Host) Crash() { h.Running = false }

// Pause stops the daemon's process for a while; messages wait for it.
func (h *Host) Pause(length time.Duration) { h.pausedUntil = h.network.now.Add(length) }

// Perform carries out actions that the host's node returned outside of a run.
func (h *Host) Perform(actions []membership.Action) { h.network.perform(h, actions) }

// Run lets simulated time pass.
func (n *Network) Run(length time.Duration) {
	n.RunUntil(length, nil)
}

// RunUntil lets time pass until done, when not nil, returns true, and at most for
// limit. It returns the time that passed, and whether done returned true.
func (n *Network) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	end := n.now.Add(limit)
	check := n.now
	for len(n.pending) > 0 && !n.pending[0].at.After(end) {
		next := heap.Pop(&n.pending).(event)
		n.now = next.at
		n.apply(next)
		if done != nil && !n.now.Before(check) {
			check = n.now.Add(tickInterval / 2)
			if done() {
				return n.now.Sub(start), true
			}
		}
	}
	n.now = end
	return limit, done != nil && done()
}

func (n *Network) apply(next event) {
	host := next.host
	staleTick := next.tick && next.life != host.life
	if !host.Running || staleTick {
		return
	}
	if n.now.Before(host.pausedUntil) {
		n.postpone(next)
		return
	}
	if next.tick {
		n.scheduleTick(host, tickInterval)
		n.perform(host, host.Node.Tick(n.now))
		n.drain(host)
		return
	}
	n.deliver(host, next.delivery)
}

// postpone keeps what comes to a paused host until the pause is over.
func (n *Network) postpone(next event) {
	if next.tick {
		n.scheduleTick(next.host, next.host.pausedUntil.Sub(n.now))
		return
	}
	if len(next.host.buffered) < socketBuffer {
		next.host.buffered = append(next.host.buffered, next.delivery)
	}
}

func (n *Network) drain(host *Host) {
	buffered := host.buffered
	host.buffered = nil
	for _, waiting := range buffered {
		n.deliver(host, waiting)
	}
}

func (n *Network) deliver(host *Host, received delivery) {
	n.perform(host, host.Node.Handle(n.now, received.from, received.address, received.message))
}

func (n *Network) perform(host *Host, actions []membership.Action) {
	for _, action := range actions {
		if sending, is := action.(membership.Send); is {
			n.send(host, sending)
			continue
		}
		if n.Observe != nil {
			n.Observe(host, action)
		}
	}
}

func (n *Network) send(from *Host, sending membership.Send) {
	to, found := n.addresses[sending.To]
	if !found || n.Cut != nil && n.Cut(from, to) {
		return
	}
	carried := delivery{from: from.ID, address: from.Address, message: sending.Message}
	if sending.Reliable {
		n.schedule(to, carried)
		return
	}
	if n.random.Float64() < n.Conditions.Loss {
		return
	}
	n.schedule(to, carried)
	if n.random.Float64() < n.Conditions.Repeat {
		n.schedule(to, carried)
	}
}

func (n *Network) schedule(to *Host, carried delivery) {
	delay := n.Conditions.CrossDelay
	if from := n.addresses[carried.address]; from.Zone == to.Zone {
		delay = n.Conditions.ZoneDelay
	}
	if n.Conditions.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.Conditions.Jitter)))
	}
	n.push(event{at: n.now.Add(delay), host: to, life: to.life, delivery: carried})
}

func (n *Network) scheduleTick(host *Host, after time.Duration) {
	n.push(event{at: n.now.Add(after), host: host, life: host.life, tick: true})
}

func (n *Network) push(next event) {
	n.sequence++
	next.sequence = n.sequence
	heap.Push(&n.pending, next)
}
