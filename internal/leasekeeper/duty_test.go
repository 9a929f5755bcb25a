package leasekeeper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Settings of the duties in these tests.
const (
	dutyPreferredTimeout = 500 * time.Millisecond
	dutyGrowth           = 500 * time.Millisecond
	dutyLeaseLifetime    = 700 * time.Millisecond
)

// dutyFleet simulates the duties of daemons that all see the same work.
type dutyFleet struct {
	now     time.Time
	pending bool
	// holderAnnouncedAt is when a holder of the lease last announced itself, and reachable is set while the table is
	// reachable.
	holderAnnouncedAt time.Time
	reachable         bool
	duties            []*Duty
}

func newDutyFleet(daemons int) *dutyFleet {
	fleet := &dutyFleet{now: time.Unix(1_000_000, 0), pending: true, reachable: true}
	for range daemons {
		fleet.duties = append(fleet.duties, &Duty{
			Pending: func() bool { return fleet.pending }, Preferred: func() bool { return false }, PreferredTimeout: dutyPreferredTimeout,
			Candidate:         &Candidate{Count: func() int { return daemons }, Held: func() bool { return false }, Growth: dutyGrowth},
			HolderAnnouncedAt: func() time.Time { return fleet.holderAnnouncedAt }, LeaseLifetime: dutyLeaseLifetime,
			Reachable: func() bool { return fleet.reachable },
		})
	}
	return fleet
}

// eligibleAfter advances the clock and returns how many daemons try at the end.
func (f *dutyFleet) eligibleAfter(passes time.Duration) int {
	last, _ := f.advance(passes)
	return last
}

// advance advances the clock, and returns how many daemons try at the end and the most that tried at a time.
func (f *dutyFleet) advance(passes time.Duration) (last, most int) {
	const step = 20 * time.Millisecond
	for until := f.now.Add(passes); f.now.Before(until); f.now = f.now.Add(step) {
		last = 0
		for _, duty := range f.duties {
			if duty.Eligible(f.now) {
				last++
			}
		}
		most = max(most, last)
	}
	return last, most
}

// TestSomebodyTriesWhoeverIsGone guards against a lease that stays free because the preferred holder has failed and
// none of the remaining daemons was drawn as a candidate.
func TestSomebodyTriesWhoeverIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.SampledFrom([]int{3, 24, 295, 985}).Draw(t, "daemons")
		left := rapid.IntRange(1, min(daemons, 12)).Draw(t, "left")
		fleet := newDutyFleet(daemons)
		fleet.duties = fleet.duties[:left]
		const bound = dutyPreferredTimeout + dutyGrowth + checkInterval
		assert.Equal(t, fleet.eligibleAfter(bound), left, "%d of %d daemons left", left, daemons)
	})
}

// TestFewTryFirst checks that few daemons of a large fleet try at first, and more as time passes.
func TestFewTryFirst(t *testing.T) {
	const daemons, rounds = 985, 20
	var first, halfway int
	for range rounds {
		fleet := newDutyFleet(daemons)
		assert.Equal(t, fleet.eligibleAfter(dutyPreferredTimeout), 0)
		first += fleet.eligibleAfter(40 * time.Millisecond)
		halfway += fleet.eligibleAfter(dutyGrowth/2 - 40*time.Millisecond)
	}
	assert.Assert(t, first < rounds*3*expectedCandidates, "%d tried first in %d rounds", first, rounds)
	assert.Assert(t, halfway < rounds*daemons/8, "%d tried halfway in %d rounds", halfway, rounds)
}

// TestFewTryWhileAHolderMayLive checks that the number of candidates doesn't grow before the lease of a known holder
// has expired, nor while no daemon reaches the table.
func TestFewTryWhileAHolderMayLive(t *testing.T) {
	for _, example := range []struct {
		announced, reachable bool
	}{{true, true}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", example), func(t *testing.T) {
			const daemons, rounds = 985, 10
			sum := 0
			for range rounds {
				fleet := newDutyFleet(daemons)
				fleet.reachable = example.reachable
				if example.announced {
					fleet.holderAnnouncedAt = fleet.now.Add(dutyPreferredTimeout + dutyGrowth)
				}
				_, most := fleet.advance(dutyPreferredTimeout + dutyGrowth + dutyLeaseLifetime)
				sum += most
			}
			assert.Assert(t, sum < rounds*3*expectedCandidates, "%d tried in %d rounds", sum, rounds)
		})
	}
}

// TestImpairedDaemonsTryLast guards against a lease that is held by daemons that can do part of the work only, and against one
// that nobody takes because all are impaired.
func TestImpairedDaemonsTryLast(t *testing.T) {
	const impairedTimeout = time.Second
	fleet := newDutyFleet(3)
	for _, duty := range fleet.duties {
		duty.ImpairedTimeout = impairedTimeout
		duty.Impaired = func() bool { return true }
	}
	fleet.duties[0].Impaired = func() bool { return false }
	const most = dutyPreferredTimeout + dutyGrowth + checkInterval
	assert.Equal(t, fleet.eligibleAfter(most), 1)
	fleet.duties[0].Impaired = func() bool { return true }
	assert.Equal(t, fleet.eligibleAfter(100*time.Millisecond), 0)
	assert.Equal(t, fleet.eligibleAfter(impairedTimeout), 3)
}
