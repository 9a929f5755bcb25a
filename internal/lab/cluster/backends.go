package cluster

import (
	"context"
	"net"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/address"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// EngineOptions describe one stand-in engine.
type EngineOptions struct {
	engine.Options
	Service identity.ServiceName
	Zone    identity.Zone
}

// AppOptions describe one stand-in web-app runner.
type AppOptions struct {
	app.Options
	Service identity.ServiceName
	Zone    identity.Zone
}

// Engine is a running stand-in engine.
type Engine struct {
	*engine.Engine
	Machine platformwire.Machine
	part
}

// App is a running stand-in web-app runner.
type App struct {
	*app.Runner
	Machine platformwire.Machine
	part
}

// StartEngine starts one more stand-in engine and enters it into the machine list.
func (c *Cluster) StartEngine(options EngineOptions) (*Engine, error) {
	listener, err := address.Listen()
	if err != nil {
		return nil, err
	}
	options.WeightStore = c.PlatformURL
	machine := c.list(options.ID, identity.KindEngine, options.Service, options.Zone, listener)
	standIn := engine.New(options.Options)
	running := c.launch(func(ctx context.Context) error { return standIn.Serve(ctx, listener) })
	started := &Engine{Engine: standIn, Machine: machine, part: running}
	c.Engines = append(c.Engines, started)
	return started, nil
}

// StartApp starts one more stand-in web-app runner and enters it into the
// machine list.
func (c *Cluster) StartApp(options AppOptions) (*App, error) {
	listener, err := address.Listen()
	if err != nil {
		return nil, err
	}
	machine := c.list(options.ID, identity.KindApp, options.Service, options.Zone, listener)
	standIn := app.New(options.Options)
	running := c.launch(func(ctx context.Context) error { return standIn.Serve(ctx, listener) })
	started := &App{Runner: standIn, Machine: machine, part: running}
	c.Apps = append(c.Apps, started)
	return started, nil
}

// list enters a back end into the machine list.
func (c *Cluster) list(id identity.BackendID, kind identity.BackendKind, service identity.ServiceName, zone identity.Zone, listener net.Listener) platformwire.Machine {
	machine := platformwire.Machine{
		ID: id, Kind: kind, Service: service, Zone: zone,
		Address: listener.Addr().String(), State: platformwire.MachineLive,
	}
	c.Platform.PutMachine(machine)
	return machine
}
