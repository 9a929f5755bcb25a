package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/lab/address"
	"github.com/lotusward/lotusward/internal/lab/link"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// readyPollInterval is how often AwaitReady asks.
const readyPollInterval = 50 * time.Millisecond

// BackendPlan describes one stand-in back end.
type BackendPlan struct {
	ID, Service, Zone string
	// Models are NAME@VERSION; a back end without models is a web-app runner.
	Models []string
	// Flags are further flags of the lotuslab subcommand.
	Flags []string
}

// DaemonPlan describes one daemon.
type DaemonPlan struct {
	ID, Zone string
}

// Plan describes a whole deployment.
type Plan struct {
	// Directory holds settings and logs; Binaries holds the three programs.
	Directory     string
	Binaries      string
	PlatformFlags []string
	Backends      []BackendPlan
	Daemons       []DaemonPlan
	Document      *dynamic.Document
	// Links puts a link with faults in front of each back end and of each daemon's
	// peer address.
	Links bool
}

// Backend is a running stand-in back end.
type Backend struct {
	*Process
	Plan    BackendPlan
	Address string
	// Link is what daemons reach the back end through, or nil.
	Link *link.Link
}

// Daemon is a daemon's place in the deployment. Process is replaced by a restart.
type Daemon struct {
	*Process
	Plan         DaemonPlan
	Callers      string
	Admin        string
	Peer         string
	Health       string
	settingsPath string
	// PeerLink is what the other daemons reach this one through, or nil.
	PeerLink *link.Link
}

// Deployment is a running deployment of separate processes.
type Deployment struct {
	Plan     Plan
	Platform *Process
	// PlatformURL is the base URL of all platform services.
	PlatformURL string
	Backends    []*Backend
	Daemons     []*Daemon
	links       []*link.Link
}

// Run starts a deployment, imports its document with lotusctl and waits until
// every daemon is ready.
func Run(ctx context.Context, plan Plan) (*Deployment, error) {
	started := &Deployment{Plan: plan}
	if err := started.start(ctx); err != nil {
		started.Kill()
		return nil, err
	}
	return started, nil
}

func (d *Deployment) start(ctx context.Context) error {
	const daemonAddresses = 4
	addresses, err := address.Free(1 + len(d.Plan.Backends) + daemonAddresses*len(d.Plan.Daemons))
	if err != nil {
		return err
	}
	if err := d.startPlatform(addresses[0]); err != nil {
		return err
	}
	addresses = addresses[1:]
	for index, backend := range d.Plan.Backends {
		if err := d.startBackend(backend, addresses[index]); err != nil {
			return err
		}
	}
	if err := d.awaitBackends(ctx); err != nil {
		return err
	}
	addresses = addresses[len(d.Plan.Backends):]
	for index, plan := range d.Plan.Daemons {
		own := addresses[index*daemonAddresses:]
		peerLink, err := d.openLink(own[2])
		if err != nil {
			return err
		}
		d.Daemons = append(d.Daemons, &Daemon{
			Plan: plan, Callers: own[0], Admin: own[1], Peer: own[2], Health: own[3], PeerLink: peerLink,
		})
	}
	d.addRoster()
	for _, daemon := range d.Daemons {
		if err := d.writeSettings(daemon); err != nil {
			return err
		}
		if err := d.StartDaemon(daemon); err != nil {
			return err
		}
	}
	if err := d.importDocument(ctx); err != nil {
		return err
	}
	return d.AwaitReady(ctx)
}

func (d *Deployment) startPlatform(address string) error {
	arguments := append([]string{"platform", "--listen", address}, d.Plan.PlatformFlags...)
	started, err := Start(d.Plan.Directory, "platform", d.program("lotuslab"), arguments...)
	if err != nil {
		return err
	}
	d.Platform = started
	d.PlatformURL = "http://" + address
	return awaitHTTP(d.PlatformURL + "/lab/v1/faults")
}

func (d *Deployment) startBackend(plan BackendPlan, address string) error {
	subcommand := "app"
	if len(plan.Models) > 0 {
		subcommand = "engine"
	}
	backendLink, err := d.openLink(address)
	if err != nil {
		return err
	}
	arguments := []string{
		subcommand, "--listen", address, "--id", plan.ID, "--service", plan.Service,
		"--zone", plan.Zone, "--platform", d.PlatformURL,
	}
	if backendLink != nil {
		arguments = append(arguments, "--advertise", backendLink.Address())
	}
	for _, model := range plan.Models {
		arguments = append(arguments, "--model", model)
	}
	arguments = append(arguments, plan.Flags...)
	started, err := Start(d.Plan.Directory, plan.ID, d.program("lotuslab"), arguments...)
	if err != nil {
		return err
	}
	d.Backends = append(d.Backends, &Backend{Process: started, Plan: plan, Address: address, Link: backendLink})
	return nil
}

// awaitBackends waits until every back end serves: engines load weights first.
func (d *Deployment) awaitBackends(ctx context.Context) error {
	for _, backend := range d.Backends {
		for backend.State() != enginewire.StateServing {
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), fmt.Errorf("%s does not serve; see %s", backend.Name, backend.LogPath))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Status reads the back end's report about itself.
func (b *Backend) Status() (enginewire.Status, error) {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + b.Address + enginewire.PathStatus)
	if err != nil {
		return enginewire.Status{}, err
	}
	defer answer.Body.Close()
	var status enginewire.Status
	err = json.NewDecoder(answer.Body).Decode(&status)
	return status, err
}

// State reads the back end's state; it is empty when the back end does not answer.
func (b *Backend) State() enginewire.State {
	status, err := b.Status()
	if err != nil {
		return ""
	}
	return status.State
}

// StartDaemon starts a daemon that does not run, with its settings as before.
func (d *Deployment) StartDaemon(daemon *Daemon) error {
	started, err := Start(d.Plan.Directory, daemon.Plan.ID, d.program("lotusward"), "--settings", daemon.settingsPath)
	if err != nil {
		return err
	}
	daemon.Process = started
	return nil
}

func (d *Deployment) program(name string) string {
	return filepath.Join(d.Plan.Binaries, name)
}

// AwaitReady waits until every running daemon says that it is ready.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, daemon := range d.Daemons {
		for !isOK("http://" + daemon.Health + "/readyz") {
			if daemon.Exited() {
				return fmt.Errorf("%s has ended; see %s", daemon.Name, daemon.LogPath)
			}
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), fmt.Errorf("%s is not ready; see %s", daemon.Name, daemon.LogPath))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// AdminURLs returns the administration addresses of all daemons, as lotusctl
// takes them.
func (d *Deployment) AdminURLs() string {
	urls := make([]string, 0, len(d.Daemons))
	for _, daemon := range d.Daemons {
		urls = append(urls, "http://"+daemon.Admin)
	}
	return strings.Join(urls, ",")
}

// Kill ends all processes at once.
func (d *Deployment) Kill() {
	for _, daemon := range d.Daemons {
		if daemon.Process != nil {
			daemon.Process.Kill()
		}
	}
	for _, backend := range d.Backends {
		backend.Process.Kill()
	}
	if d.Platform != nil {
		d.Platform.Kill()
	}
	for _, opened := range d.links {
		opened.Close()
	}
}

func isOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(url)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitHTTP waits until a URL answers.
func awaitHTTP(url string) error {
	deadline := time.Now().Add(stopTimeout)
	for !isOK(url) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not answer", url)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}
