package main

import (
	"cmp"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// Streams that outlast the time in which all daemons are killed and started again.
	outlastingEvents  = 30
	outlastingPause   = 100 * time.Millisecond
	outlastingStreams = 16
)

// killedFleet is a deployment whose daemons are all killed while callers receive streams.
type killedFleet struct {
	*deployment
	daemons []*process
	// restarted is closed once the daemons that replace the killed ones are ready.
	restarted chan struct{}
	// build is the program of daemons that start.
	build string
	// size is the number of daemons; zero is three.
	size int
}

func newKilledFleet(t *testing.T) *killedFleet { return newKilledFleetOf(t, presentBuild) }

// newKilledFleetOf starts daemons of a build before one back end of v1.
func newKilledFleetOf(t *testing.T, build string) *killedFleet {
	t.Helper()
	fleet := &killedFleet{deployment: newDeployment(t), restarted: make(chan struct{}), build: programOf(t, build)}
	fleet.addEngine("e-v1", "v1")
	fleet.configure(testKey)
	fleet.name(1)
	fleet.startDaemons()
	return fleet
}

func (f *killedFleet) addEngine(id, version string) *standin.Runner {
	return f.keep(standin.NewRunner(f.store, id, "llm", testModel, outlastingEvents, outlastingPause, standin.WithSoftware(version), standin.WithMarkedEvents()))
}

// moveToV2 lists back ends of v2 a moment after streams began at v1, and takes the row of v1 away.
func (f *killedFleet) moveToV2() {
	time.Sleep(300 * time.Millisecond)
	f.addEngine("e-v2-1", "v2")
	f.addEngine("e-v2-2", "v2")
	time.Sleep(300 * time.Millisecond)
	f.store.Remove("servers", "e-v1")
	time.Sleep(400 * time.Millisecond)
}

func (f *killedFleet) startDaemons() {
	f.daemons = nil
	for number := range cmp.Or(f.size, 3) {
		f.daemons = append(f.daemons, f.daemonOf(f.build, fmt.Sprint("d", number), false))
	}
	f.awaitReady()
}

func (f *killedFleet) awaitReady() {
	f.t.Helper()
	for _, each := range f.daemons {
		poll.WaitOn(f.t, readyIs(each, true), poll.WithTimeout(10*time.Second))
	}
}

// take has callers receive streams, each of which continues at another daemon once the daemons have started again.
func (f *killedFleet) take() (wait func() []takenStream) {
	taken, first := make([]takenStream, outlastingStreams), f.daemons
	var running sync.WaitGroup
	for number := range taken {
		caller := streamCaller{
			name: fmt.Sprintf("%s-%d", strings.ReplaceAll(f.t.Name(), "/", "-"), number), events: outlastingEvents,
			daemon: func(try int) *process {
				if try == 0 {
					return first[number%len(first)]
				}
				<-f.restarted
				return f.daemons[(number+try)%len(f.daemons)]
			},
		}
		running.Go(func() { taken[number] = caller.take() })
	}
	return func() []takenStream {
		running.Wait()
		return taken
	}
}

// killAll kills all daemons and starts as many.
func (f *killedFleet) killAll() {
	for _, each := range f.daemons {
		_ = each.command.Process.Kill()
	}
	for _, each := range f.daemons {
		<-each.ended
	}
	f.startDaemons()
	close(f.restarted)
}

// count returns how many streams were resumed, how many of these went on, and how many have events of several versions.
func count(taken []takenStream) (resumed, wentOn, mixed int) {
	for index := range taken {
		stream := &taken[index]
		if stream.resumptions > 0 {
			resumed++
		}
		if stream.wentOn {
			wentOn++
		}
		if len(stream.events) > 0 && stream.mixed() {
			mixed++
		}
	}
	return resumed, wentOn, mixed
}

// TestNoStreamChangesItsVersionAfterAllDaemonsWereKilled guards against daemons that have all just started taking the only version
// listed since for the one that began a stream.
func TestNoStreamChangesItsVersionAfterAllDaemonsWereKilled(t *testing.T) {
	fleet := newKilledFleet(t)
	wait := fleet.take()
	fleet.moveToV2()
	fleet.killAll()
	resumed, wentOn, mixed := count(wait())
	t.Logf("%d resumed, %d went on, %d mixed", resumed, wentOn, mixed)
	assert.Equal(t, resumed, outlastingStreams)
	assert.Equal(t, mixed, 0, "streams with events of several software versions")
}

// TestStreamsOfOneVersionGoOnAfterAllDaemonsWereKilled guards against refusing streams whose service never had another version.
func TestStreamsOfOneVersionGoOnAfterAllDaemonsWereKilled(t *testing.T) {
	fleet := newKilledFleet(t)
	fleet.addEngine("e-v1-2", "v1")
	fleet.checkAllGoOn(t)
}

// checkAllGoOn begins streams, kills all daemons, and holds that all streams go on.
func (f *killedFleet) checkAllGoOn(t *testing.T) {
	t.Helper()
	wait := f.take()
	time.Sleep(time.Second)
	f.killAll()
	resumed, wentOn, mixed := count(wait())
	t.Logf("%d resumed, %d went on, %d mixed", resumed, wentOn, mixed)
	assert.Equal(t, resumed, outlastingStreams)
	assert.Equal(t, wentOn, outlastingStreams)
	assert.Equal(t, mixed, 0)
}

// TestStreamsOfOneVersionGoOnInAnyEraOfTheStore guards against refusing them because the store was restored before the deployment's
// first start.
func TestStreamsOfOneVersionGoOnInAnyEraOfTheStore(t *testing.T) {
	for _, era := range []int{0, 1, 7} {
		t.Run(fmt.Sprint("era", era), func(t *testing.T) {
			fleet := &killedFleet{deployment: newDeployment(t), restarted: make(chan struct{}), build: programOf(t, presentBuild)}
			fleet.store.SetEra(era)
			fleet.addEngine("e-v1-1", "v1")
			fleet.addEngine("e-v1-2", "v1")
			fleet.configure(testKey)
			fleet.name(1)
			fleet.startDaemons()
			time.Sleep(2 * time.Second)
			fleet.checkAllGoOn(t)
		})
	}
}

// TestStreamsOfSeveralVersionsGoOnAfterAllDaemonsWereKilled guards against refusing all streams of a service with several versions
// because no daemon is left that remembers them.
func TestStreamsOfSeveralVersionsGoOnAfterAllDaemonsWereKilled(t *testing.T) {
	for name, daemons := range map[string]int{"three daemons": 3, "one daemon": 1} {
		t.Run(name, func(t *testing.T) {
			fleet := &killedFleet{deployment: newDeployment(t), restarted: make(chan struct{}), build: programOf(t, presentBuild), size: daemons}
			for number := range 2 {
				fleet.addEngine(fmt.Sprint("e-v1-", number), "v1")
				fleet.addEngine(fmt.Sprint("e-v2-", number), "v2")
			}
			fleet.configure(testKey)
			fleet.name(1)
			fleet.startDaemons()
			fleet.checkAllGoOn(t)
		})
	}
}
