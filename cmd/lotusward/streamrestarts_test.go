package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// lateRow is how long after back ends restart in these plays their rows tell so.
	lateRow = time.Second
	// leftAfter is after how many events callers leave, and continue their streams at another daemon.
	leftAfter = 2
)

// newRestartFleet starts daemons, each behind a gateway, before back ends of some software versions, named e0, e1 and so on.
func newRestartFleet(t *testing.T, versions ...string) (*killedFleet, []*standin.Runner) {
	t.Helper()
	fleet := &killedFleet{deployment: newDeployment(t), restarted: make(chan struct{}), build: programOf(t, presentBuild)}
	fleet.gateways = true
	var engines []*standin.Runner
	for number, version := range versions {
		engines = append(engines, fleet.addEngine(fmt.Sprint("e", number), version))
	}
	fleet.configure(testKey)
	fleet.name(1)
	fleet.startDaemons()
	return fleet, engines
}

// takeAt has callers receive the beginnings of streams at one daemon, each of which they continue at another one.
func (f *killedFleet) takeAt(begin, resume func() *process) (wait func() []takenStream) {
	taken := make([]takenStream, outlastingStreams)
	var running sync.WaitGroup
	for number := range taken {
		caller := streamCaller{
			name: fmt.Sprintf("%s-%d", strings.ReplaceAll(f.t.Name(), "/", "-"), number), events: outlastingEvents, leaveAfter: leftAfter,
			daemon: func(try int) *process {
				if try == 0 {
					return begin()
				}
				<-f.restarted
				return resume()
			},
		}
		running.Go(func() { taken[number] = caller.take() })
	}
	return func() []takenStream {
		running.Wait()
		return taken
	}
}

// checkUnmixed holds that no stream has events of several versions, and that those that began at back ends which did not restart go on.
func (f *killedFleet) checkUnmixed(taken []takenStream, surely string) {
	f.t.Helper()
	resumed, wentOn, mixed := count(taken)
	began, whole := map[string]int{}, map[string]int{}
	for index := range taken {
		stream := &taken[index]
		if len(stream.events) == 0 {
			continue
		}
		began[stream.events[0].version]++
		if stream.whole() {
			whole[stream.events[0].version]++
		}
		if stream.mixed() {
			f.t.Logf("mixed: %s: %q, refused %q", stream.name, stream.received, stream.refusals)
		}
	}
	f.t.Logf("%d resumed, %d went on, %d mixed; began %v, whole %v", resumed, wentOn, mixed, began, whole)
	assert.Check(f.t, mixed == 0, "%d streams have events of several software versions", mixed)
	assert.Check(f.t, whole[surely] == began[surely], "%d of %d streams of %s are whole", whole[surely], began[surely], surely)
	assert.Check(f.t, began[surely] > 0 && began[surely] < len(taken), "the play did not begin streams of both versions: %v", began)
}

// TestStarterContinuesNoStreamOfARestartedBackEnd guards against taking the row that a back end had when it began a stream for its
// version, at a daemon that started after the back end's restart was listed.
func TestStarterContinuesNoStreamOfARestartedBackEnd(t *testing.T) {
	for name, versions := range map[string][]string{"one version": {"v1", "v1"}, "two versions": {"v1", "v1", "v2"}} {
		t.Run(name, func(t *testing.T) {
			fleet, engines := newRestartFleet(t, versions...)
			engines[0].RestartAs("v1.1", lateRow)
			var starter *process
			wait := fleet.takeAt(func() *process { return fleet.daemons[0] }, func() *process { return starter })
			time.Sleep(lateRow + 500*time.Millisecond)
			_ = fleet.daemons[1].command.Process.Kill()
			starter = fleet.daemon("d1", true)
			close(fleet.restarted)
			fleet.checkUnmixed(wait(), "v1")
		})
	}
}

// TestDaemonWithoutLinksContinuesNoStreamAtARestartedBackEnd guards against continuing streams at back ends that restarted as another
// version, through another daemon, by a daemon that can't ask them.
func TestDaemonWithoutLinksContinuesNoStreamAtARestartedBackEnd(t *testing.T) {
	fleet, engines := newRestartFleet(t, "v1", "v1", "v2")
	cutOff := fleet.daemons[2]
	wait := fleet.takeAt(func() *process { return fleet.daemons[0] }, func() *process { return cutOff })
	time.Sleep(500 * time.Millisecond)
	cutOff.gateway.CutOff(standin.CutReset)
	engines[0].RestartAs("v2", lateRow)
	engines[2].RestartAs("v1", lateRow)
	close(fleet.restarted)
	fleet.checkUnmixed(wait(), "v1")
}

// TestDaemonWithoutLinksContinuesNoStreamOfARestartedBackEnd guards against taking a back end that can't be asked for the one that was
// listed when a stream began there.
func TestDaemonWithoutLinksContinuesNoStreamOfARestartedBackEnd(t *testing.T) {
	fleet, engines := newRestartFleet(t, "v1", "v1", "v2")
	cutOff := fleet.daemons[2]
	cutOff.gateway.CutOff(standin.CutReset)
	engines[0].RestartAs("v1.1", lateRow)
	wait := fleet.takeAt(func() *process { return fleet.daemons[0] }, func() *process { return cutOff })
	time.Sleep(leftAfter*outlastingPause + 200*time.Millisecond)
	close(fleet.restarted)
	fleet.checkUnmixed(wait(), "v1")
}
