// Package relaycost measures what the daemon's relay adds to a streamed answer:
// time to the first token, time for each token, and processor time. In one run
// the same streams go by turns through a daemon, which is a process of its own,
// and directly to the engines.
package relaycost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/lab/address"
	"github.com/lotusward/lotusward/internal/lab/command"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/machine"
	"github.com/lotusward/lotusward/internal/lab/process"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// The deployment of a run.
const (
	modelName     = identity.ModelName("relay")
	modelVersion  = identity.WeightsVersion("1")
	tenantName    = identity.TenantName("north-club")
	serviceName   = identity.ServiceName("relay-llm")
	zoneName      = "rosehill"
	contextTokens = 1 << 20
	startTimeout  = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// Options describe a run.
type Options struct {
	// Streams run at once, of Tokens tokens each, one at every Interval.
	Streams  int
	Tokens   int
	Interval time.Duration
	Engines  int
	// PromptBytes is the size of each prompt.
	PromptBytes int
	// Rounds are made on each path by turns, each for Round.
	Rounds int
	Round  time.Duration
	// Binaries holds the programs; Directory takes settings and logs.
	Binaries  string
	Directory string
}

// bench is a run's deployment.
type bench struct {
	options    Options
	clock      clock
	deployment *process.Deployment
	engines    []string
	// forwarder is a bare hop to the engines, and hops its addresses.
	forwarder *process.Process
	hops      []string
	stop      context.CancelFunc
	serving   sync.WaitGroup
}

// Run starts a deployment, measures and ends it.
func Run(ctx context.Context, options Options) (Report, error) {
	started, err := start(ctx, options)
	if err != nil {
		return Report{}, fmt.Errorf("relay cost: %w", err)
	}
	defer started.close()
	return started.measure(ctx)
}

func start(ctx context.Context, options Options) (*bench, error) {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	deployment, err := process.Run(limited, process.Plan{
		Directory: options.Directory, Binaries: options.Binaries,
		PlatformFlags: []string{"--machine-lag", "0s"},
		Daemons:       []process.DaemonPlan{{ID: "daemon-1", Zone: zoneName}},
		Document:      document(),
	})
	if err != nil {
		return nil, err
	}
	made := &bench{options: options, clock: clock{time.Now()}, deployment: deployment}
	serveContext, stop := context.WithCancel(ctx)
	made.stop = stop
	for number := range options.Engines {
		if err := made.startEngine(serveContext, number); err != nil {
			made.close()
			return nil, err
		}
	}
	err = errors.Join(made.startForwarder(), made.awaitEngines(limited))
	if err != nil {
		made.close()
		return nil, err
	}
	return made, nil
}

// startForwarder starts the bare hop as a process of its own, as the daemon is.
func (b *bench) startForwarder() error {
	hops, err := address.Free(len(b.engines))
	if err != nil {
		return err
	}
	arguments := []string{"forward"}
	for number, engine := range b.engines {
		arguments = append(arguments, "--pair", hops[number]+"="+engine)
	}
	b.hops = hops
	b.forwarder, err = process.Start(b.options.Directory, "forwarder", filepath.Join(b.options.Binaries, "lotuslab"), arguments...)
	return err
}

func document() *dynamic.Document {
	return &dynamic.Document{
		Services: []dynamic.Service{{
			Name: serviceName, Kind: identity.KindEngine, Models: []identity.ModelName{modelName}, ConcurrentLoads: 1,
		}},
		Models:  []dynamic.Model{{Name: modelName, Version: modelVersion, ContextTokens: contextTokens}},
		Tenants: []dynamic.Tenant{{Name: tenantName, KeyHashes: []string{view.HashKey(load.KeyOf(tenantName))}}},
	}
}

func (b *bench) startEngine(ctx context.Context, number int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := identity.BackendID(fmt.Sprintf("engine-%d", number+1))
	loaded := enginewire.LoadedModel{Model: modelName, Version: modelVersion, Ready: true}
	engine := newPacedEngine(id, loaded, b.options.Interval, b.clock)
	// Engines know nothing of each other, so their steps do not come together.
	engine.phase = b.options.Interval * time.Duration(number) / time.Duration(b.options.Engines)
	b.serving.Go(func() { _ = engine.serve(ctx, listener) }) // ends with the context
	b.engines = append(b.engines, listener.Addr().String())
	return command.EnterMachine(ctx, b.deployment.PlatformURL, platformwire.Machine{
		ID: id, Kind: identity.KindEngine, Service: serviceName, Zone: zoneName,
		Address: listener.Addr().String(), State: platformwire.MachineLive,
	})
}

// awaitEngines waits until the daemon sees all engines.
func (b *bench) awaitEngines(ctx context.Context) error {
	for {
		seen, err := b.daemonMetric("lotusward_backends")
		if err == nil && int(seen) == b.options.Engines {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the daemon sees %.0f of %d engines: %w", seen, b.options.Engines, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (b *bench) daemonMetric(name string) (float64, error) {
	return b.deployment.Daemons[0].Metric(name)
}

func (b *bench) close() {
	b.stop()
	b.deployment.Kill()
	if b.forwarder != nil {
		b.forwarder.Kill()
	}
	b.serving.Wait()
}

// measure makes the rounds, the paths by turns after a round of each that does
// not count.
func (b *bench) measure(ctx context.Context) (Report, error) {
	report := Report{
		Direct: newFigures("direct"), Hop: newFigures("through a bare hop"), Relayed: newFigures("through the daemon"),
		LoadBefore: machine.LoadAverage(),
	}
	paths := []path{
		{into: report.Direct, addresses: b.engines},
		{into: report.Hop, addresses: b.hops, process: b.forwarder},
		{
			into: report.Relayed, addresses: []string{b.deployment.Daemons[0].Callers},
			key: load.KeyOf(tenantName), process: b.deployment.Daemons[0].Process,
		},
	}
	for round := range 1 + b.options.Rounds {
		for _, way := range paths {
			if round == 0 {
				way.into = newFigures(way.into.name)
			}
			if err := b.round(ctx, way); err != nil {
				return report, err
			}
		}
	}
	report.LoadAfter = machine.LoadAverage()
	return report, ctx.Err()
}

// round keeps the streams of one path running for a time.
func (b *bench) round(ctx context.Context, way path) error {
	before, err := way.scheduling()
	if err != nil {
		return err
	}
	stalledBefore := machine.CPUStall()
	began := time.Now()
	b.runStreams(ctx, way, began.Add(b.options.Round))
	way.into.took += time.Since(began)
	way.into.stalled += machine.CPUStall() - stalledBefore
	after, err := way.scheduling()
	way.into.ran += after.Ran - before.Ran
	way.into.waited += after.Waited - before.Waited
	return err
}

// runStreams starts the streams evenly over the length of one answer. Each asks
// again when its answer has ended, until the end of the round.
func (b *bench) runStreams(ctx context.Context, way path, until time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: b.options.Streams, DisableCompression: true}
	defer transport.CloseIdleConnections()
	asking := &caller{
		client: &http.Client{Transport: transport}, clock: b.clock,
		prompt: strings.Repeat("lap ", b.options.PromptBytes/bytesPerToken), tokens: b.options.Tokens,
	}
	answerTime := time.Duration(b.options.Tokens) * b.options.Interval
	var streams sync.WaitGroup
	for number := range b.options.Streams {
		streams.Go(func() {
			time.Sleep(answerTime * time.Duration(number) / time.Duration(b.options.Streams))
			address := way.addresses[number%len(way.addresses)]
			for ctx.Err() == nil && time.Now().Before(until) {
				answer, err := asking.ask(ctx, way, address)
				if err == nil {
					err = way.into.add(answer)
				}
				if err != nil {
					way.into.fail(err)
				}
			}
		})
	}
	streams.Wait()
}
