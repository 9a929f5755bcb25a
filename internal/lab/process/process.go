// Package process runs the programs of this module as separate processes on
// loopback, for end-to-end tests and fault runs. It is lab code: lotusward
// itself starts no process.
package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long an orderly stop may take before the process is killed.
const stopTimeout = 30 * time.Second

// Process is a started program. Its output goes to a file in the run's directory.
type Process struct {
	Name    string
	LogPath string
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

// Start starts a program and appends its output to NAME.log in the directory.
func Start(directory, name, program string, arguments ...string) (*Process, error) {
	path := filepath.Join(directory, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer output.Close() // the process has its own copy
	command := exec.Command(program, arguments...)
	command.Stdout = output
	command.Stderr = output
	// A process whose parent dies is killed, so that a cut run leaves none behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	started := &Process{Name: name, LogPath: path, command: command, exited: make(chan struct{})}
	go func() {
		started.err = command.Wait()
		close(started.exited)
	}()
	return started, nil
}

// ID returns the operating system's number of the process.
func (p *Process) ID() int { return p.command.Process.Pid }

// Stop asks the process to stop in order and waits. It fails when the process
// had to be killed or ended with an error.
func (p *Process) Stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

// Kill ends the process at once and waits.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.exited
}

// Pause freezes the process; Resume lets it go on.
func (p *Process) Pause() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Build compiles the three programs into a directory.
func Build(directory string) error {
	command := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"github.com/lotusward/lotusward/cmd/lotusward",
		"github.com/lotusward/lotusward/cmd/lotusctl",
		"github.com/lotusward/lotusward/cmd/lotuslab")
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w\n%s", err, output)
	}
	return nil
}
