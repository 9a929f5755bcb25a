package link

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"time"
)

// datagramBytes is the largest datagram that is carried.
const datagramBytes = 64 << 10

func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// receive carries datagrams to the target until the socket is closed.
func (l *Link) receive() {
	buffer := make([]byte, datagramBytes)
	for {
		count, source, err := l.datagram.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		socket, err := l.socketOf(source)
		if err != nil {
			continue // a lost datagram
		}
		l.pass(buffer[:count], func(datagram []byte) {
			_, _ = socket.Write(datagram) // a lost datagram
		})
	}
}

// socketOf returns the socket that stands for a source, so that the target's
// answers find the way back.
func (l *Link) socketOf(source netip.AddrPort) (*net.UDPConn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.context.Err(); err != nil {
		return nil, err
	}
	if socket, found := l.sources[source.String()]; found {
		return socket, nil
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil, err
	}
	socket, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil, err
	}
	l.sources[source.String()] = socket
	l.running.Go(func() { l.answer(socket, source) })
	return socket, nil
}

// answer carries the target's answers back to a source until the socket is closed.
func (l *Link) answer(socket *net.UDPConn, source netip.AddrPort) {
	buffer := make([]byte, datagramBytes)
	for {
		count, err := socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // nobody listens at the target just now
		}
		l.pass(buffer[:count], func(datagram []byte) {
			_, _ = l.datagram.WriteToUDPAddrPort(datagram, source) // a lost datagram
		})
	}
}

// pass hands a datagram on, unless the link loses it.
func (l *Link) pass(datagram []byte, send func([]byte)) {
	state, _ := l.current()
	if !state.carriesDatagram() {
		return
	}
	if state.Delay == 0 {
		send(datagram)
		return
	}
	held := append([]byte(nil), datagram...)
	time.AfterFunc(state.Delay, func() { send(held) })
}
