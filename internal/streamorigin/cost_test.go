package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/presence"
)

// discardingLink encodes datagrams and sends none.
type discardingLink struct {
	*peerlink.Link
	sent, bytes int
}

func (l *discardingLink) Send(_ string, datagram []byte) {
	l.sent++
	l.bytes += len(datagram)
}

// newLargeFleetRegistry returns a daemon among some others in six zones, all heard lately, that lists two versions.
func newLargeFleetRegistry(daemons int) (*Registry, *discardingLink) {
	link := &discardingLink{Link: peerlink.New("10.0.0.0:1", logging.Discard())}
	var others []string
	zones, heard := map[string]identity.Zone{}, presence.New()
	for number := range daemons - 1 {
		address := fmt.Sprintf("10.0.%d.%d:1", number/250, number%250+1)
		others, zones[address] = append(others, address), identity.Zone(fmt.Sprint("z", number%6))
		heard.Heard(address, time.Now().Add(time.Hour))
	}
	topology := peerlink.Topology{Others: func() []string { return others }, Zone: func(address string) identity.Zone { return zones[address] }}
	registry := New(Options{Link: link, Topology: topology, Presence: heard, Log: logging.Discard()})
	registry.NotifyBackendsListed([]backendpool.Backend{{ID: "a", Service: testService, Software: "v1.1"}, {ID: "b", Service: testService, Software: "v1.2"}}, nil)
	return registry, link
}

// TestBeginningsAreSmall bounds what a stream costs in datagrams while several versions are listed.
func TestBeginningsAreSmall(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		registry, link := newLargeFleetRegistry(985)
		const streams = 100
		for number := range streams {
			registry.Begun(stream(number), backendOf("v1.1"), confirmed)
		}
		assert.Assert(t, link.sent <= homesPerStream*streams, "%d datagrams", link.sent)
		assert.Assert(t, link.bytes <= 44*link.sent, "%d bytes in %d datagrams", link.bytes, link.sent)
		t.Logf("confirmed %t: %d bytes in %d datagrams", confirmed, link.bytes, link.sent)
	}
}

// BenchmarkBegun measures the beginning of one stream, with and without several versions, in a fleet of 985 daemons.
func BenchmarkBegun(b *testing.B) {
	for name, service := range map[string]identity.ServiceName{"several versions": testService, "one version": "other"} {
		b.Run(name, func(b *testing.B) {
			registry, _ := newLargeFleetRegistry(985)
			for number := 0; b.Loop(); number++ {
				begun := streamorigin.Stream{Service: service, Tenant: "t", Host: "h", Target: "/x", Request: identity.RequestID(fmt.Sprint("q", number))}
				registry.Begun(begun, backendOf("v1.1"), true)
			}
		})
	}
}

// TestFullDatagramsFit tells of streams whose versions are named by commits.
func TestFullDatagramsFit(t *testing.T) {
	message := beginMessage{Number: 1 << 63}
	for number := range uint64(maxPerDatagram) {
		message.Streams = append(message.Streams, beginning{Key: 1<<63 + number, Version: fmt.Sprintf("%040d", number), Backend: 1<<63 + number})
	}
	_, fits := peerlink.New("10.0.0.0:1", logging.Discard()).Encode(peerlink.KindStreamBegin, &message)
	assert.Assert(t, fits)
	var handover handoverMessage
	for _, each := range message.Streams {
		handover.Streams = append(handover.Streams, agedBeginning{Key: each.Key, Version: each.Version, Backend: each.Backend, AgeMs: 1 << 31})
	}
	_, fits = peerlink.New("10.0.0.0:1", logging.Discard()).Encode(peerlink.KindStreamHandover, &handover)
	assert.Assert(t, fits)
}
