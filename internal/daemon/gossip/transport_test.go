package gossip

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/logging"
)

// arrival is a membership message that a recorder got.
type arrival struct {
	from    identity.DaemonID
	address string
	highest identity.Revision
}

type recorder struct {
	Receiver
	arrivals chan arrival
}

func (r *recorder) HandleMembership(from identity.DaemonID, address string, message membership.Message) {
	r.arrivals <- arrival{from, address, message.Highest}
}

// station is one daemon's transport on loopback.
type station struct {
	*Transport
	recorder *recorder
	calls    string
}

func newStation(t *testing.T, id identity.DaemonID, key string) *station {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ring, err := keyring.New([]byte(key))
	assert.NilError(t, err)
	conn, err := datagram.Listen("127.0.0.1:0", ring, id, time.Now, prometheus.NewRegistry())
	assert.NilError(t, err)
	server := peer.NewServer(ring, time.Now, prometheus.NewRegistry())
	made := &station{
		Transport: New(conn, peer.NewClient(ring, id, time.Now), logging.Discard()),
		recorder:  &recorder{arrivals: make(chan arrival, 16)},
	}
	made.Register(server, made.recorder)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	made.calls = listener.Listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- made.Run(ctx, made.recorder) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return made
}

// TestOnlyHoldersOfTheKeyGetMessagesIn sends by both ways, first without the key.
func TestOnlyHoldersOfTheKeyGetMessagesIn(t *testing.T) {
	receiver := newStation(t, "receiver", "shared-key-0123456789")
	sender := newStation(t, "sender", "shared-key-0123456789")
	stranger := newStation(t, "sender", "other-key-0123456789")

	forged := membership.Message{Highest: 666, Address: "127.0.0.1:1"}
	stranger.Send(membership.Send{To: receiver.conn.Address(), Message: forged})
	err := stranger.client.Call(context.Background(), receiver.calls, PathMessage, Envelope{Membership: &forged}, nil)
	assert.Assert(t, err != nil)

	sender.Send(membership.Send{To: receiver.conn.Address(), Message: membership.Message{Highest: 1}})
	assert.Equal(t, <-receiver.recorder.arrivals, arrival{"sender", sender.conn.Address(), 1})
	exchange := membership.Message{Highest: 2, Address: "127.0.0.1:2"}
	sender.Send(membership.Send{To: receiver.calls, Message: exchange, Reliable: true})
	assert.Equal(t, <-receiver.recorder.arrivals, arrival{"sender", "127.0.0.1:2", 2})
	assert.Equal(t, len(receiver.recorder.arrivals), 0)
}
