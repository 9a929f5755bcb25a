package membership

import (
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Identity is how a daemon introduces itself.
type Identity struct {
	ID   identity.DaemonID
	Zone identity.Zone
	// Address is the peer address, IP:port.
	Address string
	// Incarnation is the start time in microseconds since the Unix epoch.
	Incarnation identity.Incarnation
}

// Node is one daemon's part of the membership. It is owned by one goroutine,
// which hands it every message and calls Tick at least every 100 ms.
type Node struct {
	options Options
	random  *rand.Rand
	seeds   []string
	self    *entry

	members    map[identity.DaemonID]*entry
	list       []*entry
	zones      map[identity.Zone][]*entry
	references map[reference]*entry
	tombstones map[identity.DaemonID]tombstone
	backends   map[identity.BackendID]BackendFact
	loads      map[identity.Zone]ZoneLoad
	highest    identity.Revision

	// memberQueue holds changes of known members and joinQueue new members, which
	// after a restart of all are so many that a refutation must not wait for them.
	memberQueue  *queue[identity.DaemonID]
	joinQueue    *queue[identity.DaemonID]
	confirmQueue *queue[identity.DaemonID]
	backendQueue *queue[identity.BackendID]
	loadQueue    *queue[identity.Zone]
	allowance    float64

	probes       map[uint64]*probe
	relays       map[uint64]relay
	nextSequence uint64
	probeCount   int
	zoneOrder    probeOrder
	crossOrder   probeOrder

	// joined is set once another daemon has answered, or when no seed is configured.
	joined      bool
	contact     contact
	actions     []Action
	advancedAt  time.Time
	nextProbe   time.Time
	nextGossip  time.Time
	nextSync    time.Time
	learned     int
	confirmAt   time.Time
	confirmBy   time.Time
	confirmLeft int
	nextAbsent  time.Time
	nextCleanup time.Time
}

// New makes a node that knows only itself and its seeds (addresses, IP:port; its
// own is ignored). Random is used by this node alone.
func New(now time.Time, self Identity, seeds []string, random *rand.Rand, options Options) *Node {
	node := &Node{
		options:      options,
		random:       random,
		members:      make(map[identity.DaemonID]*entry),
		zones:        make(map[identity.Zone][]*entry),
		references:   make(map[reference]*entry),
		tombstones:   make(map[identity.DaemonID]tombstone),
		backends:     make(map[identity.BackendID]BackendFact),
		loads:        make(map[identity.Zone]ZoneLoad),
		memberQueue:  newQueue[identity.DaemonID](),
		joinQueue:    newQueue[identity.DaemonID](),
		confirmQueue: newQueue[identity.DaemonID](),
		backendQueue: newQueue[identity.BackendID](),
		loadQueue:    newQueue[identity.Zone](),
		probes:       make(map[uint64]*probe),
		relays:       make(map[uint64]relay),
		nextSequence: uint64(random.Uint32()),
		advancedAt:   now,
		nextProbe:    now.Add(spread(random, options.ProbeInterval)),
		nextGossip:   now.Add(spread(random, options.GossipInterval)),
		nextSync:     now,
		nextAbsent:   now.Add(spread(random, options.AbsentInterval)),
		nextCleanup:  now.Add(cleanupInterval),
	}
	node.self = newEntry(Member{
		ID: self.ID, Zone: self.Zone, Address: self.Address,
		Incarnation: self.Incarnation, Since: now.Unix(),
	})
	node.insert(node.self)
	for _, seed := range seeds {
		if seed != self.Address {
			node.seeds = append(node.seeds, seed)
		}
	}
	node.joined = len(node.seeds) == 0
	node.joinQueue.add(self.ID)
	node.contact.enter(now, 1, node.self.idHash)
	return node
}

// spread draws a time below interval, so that daemons started together do not
// act together.
func spread(random *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(interval)))
}

// Handle takes a message from a member, which came from address (IP:port).
func (n *Node) Handle(now time.Time, from identity.DaemonID, address string, message Message) []Action {
	n.advance(now)
	if message.Address != "" {
		address = message.Address
	}
	n.noteHighest(message.Highest, from, address)
	n.mergeAll(now, message)
	n.mergeContact(now, message)
	switch message.Kind {
	case MessagePing:
		n.handlePing(now, from, address, message)
	case MessagePingRequest:
		n.handlePingRequest(now, address, message)
	case MessageAck:
		n.handleAck(now, from, message)
	case MessageSyncRequest:
		n.handleSyncRequest(now, from, message)
	case MessageSyncReply:
		n.handleSyncReply(now, message)
	}
	return n.takeActions()
}

// Tick does what is due.
func (n *Node) Tick(now time.Time) []Action {
	n.advance(now)
	n.tickContact(now)
	if n.self.State == StateLeft {
		n.tickGossip(now)
		return n.takeActions()
	}
	n.tickProbes(now)
	n.tickSuspicions(now)
	n.tickGossip(now)
	n.tickSync(now)
	n.tickAbsent(now)
	n.tickCleanup(now)
	return n.takeActions()
}

// Leave tells the others that this daemon leaves by its own will. The owner
// keeps calling Tick for a second or two, so that the word spreads.
func (n *Node) Leave(now time.Time) []Action {
	n.self.State = StateLeft
	n.self.Since = now.Unix()
	n.memberQueue.add(n.self.ID)
	n.nextGossip = now
	return n.Tick(now)
}

// SetRevision tells which configuration revision this daemon has in force.
func (n *Node) SetRevision(revision identity.Revision) {
	if revision <= n.self.Revision {
		return
	}
	n.self.Revision = revision
	n.highest = max(n.highest, revision)
	n.confirmQueue.add(n.self.ID)
	n.confirmAt = n.advancedAt.Add(n.options.ConfirmAfter)
	n.confirmBy = n.confirmAt.Add(n.options.ConfirmAfter)
	n.confirmLeft = n.options.ConfirmTries
}

// ObserveBackend takes what this daemon itself saw of a back end, to be spread:
// that it leaves, or that an earlier leave is over. It is no news, and ignored,
// that a back end serves which nobody said was leaving. Since is filled in.
func (n *Node) ObserveBackend(now time.Time, fact BackendFact) {
	known, found := n.backends[fact.Backend]
	if !fact.valid() || !found && !fact.Leaving {
		return
	}
	if found && !fact.supersedes(known) {
		return
	}
	fact.Since = now.Unix()
	n.backends[fact.Backend] = fact
	n.backendQueue.add(fact.Backend)
	n.hurryGossip(now)
}

// SetZoneLoad sets the load summary of this daemon's zone. It is ignored when it
// is too long or its version is not higher than the known one.
func (n *Node) SetZoneLoad(version uint64, data []byte) {
	if len(data) > MaximumLoadBytes || version <= n.loads[n.self.Zone].Version {
		return
	}
	n.loads[n.self.Zone] = ZoneLoad{Zone: n.self.Zone, Version: version, Data: data}
	n.loadQueue.add(n.self.Zone)
}

// advance notes the time. After a gap that only a pause of this process
// explains, every deadline moves by the gap: others were not silent, this
// daemon was not listening.
func (n *Node) advance(now time.Time) {
	gap := now.Sub(n.advancedAt)
	n.advancedAt = now
	if gap < n.options.PauseThreshold {
		return
	}
	for _, running := range n.probes {
		running.startedAt = running.startedAt.Add(gap)
	}
	for _, member := range n.list {
		member.suspectedAt = member.suspectedAt.Add(gap)
	}
}

func (n *Node) noteHighest(revision identity.Revision, from identity.DaemonID, address string) {
	if revision <= n.highest {
		return
	}
	n.highest = revision
	n.emit(HighestRevisionSeen{Revision: revision, From: from, Address: address})
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

func (n *Node) takeActions() []Action {
	taken := n.actions
	n.actions = nil
	return taken
}

func (n *Node) send(to string, message Message) {
	message.Highest = n.highest
	n.emit(Send{To: to, Message: message})
}

func (n *Node) sendReliable(to string, message Message) {
	message.Highest = n.highest
	message.Address = n.self.Address
	n.emit(Send{To: to, Message: message, Reliable: true})
}
