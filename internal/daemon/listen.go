package daemon

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lotusward/lotusward/internal/adapter/datagram"
	"github.com/lotusward/lotusward/internal/adapter/keyring"
)

// listeners are the TCP addresses that a daemon serves.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peer    net.Listener
	health  net.Listener
}

// listen opens all addresses and reports together which of them failed.
func (d *Daemon) listen(ring *keyring.Ring) error {
	addresses := d.settings.Listen
	var failures []error
	open := func(name, address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failures = append(failures, fmt.Errorf("listen.%s: %w", name, err))
			return nil
		}
		return listener
	}
	d.listeners.callers = open("callers", addresses.Callers)
	d.listeners.admin = open("admin", addresses.Admin)
	d.listeners.peer = open("peer", addresses.Peer)
	d.listeners.health = open("health", addresses.Health)
	if d.listeners.peer != nil {
		// Port 0 in the settings gives a free TCP port; UDP takes the same one.
		failures = append(failures, d.listenDatagrams(ring, d.listeners.peer.Addr().String()))
	}
	return errors.Join(failures...)
}

func (d *Daemon) listenDatagrams(ring *keyring.Ring, address string) error {
	conn, err := datagram.Listen(address, ring, d.settings.Identity.Daemon, time.Now, d.metrics)
	if err != nil {
		return fmt.Errorf("listen.peer: %w", err)
	}
	d.datagrams = conn
	return nil
}
