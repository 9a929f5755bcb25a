package fault

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Command is the command line of a fault run, for go-flags.
type Command struct {
	Seed     uint64        `long:"seed" description:"Seed of the faults; 0 draws a fresh one"`
	Duration time.Duration `long:"duration" default:"60s" description:"How long requests are sent"`
	Binaries string        `long:"binaries" value-name:"DIRECTORY" description:"Where lotusward, lotusctl and lotuslab are; by default beside this program"`
	Logs     string        `long:"logs" value-name:"DIRECTORY" description:"Where settings and logs go; by default a temporary directory that is removed when nothing was violated"`
	Quiet    bool          `long:"quiet" description:"Do not print each fault"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, os.Stdout)
}

func (c *Command) run(ctx context.Context, output io.Writer) error {
	if err := c.complete(); err != nil {
		return err
	}
	fmt.Fprintf(output, "Seed %d. Replay: lotuslab faults --seed %d --duration %s\n", c.Seed, c.Seed, c.Duration)
	directory, remove, err := c.directory()
	if err != nil {
		return err
	}
	figures, err := Run(ctx, Options{
		Seed: c.Seed, Duration: c.Duration, Binaries: c.Binaries, Directory: directory,
		Log: func(format string, arguments ...any) {
			if !c.Quiet {
				fmt.Fprintf(output, format+"\n", arguments...)
			}
		},
	})
	if err != nil {
		return err
	}
	write(output, figures)
	if len(figures.Violations) > 0 {
		return fmt.Errorf("%d violations; logs are in %s", len(figures.Violations), directory)
	}
	return remove()
}

// complete fills what the command line left open.
func (c *Command) complete() error {
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Binaries != "" {
		return nil
	}
	own, err := os.Executable()
	c.Binaries = filepath.Dir(own)
	return err
}

func (c *Command) directory() (path string, remove func() error, err error) {
	if c.Logs != "" {
		return c.Logs, func() error { return nil }, os.MkdirAll(c.Logs, 0o755)
	}
	path, err = os.MkdirTemp("", "lotuslab-faults-")
	return path, func() error { return os.RemoveAll(path) }, err
}

// write prints the figures of a run.
func write(output io.Writer, figures Figures) {
	faults := table.NewWriter()
	faults.SetOutputMirror(output)
	faults.SetStyle(table.StyleLight)
	faults.AppendHeader(table.Row{"fault", "times"})
	for _, kind := range slices.Sorted(maps.Keys(figures.Faults)) {
		faults.AppendRow(table.Row{kind, figures.Faults[kind]})
	}
	faults.Render()
	fmt.Fprintf(output, "requests %d: whole %d, refused %d, ended with an error %d, daemon unreached %d\n",
		figures.Requests, figures.Whole, figures.Refused, figures.Broken, figures.Unreached)
	for _, broken := range figures.BrokenUnexcused {
		fmt.Fprintln(output, "  ended with an error, its daemon unharmed:", broken)
	}
	for _, reason := range slices.Sorted(maps.Keys(figures.Refusals)) {
		fmt.Fprintf(output, "  refused %5d: %s\n", figures.Refusals[reason], reason)
	}
	fmt.Fprintf(output, "first token p50 %s, p99 %s; pages p50 %s, p99 %s\n",
		figures.FirstTokenP50.Round(time.Millisecond), figures.FirstTokenP99.Round(time.Millisecond),
		figures.PageP50.Round(time.Millisecond), figures.PageP99.Round(time.Millisecond))
	fmt.Fprintf(output, "violations: %d\n", len(figures.Violations))
	for _, violation := range figures.Violations {
		fmt.Fprintln(output, "  ", violation)
	}
}
