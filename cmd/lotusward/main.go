// Command lotusward is the daemon between callers and model engines.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/daemon"
	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/version"
)

// options are the flags of the program without a subcommand.
type options struct {
	Version  bool   `long:"version" description:"Print the version and exit"`
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"Settings file"`
	static.Overrides
	CheckSettings checkSettings `command:"check-settings" description:"Check a settings file and print all findings" long-description:"Reads a settings file as the daemon would, prints every finding with line and column, and exits with 0 or 3."`
}

// checkSettings is the subcommand that only reads a settings file.
type checkSettings struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

func main() {
	os.Exit(start())
}

func start() int {
	var given options
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Routes language-model requests with long shared prompts to engines.\n\n" +
		"Exit codes: 0 stopped in order, 1 failed while running, 2 wrong command line, 3 invalid settings."
	_, err := parser.Parse()
	var flagError *flags.Error
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitcode.OK
	case err != nil:
		fmt.Fprintln(os.Stderr, "lotusward:", err)
		return exitcode.Usage
	case given.Version:
		fmt.Println("lotusward", version.String())
		return exitcode.OK
	case parser.Active != nil:
		return static.CheckFile(os.Stdout, given.CheckSettings.Arguments.File, given.Overrides)
	case given.Settings == "":
		fmt.Fprintln(os.Stderr, "lotusward: --settings is missing; see --help")
		return exitcode.Usage
	}
	return serve(given)
}

// serve runs the daemon until a signal or a failure.
func serve(given options) int {
	settings, err := static.LoadFile(given.Settings, given.Overrides)
	if err != nil {
		return static.Report(os.Stderr, given.Settings, err)
	}
	logger, err := logging.New(os.Stderr, settings.Logging.Format, settings.Logging.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lotusward:", err)
		return exitcode.InvalidSettings
	}
	wired, err := daemon.New(daemon.Options{Settings: settings, Logger: logger})
	if err != nil {
		fmt.Fprintln(os.Stderr, "lotusward:", err)
		return exitcode.Failure
	}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	wired.AddTo(&group)
	if err := group.Run(); err != nil && !errors.Is(err, run.ErrSignal) {
		logging.Part(logger, "daemon").WithError(err).Error("The daemon failed.")
		return exitcode.Failure
	}
	return exitcode.OK
}
