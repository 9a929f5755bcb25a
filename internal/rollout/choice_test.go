package rollout

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/presence"
	"github.com/lotusward/lotusward/internal/relay"
)

// steadyBelief is one that doesn't change.
type steadyBelief struct {
	service   rollout.Service
	confirmed time.Time
}

func (b *steadyBelief) Services() []identity.ServiceName {
	return []identity.ServiceName{testService}
}
func (b *steadyBelief) Software(identity.ServiceName) rollout.Service     { return b.service }
func (b *steadyBelief) ConfirmedAt() time.Time                            { return b.confirmed }
func (b *steadyBelief) StoreClock(time.Time) (time.Duration, bool)        { return time.Hour, true }
func (b *steadyBelief) Learn(context.Context, rollout.Standing)           {}
func (b *steadyBelief) Reads() bool                                       { return false }
func (b *steadyBelief) LongestTimeout(identity.ServiceName) time.Duration { return time.Minute }
func (b *steadyBelief) SoftwareVersions(identity.ServiceName) map[identity.SoftwareVersion]int {
	return map[identity.SoftwareVersion]int{oldVersion: 3, newVersion: 3}
}
func (b *steadyBelief) KeysOf(identity.ServiceName, identity.SoftwareVersion) []uint64 {
	return []uint64{1, 2, 3}
}
func (b *steadyBelief) Own(identity.ServiceName, identity.SoftwareVersion) int { return 0 }
func (b *steadyBelief) Backends() []backendpool.Backend                        { return nil }

// newLone makes a Coordinator without other daemons, at a stage of an order.
func newLone(stage rollout.Stage) (*Coordinator, *steadyBelief) {
	belief := &steadyBelief{confirmed: clock.Now(), service: rollout.Service{Standing: rollout.Standing{
		Service: testService, Stable: oldVersion, Target: newVersion, Order: 5, Row: 6, Stage: stage, Deadline: 2 * time.Hour,
	}}}
	lone := New(Options{
		Link: peerlinktest.NewNetwork(1).Add("10.0.0.1:1"), Others: func() []string { return nil }, Count: func() int { return 1 },
		Tell: func(peerlink.Kind, any) {}, Presence: presence.New(), Belief: belief, Backends: belief,
		ExposureShare: testShare, ConfirmationLimit: time.Hour, Log: logging.Discard(),
	})
	lone.synchronize(clock.Now(), testService, belief.service)
	lone.traffic(testService).allowUntil(5, clock.Now().Add(time.Hour))
	return lone, belief
}

// BenchmarkRequest takes a request through all calls: 254 ns outside of a roll-out and 799 ns in a
// trial with one goroutine, of which the fit of the pace takes 290 ns on average; 139 ns and 1,067 ns
// with four that do nothing else.
func BenchmarkRequest(b *testing.B) {
	for _, stage := range []rollout.Stage{rollout.StageCompleted, rollout.StageTrial} {
		b.Run(string(stage), func(b *testing.B) {
			lone, _ := newLone(stage)
			b.RunParallel(func(running *testing.PB) {
				for running.Next() {
					choice := lone.Choose(testService, "/chat", true)
					if !lone.Stands(choice) {
						lone.Dropped(choice)
						continue
					}
					lone.Sent(choice)
					lone.Ended(choice, relay.SendingEnd{Backend: 7, FirstByte: 30 * time.Millisecond, Tokens: 500})
				}
			})
		})
	}
}

// TestCreditIsReturned drops choices for a trial: as many requests as before may go there.
func TestCreditIsReturned(t *testing.T) {
	lone, _ := newLone(rollout.StageTrial)
	sent := 0
	for range 1000 {
		choice := lone.Choose(testService, "/chat", true)
		if choice.Trial && sent%2 == 0 {
			lone.Dropped(choice)
			choice = lone.Choose(testService, "/chat", true)
			assert.Assert(t, choice.Trial)
		}
		lone.Sent(choice)
		if choice.Trial {
			sent++
		}
	}
	assert.Assert(t, sent >= 78 && sent <= 82, "%d of 1000", sent)
	assert.Assert(t, !lone.Choose(testService, "/other", false).Trial)
}

// TestChoiceDoesNotOutliveItsStanding changes what a choice was made on.
func TestChoiceDoesNotOutliveItsStanding(t *testing.T) {
	lone, belief := newLone(rollout.StageTrial)
	choice := lone.Choose(testService, "/chat", false)
	assert.Assert(t, lone.Stands(choice))
	belief.service.Standing.Stage, belief.service.Standing.Row = rollout.StageShift, 7
	assert.Assert(t, !lone.Stands(choice))
	choice = lone.Choose(testService, "/chat", false)
	assert.Equal(t, choice.Version, newVersion)
	belief.confirmed = clock.Now().Add(-2 * time.Hour)
	assert.Assert(t, !lone.Stands(choice))
	assert.Assert(t, lone.Choose(testService, "/chat", false).Refused)
	belief.confirmed = clock.Now()
	assert.Assert(t, lone.Stands(choice))
	lone.noteStop(clock.Now(), testService, 5, "bad", "10.0.0.2:1")
	assert.Assert(t, !lone.Stands(choice))
}

// TestReportFitsADatagram sends the evidence of 8 routes and 30 back ends through a link's encoding.
func TestReportFitsADatagram(t *testing.T) {
	var evidence rollout.Evidence
	for route := range 8 {
		for backend := range uint64(30) {
			for range 300 {
				answer := rollout.Answer{Route: fmt.Sprintf("route-of-kind-%d", route), Backend: backend << 40}
				evidence.Note(true, answer)
				evidence.Note(false, answer)
			}
		}
	}
	link := peerlink.New("10.0.0.1:1", logging.Discard())
	whole := 0
	parts := split(evidence)
	for _, part := range parts {
		message := reportMessage{Service: testService, Order: 1 << 40, Incarnation: 1 << 50, Number: 1 << 20, Routes: part.Routes, Sample: part.StableSample}
		datagram, fits := link.Encode(peerlink.KindVersionReport, &message)
		assert.Assert(t, fits)
		t.Logf("%d bytes", len(datagram))
		whole += len(part.Routes)
	}
	assert.Equal(t, whole, 8)
	assert.Equal(t, len(parts), 2)
	small, fits := link.Encode(peerlink.KindVersionReport, &reportMessage{Service: testService, Order: 1 << 40, Incarnation: 1 << 50})
	assert.Assert(t, fits)
	t.Logf("%d bytes without evidence", len(small))
}

// BenchmarkCollect is what a collector does for the reports of 340 daemons in one interval, with 4
// routes and 11 back ends of the target, of which each daemon has an answer of one in an interval:
// 8.5 ms and 1,615 bytes for each report with all evidence, 4.2 to 4.8 ms and 789 bytes with what is
// new.
func BenchmarkCollect(b *testing.B) {
	lone, _ := newLone(rollout.StageTrial)
	link := peerlink.New("10.0.0.1:1", logging.Discard())
	var evidence rollout.Evidence
	answer := func(route, backend int) {
		answered := rollout.Answer{Route: fmt.Sprintf("route-of-kind-%d", route), Backend: uint64(backend) << 40}
		evidence.Note(true, answered)
		evidence.Note(false, answered)
	}
	for number := range 44 {
		answer(number%4, number%11)
	}
	reporter := lone.reporterOf(testService, 5)
	sent, rounds := 0, 0
	for now := clock.Now(); b.Loop(); now = now.Add(reportInterval) {
		lone.tickedAt = now
		rounds++
		answer(rounds%4, rounds%11)
		news := reporter.news(now, evidence)
		message := reportMessage{Service: testService, Order: 5, Incarnation: 1, Row: 6, Routes: news.Routes, Sample: news.StableSample}
		datagram, _ := link.Encode(peerlink.KindVersionReport, &message)
		sent += len(datagram)
		for daemon := range 340 {
			var got reportMessage
			assert.NilError(b, msgpack.Unmarshal(datagram[1:], &got))
			got.Number = uint64(now.UnixNano())
			lone.collect(now, fmt.Sprintf("10.0.1.%d:1", daemon), got)
		}
		for look := range 2 {
			lone.collectors[testService].changed = true
			lone.judge(now.Add(time.Duration(look)*judgeInterval), testService, 5)
		}
	}
	b.ReportMetric(float64(sent)/float64(rounds), "bytes/report")
}

// TestEvidenceIsToldWhenItIsNew has all evidence told to a collector that begins, in time.
func TestEvidenceIsToldWhenItIsNew(t *testing.T) {
	lone, _ := newLone(rollout.StageTrial)
	var evidence rollout.Evidence
	for _, route := range []string{"/a", "/b"} {
		evidence.Note(true, rollout.Answer{Route: route})
		evidence.Note(false, rollout.Answer{Route: route})
	}
	reporter, now := lone.reporterOf(testService, 5), clock.Now()
	told := func(after time.Duration) (routes []string, sampled bool) {
		news := reporter.news(now.Add(after), evidence)
		for _, route := range news.Routes {
			routes = append(routes, route.Route)
		}
		return routes, len(news.StableSample) > 0
	}
	expect := func(after time.Duration, sampled bool, routes ...string) {
		t.Helper()
		got, withSample := told(after)
		assert.DeepEqual(t, got, routes)
		assert.Equal(t, withSample, sampled)
	}
	expect(0, true, "/a", "/b")
	expect(200*time.Millisecond, false, "/a", "/b")
	expect(400*time.Millisecond, false)
	evidence.Note(true, rollout.Answer{Route: "/b"})
	expect(600*time.Millisecond, true, "/b")
	expect(800*time.Millisecond, false, "/a", "/b")
	expect(1000*time.Millisecond, false)
	assert.Assert(t, refreshInterval+reportInterval < learningTime)
}
