package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusward/lotusward/internal/core/distance"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/members"
	"github.com/lotusward/lotusward/internal/peerlink"
)

// kindSnapshot names snapshots in the metrics, beside the kinds of datagrams.
const kindSnapshot = "snapshot"

// newTopology is where the other daemons are. Where all zones are of one region it knows none.
func newTopology(regions distance.Map, list *members.List) peerlink.Topology {
	topology := peerlink.Topology{Others: list.Others, Zone: list.Zone, Capacity: list.Capacity}
	if regions.HasSeveralRegions() {
		topology.Region = func(address string) identity.Region { return regions.Region(list.Zone(address)) }
	}
	return topology
}

// distanceTo is how far away the daemon at an address is.
func (w *Daemon) distanceTo(address string) distance.Distance {
	return w.regions.Between(w.settings.Zone, w.members.Zone(address))
}

// peerTraffic counts what daemons send each other.
type peerTraffic struct{ bytes, malformed *prometheus.CounterVec }

func newPeerTraffic(registry prometheus.Registerer) *peerTraffic {
	made := &peerTraffic{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lotusward", Name: "peer_bytes_total",
		Help: "Bytes between daemons by kind of message and distance (zone, region, other_region): datagrams that this daemon sent, and snapshots that it was sent.",
	}, []string{"kind", "distance"}), malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lotusward", Name: "peer_malformed_total",
		Help: "Datagrams of other daemons that this build can't read, by kind of message.",
	}, []string{"kind"})}
	registry.MustRegister(made.bytes, made.malformed)
	return made
}

// sent counts some bytes.
func (p *peerTraffic) sent(kind string, far distance.Distance, bytes int) {
	p.bytes.WithLabelValues(kind, far.String()).Add(float64(bytes))
}

// shareOfRoom is this daemon's part of the room that all daemons' machines have.
func (w *Daemon) shareOfRoom() float64 {
	own := w.topology.CapacityOf(w.link.Address())
	all := own
	for _, address := range w.members.Others() {
		all += w.topology.CapacityOf(address)
	}
	return own / all
}
