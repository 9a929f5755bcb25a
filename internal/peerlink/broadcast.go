package peerlink

import (
	"context"
	"math/rand/v2"

	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
)

// Bounds of what one daemon tells all others.
const (
	broadcastBytesPerSecond = 160 << 10
	broadcastBurst          = 160 << 10
	waitingBroadcasts       = 16
)

// Broadcaster tells all other daemons the same, one datagram each, and one for each other region.
type Broadcaster struct {
	carrier  Carrier
	topology Topology
	crossing *Crossing
	limiter  *rate.Limiter
	waiting  chan []byte
}

// NewBroadcaster makes a Broadcaster that tells nothing until it runs.
func NewBroadcaster(carrier Carrier, topology Topology, crossing *Crossing) *Broadcaster {
	return &Broadcaster{
		carrier: carrier, topology: topology, crossing: crossing,
		limiter: rate.NewLimiter(broadcastBytesPerSecond, broadcastBurst),
		waiting: make(chan []byte, waitingBroadcasts),
	}
}

// Tell sends a body soon. It never blocks: what is too large or finds no room is as
// good as lost.
func (b *Broadcaster) Tell(kind Kind, body any) {
	datagram, fits := b.carrier.Encode(kind, body)
	if !fits {
		return
	}
	select {
	case b.waiting <- datagram:
	default:
	}
}

// Run tells until the context ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case datagram := <-b.waiting:
			b.send(datagram)
		}
	}
}

func (b *Broadcaster) send(datagram []byte) {
	b.crossing.SendToEach(datagram)
	SendWithin(b.carrier, b.limiter, b.topology.Near(b.carrier.Address()), datagram)
}

// SendWithin sends a datagram to as many daemons as a bound on bytes allows, beginning with
// another one each time.
func SendWithin(carrier Carrier, limiter *rate.Limiter, targets []string, datagram []byte) {
	if len(targets) == 0 {
		return
	}
	start := rand.IntN(len(targets))
	for offset := range targets {
		if !limiter.AllowN(clock.Now(), len(datagram)) {
			return
		}
		carrier.Send(targets[(start+offset)%len(targets)], datagram)
	}
}
