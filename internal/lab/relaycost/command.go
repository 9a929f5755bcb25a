package relaycost

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Command is the command line of a measurement of the relay, for go-flags.
type Command struct {
	Streams     int           `long:"streams" default:"500" description:"Streams at once"`
	Tokens      int           `long:"tokens" default:"100" description:"Tokens of each answer"`
	Interval    time.Duration `long:"token-interval" default:"25ms" description:"Time between two tokens of an answer"`
	Engines     int           `long:"engines" default:"8" description:"Stand-in engines"`
	PromptBytes int           `long:"prompt-bytes" default:"16384" description:"Size of each prompt"`
	Rounds      int           `long:"rounds" default:"3" description:"Counted rounds on each path"`
	Round       time.Duration `long:"round" default:"4s" description:"How long requests are sent in a round"`
	Binaries    string        `long:"binaries" value-name:"DIRECTORY" description:"Where lotusward, lotusctl and lotuslab are; by default beside this program"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Binaries == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binaries = filepath.Dir(own)
	}
	directory, err := os.MkdirTemp("", "lotuslab-relay-cost-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	fmt.Printf("%d streams of %d tokens at %s, %d engines, prompts of %d bytes, %d rounds of %s on each path\n",
		c.Streams, c.Tokens, c.Interval, c.Engines, c.PromptBytes, c.Rounds, c.Round)
	report, err := Run(ctx, Options{
		Streams: c.Streams, Tokens: c.Tokens, Interval: c.Interval, Engines: c.Engines, PromptBytes: c.PromptBytes,
		Rounds: c.Rounds, Round: c.Round, Binaries: c.Binaries, Directory: directory,
	})
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	return nil
}
