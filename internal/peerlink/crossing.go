package peerlink

import (
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/presence"
)

// Times and numbers of crossings.
const (
	// crossingTries is how many daemons of a region are tried, one after the other: where a fifth
	// of them is gone, 1 of 125 datagrams finds none that answers.
	crossingTries = 3
	// firstCrossingTime is how long an answer is waited for before any has come: regions are
	// some 20 ms apart, one way.
	firstCrossingTime = 150 * time.Millisecond
	// crossingTimeFactor times the mean time of a region's answers is how long one is waited
	// for afterwards, within the two bounds: a busy daemon answers late, and a second copy does
	// no harm.
	crossingTimeFactor   = 3
	shortestCrossingTime = 40 * time.Millisecond
	longestCrossingTime  = 400 * time.Millisecond
	// crossingsAtOnce bounds those under way: some ten datagrams a second go to all, and each
	// takes a second at most.
	crossingsAtOnce = 64
)

// Crossing carries datagrams to other regions: each crosses a border once, to one daemon there
// that says so and spreads it in its region. Where none does, another one is tried. What fails
// after all is dropped.
type Crossing struct {
	carrier   Carrier
	topology  Topology
	silence   *presence.Unresponsive
	questions *Questions[struct{}]
	// places is a semaphore with a place for each crossing that is under way.
	places     chan struct{}
	roundTrips RoundTrips
}

// taken says that a daemon has got a datagram to spread.
type taken struct{ Number uint64 }

// NewCrossing makes a Crossing. Silence knows which daemons did not answer lately.
func NewCrossing(carrier Carrier, topology Topology, silence *presence.Unresponsive) *Crossing {
	made := &Crossing{
		carrier: carrier, topology: topology, silence: silence, questions: NewQuestions[struct{}](),
		places: make(chan struct{}, crossingsAtOnce),
	}
	HandleDecoded(carrier, KindTaken, func(_ string, answer taken) { made.questions.Answer(answer.Number, struct{}{}) })
	return made
}

// SendToEach sends a datagram to each other region, where one daemon sends it to all directly. It
// doesn't wait for them.
func (c *Crossing) SendToEach(datagram []byte) { c.send(shapeFlat, datagram) }

// send sends a datagram to each other region.
func (c *Crossing) send(spread shape, carried []byte) {
	far := c.topology.Far(c.carrier.Address())
	for _, region := range sortedRegions(far) {
		select {
		case c.places <- struct{}{}:
			go func() {
				defer func() { <-c.places }()
				c.cross(region, far[region], spread, carried)
			}()
		default: // dropped
		}
	}
}

// cross sends a datagram to a daemon of a region, and to another one where none answers.
func (c *Crossing) cross(region identity.Region, there []string, spread shape, carried []byte) {
	number := c.questions.Next()
	self := c.carrier.Address()
	for _, root := range c.candidates(number, there) {
		datagram := forwarded{number: number, shape: spread, origin: self, root: root, carried: carried}
		sent := clock.Now()
		if c.answered(datagram, c.patience(region)) {
			c.roundTrips.Note(region, clock.Since(sent))
			return
		}
		c.silence.Add(root, clock.Now())
	}
}

// candidates are the crossingTries daemons to try of some, at least one: those of greater capacity
// mostly first, those that did not answer lately last. Where there are fewer, they are repeated.
func (c *Crossing) candidates(number uint64, there []string) []string {
	now := clock.Now()
	var answering, silent []string
	for _, address := range c.topology.Rank(rendezvous.Score(number, c.carrier.Address()), there) {
		if c.silence.Contains(address, now) {
			silent = append(silent, address)
		} else {
			answering = append(answering, address)
		}
	}
	ordered := append(answering, silent...)
	tries := make([]string, 0, crossingTries)
	for len(tries) < crossingTries {
		tries = append(tries, ordered[:min(crossingTries-len(tries), len(ordered))]...)
	}
	return tries
}

// answered sends a datagram and tells whether its root said in time that it has got it.
func (c *Crossing) answered(datagram forwarded, patience time.Duration) bool {
	answers := c.questions.Await(datagram.number, 1)
	defer c.questions.Forget(datagram.number)
	c.carrier.Send(datagram.root, datagram.encode())
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-answers:
		return true
	case <-timer.C:
		return false
	}
}

// take answers the origin of a datagram that this daemon is to spread.
func (c *Crossing) take(datagram forwarded) {
	Tell(c.carrier, datagram.origin, KindTaken, &taken{Number: datagram.number})
}

// patience is how long an answer from a region is waited for.
func (c *Crossing) patience(region identity.Region) time.Duration {
	mean, known := c.roundTrips.Mean(region)
	if !known {
		return firstCrossingTime
	}
	return min(max(crossingTimeFactor*mean, shortestCrossingTime), longestCrossingTime)
}
