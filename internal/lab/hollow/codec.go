package hollow

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// Sizes of what surrounds a message on the wire, in bytes.
const (
	// datagramOverhead is the IPv4 and UDP headers.
	datagramOverhead = 28
	// callOverhead is a call's HTTP headers both ways with TCP's handshake and
	// acknowledgements, as seen on loopback, rounded up.
	callOverhead = 1200
)

// WireCodec encodes, signs, verifies and decodes every message as the daemon
// does.
type WireCodec struct {
	ring *keyring.Ring
	// Oversized counts datagrams that did not fit, which were dropped.
	Oversized int
	// Failed counts messages that did not survive the way.
	Failed int
}

// NewWireCodec makes a codec with a key of its own.
func NewWireCodec() (*WireCodec, error) {
	ring, err := keyring.New([]byte("hollow run shared key"))
	if err != nil {
		return nil, err
	}
	return &WireCodec{ring: ring}, nil
}

// Carry implements Codec.
func (c *WireCodec) Carry(from identity.DaemonID, message membership.Message, reliable bool) (membership.Message, int) {
	body, err := datagram.Encode(message)
	if err != nil {
		c.Failed++
		return membership.Message{}, 0
	}
	if reliable {
		return c.decode(body), len(body) + callOverhead
	}
	at := time.Now()
	frame, err := datagram.Seal(c.ring, from, at, body)
	if err != nil {
		c.Oversized++
		return membership.Message{}, 0
	}
	_, opened, err := datagram.Open(c.ring, at, frame)
	if err != nil {
		c.Failed++
		return membership.Message{}, 0
	}
	return c.decode(opened), len(frame) + datagramOverhead
}

func (c *WireCodec) decode(body []byte) membership.Message {
	var message membership.Message
	if err := msgpack.Unmarshal(body, &message); err != nil {
		c.Failed++
	}
	return message
}
