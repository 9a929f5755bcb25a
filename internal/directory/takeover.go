package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Times and numbers of taking over from a daemon that read for all.
const (
	// overdueIntervals and newsMargin say when news is overdue: after so many intervals of
	// the reader, and a while for the call and the way. One lost datagram is borne
	// only with luck, but a second reader does no harm.
	overdueIntervals = 1.5
	newsMargin       = 300 * time.Millisecond
	// successorPause lies between the first daemons that take over from a reader that is gone, one after the other in the
	// order of their ranks. Many of these may be gone too: later ones follow each other faster, so that the last one takes
	// over in time.
	successorPause = 100 * time.Millisecond
	// readingMargin of the time in which there must be news is for the call of the one that takes over, and for telling it;
	// leastTakeover is how long a takeover may last where too little time is left.
	readingMargin   = 200 * time.Millisecond
	minTakeoverTime = 100 * time.Millisecond
	// defaultNewsIntervals is how many intervals old news may be where no bound is set.
	defaultNewsIntervals = 4
	// firstSuccessors is how many daemons don't wait longer while calls of the store fail. The store may turn away a
	// half of the daemons: eight are all among them in four cases of a thousand.
	firstSuccessors = 8
	// triersPerInterval is how many more daemons than the successors try in the time between
	// two news, while those that do fail: the store may serve others.
	triersPerInterval = 1
	// storeTimeFactor times the time of its calls of the store is how much longer a daemon waits
	// before it reads for all, so that one near the store is first: some 0.2 s from another region.
	// longestHandicap bounds it, and handicapShare of the time of a takeover, since the store may be slow for all.
	storeTimeFactor = 4
	maxHandicap     = 300 * time.Millisecond
	handicapShare   = 0.25
)

// newsTimeoutLeft is how much longer this daemon waits for news. The caller holds the mutex.
func (t *readerRole) newsTimeoutLeft(now time.Time) time.Duration {
	if t.newsAt.IsZero() {
		return 0
	}
	least := t.overdueAfter()
	if left := least - now.Sub(t.newsAt); left > 0 {
		return left
	}
	if t.newsTimeoutFor != t.newsAt {
		t.newsTimeoutFor = t.newsAt
		t.newsTimeout = least + t.delay()
		t.extended = false
	}
	left := t.newsTimeout - now.Sub(t.newsAt)
	if left <= 0 && !t.extended && now.Sub(t.triedAt) < 2*t.options.interval {
		t.extended = true
		t.newsTimeout += t.extension()
		left = t.newsTimeout - now.Sub(t.newsAt)
	}
	return left
}

// overdueAfter is how old news is when it is overdue.
func (t *readerRole) overdueAfter() time.Duration {
	return time.Duration(overdueIntervals*float64(t.options.interval)) + newsMargin
}

// extension is how much longer this daemon waits since another one's call of the store
// failed. The store may turn that one away and serve others: the successors don't wait for
// longer.
func (t *readerRole) extension() time.Duration {
	if t.rank() >= 0 {
		return 0
	}
	return rand.N(time.Duration(len(t.options.others())+1) * t.options.interval / triersPerInterval)
}

// rank is this daemon's place among the first successors of the reader before; negative if it
// is none of them.
func (t *readerRole) rank() int {
	rank, _ := t.candidateRank()
	if rank >= firstSuccessors {
		return -1
	}
	return rank
}

// candidateRank is this daemon's rank among all that may take over from the reader before, and how many these are.
func (t *readerRole) candidateRank() (rank, count int) {
	candidates := slices.DeleteFunc(slices.Clone(t.options.others()), func(address string) bool { return address == t.newsFrom })
	rank = rendezvous.WeightedRank(rendezvous.Key(t.newsFrom), t.options.self, candidates, t.options.capacity)
	return rank, len(candidates) + 1
}

// handicap is how much longer this daemon waits since its calls of the store take long.
func (t *readerRole) handicap() time.Duration {
	return min(storeTimeFactor*t.options.storeTime(), maxHandicap)
}

// takeoverTime is within what time of overdue news the last daemon takes over.
func (t *readerRole) takeoverTime() time.Duration {
	return max(t.options.newsBound-t.overdueAfter()-readingMargin, minTakeoverTime)
}

// delay is how long after overdue news this daemon takes over from the reader before. Where the store is slow for all, their
// ranks still part them: the later one is, the less of its handicap counts.
func (t *readerRole) delay() time.Duration {
	rank, count := t.candidateRank()
	within := t.takeoverTime()
	delay := takeoverDelay(rank, count, within)
	handicap := min(t.handicap(), time.Duration(handicapShare*float64(within)))
	left := 1 - float64(delay)/float64(within)
	return delay + time.Duration(left*float64(handicap))
}

// takeoverDelay is after how long a daemon of a rank takes over, of a number of daemons. How many have taken over grows by
// the same factor in each part of the time for it, and more slowly at first where there is time enough.
func takeoverDelay(rank, count int, within time.Duration) time.Duration {
	if rank == 0 {
		return 0
	}
	share := math.Log(float64(rank+1)) / math.Log(float64(count))
	return min(time.Duration(rank)*successorPause, time.Duration(share*float64(within)))
}
