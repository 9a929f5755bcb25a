// Package cluster runs a whole deployment inside one process on free loopback
// ports: the platform stand-in, stand-in back ends and real daemons. The demo
// and the end-to-end tests use it.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/daemon"
	"github.com/lotusward/lotusward/internal/lab/credential"
	"github.com/lotusward/lotusward/internal/standin/platform"
)

// readyPollInterval is how often AwaitReady looks.
const readyPollInterval = 10 * time.Millisecond

// anyPort lets the operating system choose a free loopback port.
const anyPort = "127.0.0.1:0"

// DaemonOptions describe one daemon.
type DaemonOptions struct {
	ID   identity.DaemonID
	Zone identity.Zone
	// Policy replaces the daemon's scheduler when not nil.
	Policy scheduler.Policy
}

// Options describe a whole deployment.
type Options struct {
	Platform  platform.Options
	Engines   []EngineOptions
	Apps      []AppOptions
	Daemons   []DaemonOptions
	Document  *dynamic.Document
	Operators []static.Operator
	Logger    *logrus.Logger
	// Adjust, when not nil, changes each daemon's settings before it starts.
	Adjust func(settings *static.Settings)
}

// Daemon is a running daemon of a cluster.
type Daemon struct {
	*daemon.Daemon
	Settings *static.Settings
	part
}

// part is something that runs until it is stopped.
type part struct {
	cancel context.CancelFunc
	done   chan error
}

// Stop ends the part in order and waits for it. It may be called once.
func (p part) Stop() error {
	p.cancel()
	err := <-p.done
	close(p.done)
	return err
}

// Cluster is a running deployment.
type Cluster struct {
	Platform    *platform.Server
	PlatformURL string
	Daemons     []*Daemon
	Engines     []*Engine
	Apps        []*App

	options Options
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	seeds   []string
}

// Start starts a deployment and waits until every daemon is ready. The context
// bounds the start alone; Close ends the deployment.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	started := &Cluster{options: options}
	started.context, started.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := started.start(ctx); err != nil {
		started.Close()
		return nil, err
	}
	return started, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, options := range c.options.Engines {
		if _, err := c.StartEngine(options); err != nil {
			return err
		}
	}
	for _, options := range c.options.Apps {
		if _, err := c.StartApp(options); err != nil {
			return err
		}
	}
	for _, options := range c.options.Daemons {
		if _, err := c.StartDaemon(options); err != nil {
			return err
		}
	}
	if err := c.importDocument(ctx); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// AdminURLs returns the base URL of each daemon's administration API.
func (c *Cluster) AdminURLs() []string {
	urls := make([]string, 0, len(c.Daemons))
	for _, running := range c.Daemons {
		urls = append(urls, "http://"+running.Addresses().Admin)
	}
	return urls
}

// CallerAddresses returns the callers' address of each daemon.
func (c *Cluster) CallerAddresses() []string {
	addresses := make([]string, 0, len(c.Daemons))
	for _, running := range c.Daemons {
		addresses = append(addresses, running.Addresses().Callers)
	}
	return addresses
}

// Close stops the daemons in order, and then what they work with: a daemon that
// stops still gives its lease back.
func (c *Cluster) Close() {
	for _, running := range c.Daemons {
		running.cancel()
	}
	for _, running := range c.Daemons {
		<-running.done
	}
	c.cancel()
	c.running.Wait()
}

// launch runs a function as a part of the cluster.
func (c *Cluster) launch(function func(ctx context.Context) error) part {
	ctx, cancel := context.WithCancel(c.context)
	launched := part{cancel: cancel, done: make(chan error, 1)}
	c.running.Go(func() {
		launched.done <- function(ctx)
	})
	return launched
}

func (c *Cluster) startPlatform() error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	c.Platform = platform.New(c.options.Platform)
	c.PlatformURL = "http://" + listener.Addr().String()
	c.launch(func(ctx context.Context) error { return c.Platform.Serve(ctx, listener) })
	return nil
}

// StartDaemon starts one more daemon, which knows the earlier ones as its seeds.
func (c *Cluster) StartDaemon(options DaemonOptions) (*Daemon, error) {
	settings := c.settingsOf(options)
	wired, err := daemon.New(daemon.Options{
		Settings: settings, Logger: c.options.Logger, Policy: options.Policy,
	})
	if err != nil {
		return nil, fmt.Errorf("start daemon %s: %w", options.ID, err)
	}
	c.seeds = append(c.seeds, wired.Addresses().Peer)
	running := c.launch(func(ctx context.Context) error { return runDaemon(ctx, wired) })
	started := &Daemon{Daemon: wired, Settings: settings, part: running}
	c.Daemons = append(c.Daemons, started)
	return started, nil
}

func runDaemon(ctx context.Context, wired *daemon.Daemon) error {
	var group run.Group
	stopContext, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopContext.Done()
		return nil
	}, func(error) { cancel() })
	wired.AddTo(&group)
	return group.Run()
}

func (c *Cluster) settingsOf(options DaemonOptions) *static.Settings {
	settings := static.Default()
	settings.Identity = static.Identity{Daemon: options.ID, Zone: options.Zone, Region: "lab"}
	settings.Listen = static.Listen{Callers: anyPort, Admin: anyPort, Peer: anyPort, Health: anyPort}
	settings.Peers.Seeds = append([]string(nil), c.seeds...)
	settings.Peers.Keys = []static.Key{{Value: credential.PeerKey}}
	settings.Platform = static.Platform{Table: c.PlatformURL, Objects: c.PlatformURL, Machines: c.PlatformURL}
	settings.Operators = c.options.Operators
	if c.options.Adjust != nil {
		c.options.Adjust(settings)
	}
	return settings
}

// importDocument commits the deployment's document as its first change.
func (c *Cluster) importDocument(ctx context.Context) error {
	if c.options.Document == nil || len(c.Daemons) == 0 {
		return nil
	}
	change := dynamic.Change{
		ID: "first-import", Operator: "cluster", At: time.Now(),
		Operation: dynamic.Operation{Replace: c.options.Document},
	}
	_, err := c.Daemons[0].Configuration().Propose(ctx, change)
	return err
}

// AwaitReady waits until every daemon is ready and sees every back end.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	expected := len(c.Engines) + len(c.Apps)
	for _, running := range c.Daemons {
		for !running.seesBackends(expected) {
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), fmt.Errorf("daemon %s is not ready: %v", running.Settings.Identity.Daemon, running.NotReady()))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func (d *Daemon) seesBackends(expected int) bool {
	if len(d.NotReady()) > 0 {
		return false
	}
	ready := 0
	for _, backend := range d.View().Backends {
		if backend.Kind == identity.KindApp || len(backend.Models) > 0 {
			ready++
		}
	}
	return ready >= expected
}
