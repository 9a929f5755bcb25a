// Package gossip carries membership messages between the membership core, which
// the control goroutine owns, and the network: datagrams for probes and gossip,
// peer calls for what must arrive or is too large for a datagram.
package gossip

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
)

// PathMessage is the peer call that carries one message.
const PathMessage = "/membership/message"

const (
	// reliableQueue is how many messages may wait for a peer call; more are dropped,
	// which the core takes for a loss in the network.
	reliableQueue = 256
	// reliableWorkers is how many peer calls run at the same time.
	reliableWorkers = 4
	// callTimeout bounds one peer call.
	callTimeout = 2 * time.Second
)

// Receiver takes messages that arrived; the control loop implements it.
type Receiver interface {
	HandleMembership(from identity.DaemonID, address string, message membership.Message)
}

// Delivered is the empty answer to PathMessage.
type Delivered struct{}

// Transport sends and receives membership messages.
type Transport struct {
	conn     *datagram.Conn
	client   *peer.Client
	log      logrus.FieldLogger
	reliable chan membership.Send
}

// New makes a transport on an open socket and a peer client.
func New(conn *datagram.Conn, client *peer.Client, log logrus.FieldLogger) *Transport {
	return &Transport{
		conn:     conn,
		client:   client,
		log:      log,
		reliable: make(chan membership.Send, reliableQueue),
	}
}

// Send sends a message without waiting for it to arrive. The membership core
// repeats what is lost.
func (t *Transport) Send(send membership.Send) {
	if !send.Reliable {
		if err := t.conn.Send(send.To, send.Message); err != nil {
			t.log.WithError(err).Debug("A datagram was not sent.")
		}
		return
	}
	select {
	case t.reliable <- send:
	default:
		t.log.WithField("to", send.To).Warn("Too many exchanges wait; one was dropped.")
	}
}

// Register lets other daemons deliver messages by peer calls.
func (t *Transport) Register(server *peer.Server, receiver Receiver) {
	peer.Handle(server, PathMessage, func(ctx context.Context, message membership.Message) (Delivered, error) {
		receiver.HandleMembership(peer.Sender(ctx), message.Address, message)
		return Delivered{}, nil
	})
}

// Run receives datagrams and makes the waiting peer calls until the context ends.
func (t *Transport) Run(ctx context.Context, receiver Receiver) error {
	for range reliableWorkers {
		go t.callWaiting(ctx)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = t.conn.Close() // Receive reports how it ended
	})
	defer stop()
	return datagram.Receive(t.conn, func(received datagram.Message[membership.Message]) {
		receiver.HandleMembership(received.Sender, received.From, received.Body)
	})
}

func (t *Transport) callWaiting(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-t.reliable:
			t.call(ctx, send)
		}
	}
}

func (t *Transport) call(ctx context.Context, send membership.Send) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Delivered
	if err := t.client.Call(limited, send.To, PathMessage, send.Message, &answer); err != nil {
		t.log.WithError(err).Debug("An exchange with another daemon failed.")
	}
}
