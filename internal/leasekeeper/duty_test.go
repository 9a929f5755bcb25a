package leasekeeper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Times of the duties in these tests.
const (
	dutyPatience = 500 * time.Millisecond
	dutyGrowth   = 500 * time.Millisecond
	dutyLapse    = 700 * time.Millisecond
)

// dutyWorld is the duties of daemons that all see the same work.
type dutyWorld struct {
	now     time.Time
	pending bool
	// holderHeardAt is when a holder of the lease was last heard of, and reached is set while the table is.
	holderHeardAt time.Time
	reached       bool
	duties        []*Duty
}

func newDutyWorld(daemons int) *dutyWorld {
	world := &dutyWorld{now: time.Unix(1_000_000, 0), pending: true, reached: true}
	for range daemons {
		world.duties = append(world.duties, &Duty{
			Pending: func() bool { return world.pending }, Preferred: func() bool { return false }, PreferredTimeout: dutyPatience,
			Candidate:         &Candidate{Count: func() int { return daemons }, Held: func() bool { return false }, Growth: dutyGrowth},
			HolderAnnouncedAt: func() time.Time { return world.holderHeardAt }, LeaseLifetime: dutyLapse,
			Reachable: func() bool { return world.reached },
		})
	}
	return world
}

// tryingAfter is how many daemons try once a time has passed.
func (w *dutyWorld) tryingAfter(passes time.Duration) int {
	last, _ := w.play(passes)
	return last
}

// play lets a time pass, and returns how many daemons try in the end, and the most that did at a time.
func (w *dutyWorld) play(passes time.Duration) (last, most int) {
	const step = 20 * time.Millisecond
	for until := w.now.Add(passes); w.now.Before(until); w.now = w.now.Add(step) {
		last = 0
		for _, duty := range w.duties {
			if duty.Eligible(w.now) {
				last++
			}
		}
		most = max(most, last)
	}
	return last, most
}

// TestSomebodyTriesWhoeverIsGone leaves any number of the daemons, without the one that is to begin: the lease lay untaken
// for as long as none of them had drawn to try.
func TestSomebodyTriesWhoeverIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.SampledFrom([]int{3, 24, 295, 985}).Draw(t, "daemons")
		left := rapid.IntRange(1, min(daemons, 12)).Draw(t, "left")
		world := newDutyWorld(daemons)
		world.duties = world.duties[:left]
		const bound = dutyPatience + dutyGrowth + lookInterval
		assert.Equal(t, world.tryingAfter(bound), left, "%d of %d daemons left", left, daemons)
	})
}

// TestFewTryFirst has few daemons of a large fleet try at first, and more of them as time passes.
func TestFewTryFirst(t *testing.T) {
	const daemons, rounds = 985, 20
	var first, halfway int
	for range rounds {
		world := newDutyWorld(daemons)
		assert.Equal(t, world.tryingAfter(dutyPatience), 0)
		first += world.tryingAfter(40 * time.Millisecond)
		halfway += world.tryingAfter(dutyGrowth/2 - 40*time.Millisecond)
	}
	assert.Assert(t, first < rounds*3*expectedCandidates, "%d tried first in %d rounds", first, rounds)
	assert.Assert(t, halfway < rounds*daemons/8, "%d tried halfway in %d rounds", halfway, rounds)
}

// TestFewTryWhileAHolderMayLive has no more daemons try before the lease of a holder that was heard of has lapsed, nor while
// nobody reaches the table.
func TestFewTryWhileAHolderMayLive(t *testing.T) {
	for _, example := range []struct {
		heard, reached bool
	}{{true, true}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", example), func(t *testing.T) {
			const daemons, rounds = 985, 10
			sum := 0
			for range rounds {
				world := newDutyWorld(daemons)
				world.reached = example.reached
				if example.heard {
					world.holderHeardAt = world.now.Add(dutyPatience + dutyGrowth)
				}
				_, most := world.play(dutyPatience + dutyGrowth + dutyLapse)
				sum += most
			}
			assert.Assert(t, sum < rounds*3*expectedCandidates, "%d tried in %d rounds", sum, rounds)
		})
	}
}
