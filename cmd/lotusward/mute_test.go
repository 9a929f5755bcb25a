package main

import (
	"net/netip"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/peerlink"
)

// muteVariable names the file while which exists the daemon's datagrams are dropped, those to it and those from it.
const muteVariable = "LOTUSWARD_TEST_MUTE"

// mutedListen opens the socket of a daemon that can be muted; nil for others.
func mutedListen() peerlink.ListenFunc {
	file := os.Getenv(muteVariable)
	if file == "" {
		return nil
	}
	return func(address string) (peerlink.Socket, error) {
		socket, err := peerlink.ListenUDP(address)
		if err != nil {
			return nil, err
		}
		return &mutedSocket{Socket: socket, file: file}, nil
	}
}

// mutedSocket drops datagrams while its file exists.
type mutedSocket struct {
	peerlink.Socket
	file string
}

func (s *mutedSocket) muted() bool {
	_, err := os.Stat(s.file)
	return err == nil
}

// ReadFromUDPAddrPort implements peerlink.Socket.
func (s *mutedSocket) ReadFromUDPAddrPort(datagram []byte) (int, netip.AddrPort, error) {
	for {
		count, from, err := s.Socket.ReadFromUDPAddrPort(datagram)
		if err != nil || !s.muted() {
			return count, from, err
		}
	}
}

// WriteToUDPAddrPort implements peerlink.Socket.
func (s *mutedSocket) WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error) {
	if s.muted() {
		return len(datagram), nil
	}
	return s.Socket.WriteToUDPAddrPort(datagram, to)
}

// mute cuts the daemon off from the datagrams of others until unmute.
func (p *process) mute(t *testing.T) {
	t.Helper()
	assert.NilError(t, os.WriteFile(p.muteFile, nil, 0o600))
}

func (p *process) unmute(t *testing.T) {
	t.Helper()
	assert.NilError(t, os.Remove(p.muteFile))
}
