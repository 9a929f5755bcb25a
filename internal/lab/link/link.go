// Package link is a network link with faults for the lab: a forwarder of TCP
// connections and UDP datagrams in front of one address. It can cut connections,
// go silent, delay, and lose datagrams. It looks into nothing that it carries.
package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// State is how a link behaves. The zero value carries everything at once.
type State struct {
	// Cut resets all connections, also new ones, and drops all datagrams.
	Cut bool
	// Silent accepts connections and carries nothing, neither bytes nor ends, and
	// drops all datagrams. What was silent for a time is reset at its end.
	Silent bool
	// Delay holds each piece of a stream that was read, and each datagram.
	Delay time.Duration
	// Loss is the share of datagrams that are dropped, from 0 to 1.
	Loss float64
}

// carriesDatagram tells whether a datagram gets through.
func (s State) carriesDatagram() bool {
	return !s.Cut && !s.Silent && rand.Float64() >= s.Loss
}

// Link is a running forwarder. It is safe for use by any goroutine.
type Link struct {
	target   string
	listener net.Listener
	datagram *net.UDPConn
	context  context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mutex sync.Mutex
	state State
	// changed is closed at the next change of the state.
	changed     chan struct{}
	connections map[*connection]bool
	sources     map[string]*net.UDPConn
}

// Start opens a link to target (IP:port) on a free loopback port for TCP and UDP.
func Start(target string) (*Link, error) { return StartAt("127.0.0.1:0", target) }

// StartAt opens a link to target on an address, both IP:port.
func StartAt(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	opened := net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort())
	datagram, err := net.ListenUDP("udp", opened)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	link := &Link{
		target: target, listener: listener, datagram: datagram, changed: make(chan struct{}),
		connections: make(map[*connection]bool), sources: make(map[string]*net.UDPConn),
	}
	link.context, link.cancel = context.WithCancel(context.Background())
	link.running.Go(link.accept)
	link.running.Go(link.receive)
	return link, nil
}

// Address returns the address that stands for the target, IP:port.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes how the link behaves. A cut resets what is open, and so does the
// end of a silence.
func (l *Link) Set(state State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state.Cut || l.state.Silent && !state.Silent {
		for open := range l.connections {
			open.reset()
		}
	}
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

// current returns the state and a channel that is closed when it changes.
func (l *Link) current() (State, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state, l.changed
}

// Close ends the link with all its connections and waits.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close() // ends accept
	_ = l.datagram.Close() // ends receive
	l.mutex.Lock()
	for open := range l.connections {
		open.reset()
	}
	for _, source := range l.sources {
		_ = source.Close() // ends its answers
	}
	l.mutex.Unlock()
	l.running.Wait()
}

// add keeps a connection for Set and Close. It returns false when it came too late.
func (l *Link) add(opened *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.Cut || l.context.Err() != nil {
		return false
	}
	l.connections[opened] = true
	return true
}

func (l *Link) remove(closed *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, closed)
}
