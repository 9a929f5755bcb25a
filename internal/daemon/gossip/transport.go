// Package gossip carries messages between the pure cores that the control
// goroutine owns, membership and the exchange of sightings, and the network:
// datagrams for probes and gossip, peer calls for what must arrive or is too large
// for a datagram.
package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/peer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/membership"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/core/share"
	"github.com/lotusward/lotusward/internal/core/sighting"
)

// PathMessage is the peer call that carries one message.
const PathMessage = "/gossip/message"

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
	HandleSightings(from identity.DaemonID, message sighting.Message)
	HandleNotices(notices []scheduler.Notice)
	HandleShares(from identity.DaemonID, message share.Message)
}

// Envelope holds the one message that is not nil. On the wire it is an array.
type Envelope struct {
	//lint:ignore U1000 read by the msgpack library through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Membership *membership.Message
	Sightings  *sighting.Message
	Notices    []scheduler.Notice
	Shares     *share.Message
}

// outgoing is an envelope with the address (IP:port) that it goes to.
type outgoing struct {
	to       string
	envelope Envelope
}

// Delivered is the empty answer to PathMessage.
type Delivered struct{}

// Transport sends and receives messages.
type Transport struct {
	conn     *datagram.Conn
	client   *peer.Client
	log      logrus.FieldLogger
	reliable chan outgoing
}

// New makes a transport on an open socket and a peer client.
func New(conn *datagram.Conn, client *peer.Client, log logrus.FieldLogger) *Transport {
	return &Transport{
		conn:     conn,
		client:   client,
		log:      log,
		reliable: make(chan outgoing, reliableQueue),
	}
}

// Send sends a membership message without waiting for it to arrive. The
// membership core repeats what is lost.
func (t *Transport) Send(send membership.Send) {
	t.send(outgoing{to: send.To, envelope: Envelope{Membership: &send.Message}}, send.Reliable)
}

// SendSightings sends a message of the exchange of sightings without waiting for
// it to arrive. The exchange repairs what is lost.
func (t *Transport) SendSightings(send sighting.Send) {
	t.send(outgoing{to: send.To, envelope: Envelope{Sightings: &send.Message}}, send.Reliable)
}

// SendNotices tells a daemon what was placed here. What is lost shows in later
// reports of the engines.
func (t *Transport) SendNotices(to string, notices []scheduler.Notice) {
	t.send(outgoing{to: to, envelope: Envelope{Notices: notices}}, false)
}

// SendShares sends a message about shares of limits. What is lost is asked for again.
func (t *Transport) SendShares(to string, message share.Message) {
	t.send(outgoing{to: to, envelope: Envelope{Shares: &message}}, false)
}

// send sends by datagram, and by a peer call what must arrive or is too large.
func (t *Transport) send(message outgoing, reliable bool) {
	if !reliable {
		err := t.conn.Send(message.to, message.envelope)
		if err == nil {
			return
		}
		if !errors.Is(err, datagram.ErrTooLarge) {
			t.log.WithError(err).Debug("A datagram was not sent.")
			return
		}
	}
	select {
	case t.reliable <- message:
	default:
		t.log.WithField("to", message.to).Warn("Too many exchanges wait; one was dropped.")
	}
}

// Register lets other daemons deliver messages by peer calls.
func (t *Transport) Register(server *peer.Server, receiver Receiver) {
	peer.Handle(server, PathMessage, func(ctx context.Context, envelope Envelope) (Delivered, error) {
		deliver(receiver, peer.Sender(ctx), "", envelope)
		return Delivered{}, nil
	})
}

// Run receives datagrams and makes the waiting peer calls until the context ends or
// receiving fails.
func (t *Transport) Run(ctx context.Context, receiver Receiver) error {
	var calling sync.WaitGroup
	defer calling.Wait()
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	for range reliableWorkers {
		calling.Go(func() { t.callWaiting(calls) })
	}
	stop := context.AfterFunc(ctx, func() {
		_ = t.conn.Close() // Receive reports how it ended
	})
	defer stop()
	return datagram.Receive(t.conn, func(received datagram.Message[Envelope]) {
		deliver(receiver, received.Sender, received.From, received.Body)
	})
}

// deliver hands a message to the receiver. Address is where it came from, IP:port;
// a message that came by a peer call says itself where its sender is.
func deliver(receiver Receiver, from identity.DaemonID, address string, envelope Envelope) {
	if message := envelope.Membership; message != nil {
		if address == "" {
			address = message.Address
		}
		receiver.HandleMembership(from, address, *message)
	}
	if message := envelope.Sightings; message != nil {
		receiver.HandleSightings(from, *message)
	}
	if len(envelope.Notices) > 0 {
		receiver.HandleNotices(envelope.Notices)
	}
	if message := envelope.Shares; message != nil {
		receiver.HandleShares(from, *message)
	}
}

func (t *Transport) callWaiting(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-t.reliable:
			t.call(ctx, message)
		}
	}
}

func (t *Transport) call(ctx context.Context, message outgoing) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Delivered
	if err := t.client.Call(limited, message.to, PathMessage, message.envelope, &answer); err != nil {
		t.log.WithError(err).Debug("An exchange with another daemon failed.")
	}
}
