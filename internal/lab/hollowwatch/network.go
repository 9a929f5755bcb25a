package hollowwatch

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/sighting"
	"github.com/lotusward/lotusward/internal/daemon/gossip"
)

// Sizes of what surrounds a message on the wire, in bytes, as in package hollow.
const (
	// datagramOverhead is the IPv4 and UDP headers.
	datagramOverhead = 28
	// callOverhead is a call's HTTP headers both ways and those of TCP.
	callOverhead = 1200
)

// network carries messages encoded and signed. Those sent in one step arrive in
// the next.
type network struct {
	ring    *keyring.Ring
	hosts   map[string]*daemon
	waiting []arrival
	failed  int
}

type arrival struct {
	from    identity.DaemonID
	to      *daemon
	message sighting.Message
}

func newNetwork(Options) (*network, error) {
	ring, err := keyring.New([]byte("hollow run shared key"))
	if err != nil {
		return nil, err
	}
	return &network{ring: ring, hosts: make(map[string]*daemon)}, nil
}

func (n *network) send(from *daemon, sending sighting.Send, lost bool) {
	body, err := datagram.Encode(gossip.Envelope{Sightings: &sending.Message})
	if err != nil {
		n.failed++
		return
	}
	size := len(body) + callOverhead
	if !sending.Reliable {
		body, size = n.seal(from, body)
	}
	from.traffic.SentMessages++
	from.traffic.SentBytes += size
	to, found := n.hosts[sending.To]
	if !found || size == 0 || lost && !sending.Reliable {
		return
	}
	to.traffic.ReceivedBytes += size
	var envelope gossip.Envelope
	if err := msgpack.Unmarshal(body, &envelope); err != nil {
		n.failed++
		return
	}
	n.waiting = append(n.waiting, arrival{from: from.id, to: to, message: *envelope.Sightings})
}

// seal signs and verifies a datagram. The size is zero when it does not fit one.
func (n *network) seal(from *daemon, body []byte) ([]byte, int) {
	at := time.Now()
	frame, err := datagram.Seal(n.ring, from.id, at, body)
	if err != nil {
		n.failed++
		return nil, 0
	}
	_, opened, err := datagram.Open(n.ring, at, frame)
	if err != nil {
		n.failed++
		return nil, 0
	}
	return opened, len(frame) + datagramOverhead
}

func (n *network) arriving() []arrival {
	arrived := n.waiting
	n.waiting = nil
	return arrived
}
