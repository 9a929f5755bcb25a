// Package fault runs a deployment of separate processes under random faults and
// checks what must always hold. The plan of faults follows from a seed; timing
// on the machine does not, so a replay repeats the faults and not every race.
package fault

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind names a kind of fault.
type Kind string

// The kinds of fault.
const (
	DaemonKill      Kind = "daemon killed"
	DaemonPause     Kind = "daemon paused"
	DaemonStop      Kind = "daemon stopped in order"
	HerdRestart     Kind = "all daemons killed"
	BackendCrash    Kind = "back end crashed"
	BackendPause    Kind = "back end paused"
	BackendHang     Kind = "back end hangs"
	StreamsCut      Kind = "streams cut"
	TableOutage     Kind = "table service down"
	TableHang       Kind = "table service hangs"
	TableLostAnswer Kind = "commit answers lost"
	TableSlow       Kind = "table service slow"
	MachinesFrozen  Kind = "machine list frozen"
	OperatorsRace   Kind = "operators race"
	BackendDrain    Kind = "back end drained and returned"

	BackendLinkCut    Kind = "back end link cut"
	BackendLinkSilent Kind = "back end link half-open"
	BackendLinkSlow   Kind = "back end link slow"
	PeerLinkCut       Kind = "peer link cut"
	PeerLinkSilent    Kind = "peer link half-open"
	PeerLinkLoss      Kind = "peer link loses datagrams"
	PeersApart        Kind = "all peer links cut"
)

// kinds are all kinds with how often they are drawn.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{DaemonKill, 4}, {DaemonPause, 3}, {DaemonStop, 3}, {HerdRestart, 1},
	{BackendCrash, 4}, {BackendPause, 2}, {BackendHang, 2}, {StreamsCut, 4},
	{TableOutage, 2}, {TableHang, 1}, {TableLostAnswer, 2}, {TableSlow, 2}, {MachinesFrozen, 1},
	{OperatorsRace, 3}, {BackendDrain, 2},
	{BackendLinkCut, 3}, {BackendLinkSilent, 3}, {BackendLinkSlow, 2},
	{PeerLinkCut, 2}, {PeerLinkSilent, 2}, {PeerLinkLoss, 2}, {PeersApart, 1},
}

// Bounds of drawn times.
const (
	leastGap      = 300 * time.Millisecond
	mostGap       = 2 * time.Second
	leastDuration = 300 * time.Millisecond
	mostDuration  = 6 * time.Second
	// quietEnd is the time without new faults at the end of a run.
	quietEnd = 8 * time.Second
)

// Injection is one planned fault.
type Injection struct {
	At       time.Duration
	Kind     Kind
	Duration time.Duration
	// Target is the number of the daemon or back end, modulo their count.
	Target int
	// Draw is a further random number for what the kind leaves open.
	Draw uint64
}

// String renders the injection for the log.
func (i Injection) String() string {
	return fmt.Sprintf("%6.1f s  %s, target %d, for %.1f s", i.At.Seconds(), i.Kind, i.Target, i.Duration.Seconds())
}

// Plan draws the faults of a run. The same seed and duration give the same plan.
func Plan(seed uint64, duration time.Duration) []Injection {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []Injection
	at := time.Second
	for at < duration-quietEnd {
		plan = append(plan, Injection{
			At:       at,
			Kind:     drawKind(random),
			Duration: between(random, leastDuration, mostDuration),
			Target:   random.IntN(1 << 16),
			Draw:     random.Uint64(),
		})
		at += between(random, leastGap, mostGap)
	}
	return plan
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, candidate := range kinds {
		total += candidate.weight
	}
	draw := random.IntN(total)
	for _, candidate := range kinds {
		draw -= candidate.weight
		if draw < 0 {
			return candidate.kind
		}
	}
	return kinds[0].kind
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
