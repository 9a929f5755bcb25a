package rollout

import (
	"context"
	"fmt"
	"slices"
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
	listed    map[identity.SoftwareVersion]int
	keys      []uint64
	// counted is how often back ends were counted, and looked is called after each look at the
	// versions.
	counted int
	looked  func()
}

func (b *steadyBelief) Services() []identity.ServiceName {
	return []identity.ServiceName{testService}
}
func (b *steadyBelief) ConfirmedAt() time.Time                            { return b.confirmed }
func (b *steadyBelief) StoreClock(time.Time) (time.Duration, bool)        { return time.Hour, true }
func (b *steadyBelief) Learn(context.Context, rollout.Standing)           {}
func (b *steadyBelief) Reads() bool                                       { return false }
func (b *steadyBelief) LongestTimeout(identity.ServiceName) time.Duration { return time.Minute }
func (b *steadyBelief) Software(identity.ServiceName) rollout.Service {
	believed := b.service
	if b.looked != nil {
		b.looked()
	}
	return believed
}
func (b *steadyBelief) SoftwareVersions(identity.ServiceName) map[identity.SoftwareVersion]int {
	b.counted++
	return b.listed
}
func (b *steadyBelief) KeysOf(identity.ServiceName, identity.SoftwareVersion) []uint64 {
	return b.keys
}
func (b *steadyBelief) InFlightAtOthers(identity.ServiceName, identity.SoftwareVersion) int { return 0 }
func (b *steadyBelief) Backends() []backendpool.Backend                                     { return nil }

// newLone makes a Coordinator without other daemons, at a stage of an order.
func newLone(stage rollout.Stage) (*Coordinator, *steadyBelief) {
	listed := map[identity.SoftwareVersion]int{oldVersion: 3, newVersion: 3}
	belief := &steadyBelief{confirmed: clock.Now(), listed: listed, keys: []uint64{1, 2, 3}, service: rollout.Service{Standing: rollout.Standing{
		Service: testService, Stable: oldVersion, Target: newVersion, Order: 5, Row: 6, Stage: stage, Deadline: 2 * time.Hour,
	}}}
	lone := New(Options{
		Link: peerlinktest.NewNetwork(1).Add("10.0.0.1:1"), Others: func() []string { return nil }, Count: func() int { return 1 },
		Broadcast: func(peerlink.Kind, any) {}, Presence: presence.New(), Directory: belief, Backends: belief,
		ExposureShare: testShare, ConfirmationLimit: time.Hour, Log: logging.Discard(),
	})
	lone.synchronize(clock.Now(), testService, belief.service)
	lone.traffic(testService).allowUntil(5, clock.Now().Add(time.Hour))
	return lone, belief
}

// BenchmarkRequest takes a request through all calls: 318 ns outside of a roll-out, of which noting
// the pace takes 41 ns, and 840 ns in a trial with one goroutine, of which the fit of the pace takes
// 290 ns on average; 350 ns and 1,065 ns with four that do nothing else.
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

// TestPaceIsKnownBeforeAnOrder has few answers before an order: it tells slow ones from its begin,
// and so does the next one.
func TestPaceIsKnownBeforeAnOrder(t *testing.T) {
	lone, belief := newLone(rollout.StageCompleted)
	answer := func(choice relay.VersionChoice, firstByte time.Duration) (slow int) {
		lone.Sent(choice)
		lone.Ended(choice, relay.SendingEnd{Backend: 7, FirstByte: firstByte, Tokens: 500})
		for _, route := range lone.traffic(testService).counted(choice.Order).Routes {
			slow += int(route.Stable.Slow)
			for _, backend := range route.Target {
				slow += int(backend.Counts.Slow)
			}
		}
		return slow
	}
	for range 20 {
		answer(lone.Choose(testService, "/chat", true), 30*time.Millisecond)
	}
	for order := range uint64(2) {
		standing := &belief.service.Standing
		standing.Order, standing.Row, standing.Stage = 8+2*order, 9+2*order, rollout.StageTrial
		standing.Stable, standing.Target = oldVersion, newVersion
		lone.synchronize(clock.Now(), testService, belief.service)
		assert.Equal(t, answer(lone.Choose(testService, "/chat", false), 200*time.Millisecond), 1)
	}
}

// TestListThatComesAfterRequests has requests before the list of back ends is read, and no standing:
// from the list on they go to the stable version alone, also those that were chosen for before.
func TestListThatComesAfterRequests(t *testing.T) {
	lone, belief := newLone(rollout.StageNone)
	belief.service, belief.listed = rollout.Service{}, nil
	before := lone.Choose(testService, "/chat", true)
	assert.Assert(t, before.Any)
	assert.Assert(t, lone.Stands(before))
	belief.service.Order = &rollout.Order{Service: testService, Target: newVersion, Number: 5}
	assert.Assert(t, !lone.Stands(before))
	belief.service.Order = nil
	belief.listed = map[identity.SoftwareVersion]int{oldVersion: 3, newVersion: 1}
	assert.Assert(t, !lone.Stands(before))
	assert.Equal(t, lone.Choose(testService, "/chat", true).Version, oldVersion)
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

// TestBeliefIsAsOldAsItsConfirmation learns of a shift, and has it confirmed, right after the
// versions were looked at: what was seen before must not count as confirmed.
func TestBeliefIsAsOldAsItsConfirmation(t *testing.T) {
	lone, belief := newLone(rollout.StageTrial)
	choice := lone.Choose(testService, "/chat", false)
	belief.confirmed = clock.Now().Add(-2 * time.Hour)
	belief.looked = func() { belief.confirmed = clock.Now() }
	assert.Assert(t, !lone.Stands(choice))
	belief.confirmed = clock.Now().Add(-2 * time.Hour)
	assert.Assert(t, lone.Choose(testService, "/chat", false).Refused)
}

// TestServiceWithoutVersionsIsLeftAlone looks for ten seconds at a service that has no standing,
// since its back ends name no version: they are counted once a second.
func TestServiceWithoutVersionsIsLeftAlone(t *testing.T) {
	lone, belief := newLone(rollout.StageNone)
	belief.service, belief.listed, belief.counted = rollout.Service{}, map[identity.SoftwareVersion]int{"": 3}, 0
	began := clock.Now()
	for passed := time.Duration(0); passed < 10*time.Second; passed += tickInterval {
		lone.tick(t.Context(), began.Add(passed))
	}
	assert.Assert(t, belief.counted <= 11, "%d", belief.counted)
}

// BenchmarkIdleTick is a look at a service without an order, one of 20 a second, with 339 other
// daemons: 0.1 us, and 9.6 us where it is looked each time which of them are heard.
func BenchmarkIdleTick(b *testing.B) {
	lone, belief := newLone(rollout.StageCompleted)
	others := make([]string, 339)
	for index := range others {
		others[index] = fmt.Sprintf("10.0.1.%d:1", index)
		lone.options.Presence.Heard(others[index], clock.Now())
	}
	lone.options.Others, lone.options.Count = func() []string { return others }, func() int { return 340 }
	for now := clock.Now(); b.Loop(); now = now.Add(tickInterval) {
		belief.confirmed = now
		lone.tick(b.Context(), now)
	}
}

// BenchmarkActiveTick is a look at a service with a version under trial, one of 20 a second, with
// 339 other daemons: 0.7 us, and 30 us where the collectors are ranked each time.
func BenchmarkActiveTick(b *testing.B) {
	lone, belief := newLone(rollout.StageTrial)
	others := make([]string, 339)
	for index := range others {
		others[index] = fmt.Sprintf("10.0.1.%d:1", index)
	}
	lone.options.Others, lone.options.Count = func() []string { return others }, func() int { return 340 }
	for now := clock.Now(); b.Loop(); now = now.Add(tickInterval) {
		belief.confirmed = now
		lone.tick(b.Context(), now)
	}
}

// BenchmarkSynchronize is what a look does, 20 times a second, under the lock of the requests'
// choices while a target with 2,800 back ends is under trial: 1.1 us, and 474 us where those of the
// trial are chosen each time.
func BenchmarkSynchronize(b *testing.B) {
	lone, belief := newLone(rollout.StageTrial)
	belief.keys = make([]uint64, 2800)
	for index := range belief.keys {
		belief.keys[index] = uint64(index) << 40
	}
	for b.Loop() {
		lone.synchronize(clock.Now(), testService, belief.service)
	}
	assert.Equal(b, len(lone.traffic(testService).backends), 280)
}

// TestTrialFollowsTheList changes the list of the target's back ends.
func TestTrialFollowsTheList(t *testing.T) {
	lone, belief := newLone(rollout.StageTrial)
	for _, keys := range [][]uint64{{1, 2, 3, 4, 5, 6}, {7, 8, 9}, {7, 8, 9, 10}, nil, {4, 5, 6}} {
		belief.keys = keys
		lone.synchronize(clock.Now(), testService, belief.service)
		got := lone.traffic(testService).backends
		assert.Equal(t, len(got), min(len(keys), 3))
		for _, key := range got {
			assert.Assert(t, slices.Contains(keys, key))
		}
	}
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

// TestReportOfManyBackends sends the evidence of a route with 2,800 back ends, as during a shift at
// a large site, and of many routes with long names, in reports of which some come twice, late, or in
// another order. The collector knows all of it.
func TestReportOfManyBackends(t *testing.T) {
	lone, _ := newLone(rollout.StageShift)
	link := peerlink.New("10.0.0.1:1", logging.Discard())
	var evidence rollout.Evidence
	for backend := range uint64(2800) {
		evidence.Note(true, rollout.Answer{Route: "/chat", Backend: backend << 40, Result: rollout.ResultBad})
	}
	for route := range 100 {
		name := fmt.Sprintf("%0150d", route)
		evidence.Note(false, rollout.Answer{Route: name})
		evidence.Note(true, rollout.Answer{Route: name})
	}
	var reports []reportMessage
	for number, part := range split(evidence) {
		message := reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: uint64(number + 1), Routes: part.Routes, Sample: part.StableSample}
		_, fits := link.Encode(peerlink.KindVersionReport, &message)
		assert.Assert(t, fits)
		reports = append(reports, message)
	}
	slices.Reverse(reports)
	for _, message := range append(reports, reports...) {
		lone.collect(clock.Now(), "10.0.0.2:1", message)
	}
	assert.DeepEqual(t, byRoute(lone.collectors[testService].pool()), byRoute(evidence))
}

func byRoute(evidence rollout.Evidence) map[string]rollout.RouteEvidence {
	routes := map[string]rollout.RouteEvidence{}
	for _, route := range evidence.Routes {
		routes[route.Route] = route
	}
	return routes
}

// BenchmarkCollect is what a collector does for the reports of 340 daemons in one interval, with 4
// routes and 11 back ends of the target, of which each daemon has an answer of one in an interval:
// 8.5 ms and 1,615 bytes for each report with all evidence, 4.2 to 5.1 ms and 790 bytes with what is
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
