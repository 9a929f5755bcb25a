package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// apartTime is how long streams run while a daemon is apart before callers continue them there, and healTime how much longer the
	// store is silent to it.
	apartTime = 1400 * time.Millisecond
	healTime  = 1500 * time.Millisecond
	// apartStreams is how many streams begin at the other daemons meanwhile.
	apartStreams = 24
)

// apartBounds are those of deployments that pass requests on for some seconds after they last confirmed their configuration.
const apartBounds = `
  contactMs: 3000
  drainMs: 2000
  graceS: 8
  configApplyMs: 8000
  revokeFailClosed: true
  revokeMs: 8000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 54
  leaseMs: 3000
  versionMs: 8000
`

// apartPlay has one daemon apart from the others and from the store while back ends of a second version are listed.
type apartPlay struct {
	daemons int
	// asleep has the daemon that is apart stand still, and others says what becomes of the other ones.
	asleep bool
	others othersFate
	// silent makes the store silent to all once streams have begun.
	silent bool
}

// othersFate is what becomes of the daemons at which the streams began.
type othersFate int

const (
	othersKilled othersFate = iota
	// othersApart go on, and the streams break off there.
	othersApart
	// othersRestarted are killed and start again at once.
	othersRestarted
)

func apartPlays() map[string]apartPlay {
	return map[string]apartPlay{
		"asleep with others killed":                            {daemons: 3, asleep: true},
		"asleep with others killed and two daemons":            {daemons: 2, asleep: true},
		"asleep with others killed and four daemons":           {daemons: 4, asleep: true},
		"asleep with others restarted":                         {daemons: 3, asleep: true, others: othersRestarted},
		"asleep with others restarted and store silent":        {daemons: 3, asleep: true, others: othersRestarted, silent: true},
		"asleep with others killed and store silent":           {daemons: 3, asleep: true, silent: true},
		"awake with others killed":                             {daemons: 3},
		"awake with others alive":                              {daemons: 3, others: othersApart},
		"awake with others alive and store silent":             {daemons: 3, others: othersApart, silent: true},
		"awake with others killed and four daemons and silent": {daemons: 4, silent: true},
	}
}

// TestDaemonApartContinuesNoStreamAtAnotherVersion guards against a daemon that stood still or was cut off taking the versions that
// it lists for all that have begun streams.
func TestDaemonApartContinuesNoStreamAtAnotherVersion(t *testing.T) {
	t.Parallel()
	for name, play := range apartPlays() {
		t.Run(name, func(t *testing.T) { play.run(t) })
	}
}

func (p apartPlay) run(t *testing.T) {
	fleet := newApartFleet(t, p.daemons)
	fleet.putReaderFirst()
	apart, others := fleet.daemons[p.daemons-1], fleet.daemons[:p.daemons-1]
	fleet.separate(apart, p.asleep)
	fleet.addV2()
	for _, each := range others {
		poll.WaitOn(t, lists(each, "e-v2-"), poll.WithTimeout(5*time.Second))
	}
	wait := fleet.takeApart(p, apart, others)
	time.Sleep(apartTime)
	if p.silent {
		fleet.store.SetTrouble(standin.TroubleSilent)
	}
	fleet.endOthers(p.others)
	if p.asleep {
		assert.NilError(t, apart.command.Process.Signal(syscall.SIGCONT))
	}
	close(fleet.restarted)
	time.Sleep(healTime)
	fleet.store.SetTrouble(standin.TroubleNone)
	apart.gateway.Heal()
	apart.unmute(t)
	taken := wait()
	resumed, wentOn, mixed := count(taken)
	began := map[string]int{}
	for index := range taken {
		stream := &taken[index]
		if len(stream.events) > 0 {
			began[stream.events[0].version]++
		}
		if len(stream.events) > 0 && stream.mixed() {
			t.Logf("mixed: %s: %q, refused %q", stream.name, stream.received, stream.refusals)
		}
	}
	t.Logf("%d resumed, %d went on, %d mixed; began %v", resumed, wentOn, mixed, began)
	assert.Check(t, began["v2"] > 0, "no stream began at v2")
	assert.Check(t, resumed == apartStreams, "%d of %d streams were taken up", resumed, apartStreams)
	assert.Check(t, mixed == 0, "%d streams have events of several software versions", mixed)
}

// newApartFleet starts daemons whose connections to the store can be cut, before two back ends of v1.
func newApartFleet(t *testing.T, daemons int) *killedFleet {
	t.Helper()
	fleet := &killedFleet{deployment: newDeployment(t), restarted: make(chan struct{}), build: programOf(t, presentBuild)}
	fleet.gateways, fleet.muted, fleet.bounds = true, true, apartBounds
	fleet.addEngine("e-v1-1", "v1")
	fleet.addEngine("e-v1-2", "v1")
	fleet.reached.Clear()
	fleet.reached.Store(fleet.store.Address(), true)
	fleet.configure(testKey)
	fleet.name(1)
	for number := range daemons {
		fleet.daemons = append(fleet.daemons, fleet.daemonOf(fleet.build, fmt.Sprint("d", number), false))
	}
	fleet.awaitReady()
	time.Sleep(2 * time.Second)
	return fleet
}

// putReaderFirst orders the daemons so that the last one does not read the store for all.
func (f *killedFleet) putReaderFirst() {
	reader := slices.IndexFunc(f.daemons, func(each *process) bool {
		log := each.log()
		return strings.LastIndex(log, "This daemon reads the store for all.") > strings.LastIndex(log, "Another daemon reads the store for all.")
	})
	assert.Assert(f.t, reader >= 0, "no daemon reads the store")
	f.daemons[0], f.daemons[reader] = f.daemons[reader], f.daemons[0]
}

// separate cuts a daemon off from the store and from the others.
func (f *killedFleet) separate(apart *process, asleep bool) {
	apart.mute(f.t)
	apart.gateway.CutOff(standin.CutSilent)
	if asleep {
		assert.NilError(f.t, apart.command.Process.Signal(syscall.SIGSTOP))
	}
}

func (f *killedFleet) addV2() {
	for number := range 4 {
		f.keep(standin.NewRunner(f.store, fmt.Sprint("e-v2-", number), "llm", testModel, outlastingEvents, outlastingPause, standin.WithSoftware("v2"), standin.WithMarkedEvents()))
	}
	f.reached.Clear()
	f.reached.Store(f.store.Address(), true)
}

// lists reports whether a daemon has logged that it lists back ends with a prefix.
func lists(daemon *process, prefix string) poll.Check {
	return func(poll.LogT) poll.Result {
		if strings.Contains(daemon.log(), `"added":["`+prefix) {
			return poll.Success()
		}
		return poll.Continue("%s does not list %s", daemon.name, prefix)
	}
}

// takeApart has callers begin streams at the other daemons, and continue them at the one that is apart.
func (f *killedFleet) takeApart(play apartPlay, apart *process, others []*process) (wait func() []takenStream) {
	taken := make([]takenStream, apartStreams)
	var running sync.WaitGroup
	for number := range taken {
		caller := streamCaller{
			name: fmt.Sprintf("%s-%d", strings.ReplaceAll(f.t.Name(), "/", "-"), number), events: outlastingEvents,
			daemon: func(try int) *process {
				if try == 0 {
					return others[number%len(others)]
				}
				<-f.restarted
				return apart
			},
		}
		if play.others == othersApart {
			caller.leaveAfter = leftAfter
		}
		running.Go(func() { taken[number] = caller.take() })
	}
	return func() []takenStream {
		running.Wait()
		return taken
	}
}

// endOthers ends all daemons but the last.
func (f *killedFleet) endOthers(fate othersFate) {
	if fate == othersApart {
		return
	}
	others := f.daemons[:len(f.daemons)-1]
	for _, each := range others {
		_ = each.command.Process.Kill()
	}
	for index, each := range others {
		<-each.ended
		if fate != othersKilled {
			others[index] = f.daemonOf(f.build, each.name, false)
		}
	}
}
