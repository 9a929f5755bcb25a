package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

// The service and the host of all cases.
const (
	serviceName = "llm"
	modelName   = "m0"
	hostName    = "h.example"
)

// runLine is how the deploy file starts the daemon.
const runLine = "target/lotusward --metrics-port 9464"

// fouleeBounds are those of the site foulee-results.
const fouleeBounds = `
  contactMs: 3000
  drainMs: 2000
  graceS: 8
  configApplyMs: 2000
  revokeFailClosed: true
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 54
  fencingRequired: true
  leaseMs: 3000
  versionMs: 8000
`

// storeConnections is how many connections to the stand-in of the store are kept.
const storeConnections = 64

// startTimeout bounds the wait until daemons are ready.
const startTimeout = 15 * time.Second

// memoryMb is the memory of a machine of the site foulee-results.
const memoryMb = 284

// csfaMemoryMb is the memory of a machine of the site csfa-lotusward.
const csfaMemoryMb = 134

// deployment is a store, runners and daemons on loopback addresses of their own.
type deployment struct {
	record *record
	folder string
	// network is the first three numbers of all addresses.
	network string
	ports   [3]int
	store   *standin.Store
	// front is what daemons reach the store by.
	front      *http.Server
	storeCalls *http.Transport
	dropped    droppedRows
	address    string
	daemons    []*daemon
	runners    []*runner
	version    int
	// bounds are those in the settings of daemons, zones of a region the ones that they are in, in turn, and memory that of a
	// machine in megabytes.
	bounds string
	zones  []string
	region string
	memory int
	// closed is set once no process may be started any more.
	closed atomic.Bool
}

func newDeployment(record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "lotusward-review-")
	if err != nil {
		return nil, err
	}
	made := &deployment{record: record, folder: folder, store: standin.NewStore(), bounds: fouleeBounds,
		zones: []string{"rosehill"}, region: "mu-island", memory: memoryMb,
	}
	made.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	for index := range made.ports {
		if made.ports[index], err = freePort(made.machine(1), made.ports[:index]); err != nil {
			return nil, err
		}
	}
	return made, made.startFront()
}

// startFront starts what daemons reach the store by: the project's stand-in, with the store's era in all its answers, and with a
// feed that tells of dropped rows.
func (d *deployment) startFront() error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(d.machine(200), "0"))
	if err != nil {
		return err
	}
	d.address = listener.Addr().String()
	d.storeCalls = &http.Transport{MaxIdleConnsPerHost: storeConnections}
	d.front = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(d.serveStore), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = d.front.Serve(listener) }()
	return nil
}

// useCsfa takes the settings of the site csfa-lotusward, which the cases of the review name.
func (d *deployment) useCsfa() {
	d.bounds, d.zones, d.region, d.memory = csfaBounds, []string{"hall-a"}, "bc-coast", csfaMemoryMb
}

// machine is the loopback address of a machine.
func (d *deployment) machine(number int) string { return fmt.Sprintf("%s.%d", d.network, number) }

// freePort returns a port that is free at an address and not among some others.
func freePort(ip string, taken []int) (int, error) {
	for {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		if err := listener.Close(); err != nil {
			return 0, err
		}
		if !slices.Contains(taken, port) {
			return port, nil
		}
	}
}

// close ends all that the case started.
func (d *deployment) close() {
	d.closed.Store(true)
	for _, each := range d.daemons {
		each.kill()
	}
	for _, each := range d.runners {
		each.close()
	}
	_ = d.front.Close()
	d.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("The settings and logs of the daemons are in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder) // a leftover temporary folder does no harm
}

// route describes a streaming route as the operator declares it.
func route(prefix string, timeoutMs, maxAttempts int, resumable, anonymous bool) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": hostName, "pathPrefix": prefix, "type": "streaming", "service": serviceName,
		"timeoutMs": timeoutMs, "targetLatencyMs": 800, "priority": 1, "maxAttempts": maxAttempts, "allowAnonymous": anonymous,
		"sticky": true, "resumable": resumable, "gapTargetMs": 500,
	}
}

// tenant describes a tenant as the operator declares it.
func tenant(name, key string, isolated bool) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "isolated": isolated}
}

// configure writes a configuration, as the operator does.
func (d *deployment) configure(routes, tenants []any) {
	d.version += 3
	d.store.Put(names.TableOperator, "config", map[string]any{
		"version": d.version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 110556, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "maxInFlight": 12,
				"models": []any{map[string]any{"name": modelName}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.record.note("operator: configuration %d is acknowledged", d.version)
}

// daemon is one machine with the project's program as a process.
type daemon struct {
	deployment *deployment
	name       string
	ip         string
	settings   string
	// peakMegabytes is the largest memory that watchMemory has seen.
	peakMegabytes int

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// startDaemon adds a machine and starts its process.
func (d *deployment) startDaemon() (*daemon, error) {
	number := len(d.daemons) + 1
	made := &daemon{deployment: d, name: fmt.Sprintf("edge-%d", number), ip: d.machine(number)}
	made.settings = filepath.Join(d.folder, made.name+".yaml")
	content := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: %q
zones:
%slisten:
  front: "%s:%d"
  ready: "%s:%d"
internalPorts: [%d, %d]
firstStart: false
limits:
  cpuShare: 0.4
  cpuCores: 1
  memoryMb: %d
  maxFds: 4100
  linkMbps: 1000.0
platform:
  address: %q
bounds:%s`, made.name, made.ip, d.zones[(number-1)%len(d.zones)], d.region, d.zonesText(), made.ip, d.ports[0], made.ip, d.ports[1], d.ports[2], d.ports[2], d.memory, d.address, d.bounds)
	if err := os.WriteFile(made.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	d.daemons = append(d.daemons, made)
	return made, made.start()
}

// zonesText lists the zones for a settings file.
func (d *deployment) zonesText() string {
	var text strings.Builder
	for _, each := range d.zones {
		fmt.Fprintf(&text, "  %s: %q\n", each, d.region)
	}
	return text.String()
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, d.deployment.ports[0]) }

// start starts the process by the line of the deploy file.
func (d *daemon) start() error {
	words := strings.Fields(runLine)
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOTUSWARD_SETTINGS=" + d.settings}
	output, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.deployment.closed.Load() {
		return errors.Join(errClosed, output.Close())
	}
	if err := command.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	d.command, d.ended = command, ended
	d.deployment.record.note("%s: process started", d.name)
	return nil
}

// kill ends the process at once, as a loss of power does.
func (d *daemon) kill() {
	d.mutex.Lock()
	command, ended := d.command, d.ended
	d.command = nil
	d.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // it may have ended by itself
	<-ended
	d.deployment.record.note("%s: process killed", d.name)
}

// process returns the ID of the running process, or zero.
func (d *daemon) process() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

// ready reports whether the daemon says that callers may come, as the platform asks it.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", d.ip, d.deployment.ports[1], names.CallReady))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // the body is not read
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// errClosed is returned if a process would be started after the end of the case.
var errClosed = errors.New("the case has ended")

// errNotReady is returned if a daemon doesn't become ready in time.
var errNotReady = errors.New("the daemon is not ready")

// awaitReady waits until a daemon is ready.
func (d *daemon) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.ready() {
			d.deployment.record.note("%s: ready", d.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w", d.name, errNotReady)
}

// startDaemons starts a number of daemons and waits until they are ready.
func (d *deployment) startDaemons(count int) error {
	for range count {
		if _, err := d.startDaemon(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, each := range d.daemons {
		if err := each.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
