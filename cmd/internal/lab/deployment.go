package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/lotusward/lotusward/cmd/internal/daemon"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/eventlog"
	"github.com/lotusward/lotusward/internal/freeport"
	"github.com/lotusward/lotusward/platform"
	"github.com/lotusward/lotusward/platform/standin"
)

// Names in the deployments.
const (
	host  = "127.0.0.1"
	key   = "demo-key"
	model = "m"
)

const (
	daemons = 3
	// pages is how many runners serve requests without a prompt.
	pages = 2
	slots = 16
	// tokenTime is the pause before each event of an answer.
	tokenTime = 4 * time.Millisecond
	// readyTimeout bounds the wait for daemons that start.
	readyTimeout = 15 * time.Second
)

// Deployment is some daemons before stand-ins, in this process.
type Deployment struct {
	fleet     *standin.Fleet
	store     *standin.Store
	runners   []*standin.Runner
	addresses []string
	openAI    string
	admin     string
	stop      []func()
	// failures has the errors of daemons that ended by themselves, one each at most.
	failures chan error
}

// AdminToken authenticates operators of the deployments here.
const AdminToken = "demo-token"

// Start starts a deployment of a scenario, with a placement.
func Start(scenario Scenario, placement backendpool.Placement) (*Deployment, error) {
	made := &Deployment{fleet: standin.NewFleet(), store: standin.NewStore(), failures: make(chan error, daemons)}
	made.declare(scenario)
	for number := range scenario.engines {
		runner := standin.NewRunner(made.store, fmt.Sprintf("engine-%d", number), "llm", model, 1, tokenTime)
		runner.Use(standin.EngineOptions{
			ReadTokensPerMs: scenario.readTokensPerMs, Slots: slots, CapacityTokens: scenario.capacityTokens,
		}, made.fleet)
		made.runners = append(made.runners, runner)
	}
	for number := range pages {
		made.runners = append(made.runners, standin.NewRunner(made.store, fmt.Sprintf("page-%d", number), "pages", "", 0, 0))
	}
	var all []*daemon.Daemon
	for number := range daemons {
		started, err := made.startDaemon(number, placement)
		if err != nil {
			made.Stop()
			return nil, err
		}
		all = append(all, started)
	}
	if err := made.awaitReady(all); err != nil {
		made.Stop()
		return nil, err
	}
	return made, nil
}

// declare writes what operators declare.
func (d *Deployment) declare(scenario Scenario) {
	declared := standin.Declaration{
		Pages: "pages", Engines: "llm", Model: model, Slots: slots, CapacityTokens: scenario.capacityTokens, Tenant: "demo", Key: key,
	}
	for index, kind := range scenario.classes {
		route := standin.Route{
			Name: fmt.Sprint("route-", index), Host: host, PathPrefix: kind.path, Kind: "unsafe", Service: declared.Pages,
			Timeout: deadline, Target: kind.target, Priority: index,
		}
		if kind.prompt() {
			route.Kind, route.Service = "streaming", declared.Engines
		}
		declared.Routes = append(declared.Routes, route)
	}
	declared.Routes = append(declared.Routes, standin.Route{
		Name: "openai", Host: host, PathPrefix: "/v1/", Kind: "streaming", Service: declared.Engines, Timeout: deadline, Target: time.Second,
	})
	d.store.Declare(declared)
}

// startDaemon starts a daemon on free ports; the first one has the interfaces for
// OpenAI clients and operators.
func (d *Deployment) startDaemon(number int, placement backendpool.Placement) (*daemon.Daemon, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	settings := settingsOf(d.store.Address(), number, ports)
	writer := eventlog.NewWriter(io.Discard)
	logger, err := eventlog.NewLogger(writer)
	if err != nil {
		return nil, err
	}
	options := daemon.Options{Logger: logger, Writer: writer, Placement: placement, AdminToken: AdminToken}
	if number == 0 {
		options.OpenAIPort, options.AdminPort = ports[3], ports[4]
		d.openAI, d.admin = freeport.Address(ports[3]), freeport.Address(ports[4])
	}
	made := daemon.New(settings, options)
	d.addresses = append(d.addresses, settings.Listen.Front)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d.stop = append(d.stop, func() {
		cancel()
		<-ended
		writer.Stop(time.Second)
	})
	var group run.Group
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	made.AddTo(&group)
	go func() {
		defer close(ended)
		if err := group.Run(); err != nil {
			d.failures <- fmt.Errorf("daemon-%d: %w", number, err)
		}
	}()
	return made, nil
}

func settingsOf(store string, number int, ports []int) platform.Settings {
	return platform.Settings{
		NodeName: identity.DaemonID(fmt.Sprint("daemon-", number)), IP: host, Zone: "a", FirstStart: true,
		Listen:        platform.Listen{Front: freeport.Address(ports[0]), Ready: freeport.Address(ports[1])},
		InternalPorts: []int{ports[2]},
		Store:         platform.StoreSettings{Address: store},
		Bounds: platform.Bounds{
			ContactMs: 3000, GraceS: 0.8, ConfigApplyMs: 2000, RevokeFailClosed: true, RevokeMs: 5000, RetryBudgetRatio: 0.2,
			BudgetWindowS: 10, RetryBudgetSlack: 54, LeaseMs: 3000, VersionMs: 8000, FencingRequired: true,
		},
	}
}

// freePorts returns ports on which nobody listens.
func freePorts(count int) ([]int, error) {
	ports := make([]int, count)
	for index := range ports {
		port, err := freeport.Choose()
		if err != nil {
			return nil, err
		}
		ports[index] = port
	}
	return ports, nil
}

// awaitReady waits until all daemons are ready, or one has ended by itself.
func (d *Deployment) awaitReady(all []*daemon.Daemon) error {
	until := time.Now().Add(readyTimeout)
	for _, each := range all {
		for !each.Ready() {
			select {
			case err := <-d.failures:
				return err
			case <-time.After(10 * time.Millisecond):
			}
			if time.Now().After(until) {
				return errors.New("the daemons are not ready in time")
			}
		}
	}
	return nil
}

// Stop ends the daemons in order, and the stand-ins.
func (d *Deployment) Stop() {
	for _, stop := range d.stop {
		stop()
	}
	for _, runner := range d.runners {
		runner.Close()
	}
	d.store.Close()
	http.DefaultClient.CloseIdleConnections()
}
