package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

// The soak with two builds side by side: each daemon that starts, also in place of one that was killed or stopped, is
// of the present build or of the one before. By hand:
//
//	go test ./cmd/lotusward -run TestSoakUpgrades -soakupgrades.seeds 30 -soakupgrades.first 1000 -timeout 30m
var (
	soakUpgradeSeeds = flag.Int("soakupgrades.seeds", 1, "how many seeds the soak with two builds plays, one after the other")
	soakUpgradeFirst = flag.Uint64("soakupgrades.first", 1, "the first seed")
)

// upgradesStream is the stream of the seed that draws builds, so that the faults of a seed stay as they are.
const upgradesStream = 1 << 34

// TestSoakUpgrades plays seeds one after the other.
func TestSoakUpgrades(t *testing.T) {
	earlier := programOf(t, buildOfLives)
	for seed := *soakUpgradeFirst; seed < *soakUpgradeFirst+uint64(*soakUpgradeSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			builds := rand.New(rand.NewPCG(seed, upgradesStream))
			extra := plainSoak()
			extra.program = func(s *soak) string {
				program := programOf(t, presentBuild)
				if builds.IntN(2) == 0 {
					program = earlier
				}
				s.note("a daemon starts of " + program)
				return program
			}
			playSoakWith(t, seed, extra)
		})
	}
}
