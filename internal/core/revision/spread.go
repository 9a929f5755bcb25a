package revision

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// The shape of the forest in which confirmations travel. With 340 daemons it is
// three levels deep below the roots.
const (
	// Roots is how many daemons ask the table service for its head.
	Roots = 4
	// childrenPerDaemon is how many daemons ask one daemon.
	childrenPerDaemon = 4
)

// confirmationKey is the rendezvous key that ranks the daemons.
const confirmationKey = "configuration/confirmation"

// Ranking orders daemons for the forest. All who know the same daemons agree on
// it without talking; a disagreement costs only some extra questions.
func Ranking(daemons []identity.DaemonID) []identity.DaemonID {
	return rendezvous.Top(rendezvous.Key(confirmationKey), daemons, len(daemons))
}

// Parent gives the rank of the daemon that the daemon of this rank asks for
// confirmations. The second result is false for a root.
func Parent(rank int) (int, bool) {
	if rank < Roots {
		return 0, false
	}
	return (rank - Roots) / childrenPerDaemon, true
}

// PushFanout is how many daemons one daemon pushes a change to. Two levels of it
// reach 272 daemons, three reach 4,368.
const PushFanout = 16

// Split divides the targets of a push into at most PushFanout parts of nearly
// equal size. The first of each part gets the push and passes it on to the rest.
func Split[T any](targets []T) [][]T {
	parts := min(PushFanout, len(targets))
	split := make([][]T, parts)
	for index, target := range targets {
		split[index%parts] = append(split[index%parts], target)
	}
	return split
}
