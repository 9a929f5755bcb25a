package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
)

// TestCollectorGrantsOnceItHasHeardAll asks a collector for grants that has just started, that was paused, and
// that knows of a stop.
func TestCollectorGrantsOnceItHasHeardAll(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageTrial)
	now := clock.Now()
	ask := func(at time.Time) grantMessage {
		coordinator.tickedAt = at
		return coordinator.processReport(at, "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: 1, Row: 6})
	}
	assert.Assert(t, !ask(now).Granted)
	assert.Assert(t, !ask(now.Add(warmupTime-time.Millisecond)).Granted)
	assert.Assert(t, ask(now.Add(warmupTime)).Granted)
	// It was paused, and detects that at the next tick or report.
	late := now.Add(10 * time.Second)
	asked := reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: 2, Row: 6}
	assert.Assert(t, !coordinator.processReport(late, "10.0.0.2:1", asked).Granted)
	coordinator.tick(t.Context(), late)
	assert.Assert(t, !ask(late).Granted)
	assert.Assert(t, ask(late.Add(warmupTime)).Granted)
	coordinator.recordStop(late, testService, 5, "bad", "10.0.0.3:1")
	stopped := ask(late.Add(warmupTime))
	assert.Assert(t, !stopped.Granted && stopped.Stopped)
	assert.Equal(t, stopped.Reason, "bad")
}

// TestCollectorTellsNewerStanding answers a daemon that has missed a standing.
func TestCollectorTellsNewerStanding(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageShift)
	answer := coordinator.processReport(clock.Now(), "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Row: 4})
	assert.Assert(t, answer.Standing != nil)
	assert.Equal(t, answer.Standing.Row, uint64(6))
	assert.Assert(t, coordinator.processReport(clock.Now(), "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Row: 6}).Standing == nil)
}

// TestGrantsCountFromTheReport gives a daemon delayed grants of some of five collectors.
func TestGrantsCountFromTheReport(t *testing.T) {
	network := peerlinktest.NewNetwork(1)
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	others := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	coordinator.options.Others = func() []string { return others }
	coordinator.options.Count = func() int { return 5 }
	coordinator.options.Link = network.Add("10.0.0.1:1")
	coordinator.traffic(testService).setExposeUntil(5, time.Time{})
	now := clock.Now()
	coordinator.tickedAt = now
	coordinator.report(t.Context(), now, directory.service, testService, 5)
	number := coordinator.reporters[testService].number
	granted := func(from string, number uint64, at time.Time) bool {
		coordinator.handleGrant(t.Context(), at, from, grantMessage{Service: testService, Order: 5, Number: number, Granted: true})
		shared := coordinator.traffic(testService)
		shared.mutex.Lock()
		defer shared.mutex.Unlock()
		return shared.exposing(at, 5)
	}
	held := now.Add(900 * time.Millisecond)
	assert.Assert(t, !granted("10.0.0.2:1", number, held))
	assert.Assert(t, !granted("10.0.0.2:1", number, held))
	assert.Assert(t, !granted("10.0.0.9:1", number, held)) // not a collector
	assert.Assert(t, !granted("10.0.0.3:1", number, held))
	assert.Assert(t, !granted("10.0.0.4:1", number+1, held)) // not a report of this daemon
	assert.Assert(t, granted("10.0.0.4:1", number, held))
	assert.Assert(t, !granted("10.0.0.5:1", number, now.Add(grantTime)))
	// A daemon that doesn't know all others accepts no grants.
	coordinator.options.Count = func() int { return 64 }
	later := now.Add(grantTime)
	coordinator.report(t.Context(), later, directory.service, testService, 5)
	for _, from := range others {
		assert.Assert(t, !granted(from, coordinator.reporters[testService].number, later))
	}
}

// TestEvidenceOfEarlierLivesCounts restarts a daemon, and delivers reports of both incarnations late and
// repeatedly: the evidence of both must count.
func TestEvidenceOfEarlierLivesCounts(t *testing.T) {
	pool := newCollector(clock.Now(), 5)
	report := func(incarnation identity.Incarnation, number uint64, bad uint32) {
		pool.addReport(clock.Now(), "10.0.0.2:1", reportMessage{
			Order: 5, Incarnation: incarnation, Number: number, Row: number, Routes: []rollout.RouteEvidence{{
				Route: "/a", Target: []rollout.BackendCounts{{Backend: 1, Counts: rollout.Counts{Bad: bad}}},
			}},
		})
	}
	report(1, 1, 3)
	report(1, 2, 5)
	report(1, 1, 3)
	report(2, 1, 4)
	report(1, 3, 6)
	assert.Equal(t, pool.pooledEvidence().Routes[0].Target[0].Counts.Bad, uint32(10))
	assert.Equal(t, pool.daemons["10.0.0.2:1"].row, uint64(1))
}

// TestClockThatWasSetBack restarts a daemon after its wall clock was set back. Its reports must count once the
// earlier incarnation has been silent for a while, and delayed reports of that one must not.
func TestClockThatWasSetBack(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageShift)
	now, report := clock.Now(), func(incarnation identity.Incarnation, number, row uint64) reportMessage {
		return reportMessage{Service: testService, Order: 5, Incarnation: incarnation, Number: number, Row: row}
	}
	row := func() uint64 { return coordinator.collectors[testService].daemons["10.0.0.2:1"].row }
	coordinator.processReport(now, "10.0.0.2:1", report(900, 50, 6))
	coordinator.processReport(now.Add(maximumReportAge/2), "10.0.0.2:1", report(100, 1, 4))
	assert.Equal(t, row(), uint64(6))
	coordinator.processReport(now.Add(2*maximumReportAge), "10.0.0.2:1", report(100, 2, 5))
	assert.Equal(t, row(), uint64(5))
	coordinator.processReport(now.Add(2*maximumReportAge), "10.0.0.2:1", report(100, 1, 4))
	assert.Equal(t, row(), uint64(5))
}
