package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	turnsDaemons  = 4
	turnsBackEnds = 6
	turnsEvents   = 12
	turnsPause    = 50 * time.Millisecond
	// turnsInterval is between the beginnings of streams, and turnTime between the turns.
	turnsInterval = 30 * time.Millisecond
	turnTime      = 800 * time.Millisecond
	// turnsLeave is after how many events the callers of every second stream leave, and continue it at the next daemon.
	turnsLeave = 4
	// turnSuspended is how long a daemon is suspended.
	turnSuspended = 700 * time.Millisecond
	// turnsCount has each daemon be killed, suspended and stopped once.
	turnsCount = 3 * turnsDaemons
)

// turnsPlay is a deployment whose daemons are killed, suspended and stopped in turn, beside ends of back ends.
type turnsPlay struct {
	*deployment
	mutex   sync.Mutex
	daemons []*process
	started int
}

// TestStreamsOfOneVersionOutliveDaemonsInTurn guards against refusing streams that only one version can have begun at daemons that
// started lately, from the deployment's first start on, in any era of the store.
func TestStreamsOfOneVersionOutliveDaemonsInTurn(t *testing.T) {
	for _, era := range []int{0, 1, 7} {
		t.Run(fmt.Sprint("era", era), func(t *testing.T) {
			play := &turnsPlay{deployment: newDeployment(t)}
			play.store.SetEra(era)
			for range turnsBackEnds {
				play.addBackEnd()
			}
			play.configure(testKey)
			play.name(1)
			for number := range turnsDaemons {
				play.daemons = append(play.daemons, play.daemon(fmt.Sprint("d", number), true))
			}
			wait := play.take()
			for turn := range turnsCount {
				play.turn(turn)
				time.Sleep(turnTime)
			}
			play.check(wait())
		})
	}
}

func (p *turnsPlay) addBackEnd() {
	p.started++
	id := fmt.Sprint("e", p.started)
	p.keep(standin.NewRunner(p.store, id, "llm", testModel, turnsEvents, turnsPause, standin.WithSoftware("v1"), standin.WithMarkedEvents()))
}

// turn ends or suspends a daemon, and ends a back end in place of which another one starts.
func (p *turnsPlay) turn(number int) {
	at := number % turnsDaemons
	process := p.at(at)
	switch number % 3 {
	case 0:
		_ = process.command.Process.Kill()
		p.replace(at)
	case 1:
		_ = process.command.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(turnSuspended, func() { _ = process.command.Process.Signal(syscall.SIGCONT) })
	case 2:
		process.stop(p.t)
		p.replace(at)
	}
	p.replaceBackEnd(number)
}

// replaceBackEnd ends a back end, in order or once in a round as a crash does: a request that two crashes hit may be quarantined.
func (p *turnsPlay) replaceBackEnd(number int) {
	gone := p.runners[number]
	if number%turnsDaemons == 0 {
		gone.Close()
	} else {
		gone.Drain()
	}
	p.addBackEnd()
	time.AfterFunc(turnTime, func() { p.store.Remove("servers", gone.ID) })
}

// at returns the present daemon of a number.
func (p *turnsPlay) at(number int) *process {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.daemons[number%len(p.daemons)]
}

// replace starts a daemon in place of one that ends.
func (p *turnsPlay) replace(number int) {
	started := p.daemonOf(programOf(p.t, presentBuild), p.at(number).name, false)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.daemons[number] = started
}

// take has callers begin streams until the turns are over, and continue each at the next daemon when it breaks off or they have left.
func (p *turnsPlay) take() (wait func() []takenStream) {
	taken := make([]takenStream, turnsCount*int(turnTime/turnsInterval))
	var running sync.WaitGroup
	running.Go(func() {
		for number := range taken {
			caller := streamCaller{
				name: fmt.Sprintf("%s-%d", strings.ReplaceAll(p.t.Name(), "/", "-"), number), events: turnsEvents, leaveAfter: number % 2 * turnsLeave,
				daemon: func(try int) *process { return p.at(number + try) },
			}
			running.Go(func() { taken[number] = caller.take() })
			time.Sleep(turnsInterval)
		}
	})
	return func() []takenStream {
		running.Wait()
		return taken
	}
}

// check holds that all streams that were taken up went on.
func (p *turnsPlay) check(taken []takenStream) {
	p.t.Helper()
	whole := 0
	for index := range taken {
		stream := &taken[index]
		if stream.whole() {
			whole++
			continue
		}
		p.t.Logf("%s: %d events in %d tries, received %q, refused %q", stream.name, len(stream.events), stream.tries, stream.received, stream.refusals)
	}
	resumed, wentOn, mixed := count(taken)
	p.t.Logf("%d streams, %d whole; %d resumed, %d went on, %d mixed", len(taken), whole, resumed, wentOn, mixed)
	assert.Check(p.t, resumed >= len(taken)/3, "too few: %d of %d streams were taken up", resumed, len(taken))
	assert.Check(p.t, wentOn == resumed, "%d of %d streams that were taken up went on", wentOn, resumed)
	assert.Check(p.t, whole == len(taken), "%d of %d streams are whole", whole, len(taken))
	assert.Equal(p.t, mixed, 0, "streams with events of several software versions")
}
