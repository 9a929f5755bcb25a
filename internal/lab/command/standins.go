// Package command holds the subcommands of lotuslab: the stand-ins as separate
// processes, load, experiments and the demo.
package command

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// registerTimeout bounds one attempt to enter a machine into the list.
const registerTimeout = 5 * time.Second

// Platform runs the platform stand-in.
type Platform struct {
	Listen            string        `long:"listen" value-name:"IP:PORT" required:"true" description:"Address to serve on"`
	Latency           time.Duration `long:"latency" description:"Added latency of the table and object store" default:"2ms"`
	RequestsPerSecond float64       `long:"requests-per-second" description:"Rate limit of the table service; 0 means none"`
	MachineLag        time.Duration `long:"machine-lag" description:"Lag of the machine list" default:"1s"`
	WeightTime        time.Duration `long:"weight-time" description:"Time of one fetch of weights" default:"500ms"`
	WeightConcurrency int           `long:"weight-concurrency" description:"Fetches of weights at full speed" default:"3"`
}

// Execute implements flags.Commander.
func (c *Platform) Execute([]string) error {
	latency := float64(c.Latency) / float64(time.Millisecond)
	server := platform.New(platform.Options{Faults: platform.Faults{
		Table: platform.ServiceFaults{
			LatencyMilliseconds: latency,
			RequestsPerSecond:   c.RequestsPerSecond,
			Burst:               int(c.RequestsPerSecond),
		},
		Objects:                platform.ServiceFaults{LatencyMilliseconds: latency},
		MachineLagMilliseconds: float64(c.MachineLag) / float64(time.Millisecond),
		WeightMilliseconds:     float64(c.WeightTime) / float64(time.Millisecond),
		WeightConcurrency:      c.WeightConcurrency,
	}})
	return serveUntilSignal(c.Listen, "platform", server.Serve)
}

// Backend holds the flags that engines and web-app runners share.
type Backend struct {
	Listen    string `long:"listen" value-name:"IP:PORT" required:"true" description:"Address to serve on"`
	Advertise string `long:"advertise" value-name:"IP:PORT" description:"Address in the machine list; the one to serve on by default"`
	ID        string `long:"id" required:"true" description:"Name in the machine list"`
	Service   string `long:"service" required:"true" description:"Service that the back end belongs to"`
	Zone      string `long:"zone" required:"true" description:"Zone that the back end stands in"`
	Platform  string `long:"platform" value-name:"URL" description:"Platform whose machine list to enter, http://IP:port"`
}

func (b *Backend) machine(kind identity.BackendKind) platformwire.Machine {
	return platformwire.Machine{
		ID:      identity.BackendID(b.ID),
		Kind:    kind,
		Service: identity.ServiceName(b.Service),
		Zone:    identity.Zone(b.Zone),
		Address: cmp.Or(b.Advertise, b.Listen),
		State:   platformwire.MachineLive,
	}
}

// Engine runs one stand-in model engine.
type Engine struct {
	Backend
	Models []string `long:"model" value-name:"NAME@VERSION" description:"Model loaded at the start (may be repeated)"`
	Blocks int      `long:"blocks" description:"KV blocks that the engine holds; 0 means the stand-in's default"`
}

// Execute implements flags.Commander.
func (c *Engine) Execute([]string) error {
	var models []engine.ModelVersion
	for _, text := range c.Models {
		name, version, found := strings.Cut(text, "@")
		if !found {
			return fmt.Errorf("model %q has no @VERSION", text)
		}
		models = append(models, engine.ModelVersion{
			Model:   identity.ModelName(name),
			Version: identity.WeightsVersion(version),
		})
	}
	standIn := engine.New(engine.Options{
		ID:          identity.BackendID(c.ID),
		Models:      models,
		WeightStore: c.Platform,
		Model:       model.Options{Blocks: c.Blocks},
	})
	return c.serve(identity.KindEngine, standIn.Serve)
}

// App runs one stand-in web-app runner.
type App struct {
	Backend
	ServiceTime time.Duration `long:"service-time" description:"Time of one answer" default:"4ms"`
}

// Execute implements flags.Commander.
func (c *App) Execute([]string) error {
	standIn := app.New(app.Options{ID: identity.BackendID(c.ID), ServiceTime: c.ServiceTime})
	return c.serve(identity.KindApp, standIn.Serve)
}

// serve enters the machine list and serves until a signal.
func (b *Backend) serve(kind identity.BackendKind, serve func(context.Context, net.Listener) error) error {
	if b.Platform != "" {
		if err := EnterMachine(context.Background(), b.Platform, b.machine(kind)); err != nil {
			return err
		}
	}
	return serveUntilSignal(b.Listen, b.ID, serve)
}

// EnterMachine adds a machine to the stand-in platform's list.
func EnterMachine(ctx context.Context, platformURL string, machine platformwire.Machine) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return fmt.Errorf("enter machine: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	target := platformURL + platform.PathLabMachines
	request, err := http.NewRequestWithContext(limited, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("enter machine: %w", err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("enter machine: %w", err)
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("enter machine: the platform answered %s", answer.Status)
	}
	return nil
}

// serveUntilSignal serves on an address until SIGINT or SIGTERM.
func serveUntilSignal(address, part string, serve func(context.Context, net.Listener) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, logging.FormatText, "info")
	if err != nil {
		return err
	}
	log := logging.Part(logger, part)
	log.WithField("address", address).Info("Serving.")
	if err := serve(ctx, listener); err != nil && ctx.Err() == nil {
		return err
	}
	log.Info("Stopped.")
	return nil
}
