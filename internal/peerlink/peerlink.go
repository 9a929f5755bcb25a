// Package peerlink carries single datagrams between daemons over one UDP socket.
// Datagrams may be lost, late or repeated, and a peer may be gone: whoever sends
// through a Link must do without an answer.
package peerlink

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/pause"
)

// Kind says what a datagram is about.
type Kind uint8

// The kinds of datagrams.
const (
	// KindLoads tells what a daemon has under way at the back ends.
	KindLoads Kind = iota + 1
	// KindBulletin tells what a daemon has read from the platform's store.
	KindBulletin
	// KindPlan tells the plan of a roll-out.
	KindPlan
	kindEnd
)

const (
	// maximumDatagram bounds a datagram in bytes.
	maximumDatagram  = 8 << 10
	receiveErrorWait = 50 * time.Millisecond
)

// Handler takes one datagram. The address is where its sender is reached, IP:port;
// the body is valid until the handler returns. A handler must not block.
type Handler func(from string, body []byte)

// envelope is one datagram. It is encoded as a list, since names would be most of
// its bytes.
type envelope struct {
	Kind Kind
	From string
	Body []byte
}

// Link is safe for use by several goroutines. All handlers are set before Run.
type Link struct {
	address  string
	handlers [kindEnd]Handler
	// observe is told of the sender of each datagram; nil is not.
	observe func(from string)
	socket  atomic.Pointer[net.UDPConn]
}

// New makes a Link that listens on an address (IP:port) once it runs.
func New(address string) *Link { return &Link{address: address} }

// Address is where this daemon is reached, IP:port.
func (l *Link) Address() string { return l.address }

// Handle sets the handler of a kind.
func (l *Link) Handle(kind Kind, handler Handler) { l.handlers[kind] = handler }

// Observe sets who is told of the sender of each datagram. It must not block.
func (l *Link) Observe(observe func(from string)) { l.observe = observe }

// HandleDecoded sets a handler that takes decoded bodies. What cannot be decoded is
// passed over.
func HandleDecoded[Body any](link *Link, kind Kind, take func(from string, body Body)) {
	link.Handle(kind, func(from string, encoded []byte) {
		var body Body
		if msgpack.Unmarshal(encoded, &body) == nil {
			take(from, body)
		}
	})
}

// Encode returns a datagram that Send takes; false when it is too large for one.
func (l *Link) Encode(kind Kind, body any) ([]byte, bool) {
	content, err := encode(body)
	if err != nil {
		return nil, false
	}
	datagram, err := encode(&envelope{Kind: kind, From: l.address, Body: content})
	return datagram, err == nil && len(datagram) <= maximumDatagram
}

func encode(value any) ([]byte, error) {
	var content bytes.Buffer
	encoder := msgpack.NewEncoder(&content)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(value)
	return content.Bytes(), err
}

// Send sends a datagram to a daemon once, if the socket is open. What goes wrong
// is as if the datagram were lost.
func (l *Link) Send(to string, datagram []byte) {
	socket := l.socket.Load()
	address, err := netip.ParseAddrPort(to)
	if socket == nil || err != nil {
		return
	}
	_, _ = socket.WriteToUDPAddrPort(datagram, address)
}

// Run receives until the context ends. Without a socket the daemon goes on alone.
func (l *Link) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", l.address)
	if err != nil {
		<-ctx.Done()
		return nil
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		<-ctx.Done()
		return nil
	}
	l.socket.Store(socket)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	l.receive(ctx, socket)
	return nil
}

func (l *Link) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maximumDatagram)
	for ctx.Err() == nil {
		count, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			pause.For(ctx, receiveErrorWait)
			continue
		}
		l.deliver(buffer[:count])
	}
}

// deliver hands a datagram to its handler. What cannot be read is passed over.
func (l *Link) deliver(datagram []byte) {
	var got envelope
	if msgpack.Unmarshal(datagram, &got) != nil || got.Kind >= kindEnd {
		return
	}
	if l.observe != nil {
		l.observe(got.From)
	}
	if handler := l.handlers[got.Kind]; handler != nil {
		handler(got.From, got.Body)
	}
}
