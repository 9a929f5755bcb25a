// Package freeport finds free ports of this machine for daemons that run in tests and in
// the lab, which have to be told their ports before they listen.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// host is where the ports are free.
const host = "127.0.0.1"

// Ports are drawn from below 32768, where Linux by default begins to take ports for outgoing
// connections: such a connection could take a port between its choice and its use.
const (
	lowestPort = 20_000
	ports      = 12_000
	attempts   = 1000
)

// claimHost is where the ports that a process was given are held until it ends, so that no other process is given one
// between its choice and its use. Where the machine has no such address ports are not held.
const claimHost = "127.0.0.2"

// errNoneFree is returned where no attempt found a free port.
var errNoneFree = errors.New("no port is free")

var (
	mutex sync.Mutex
	// chosen are the ports that this process was given, with what holds them; nil holds nothing.
	chosen = map[int]net.PacketConn{}
)

// Choose returns a port on which nobody listens now, for TCP nor UDP, and which neither this process was given
// before nor another one that still runs.
func Choose() (int, error) {
	mutex.Lock()
	defer mutex.Unlock()
	for range attempts {
		port := lowestPort + rand.IntN(ports)
		if _, given := chosen[port]; given {
			continue
		}
		claim, claimed := hold(port)
		if claimed && free(port) {
			chosen[port] = claim
			return port, nil
		}
		if claim != nil {
			_ = claim.Close()
		}
	}
	return 0, errNoneFree
}

// hold claims a port for this process; false where another one holds it.
func hold(port int) (net.PacketConn, bool) {
	claim, err := net.ListenPacket("udp4", net.JoinHostPort(claimHost, strconv.Itoa(port)))
	if err != nil {
		return nil, !errors.Is(err, syscall.EADDRINUSE)
	}
	return claim, true
}

// free tells whether the port can be listened on.
func free(port int) bool {
	address := Address(port)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

// Address is the address of a port, IP:port.
func Address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
