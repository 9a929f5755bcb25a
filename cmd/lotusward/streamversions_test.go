package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	versionedStreams      = 90
	versionedStreamEvents = 12
	versionedStreamPause  = 20 * time.Millisecond
	// versionedStreamTries bounds a caller's tries at one stream.
	versionedStreamTries = 8
)

// versionedStreamsPlaying bounds the plays at a time.
var versionedStreamsPlaying = make(chan struct{}, 2)

// streamEvent is an event that a caller received, with the software version of the back end that made it.
type streamEvent struct {
	id      int
	version string
}

// takenStream is what a caller received of one stream over all its tries.
type takenStream struct {
	name   string
	length int
	// tries counts the requests, and beganAtOnce is set if the first one brought an event.
	tries       int
	beganAtOnce bool
	events      []streamEvent
	// resumptions counts the tries to continue the stream, and wentOn is set if one brought an event.
	resumptions int
	wentOn      bool
	refusals    []string
	// received says which try brought events, at which daemon and when, and programs are those of these daemons.
	received, programs []string
}

// whole reports whether each event arrived once, in order.
func (s *takenStream) whole() bool {
	if len(s.events) != s.length {
		return false
	}
	for index, event := range s.events {
		if event.id != index+1 {
			return false
		}
	}
	return true
}

// mixed reports whether events of several software versions arrived.
func (s *takenStream) mixed() bool {
	return slices.ContainsFunc(s.events, func(event streamEvent) bool { return event.version != s.events[0].version })
}

// continuedBy reports whether daemons of an earlier build alone, which no change mends, brought events after those of the first try.
func (s *takenStream) continuedBy(build string) bool {
	return build != presentBuild && !slices.Contains(s.programs[1:], os.Args[0])
}

// versionedPlay is a play of streams before back ends of several software versions.
type versionedPlay struct {
	*deployment
	daemons []*process
	engines map[string][]*standin.Runner
}

// versionedCase says how the back ends of a play run, and what happens to its streams.
type versionedCase struct {
	// counts is the number of back ends by software version.
	counts map[string]int
	// interval is between the starts of streams.
	interval time.Duration
	bounds   string
	// cutEverySecond makes back ends cut every second stream.
	cutEverySecond bool
	// leaveAfter is after how many events callers disconnect in their first try; zero means that they stay.
	leaveAfter int
	// otherDaemon makes callers continue at another daemon.
	otherDaemon bool
	// meanwhile is called once a third of the streams have started.
	meanwhile func(play *versionedPlay)
	// settle is the time between the start of the daemons and that of the streams.
	settle time.Duration
	// versionsGone is set if no back end of the versions that began streams remains, so that few can go on.
	versionsGone bool
	// allUsed requires that each version gets streams.
	allUsed bool
}

func (c versionedCase) start(t *testing.T) *versionedPlay {
	t.Helper()
	versionedStreamsPlaying <- struct{}{}
	t.Cleanup(func() { <-versionedStreamsPlaying })
	play := &versionedPlay{deployment: &deployment{t: t, store: standin.NewStore(), bounds: cmp.Or(c.bounds, defaultBounds)}, engines: map[string][]*standin.Runner{}}
	t.Cleanup(play.store.Close)
	for version, count := range c.counts {
		for number := range count {
			id := fmt.Sprintf("e-%s-%d", version, number)
			runner := standin.NewRunner(play.store, id, "llm", testModel, versionedStreamEvents, versionedStreamPause, standin.WithSoftware(version), standin.WithMarkedEvents())
			if c.cutEverySecond {
				runner.Script(slices.Repeat([]standin.Behaviour{standin.BehaveServe, standin.BehaveCut}, versionedStreams)...)
			}
			play.engines[version] = append(play.engines[version], play.keep(runner))
		}
	}
	play.page("p0")
	play.configure(testKey)
	play.name(1)
	for number, zone := range []string{"a", "b", "c"} {
		play.zone = zone
		play.daemons = append(play.daemons, play.daemon(fmt.Sprint("d", number), true))
	}
	time.Sleep(cmp.Or(c.settle, 500*time.Millisecond))
	return play
}

// run plays the streams and returns what their callers received.
func (c versionedCase) run(play *versionedPlay) []takenStream {
	taken := make([]takenStream, versionedStreams)
	var running sync.WaitGroup
	for number := range taken {
		if number == versionedStreams/3 && c.meanwhile != nil {
			running.Go(func() { c.meanwhile(play) })
		}
		running.Go(func() { taken[number] = play.take(number, c) })
		time.Sleep(cmp.Or(c.interval, 15*time.Millisecond))
	}
	running.Wait()
	return taken
}

// take has a caller receive one stream of the play.
func (p *versionedPlay) take(number int, c versionedCase) takenStream {
	taken := streamCaller{
		name: fmt.Sprintf("%s-%d", strings.ReplaceAll(p.t.Name(), "/", "-"), number), events: versionedStreamEvents, leaveAfter: c.leaveAfter,
		daemon: func(try int) *process {
			if c.otherDaemon {
				return p.daemons[(number+try)%len(p.daemons)]
			}
			return p.daemons[number%len(p.daemons)]
		},
	}
	return taken.take()
}

// streamCaller receives one stream, which it continues when it breaks off.
type streamCaller struct {
	name string
	// events is the length of the stream, and leaveAfter after how many events the caller leaves in its first try.
	events, leaveAfter int
	// daemon is the one that a try goes to.
	daemon func(try int) *process
}

func (c streamCaller) take() takenStream {
	got := takenStream{name: c.name, length: c.events}
	beganIn := ""
	for try := range versionedStreamTries {
		id := fmt.Sprintf("%s-try%d", c.name, try)
		sent := call{path: "/stream/x", id: id, body: c.name, header: prompt(fmt.Sprintf("aa:80,%x:20", c.name))}
		if beganIn != "" {
			sent.header["Last-Event-Id"] = strconv.Itoa(got.events[len(got.events)-1].id)
			sent.header["Resumes"] = beganIn
			got.resumptions++
		}
		leaveAfter := 0
		if try == 0 {
			leaveAfter = c.leaveAfter
		}
		got.tries++
		before := len(got.events)
		daemon := c.daemon(try)
		wait := got.receive(daemon, sent, leaveAfter)
		if len(got.events) > before {
			got.received = append(got.received, fmt.Sprintf("%s at %s until %s: %d events of %s", id, daemon.name, time.Now().Format("05.000"), len(got.events)-before, got.events[before].version))
			got.programs = append(got.programs, daemon.command.Path)
			got.wentOn = got.wentOn || beganIn != ""
			got.beganAtOnce = got.beganAtOnce || try == 0
			beganIn = cmp.Or(beganIn, id)
		}
		if got.whole() {
			break
		}
		time.Sleep(wait)
	}
	return got
}

// receive adds the events of one try to a stream. It returns how long to wait before the next try.
func (s *takenStream) receive(daemon *process, sent call, leaveAfter int) time.Duration {
	const pause = 50 * time.Millisecond
	request, cancel, err := daemon.newRequest(daemon.front, testHost, sent)
	if err != nil {
		return pause
	}
	defer cancel()
	leaving, leave := context.WithCancel(request.Context())
	defer leave()
	response, err := http.DefaultClient.Do(request.WithContext(leaving))
	if err != nil {
		return pause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.refusals = append(s.refusals, fmt.Sprintf("%s at %s: %d", sent.id, daemon.name, response.StatusCode))
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return min(max(time.Duration(seconds*float64(time.Second)), pause), time.Second)
	}
	received := 0
	lines := bufio.NewScanner(response.Body)
	var event streamEvent
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "id: "):
			event.id, _ = strconv.Atoi(strings.TrimPrefix(text, "id: "))
		case strings.HasPrefix(text, "data: "):
			event.version = strings.TrimPrefix(text, "data: ")
		case text == "" && event.id > 0:
			s.events = append(s.events, event)
			event = streamEvent{}
			received++
		}
		if leaveAfter > 0 && received == leaveAfter {
			return pause
		}
	}
	return pause
}

// check holds the streams to the rule, and to how many must go on.
func (c versionedCase) check(t *testing.T, taken []takenStream) {
	t.Helper()
	mixed, resumed, wentOn, whole := 0, 0, 0, 0
	versions := map[string]int{}
	for number := range taken {
		stream := &taken[number]
		if len(stream.events) > 0 {
			versions[stream.events[0].version]++
		}
		if stream.whole() {
			whole++
		}
		if len(stream.events) > 0 && stream.mixed() {
			mixed++
		}
		if stream.resumptions == 0 {
			continue
		}
		resumed++
		if stream.wentOn {
			wentOn++
		} else {
			t.Logf("stream %d: %d events, refusals %v", number, len(stream.events), stream.refusals)
		}
	}
	t.Logf("%d of %d streams whole, %d mixed, %d of %d resumed went on, versions %v", whole, len(taken), mixed, wentOn, resumed, versions)
	assert.Equal(t, mixed, 0, "streams with events of several software versions")
	if c.versionsGone {
		return
	}
	assert.Assert(t, float64(wentOn) >= 0.95*float64(resumed), "%d of %d resumed streams went on", wentOn, resumed)
	assert.Assert(t, float64(whole) >= 0.95*float64(len(taken)), "%d of %d streams are whole", whole, len(taken))
	for version, count := range c.counts {
		assert.Assert(t, !c.allUsed || versions[version] > 0, "none of %d back ends of %s got a stream", count, version)
	}
}

// evenVersions are three back ends of each of three software versions.
var evenVersions = map[string]int{"v1": 3, "v1.1": 3, "v1.2": 3}

func versionedCases() map[string]versionedCase {
	return map[string]versionedCase{
		"cut":                       {counts: evenVersions, cutEverySecond: true},
		"cut, one of each":          {counts: map[string]int{"v1": 1, "v1.1": 1, "v1.2": 1}, cutEverySecond: true},
		"crash":                     {counts: evenVersions, meanwhile: func(play *versionedPlay) { play.engines["v1.1"][0].Close() }},
		"same daemon":               {counts: evenVersions, leaveAfter: 4},
		"next daemon":               {counts: evenVersions, leaveAfter: 4, otherDaemon: true},
		"next daemon, nearly full":  {counts: evenVersions, leaveAfter: 4, otherDaemon: true, interval: 4 * time.Millisecond},
		"next daemon, one drains":   {counts: evenVersions, leaveAfter: 4, otherDaemon: true, meanwhile: func(play *versionedPlay) { play.engines["v1.2"][0].Drain() }},
		"uneven, next daemon":       {counts: map[string]int{"v1": 2, "v2": 5, "v10": 2}, leaveAfter: 4, otherDaemon: true},
		"killed daemon":             {counts: evenVersions, otherDaemon: true, meanwhile: func(play *versionedPlay) { _ = play.daemons[1].command.Process.Kill() }},
		"roll-outs, cut":            {counts: evenVersions, bounds: rolloutBounds, cutEverySecond: true, settle: unorderedSettle, allUsed: true},
		"roll-outs, next daemon":    {counts: evenVersions, bounds: rolloutBounds, leaveAfter: 4, otherDaemon: true, settle: unorderedSettle, allUsed: true},
		"next daemon, list changes": {counts: map[string]int{"v1": 3}, leaveAfter: 4, otherDaemon: true, meanwhile: func(play *versionedPlay) { play.add("v2", 3) }},
	}
}

// unorderedSettle is longer than versions without an order must have been listed to get requests.
const unorderedSettle = 13 * time.Second

// add starts back ends of another software version.
func (p *versionedPlay) add(version string, count int) {
	for number := range count {
		p.keep(standin.NewRunner(p.store, fmt.Sprintf("e-%s-%d", version, number), "llm", testModel, versionedStreamEvents, versionedStreamPause, standin.WithSoftware(version), standin.WithMarkedEvents()))
	}
}

// TestStreamsKeepTheirSoftwareVersion plays streams before back ends of several software versions: they break off, or their callers
// do and continue them at another daemon. No stream has events of two versions.
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, played := range versionedCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := played.start(t)
			played.check(t, played.run(play))
		})
	}
}

// TestRestartedBackEndsContinueNoStreamOfAnotherVersion restarts all back ends under their names with another software version,
// which their rows tell a second later. No stream that the earlier version began is continued there.
func TestRestartedBackEndsContinueNoStreamOfAnotherVersion(t *testing.T) {
	t.Parallel()
	for name, leaveAfter := range map[string]int{"continued by the daemon": 0, "continued by the caller": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			played := versionedCase{counts: map[string]int{"v1": 4}, leaveAfter: leaveAfter, otherDaemon: true, versionsGone: true, meanwhile: func(play *versionedPlay) {
				for _, engine := range play.engines["v1"] {
					engine.RestartAs("v2", time.Second)
				}
			}}
			played.check(t, played.run(played.start(t)))
		})
	}
}
