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

// TestCollectorGrantsOnceItHasHeardAll asks a collector that has just begun, one that was paused, and
// one that knows of a stop.
func TestCollectorGrantsOnceItHasHeardAll(t *testing.T) {
	lone, _ := newLone(rollout.StageTrial)
	now := clock.Now()
	ask := func(at time.Time) grantMessage {
		lone.tickedAt = at
		return lone.collect(at, "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: 1, Row: 6})
	}
	assert.Assert(t, !ask(now).Granted)
	assert.Assert(t, !ask(now.Add(learningTime-time.Millisecond)).Granted)
	assert.Assert(t, ask(now.Add(learningTime)).Granted)
	// It was paused, and notices so at its next look, or with the report.
	late := now.Add(10 * time.Second)
	asked := reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: 2, Row: 6}
	assert.Assert(t, !lone.collect(late, "10.0.0.2:1", asked).Granted)
	lone.tick(t.Context(), late)
	assert.Assert(t, !ask(late).Granted)
	assert.Assert(t, ask(late.Add(learningTime)).Granted)
	lone.noteStop(late, testService, 5, "bad", "10.0.0.3:1")
	stopped := ask(late.Add(learningTime))
	assert.Assert(t, !stopped.Granted && stopped.Stopped)
	assert.Equal(t, stopped.Reason, "bad")
}

// TestCollectorTellsNewerStanding answers a daemon that has missed what was written.
func TestCollectorTellsNewerStanding(t *testing.T) {
	lone, _ := newLone(rollout.StageShift)
	answer := lone.collect(clock.Now(), "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Row: 4})
	assert.Assert(t, answer.Standing != nil)
	assert.Equal(t, answer.Standing.Row, uint64(6))
	assert.Assert(t, lone.collect(clock.Now(), "10.0.0.2:1", reportMessage{Service: testService, Order: 5, Row: 6}).Standing == nil)
}

// TestGrantsCountFromTheReport gives a daemon answers of some of five collectors, late.
func TestGrantsCountFromTheReport(t *testing.T) {
	network := peerlinktest.NewNetwork(1)
	lone, belief := newLone(rollout.StageTrial)
	others := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	lone.options.Others = func() []string { return others }
	lone.options.Count = func() int { return 5 }
	lone.options.Link = network.Add("10.0.0.1:1")
	lone.traffic(testService).allowUntil(5, time.Time{})
	now := clock.Now()
	lone.tickedAt = now
	lone.report(t.Context(), now, belief.service, testService, 5)
	number := lone.reporters[testService].number
	granted := func(from string, number uint64, at time.Time) bool {
		lone.takeGrant(t.Context(), at, from, grantMessage{Service: testService, Order: 5, Number: number, Granted: true})
		shared := lone.traffic(testService)
		shared.mutex.Lock()
		defer shared.mutex.Unlock()
		return shared.exposing(at, 5)
	}
	held := now.Add(900 * time.Millisecond)
	assert.Assert(t, !granted("10.0.0.2:1", number, held))
	assert.Assert(t, !granted("10.0.0.2:1", number, held))
	assert.Assert(t, !granted("10.0.0.9:1", number, held)) // no collector
	assert.Assert(t, !granted("10.0.0.3:1", number, held))
	assert.Assert(t, !granted("10.0.0.4:1", number+1, held)) // no report of ours
	assert.Assert(t, granted("10.0.0.4:1", number, held))
	assert.Assert(t, !granted("10.0.0.5:1", number, now.Add(grantTime)))
	// A daemon that doesn't know how many others there are takes none.
	lone.options.Count = func() int { return 64 }
	later := now.Add(grantTime)
	lone.report(t.Context(), later, belief.service, testService, 5)
	for _, from := range others {
		assert.Assert(t, !granted(from, lone.reporters[testService].number, later))
	}
}

// TestEvidenceOfEarlierLivesCounts restarts a daemon and repeats its reports, late ones too.
func TestEvidenceOfEarlierLivesCounts(t *testing.T) {
	pool := newCollector(clock.Now(), 5)
	report := func(incarnation identity.Incarnation, number uint64, bad uint32) {
		pool.note(clock.Now(), "10.0.0.2:1", reportMessage{
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
	assert.Equal(t, pool.pool().Routes[0].Target[0].Counts.Bad, uint32(10))
	assert.Equal(t, pool.daemons["10.0.0.2:1"].row, uint64(1))
}

// TestClockThatWasSetBack restarts a daemon after its time of day was set back: its reports count
// once nothing was heard of its earlier life for a moment, and late ones of that life don't.
func TestClockThatWasSetBack(t *testing.T) {
	lone, _ := newLone(rollout.StageShift)
	now, report := clock.Now(), func(incarnation identity.Incarnation, number, row uint64) reportMessage {
		return reportMessage{Service: testService, Order: 5, Incarnation: incarnation, Number: number, Row: row}
	}
	row := func() uint64 { return lone.collectors[testService].daemons["10.0.0.2:1"].row }
	lone.collect(now, "10.0.0.2:1", report(900, 50, 6))
	lone.collect(now.Add(heardTime/2), "10.0.0.2:1", report(100, 1, 4))
	assert.Equal(t, row(), uint64(6))
	lone.collect(now.Add(2*heardTime), "10.0.0.2:1", report(100, 2, 5))
	assert.Equal(t, row(), uint64(5))
	lone.collect(now.Add(2*heardTime), "10.0.0.2:1", report(100, 1, 4))
	assert.Equal(t, row(), uint64(5))
}
