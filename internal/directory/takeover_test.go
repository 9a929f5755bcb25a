package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/logging"
)

// takeoverSetting is how often news comes and its maximum age.
type takeoverSetting struct{ interval, bound time.Duration }

// takeoverSettings result from the bounds for revoked keys and configurations.
var takeoverSettings = []takeoverSetting{
	{300 * time.Millisecond, 1200 * time.Millisecond}, {500 * time.Millisecond, 2 * time.Second}, {500 * time.Millisecond, 4 * time.Second},
}

// waitingRoles returns the roles of some daemons of a fleet whose reader broadcast news at a time and then stopped.
func waitingRoles(setting takeoverSetting, daemons int, left []int, newsAt time.Time, storeTime time.Duration) []*readerRole {
	addresses := make([]string, daemons)
	for index := range addresses {
		addresses[index] = daemonAddress(index)
	}
	var roles []*readerRole
	for _, index := range left {
		made := newReaderRole(readerRoleOptions{
			self: addresses[index], interval: setting.interval, newsBound: setting.bound, others: func() []string { return addresses },
			storeTime: func() time.Duration { return storeTime },
		})
		made.open()
		made.newsAt, made.newsFrom = newsAt, addresses[0]
		roles = append(roles, made)
	}
	return roles
}

// TestReaderIsReplacedWhoeverIsGone guards against a takeover so late that requests are refused because news is too
// old, which happened when the first successors were stopped too: the reader and any number of others stop, and one
// of the rest takes over in time.
func TestReaderIsReplacedWhoeverIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		setting := rapid.SampledFrom(takeoverSettings).Draw(t, "setting")
		daemons := rapid.SampledFrom([]int{3, 24, 295, 985}).Draw(t, "daemons")
		left := rapid.SliceOfNDistinct(rapid.IntRange(1, daemons-1), 1, 4, rapid.ID[int]).Draw(t, "left")
		storeTime := rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, time.Second}).Draw(t, "store time")
		newsAt := time.Unix(1_000_000, 0)
		due := newsAt.Add(setting.bound - readingMargin + time.Millisecond)
		for _, role := range waitingRoles(setting, daemons, left, newsAt, storeTime) {
			assert.Assert(t, role.decide(due, tableDeclared).begins, "a daemon of %d still waits", daemons)
		}
	})
}

// TestSilentCallIsToldOf checks that a daemon whose check gets no answer announces that before others take over
// from it.
func TestSilentCallIsToldOf(t *testing.T) {
	source := &slowSource{memorySource: &memorySource{declared: declaration(10, 7)}, takes: time.Hour}
	tried := make(chan time.Time, 1)
	directory := New(Options{
		Source: source, Pool: backendpool.New("a"), Log: logging.Discard(), Self: "a", Interval: testInterval,
		Broadcast: func(bulletin Bulletin) {
			if bulletin.Trying {
				select {
				case tried <- time.Now():
				default:
				}
			}
		},
	})
	go func() { _ = directory.Run(t.Context()) }()
	poll.WaitOn(t, inForce(directory, 7))
	select {
	case at := <-tried:
		assert.Assert(t, at.Sub(directory.ConfirmedAt()) < directory.role.overdueAfter()+hedgeTime)
	case <-time.After(callTimeout):
		t.Fatal("the daemon doesn't announce that the store is silent")
	}
}

// TestFewTakeOverAtFirst guards against many daemons that take over before the first one's news arrives, also while
// the store is slow for all.
func TestFewTakeOverAtFirst(t *testing.T) {
	const onItsWay = 60 * time.Millisecond
	for _, setting := range takeoverSettings {
		for _, daemons := range []int{24, 295, 985} {
			for _, storeTime := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprint(setting, daemons, storeTime), func(t *testing.T) {
					var all []int
					for index := range daemons - 1 {
						all = append(all, index+1)
					}
					var delays []time.Duration
					for _, role := range waitingRoles(setting, daemons, all, time.Unix(1_000_000, 0), storeTime) {
						delays = append(delays, role.delay())
					}
					first := slices.Min(delays)
					delays = slices.DeleteFunc(delays, func(delay time.Duration) bool { return delay > first+onItsWay })
					assert.Assert(t, len(delays) <= firstSuccessors+2, "%d of %d daemons took over", len(delays), daemons)
				})
			}
		}
	}
}
