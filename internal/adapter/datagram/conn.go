package datagram

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Reasons of a drop, as the metric's label has them.
const (
	reasonMalformed = "malformed"
	reasonSignature = "signature"
	reasonStale     = "stale"
	reasonDecode    = "decode"
)

// Conn is a UDP socket for authenticated messages. Send is safe for use by any
// goroutine; one goroutine at a time may be in Receive.
type Conn struct {
	socket  *net.UDPConn
	ring    *keyring.Ring
	sender  identity.DaemonID
	now     func() time.Time
	dropped *prometheus.CounterVec
	bytes   *prometheus.CounterVec
}

// Message is a received, authenticated message.
type Message[Body any] struct {
	Sender identity.DaemonID
	// From is the address that the datagram came from, IP:port.
	From string
	Body Body
	// Bytes is the size of the whole datagram.
	Bytes int
}

// Listen opens a socket on address (IP:port) that signs as sender, and registers
// its metrics. Now gives the wall clock.
func Listen(address string, ring *keyring.Ring, sender identity.DaemonID, now func() time.Time, registerer prometheus.Registerer) (*Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("datagram: address: %w", err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fmt.Errorf("datagram: listen: %w", err)
	}
	conn := &Conn{
		socket: socket,
		ring:   ring,
		sender: sender,
		now:    now,
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_datagrams_dropped_total",
			Help: "Received datagrams that were dropped, by reason.",
		}, []string{"reason"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_datagram_bytes_total",
			Help: "Bytes of datagrams without IP and UDP headers, by direction.",
		}, []string{"direction"}),
	}
	registerer.MustRegister(conn.dropped, conn.bytes)
	return conn, nil
}

// Address returns the address that the socket listens on, IP:port.
func (c *Conn) Address() string { return c.socket.LocalAddr().String() }

// Close closes the socket; a running Receive ends.
func (c *Conn) Close() error { return c.socket.Close() }

// Send encodes and signs message and sends it once to address (IP:port). It
// fails with ErrTooLarge when the message doesn't fit one datagram.
func (c *Conn) Send(address string, message any) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("datagram: address: %w", err)
	}
	frame, err := Seal(c.ring, c.sender, c.now(), body)
	if err != nil {
		return err
	}
	c.bytes.WithLabelValues("sent").Add(float64(len(frame)))
	_, err = c.socket.WriteToUDPAddrPort(frame, target)
	return err
}

// Receive reads datagrams and hands the good ones to deliver, one after the
// other, until the socket is closed. It returns nil when closed by Close.
func Receive[Body any](conn *Conn, deliver func(Message[Body])) error {
	buffer := make([]byte, MaximumBytes+1)
	for {
		size, from, err := conn.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("datagram: receive: %w", err)
		}
		conn.bytes.WithLabelValues("received").Add(float64(size))
		sender, body, err := Open(conn.ring, conn.now(), buffer[:size])
		if err != nil {
			conn.drop(err)
			continue
		}
		message := Message[Body]{Sender: sender, From: from.String(), Bytes: size}
		if err := msgpack.Unmarshal(body, &message.Body); err != nil {
			conn.dropped.WithLabelValues(reasonDecode).Inc()
			continue
		}
		deliver(message)
	}
}

func (c *Conn) drop(cause error) {
	reason := reasonMalformed
	switch {
	case errors.Is(cause, errSignature):
		reason = reasonSignature
	case errors.Is(cause, errStale):
		reason = reasonStale
	}
	c.dropped.WithLabelValues(reason).Inc()
}
