// Package peerlink carries single datagrams between daemons over one UDP socket.
// Datagrams may be lost, late or repeated, and a peer may be gone: whoever sends
// through a Link must do without an answer.
package peerlink

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/codec"
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
	// KindPlan tells the plan of an update of weights.
	KindPlan
	// KindFacts tells where large parts of prompts are, and which back ends to doubt.
	KindFacts
	// KindForwarded is another datagram that its receiver forwards to others.
	KindForwarded
	// KindLimitAsk asks for a part of a tenant's limit, KindLimitAnswer answers, and
	// KindLimitReturn gives back what was not used.
	KindLimitAsk
	KindLimitAnswer
	KindLimitReturn
	// KindLoadNote notes a daemon's loads at their homes, KindLoadQuestion asks a home for
	// others', and KindLoadAnswer answers.
	KindLoadNote
	KindLoadQuestion
	KindLoadAnswer
	// KindCrashes tells under which requests back ends ended.
	KindCrashes
	// KindVersionReport reports how a daemon's requests end at the versions of a service's
	// software, KindVersionGrant answers, KindVersionStop tells that a version is bad, and
	// KindVersionStanding what was written of a service's versions.
	KindVersionReport
	KindVersionGrant
	KindVersionStop
	KindVersionStanding
	// KindPresenceQuestion asks whether a daemon is there, and KindPresenceAnswer answers.
	KindPresenceQuestion
	KindPresenceAnswer
	// KindTaken says that a daemon spreads a forwarded datagram in its region.
	KindTaken
	// KindRoom tells another region what room the sender's has, KindRoomQuestion asks in the
	// own region what others told, and KindRoomAnswer answers.
	KindRoom
	KindRoomQuestion
	KindRoomAnswer
	// KindPackedBulletin tells what KindBulletin does of many back ends, deflated.
	KindPackedBulletin
	// KindFindingNote tells a home of back ends what the sender has found out of them, and KindFindingKnown tells who asks
	// for loads what their home knows.
	KindFindingNote
	KindFindingKnown
	// KindPartNote tells a home of parts of prompts where these are, KindPartQuestion asks it, and KindPartAnswer answers.
	KindPartNote
	KindPartQuestion
	KindPartAnswer
	// KindRequestLimits tells limits of requests that back ends have named, and KindRequestLimitsQuestion asks for those in
	// force.
	KindRequestLimits
	KindRequestLimitsQuestion
	// KindEraBulletin and KindPackedEraBulletin tell what KindBulletin and KindPackedBulletin do, where the store has come back
	// from a copy: builds that don't know its eras pass them over.
	KindEraBulletin
	KindPackedEraBulletin
	// KindReachQuestion asks whether a daemon reaches a back end, and KindReachAnswer answers.
	KindReachQuestion
	KindReachAnswer
	// KindStreamBegin tells which versions of a service's software began streams, and KindStreamBeginConfirm confirms it.
	// KindStreamQuestion asks which version began a stream, and KindStreamAnswer answers.
	KindStreamBegin
	KindStreamBeginConfirm
	KindStreamQuestion
	KindStreamAnswer
	// KindStreamEvidence goes before a KindStreamAnswer: it tells which versions of the service's software were listed lately.
	KindStreamEvidence
	// KindStreamHandover tells homes what a daemon that stops remembers of streams.
	KindStreamHandover
	kindEnd
)

// kindNames name the kinds in metrics.
var kindNames = [kindEnd]string{
	KindLoads: "loads", KindBulletin: "bulletin", KindPlan: "plan", KindFacts: "facts", KindForwarded: "forwarded",
	KindLimitAsk: "limit_ask", KindLimitAnswer: "limit_answer", KindLimitReturn: "limit_return",
	KindLoadNote: "load_note", KindLoadQuestion: "load_question", KindLoadAnswer: "load_answer",
	KindCrashes: "crashes", KindTaken: "taken",
	KindRoom: "room", KindRoomQuestion: "room_question", KindRoomAnswer: "room_answer", KindPackedBulletin: "packed_bulletin",
	KindFindingNote: "finding_note", KindFindingKnown: "finding_known",
	KindPartNote: "part_note", KindPartQuestion: "part_question", KindPartAnswer: "part_answer", KindRequestLimits: "request_limits", KindRequestLimitsQuestion: "request_limits_question", KindEraBulletin: "era_bulletin", KindPackedEraBulletin: "packed_era_bulletin",
	KindVersionReport: "version_report", KindVersionGrant: "version_grant", KindVersionStop: "version_stop", KindVersionStanding: "version_standing",
	KindPresenceQuestion: "presence_question", KindPresenceAnswer: "presence_answer", KindReachQuestion: "reach_question", KindReachAnswer: "reach_answer",
	KindStreamBegin: "stream_begin", KindStreamBeginConfirm: "stream_begin_confirm", KindStreamQuestion: "stream_question", KindStreamAnswer: "stream_answer",
	KindStreamEvidence: "stream_evidence", KindStreamHandover: "stream_handover",
}

// String names the kind for logs and metrics.
func (k Kind) String() string {
	if k < kindEnd && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// KindOf is what a datagram is about: one that is forwarded is about what it carries.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return kindEnd
	}
	kind := Kind(datagram[0])
	if kind != KindForwarded {
		return kind
	}
	if passed, whole := decodeForwarded(datagram[1:]); whole {
		return Kind(passed.carried[0])
	}
	return kind
}

const (
	// maximumDatagram bounds a datagram in bytes.
	maximumDatagram  = 8 << 10
	receiveErrorWait = 50 * time.Millisecond
)

// errUnknownKind is of a datagram of a kind that this build doesn't know.
var errUnknownKind = errors.New("a message of an unknown kind")

// Handler takes the body of one datagram. The address is where its sender is reached, IP:port;
// the body is valid until the handler returns. A handler must not block.
type Handler func(from string, body []byte)

// Carrier carries datagrams to and from other daemons. It is a Link, or a test's network.
type Carrier interface {
	// Address is where this daemon is reached, IP:port.
	Address() string
	// Encode returns a datagram that Send takes; false when it is too large for one.
	Encode(kind Kind, body any) ([]byte, bool)
	// Send sends a datagram to a daemon once. It may be lost.
	Send(to string, datagram []byte)
	// Handle sets the handler of a kind.
	Handle(kind Kind, handler Handler)
	// Deliver hands a datagram to its handler here, as from the daemon at an address.
	Deliver(from string, datagram []byte)
	// Malformed notes that a datagram of a daemon can't be read.
	Malformed(from string, kind Kind, err error)
}

var _ Carrier = (*Link)(nil)

// Tell sends a body to a daemon once; what is too large is dropped.
func Tell(link Carrier, to string, kind Kind, body any) {
	if datagram, fits := link.Encode(kind, body); fits {
		link.Send(to, datagram)
	}
}

// Link is safe for use by several goroutines. All handlers are set before Run.
type Link struct {
	address  string
	handlers [kindEnd]Handler
	// observe is told of the sender of each datagram; nil is not.
	observe func(from string)
	// observeSent is told of each datagram that is sent; nil is not.
	observeSent func(to string, datagram []byte)
	// observeMalformed is told of each datagram that can't be read; nil is not.
	observeMalformed func(kind Kind)
	complaints       complaints

	listen ListenFunc
	socket atomic.Pointer[Socket]
	log    logrus.FieldLogger
}

// Socket carries datagrams. *net.UDPConn is one.
type Socket interface {
	ReadFromUDPAddrPort(datagram []byte) (count int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	Close() error
}

// ListenFunc opens a socket at an address (IP:port).
type ListenFunc func(address string) (Socket, error)

// ListenUDP opens a UDP socket at an address (IP:port).
func ListenUDP(address string) (Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", local)
}

// New makes a Link that listens on an address (IP:port) once it runs.
func New(address string, log logrus.FieldLogger) *Link {
	return &Link{address: address, log: log, listen: ListenUDP}
}

// SetListen sets what opens the link's socket; nil leaves it as it is. It must be called before Run.
func (l *Link) SetListen(listen ListenFunc) {
	if listen != nil {
		l.listen = listen
	}
}

// Address is where this daemon is reached, IP:port.
func (l *Link) Address() string { return l.address }

// Handle sets the handler of a kind.
func (l *Link) Handle(kind Kind, handler Handler) { l.handlers[kind] = handler }

// Observe sets who is told of the sender of each datagram. It must not block.
func (l *Link) Observe(observe func(from string)) { l.observe = observe }

// ObserveSent sets who is told of each datagram that is sent. It must not block.
func (l *Link) ObserveSent(observe func(to string, datagram []byte)) { l.observeSent = observe }

// HandleDecoded sets a handler that takes decoded bodies. What cannot be decoded is
// noted as malformed, and none of it is taken.
func HandleDecoded[Body any](link Carrier, kind Kind, take func(from string, body Body)) {
	link.Handle(kind, func(from string, encoded []byte) {
		var body Body
		if err := codec.Unmarshal(encoded, &body); err != nil {
			link.Malformed(from, kind, err)
			return
		}
		take(from, body)
	})
}

// Encode returns a datagram that Send takes; false when it is too large for one.
func (l *Link) Encode(kind Kind, body any) ([]byte, bool) {
	var datagram bytes.Buffer
	datagram.WriteByte(byte(kind))
	encoder := msgpack.NewEncoder(&datagram)
	encoder.UseArrayEncodedStructs(true) // names would be most of the bytes
	err := encoder.Encode(body)
	if err == nil && datagram.Len() <= maximumDatagram {
		return datagram.Bytes(), true
	}
	l.noteUntold(kind, datagram.Len(), err)
	return nil, false
}

// Send sends a datagram to a daemon once, if the socket is open. What goes wrong
// is as if the datagram were lost.
func (l *Link) Send(to string, datagram []byte) {
	socket := l.socket.Load()
	address, err := netip.ParseAddrPort(to)
	if socket == nil || err != nil {
		return
	}
	_, _ = (*socket).WriteToUDPAddrPort(datagram, address)
	if l.observeSent != nil {
		l.observeSent(to, datagram)
	}
}

// Run receives until the context ends. Without a socket the daemon goes on alone.
func (l *Link) Run(ctx context.Context) error {
	socket, err := l.listen(l.address)
	if err != nil {
		l.log.WithError(err).WithField("address", l.address).Error("Other daemons can't be heard.")
		<-ctx.Done()
		return nil
	}
	l.socket.Store(&socket)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	l.receive(ctx, socket)
	return nil
}

func (l *Link) receive(ctx context.Context, socket Socket) {
	buffer := make([]byte, maximumDatagram+forwardedBytes)
	for ctx.Err() == nil {
		count, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			pause.For(ctx, receiveErrorWait)
			continue
		}
		l.deliver(from, buffer[:count])
	}
}

// deliver hands a datagram to its handler. What is of no known kind is passed over.
// Daemons send from the socket that they listen on.
func (l *Link) deliver(from netip.AddrPort, datagram []byte) {
	sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	if l.observe != nil {
		l.observe(sender)
	}
	l.Deliver(sender, datagram)
}

// Deliver implements Carrier.
func (l *Link) Deliver(sender string, datagram []byte) {
	if len(datagram) == 0 || Kind(datagram[0]) >= kindEnd {
		l.Malformed(sender, KindOf(datagram), errUnknownKind)
		return
	}
	if handler := l.handlers[datagram[0]]; handler != nil {
		handler(sender, datagram[1:])
	}
}
