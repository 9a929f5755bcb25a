package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

// linksStream is the stream of the seed that draws what is added here, so that the other faults of a seed stay as they are.
const linksStream = 1 << 36

// disturbLinks cuts one daemon, a third of them or most off from all back ends now and then, until a moment later.
func (s *soak) disturbLinks() {
	if s.linkLuck.IntN(5) > 0 {
		return
	}
	how := []standin.Cut{standin.CutSilent, standin.CutReset, standin.CutKept}[s.linkLuck.IntN(3)]
	count := []int{1, (len(s.daemons) + 2) / 3, len(s.daemons) - 1}[s.linkLuck.IntN(3)]
	lasts := time.Duration(200+s.linkLuck.IntN(2300)) * time.Millisecond
	for _, index := range s.linkLuck.Perm(len(s.daemons))[:count] {
		daemon := s.daemons[index]
		s.noteFault(fmt.Sprintf("the links of %s to back ends are cut for %s, %s", daemon.name, lasts, how))
		daemon.gateway.CutOff(how)
		time.AfterFunc(lasts, daemon.gateway.Heal)
	}
}

// healLinks ends all cuts.
func (s *soak) healLinks() {
	for _, daemon := range s.daemons {
		daemon.gateway.Heal()
	}
}

// newLinkLuck returns what disturbLinks draws from.
func newLinkLuck(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, linksStream)) }
