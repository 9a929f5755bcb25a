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

// fixedDirectory is a Directory and Backends with fixed content.
type fixedDirectory struct {
	service   rollout.Service
	confirmed time.Time
	listed    map[identity.SoftwareVersion]int
	keys      []uint64
	// counted is how often back ends were counted, and looked is called after each read of the versions.
	counted int
	looked  func()
}

func (d *fixedDirectory) Services() []identity.ServiceName {
	return []identity.ServiceName{testService}
}
func (d *fixedDirectory) ConfirmedAt() time.Time                            { return d.confirmed }
func (d *fixedDirectory) StoreClock(time.Time) (time.Duration, bool)        { return time.Hour, true }
func (d *fixedDirectory) Learn(context.Context, rollout.Standing)           {}
func (d *fixedDirectory) Reads() bool                                       { return false }
func (d *fixedDirectory) LongestTimeout(identity.ServiceName) time.Duration { return time.Minute }
func (d *fixedDirectory) Software(identity.ServiceName) rollout.Service {
	state := d.service
	if d.looked != nil {
		d.looked()
	}
	return state
}
func (d *fixedDirectory) SoftwareVersions(identity.ServiceName) map[identity.SoftwareVersion]int {
	d.counted++
	return d.listed
}
func (d *fixedDirectory) KeysOf(identity.ServiceName, identity.SoftwareVersion) []uint64 {
	return d.keys
}
func (d *fixedDirectory) InFlightOnOtherVersions(identity.ServiceName, identity.SoftwareVersion) int {
	return 0
}
func (d *fixedDirectory) Backends() []backendpool.Backend { return nil }

// newSingleCoordinator makes a Coordinator without other daemons, at a stage of an order.
func newSingleCoordinator(stage rollout.Stage) (*Coordinator, *fixedDirectory) {
	listed := map[identity.SoftwareVersion]int{oldVersion: 3, newVersion: 3}
	directory := &fixedDirectory{confirmed: clock.Now(), listed: listed, keys: []uint64{1, 2, 3}, service: rollout.Service{Standing: rollout.Standing{
		Service: testService, Stable: oldVersion, Target: newVersion, Order: 5, Row: 6, Stage: stage, Deadline: 2 * time.Hour,
	}}}
	coordinator := New(Options{
		Link: peerlinktest.NewNetwork(1).Add("10.0.0.1:1"), Others: func() []string { return nil }, Count: func() int { return 1 },
		Broadcast: func(peerlink.Kind, any) {}, Presence: presence.New(), Directory: directory, Backends: directory,
		ExposureShare: testShare, ConfirmationLimit: time.Hour, Log: logging.Discard(),
	})
	coordinator.synchronize(clock.Now(), testService, directory.service)
	coordinator.traffic(testService).setExposeUntil(5, clock.Now().Add(time.Hour))
	return coordinator, directory
}

// BenchmarkRequest measures all calls for one request. Outside of a roll-out they take 318 ns, 41 ns of which are
// for recording the latency; in a trial they take 840 ns with one goroutine, 290 ns of which are for fitting the
// latency model on average. With four goroutines that do nothing else they take 350 ns and 1,065 ns.
func BenchmarkRequest(b *testing.B) {
	for _, stage := range []rollout.Stage{rollout.StageCompleted, rollout.StageTrial} {
		b.Run(string(stage), func(b *testing.B) {
			coordinator, _ := newSingleCoordinator(stage)
			b.RunParallel(func(running *testing.PB) {
				for running.Next() {
					choice := coordinator.Choose(testService, "/chat", true)
					if !coordinator.StillValid(choice) {
						coordinator.Dropped(choice)
						continue
					}
					coordinator.Sent(choice)
					coordinator.Ended(choice, relay.AttemptResult{Backend: 7, FirstByte: 30 * time.Millisecond, Tokens: 500})
				}
			})
		})
	}
}

// TestCreditIsReturned drops choices for the target under trial: the target must still get as many requests as
// without the drops.
func TestCreditIsReturned(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageTrial)
	sent := 0
	for range 1000 {
		choice := coordinator.Choose(testService, "/chat", true)
		if choice.Trial && sent%2 == 0 {
			coordinator.Dropped(choice)
			choice = coordinator.Choose(testService, "/chat", true)
			assert.Assert(t, choice.Trial)
		}
		coordinator.Sent(choice)
		if choice.Trial {
			sent++
		}
	}
	assert.Assert(t, sent >= 78 && sent <= 82, "%d of 1000", sent)
	assert.Assert(t, !coordinator.Choose(testService, "/other", false).Trial)
}

// TestPaceIsKnownBeforeAnOrder has few answers before an order: slow answers must be detected from its start, and
// from the start of the next order.
func TestPaceIsKnownBeforeAnOrder(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageCompleted)
	answer := func(choice relay.VersionChoice, firstByte time.Duration) (slow int) {
		coordinator.Sent(choice)
		coordinator.Ended(choice, relay.AttemptResult{Backend: 7, FirstByte: firstByte, Tokens: 500})
		for _, route := range coordinator.traffic(testService).localEvidence(choice.Order).Routes {
			slow += int(route.Stable.Slow)
			for _, backend := range route.Target {
				slow += int(backend.Counts.Slow)
			}
		}
		return slow
	}
	for range 20 {
		answer(coordinator.Choose(testService, "/chat", true), 30*time.Millisecond)
	}
	for order := range uint64(2) {
		standing := &directory.service.Standing
		standing.Order, standing.Row, standing.Stage = 8+2*order, 9+2*order, rollout.StageTrial
		standing.Stable, standing.Target = oldVersion, newVersion
		coordinator.synchronize(clock.Now(), testService, directory.service)
		assert.Equal(t, answer(coordinator.Choose(testService, "/chat", false), 200*time.Millisecond), 1)
	}
}

// TestListThatComesAfterRequests has requests before the list of back ends is read, and no standing. Once the
// list is read, requests must go to the stable version alone, and earlier choices must be invalid.
func TestListThatComesAfterRequests(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageNone)
	directory.service, directory.listed = rollout.Service{}, nil
	before := coordinator.Choose(testService, "/chat", true)
	assert.Assert(t, before.Any)
	assert.Assert(t, coordinator.StillValid(before))
	directory.service.Order = &rollout.Order{Service: testService, Target: newVersion, Number: 5}
	assert.Assert(t, !coordinator.StillValid(before))
	directory.service.Order = nil
	directory.listed = map[identity.SoftwareVersion]int{oldVersion: 3, newVersion: 1}
	assert.Assert(t, !coordinator.StillValid(before))
	assert.Equal(t, coordinator.Choose(testService, "/chat", true).Version, oldVersion)
}

// TestChoiceDoesNotOutliveItsStanding changes the state that a choice was based on: the choice must become
// invalid.
func TestChoiceDoesNotOutliveItsStanding(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	choice := coordinator.Choose(testService, "/chat", false)
	assert.Assert(t, coordinator.StillValid(choice))
	directory.service.Standing.Stage, directory.service.Standing.Row = rollout.StageShift, 7
	assert.Assert(t, !coordinator.StillValid(choice))
	choice = coordinator.Choose(testService, "/chat", false)
	assert.Equal(t, choice.Version, newVersion)
	directory.confirmed = clock.Now().Add(-2 * time.Hour)
	assert.Assert(t, !coordinator.StillValid(choice))
	assert.Assert(t, coordinator.Choose(testService, "/chat", false).Refused)
	directory.confirmed = clock.Now()
	assert.Assert(t, coordinator.StillValid(choice))
	coordinator.recordStop(clock.Now(), testService, 5, "bad", "10.0.0.2:1")
	assert.Assert(t, !coordinator.StillValid(choice))
}

// TestBeliefIsAsOldAsItsConfirmation confirms a new state right after the old one was read. The old state must
// not count as confirmed.
func TestBeliefIsAsOldAsItsConfirmation(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	choice := coordinator.Choose(testService, "/chat", false)
	directory.confirmed = clock.Now().Add(-2 * time.Hour)
	directory.looked = func() { directory.confirmed = clock.Now() }
	assert.Assert(t, !coordinator.StillValid(choice))
	directory.confirmed = clock.Now().Add(-2 * time.Hour)
	assert.Assert(t, coordinator.Choose(testService, "/chat", false).Refused)
}

// TestServiceWithoutVersionsIsLeftAlone runs ten seconds with a service that has no standing, because its back
// ends name no version. Its back ends must be counted only once a second.
func TestServiceWithoutVersionsIsLeftAlone(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageNone)
	directory.service, directory.listed, directory.counted = rollout.Service{}, map[identity.SoftwareVersion]int{"": 3}, 0
	began := clock.Now()
	for passed := time.Duration(0); passed < 10*time.Second; passed += tickInterval {
		coordinator.tick(t.Context(), began.Add(passed))
	}
	assert.Assert(t, directory.counted <= 11, "%d", directory.counted)
}

// BenchmarkIdleTick measures a tick, one of 20 a second, for a service without an order and 339 other daemons:
// 0.1 us, and 9.6 us if each tick determines which daemons are heard.
func BenchmarkIdleTick(b *testing.B) {
	coordinator, directory := newSingleCoordinator(rollout.StageCompleted)
	others := make([]string, 339)
	for index := range others {
		others[index] = fmt.Sprintf("10.0.1.%d:1", index)
		coordinator.options.Presence.Heard(others[index], clock.Now())
	}
	coordinator.options.Others, coordinator.options.Count = func() []string { return others }, func() int { return 340 }
	for now := clock.Now(); b.Loop(); now = now.Add(tickInterval) {
		directory.confirmed = now
		coordinator.tick(b.Context(), now)
	}
}

// BenchmarkActiveTick measures a tick, one of 20 a second, for a service with a version under trial and 339 other
// daemons: 0.7 us, and 30 us if each tick ranks the collectors.
func BenchmarkActiveTick(b *testing.B) {
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	others := make([]string, 339)
	for index := range others {
		others[index] = fmt.Sprintf("10.0.1.%d:1", index)
	}
	coordinator.options.Others, coordinator.options.Count = func() []string { return others }, func() int { return 340 }
	for now := clock.Now(); b.Loop(); now = now.Add(tickInterval) {
		directory.confirmed = now
		coordinator.tick(b.Context(), now)
	}
}

// BenchmarkSynchronize measures the part of a tick, one of 20 a second, that holds the lock of the requests'
// choices, for a target under trial with 2,800 back ends: 1.1 us, and 474 us if each tick selects the back ends
// of the trial.
func BenchmarkSynchronize(b *testing.B) {
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	directory.keys = make([]uint64, 2800)
	for index := range directory.keys {
		directory.keys[index] = uint64(index) << 40
	}
	for b.Loop() {
		coordinator.synchronize(clock.Now(), testService, directory.service)
	}
	assert.Equal(b, len(coordinator.traffic(testService).backends), 280)
}

// TestTrialFollowsTheList changes the list of the target's back ends: the trial must use those that are listed.
func TestTrialFollowsTheList(t *testing.T) {
	coordinator, directory := newSingleCoordinator(rollout.StageTrial)
	for _, keys := range [][]uint64{{1, 2, 3, 4, 5, 6}, {7, 8, 9}, {7, 8, 9, 10}, nil, {4, 5, 6}} {
		directory.keys = keys
		coordinator.synchronize(clock.Now(), testService, directory.service)
		got := coordinator.traffic(testService).backends
		assert.Equal(t, len(got), min(len(keys), 3))
		for _, key := range got {
			assert.Assert(t, slices.Contains(keys, key))
		}
	}
}

// TestReportFitsADatagram encodes reports with the evidence of 8 routes and 30 back ends.
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
	parts := splitEvidence(evidence)
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

// TestReportOfManyBackends reports the evidence of a route with 2,800 back ends, as during a shift at a large
// site, and of many routes with long names. Some reports are duplicated, delayed or reordered; the collector must
// end up with all evidence.
func TestReportOfManyBackends(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageShift)
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
	for number, part := range splitEvidence(evidence) {
		message := reportMessage{Service: testService, Order: 5, Incarnation: 1, Number: uint64(number + 1), Routes: part.Routes, Sample: part.StableSample}
		_, fits := link.Encode(peerlink.KindVersionReport, &message)
		assert.Assert(t, fits)
		reports = append(reports, message)
	}
	slices.Reverse(reports)
	for _, message := range append(reports, reports...) {
		coordinator.processReport(clock.Now(), "10.0.0.2:1", message)
	}
	assert.DeepEqual(t, byRoute(coordinator.collectors[testService].pooledEvidence()), byRoute(evidence))
}

func byRoute(evidence rollout.Evidence) map[string]rollout.RouteEvidence {
	routes := map[string]rollout.RouteEvidence{}
	for _, route := range evidence.Routes {
		routes[route.Route] = route
	}
	return routes
}

// BenchmarkCollect measures a collector's work for the reports of 340 daemons in one interval, with 4 routes and
// 11 back ends of the target, each daemon having an answer of one of them: 8.5 ms and 1,615 bytes for each report
// with all evidence, 4.2 to 5.1 ms and 790 bytes with the changes only.
func BenchmarkCollect(b *testing.B) {
	coordinator, _ := newSingleCoordinator(rollout.StageTrial)
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
	reporter := coordinator.reporterOf(testService, 5)
	sent, rounds := 0, 0
	for now := clock.Now(); b.Loop(); now = now.Add(reportInterval) {
		coordinator.tickedAt = now
		rounds++
		answer(rounds%4, rounds%11)
		news := reporter.unreported(now, evidence)
		message := reportMessage{Service: testService, Order: 5, Incarnation: 1, Row: 6, Routes: news.Routes, Sample: news.StableSample}
		datagram, _ := link.Encode(peerlink.KindVersionReport, &message)
		sent += len(datagram)
		for daemon := range 340 {
			var got reportMessage
			assert.NilError(b, msgpack.Unmarshal(datagram[1:], &got))
			got.Number = uint64(now.UnixNano())
			coordinator.processReport(now, fmt.Sprintf("10.0.1.%d:1", daemon), got)
		}
		for look := range 2 {
			coordinator.collectors[testService].changed = true
			coordinator.evaluate(now.Add(time.Duration(look)*evaluationInterval), testService, 5)
		}
	}
	b.ReportMetric(float64(sent)/float64(rounds), "bytes/report")
}

// TestEvidenceIsToldWhenItIsNew checks which routes are reported when: changes immediately, and all evidence so
// often that a new collector has it within its warm-up.
func TestEvidenceIsToldWhenItIsNew(t *testing.T) {
	coordinator, _ := newSingleCoordinator(rollout.StageTrial)
	var evidence rollout.Evidence
	for _, route := range []string{"/a", "/b"} {
		evidence.Note(true, rollout.Answer{Route: route})
		evidence.Note(false, rollout.Answer{Route: route})
	}
	reporter, now := coordinator.reporterOf(testService, 5), clock.Now()
	told := func(after time.Duration) (routes []string, sampled bool) {
		news := reporter.unreported(now.Add(after), evidence)
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
	assert.Assert(t, refreshInterval+reportInterval < warmupTime)
}
