package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

// Timing of taking over from a reader that fails.
const (
	// News is overdue after overdueIntervals intervals of the reader plus newsMargin for the call and the transfer.
	// That may not bridge a lost datagram, but a second reader does no harm.
	overdueIntervals = 1.5
	newsMargin       = 300 * time.Millisecond
	// successorPause is the pause between the first daemons that take over from a failed reader, in the order of
	// their ranks. Many of these may be gone too: later ones follow each other faster, so that the last one takes
	// over in time.
	successorPause = 100 * time.Millisecond
	// readingMargin is the part of newsBound that is reserved for the call of the new reader and for its broadcast.
	// minTakeoverTime is how long a takeover may last if too little time is left.
	readingMargin   = 200 * time.Millisecond
	minTakeoverTime = 100 * time.Millisecond
	// defaultNewsIntervals is the maximum age of news, in intervals, if no bound is set.
	defaultNewsIntervals = 4
	// firstSuccessors is how many daemons don't wait longer while calls to the store fail. If the store rejects
	// half of the daemons, it rejects all eight in four cases of a thousand.
	firstSuccessors = 8
	// triersPerInterval is how many more daemons than the first successors try per interval while those fail: the
	// store may serve others.
	triersPerInterval = 1
	// A daemon waits longer before it becomes the reader by storeTimeFactor times the duration of its calls to the
	// store, so that one near the store is first: some 0.2 s from another region. maxHandicap bounds that, and so
	// does handicapShare of the takeover time, since the store may be slow for all.
	storeTimeFactor = 4
	maxHandicap     = 300 * time.Millisecond
	handicapShare   = 0.25
)

// newsTimeoutLeft returns how much longer this daemon waits for news. The caller holds the mutex.
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
	if left <= 0 && !t.extended && now.Sub(t.failedTryAt) < 2*t.options.interval {
		t.extended = true
		t.newsTimeout += t.extension()
		left = t.newsTimeout - now.Sub(t.newsAt)
	}
	return left
}

// overdueAfter returns the age at which news is overdue.
func (t *readerRole) overdueAfter() time.Duration {
	return time.Duration(overdueIntervals*float64(t.options.interval)) + newsMargin
}

// extension returns how much longer this daemon waits because another one's call to the store failed. The store may
// reject that one and serve others, so the first successors don't wait longer.
func (t *readerRole) extension() time.Duration {
	if t.rank() >= 0 {
		return 0
	}
	return rand.N(time.Duration(len(t.options.others())+1) * t.options.interval / triersPerInterval)
}

// rank returns this daemon's rank among the first successors of the previous reader; negative if it is none of
// them.
func (t *readerRole) rank() int {
	rank, _ := t.candidateRank()
	if rank >= firstSuccessors {
		return -1
	}
	return rank
}

// candidateRank returns this daemon's rank among all daemons that may take over from the previous reader, and their
// number.
func (t *readerRole) candidateRank() (rank, count int) {
	candidates := slices.DeleteFunc(slices.Clone(t.options.others()), func(address string) bool { return address == t.newsFrom })
	rank = rendezvous.WeightedRank(rendezvous.Key(t.newsFrom), t.options.self, candidates, t.options.capacity)
	return rank, len(candidates) + 1
}

// handicap returns how much longer this daemon waits because its calls to the store take long.
func (t *readerRole) handicap() time.Duration {
	return min(storeTimeFactor*t.options.storeTime(), maxHandicap)
}

// takeoverTime returns the time after overdue news within which the last daemon takes over.
func (t *readerRole) takeoverTime() time.Duration {
	return max(t.options.newsBound-t.overdueAfter()-readingMargin, minTakeoverTime)
}

// delay returns how long after overdue news this daemon takes over from the previous reader. The later its rank is
// due, the less of its handicap counts, so that ranks still separate the daemons if the store is slow for all.
func (t *readerRole) delay() time.Duration {
	rank, count := t.candidateRank()
	within := t.takeoverTime()
	delay := takeoverDelay(rank, count, within)
	handicap := min(t.handicap(), time.Duration(handicapShare*float64(within)))
	left := 1 - float64(delay)/float64(within)
	return delay + time.Duration(left*float64(handicap))
}

// takeoverDelay returns after how long a daemon of a rank takes over. The number of daemons that have taken over
// grows exponentially with time, but starts with one each successorPause if there is enough time.
func takeoverDelay(rank, count int, within time.Duration) time.Duration {
	if rank == 0 {
		return 0
	}
	share := math.Log(float64(rank+1)) / math.Log(float64(count))
	return min(time.Duration(rank)*successorPause, time.Duration(share*float64(within)))
}
