// Package address finds loopback addresses for the lab's processes and servers.
package address

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Ports below the range from which systems take those of outgoing connections,
// so that no connection takes an address before its process starts, or starts
// again.
const (
	leastPort = 12000
	mostPort  = 32000
)

// Free returns loopback addresses that were free a moment ago, for TCP
// and UDP alike.
func Free(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	tried := rand.Perm(mostPort - leastPort)
	for _, offset := range tried {
		if len(addresses) == count {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", leastPort+offset)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports from %d to %d", count, leastPort, mostPort)
}

// isFree tells whether an address can be listened on.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}

// Listen listens on a free loopback address. Unlike port 0 it gives a port that no
// outgoing connection takes while the server is away, so that it can listen there
// again after a crash.
func Listen() (net.Listener, error) {
	for {
		free, err := Free(1)
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", free[0])
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
}
