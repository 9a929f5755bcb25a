package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

// The daemon is started with the command of the deploy file.
const (
	program     = "target/lotusward"
	metricsPort = "9464"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 12 * time.Second
)

// settingsText is a settings file like those of a small deployment.
const settingsText = `nodeName: "edge-a-%[1]d"
role: "router"
machineClass: "edge"
serves: ["edge"]
ip: "%[2]s"
zone: "a"
region: "r"
zones: {a: "r"}
listen: {front: "%[2]s:%[3]d", ready: "%[2]s:%[4]d"}
internalPorts: [%[5]d, %[6]d]
firstStart: true
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
bounds: {contactMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, drainMs: 2000,
  revokeFailClosed: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 54, recoveryS: 12,
  fencingRequired: true, leaseMs: 3000, thawMs: 300, versionMs: 8000, versionAllMs: 11000}
platform: {address: "%[7]s", form: "table", writesPerS: 600, readsPerS: 2000, historyS: 20}
`

// ports are the same on all machines.
type ports struct{ front, ready, internal int }

// machine is one daemon's process with its address.
type machine struct {
	ip      string
	ports   ports
	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }

// deployment is the store and the daemons.
type deployment struct {
	store    *standin.Store
	machines []*machine
	folder   string
}

// startDeployment starts daemons on loopback addresses of their own.
func startDeployment(store *standin.Store, count int, folder string) (*deployment, error) {
	made := &deployment{store: store, folder: folder}
	// Addresses are drawn so that plays side by side don't meet.
	network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	chosen, err := freePorts(network + ".1")
	if err != nil {
		return made, err
	}
	for number := range count {
		started, err := made.startMachine(number, fmt.Sprintf("%s.%d", network, number+1), chosen)
		if err != nil {
			return made, err
		}
		made.machines = append(made.machines, started)
	}
	return made, made.awaitReady()
}

// freePorts returns ports on which nobody listens at an address.
func freePorts(ip string) (ports, error) {
	var found [3]int
	for index := range found {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = listener.Close() }()
		found[index] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports{front: found[0], ready: found[1], internal: found[2]}, nil
}

func (d *deployment) startMachine(number int, ip string, chosen ports) (*machine, error) {
	settings := filepath.Join(d.folder, fmt.Sprintf("node-%d.yaml", number))
	text := fmt.Sprintf(settingsText, number, ip, chosen.front, chosen.ready, chosen.internal, chosen.internal+15, d.store.Address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("node-%d.log", number)))
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, "--metrics-port", metricsPort)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LOTUSWARD_SETTINGS=" + settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // main is locked to its thread
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &machine{ip: ip, ports: chosen, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(started.ended)
	}()
	return started, nil
}

// awaitReady waits until all daemons call themselves ready.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(readyTimeout)
	for _, each := range d.machines {
		for {
			answer, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", each.ip, each.ports.ready))
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if each.hasEnded() {
				return fmt.Errorf("%s ended by itself", each.ip)
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", each.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// checkRunning returns an error if a daemon has ended by itself.
func (d *deployment) checkRunning() error {
	for _, each := range d.machines {
		if each.hasEnded() {
			return fmt.Errorf("%s ended by itself", each.ip)
		}
	}
	return nil
}

// stop ends the processes that were started.
func (d *deployment) stop() {
	for _, each := range d.machines {
		_ = each.command.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(stopTimeout)
	for _, each := range d.machines {
		select {
		case <-each.ended:
		case <-limit:
			_ = each.command.Process.Kill()
			<-each.ended
		}
	}
}
