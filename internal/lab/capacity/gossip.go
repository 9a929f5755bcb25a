package capacity

import (
	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
	"github.com/lotusward/lotusward/internal/lab/hollow"
)

const daemonsWord = "daemons"

// How much faster than on an ordinary day daemons restart in the hollow runs of
// the membership. All restarts of machines are taken for restarts of daemons.
const (
	ordinaryRestarts = 1
	stressedRestarts = 20
)

// measureMembership runs hollow daemons of the membership: ordinary days at
// several sizes, and at the full size one with many restarts.
func (m *measurement) measureMembership() {
	m.slopes.Membership = m.hollowMembership(ordinaryRestarts, m.sizes.Daemons/4, m.sizes.Daemons/2, m.sizes.Daemons)
	m.slopes.StressedMembership = m.hollowMembership(stressedRestarts, m.sizes.Daemons)
}

func (m *measurement) hollowMembership(restartFactor float64, sizes ...int) projection.GossipSlopes {
	core := projection.Slope{Unit: coreUnit, Of: daemonsWord}
	sent := projection.Slope{Unit: perSecond, Of: daemonsWord}
	bytes := projection.Slope{Unit: bytesPerSecond, Of: daemonsWord}
	memory := projection.Slope{Unit: bytesUnit, Of: daemonsWord}
	for _, size := range sizes {
		cost, heap, err := hollow.Busy(size, m.sizes.Zones, hollowSeed, m.hollowLength, restartFactor)
		if err != nil {
			m.note(err)
			return projection.GossipSlopes{}
		}
		at := float64(size)
		core.Points = append(core.Points, projection.Point{Size: at, Value: cost.Core})
		sent.Points = append(sent.Points, projection.Point{Size: at, Value: cost.SentMessages})
		bytes.Points = append(bytes.Points, projection.Point{Size: at, Value: cost.SentBytes + cost.ReceivedBytes})
		memory.Points = append(memory.Points, projection.Point{Size: at, Value: heap})
	}
	return projection.GossipSlopes{Core: core, SentPerSecond: sent, BytesPerSecond: bytes, MemoryBytes: memory}
}
