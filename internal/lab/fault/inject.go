package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/lab/process"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/platform"
)

// Limits of single faults.
const (
	labTimeout      = 5 * time.Second
	controlTimeout  = 20 * time.Second
	readyTimeout    = 20 * time.Second
	slowTableMillis = 400
	cutStreams      = 3
	loseEvery       = 2
	// leaveWithin is how long a leaving back end may still get new work.
	leaveWithin = 4 * time.Second
)

// injector applies planned faults. Faults of one daemon or one platform service
// come one after the other; different ones overlap.
type injector struct {
	deployment *process.Deployment
	oracle     *oracle
	daemons    []sync.Mutex
	backends   []sync.Mutex
	platform   sync.Mutex
	// backendLinks and peerLinks are locked while their links have a fault.
	backendLinks []sync.Mutex
	peerLinks    []sync.Mutex
	log          func(format string, arguments ...any)
}

func newInjector(deployment *process.Deployment, judge *oracle, log func(string, ...any)) *injector {
	return &injector{
		deployment: deployment, oracle: judge, log: log,
		daemons:  make([]sync.Mutex, len(deployment.Daemons)),
		backends: make([]sync.Mutex, len(deployment.Backends)),

		backendLinks: make([]sync.Mutex, len(deployment.Backends)),
		peerLinks:    make([]sync.Mutex, len(deployment.Daemons)),
	}
}

// apply carries one fault out and waits until it is over.
func (i *injector) apply(injection Injection) {
	i.oracle.countFault(injection.Kind)
	i.log("%s", injection)
	switch injection.Kind {
	case DaemonKill, DaemonPause, DaemonStop:
		i.applyToDaemon(injection)
	case HerdRestart:
		i.herdRestart()
	case BackendCrash, BackendPause, BackendHang, StreamsCut, BackendDrain:
		i.applyToBackend(injection)
	case OperatorsRace:
		i.operatorsRace(injection)
	case BackendLinkCut, BackendLinkSilent, BackendLinkSlow:
		i.applyToBackendLink(injection)
	case PeerLinkCut, PeerLinkSilent, PeerLinkLoss:
		i.applyToPeerLink(injection)
	case PeersApart:
		i.peersApart(injection)
	default:
		i.applyToPlatform(injection)
	}
}

func (i *injector) applyToDaemon(injection Injection) {
	number := injection.Target % len(i.deployment.Daemons)
	i.daemons[number].Lock()
	defer i.daemons[number].Unlock()
	daemon := i.deployment.Daemons[number]
	began := time.Now()
	switch injection.Kind {
	case DaemonKill:
		daemon.Kill()
		i.restart(daemon)
		i.oracle.excuse(number, began, time.Now())
	case DaemonPause:
		i.check(daemon.Pause())
		time.Sleep(injection.Duration)
		i.check(daemon.Resume())
		// Requests that ran during the pause may time out a little later.
		i.oracle.excuse(number, began, time.Now().Add(time.Second))
	case DaemonStop:
		// A planned stop is no excuse: it must cut nothing.
		if err := daemon.Stop(); err != nil {
			i.oracle.violate("daemon %d did not stop in order: %v", number+1, err)
		}
		i.restart(daemon)
	}
}

// restart starts an ended daemon and waits until it answers at all.
func (i *injector) restart(daemon *process.Daemon) {
	i.check(i.deployment.StartDaemon(daemon))
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if answers("http://" + daemon.Health + "/healthz") {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	i.oracle.violate("%s did not come up within %s", daemon.Plan.ID, readyTimeout)
}

func (i *injector) herdRestart() {
	for number := range i.daemons {
		i.daemons[number].Lock()
		defer i.daemons[number].Unlock()
	}
	began := time.Now()
	for _, daemon := range i.deployment.Daemons {
		daemon.Kill()
	}
	for number, daemon := range i.deployment.Daemons {
		i.restart(daemon)
		i.oracle.excuse(number, began, time.Now())
	}
}

func (i *injector) applyToBackend(injection Injection) {
	number := injection.Target % len(i.deployment.Backends)
	i.backends[number].Lock()
	defer i.backends[number].Unlock()
	target := i.deployment.Backends[number]
	base := "http://" + target.Address
	switch injection.Kind {
	case BackendCrash:
		down := float64(injection.Duration.Milliseconds()) / 2
		i.check(post(base+backend.PathCrash, backend.CrashRequest{DownMilliseconds: down}))
		time.Sleep(injection.Duration)
	case BackendPause:
		i.check(target.Pause())
		time.Sleep(injection.Duration)
		i.check(target.Resume())
	case BackendHang:
		i.check(post(base+backend.PathFaults, backend.Faults{Hang: true}))
		time.Sleep(injection.Duration)
		i.check(post(base+backend.PathFaults, backend.Faults{}))
	case StreamsCut:
		cut := backend.Faults{CutStreams: cutStreams, CutAfterTokens: int(injection.Draw % leastTokens)}
		i.check(post(base+backend.PathFaults, cut))
		time.Sleep(injection.Duration)
		i.check(post(base+backend.PathFaults, backend.Faults{}))
	case BackendDrain:
		i.drain(target)
	}
}

// drain has an operator drain a back end, checks that it gets no new work after
// some seconds, and returns it.
func (i *injector) drain(target *process.Backend) {
	if !i.command("drain backend " + target.Plan.ID) {
		return
	}
	time.Sleep(leaveWithin)
	before, errBefore := runsOf(target)
	time.Sleep(time.Second)
	after, errAfter := runsOf(target)
	if errBefore == nil && errAfter == nil && len(after) > len(before) {
		i.oracle.violate("%s got %d requests more than %s after its drain", target.Plan.ID, len(after)-len(before), leaveWithin)
	}
	i.command("return backend " + target.Plan.ID)
}

// command gives an operator's command and tells whether it was accepted. While
// the table service is down it may not be.
func (i *injector) command(statement string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	output, err := i.deployment.Control(ctx, statement)
	if err != nil {
		i.log("  command %q: %s", statement, output)
	}
	return err == nil
}

// operatorsRace has two operators change the same limits at the same time.
func (i *injector) operatorsRace(injection Injection) {
	tenant := i.deployment.Plan.Document.Tenants[0].Name
	var race sync.WaitGroup
	for operator := range 2 {
		race.Go(func() {
			weight := 1 + (injection.Draw>>operator)%8
			i.command(fmt.Sprintf("set limits of %s weight %d", tenant, weight))
		})
	}
	race.Wait()
}

func (i *injector) applyToPlatform(injection Injection) {
	i.platform.Lock()
	defer i.platform.Unlock()
	faults := platform.Faults{}
	switch injection.Kind {
	case TableOutage:
		faults.Table.Outage = platform.OutageRefuse
	case TableHang:
		faults.Table.Outage = platform.OutageHang
	case TableLostAnswer:
		faults.Table.LoseAnswerEvery = loseEvery
	case TableSlow:
		faults.Table.LatencyMilliseconds = slowTableMillis
	case MachinesFrozen:
		faults.MachinesFrozen = true
	}
	target := i.deployment.PlatformURL + platform.PathLabFaults
	if faults.Table.Outage != "" {
		defer i.oracle.noteTableDown(injection.Duration)()
	}
	i.check(post(target, faults))
	time.Sleep(injection.Duration)
	i.check(post(target, platform.Faults{}))
}

// check reports a fault that could not be injected.
func (i *injector) check(err error) {
	if err != nil {
		i.log("  not injected: %v", err)
	}
}

func post(target string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: labTimeout}
	answer, err := client.Post(target, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", target, answer.Status)
	}
	return nil
}

func answers(target string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(target)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// runsOf reads a back end's record of what ran.
func runsOf(target *process.Backend) ([]backend.Run, error) {
	client := http.Client{Timeout: labTimeout}
	answer, err := client.Get("http://" + target.Address + backend.PathRuns)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var list backend.RunList
	err = json.NewDecoder(answer.Body).Decode(&list)
	return list.Runs, err
}
