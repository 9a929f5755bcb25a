// Command lotuslab shows lotusward at work: it runs real daemons before stand-ins of
// everything outside, and plays the load of events.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/lotusward/lotusward/cmd/internal/lab"
	"github.com/lotusward/lotusward/internal/exitcode"
)

func main() {
	os.Exit(run())
}

func run() int {
	parser := flags.NewNamedParser("lotuslab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs real daemons of lotusward before stand-ins, and plays the load of events."
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(os.Stderr, "lotuslab:", err)
		return exitcode.Failure
	}
	_, err := parser.Parse()
	var flagError *flags.Error
	switch {
	case err == nil:
		return exitcode.OK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitcode.OK
	case errors.As(err, &flagError):
		fmt.Fprintln(os.Stderr, "lotuslab:", err)
		return exitcode.Usage
	default:
		fmt.Fprintln(os.Stderr, "lotuslab:", err)
		return exitcode.Failure
	}
}

func addCommands(parser *flags.Parser) error {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"demo", "Show an event start on real daemons", "Starts stand-ins and daemons in this process, plays the start of an event of three deployments under random, least-loaded and lotusward's placement, and prints a table. Takes under a minute.", &lab.Demo{}},
		{"experiment", "Compare placements with several seeds", "Plays scenarios on real daemons before stand-ins with the same load under each placement, and prints one row for each.", &lab.Experiment{}},
	}
	for _, added := range commands {
		if _, err := parser.AddCommand(added.name, added.short, added.long, added.data); err != nil {
			return err
		}
	}
	return nil
}
