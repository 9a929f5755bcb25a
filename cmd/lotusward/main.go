// Command lotusward is the daemon between callers and back ends.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/lotusward/lotusward/cmd/internal/daemon"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/eventlog"
	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/finding"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/version"
	"github.com/lotusward/lotusward/platform"
)

// logFlushTime bounds how long the end waits for log lines to be written.
const logFlushTime = 200 * time.Millisecond

// options are the flags of the program.
type options struct {
	Version  bool   `long:"version" description:"Print the version and exit"`
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"Settings file; by default the one that the platform names in the environment"`
	Metrics  int    `long:"metrics-port" value-name:"PORT" description:"Port on which counters and histograms are served under /metrics; none without it"`
	OpenAI   int    `long:"openai-port" value-name:"PORT" description:"Port on which the OpenAI-compatible API is served under /v1; none without it"`
	Admin    int    `long:"admin-port" value-name:"PORT" description:"Port on which operators' statements are answered, for those with the token in the environment variable LOTUSWARD_ADMIN_TOKEN; none without it"`
	Check    bool   `long:"check" description:"Check the settings file, print all findings and exit"`
}

// adminTokenVariable is the environment variable with the operators' token.
const adminTokenVariable = "LOTUSWARD_ADMIN_TOKEN"

func main() {
	os.Exit(start(network{}))
}

// network is what the daemon reaches others through. Nil functions use the machine's network directly.
type network struct {
	// dial opens TCP connections, and listen the socket for datagrams.
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen peerlink.ListenFunc
}

// start runs the program and returns its exit code.
func start(through network) int {
	started := clock.Now()
	var given options
	given.Settings = os.Getenv(platform.SettingsVariable)
	_, err := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash).Parse()
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
	case given.Settings == "":
		fmt.Fprintln(os.Stderr, "lotusward: --settings is missing; see --help")
		return exitcode.Usage
	}
	settings, err := platform.LoadSettings(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitcode.InvalidSettings
	}
	if given.Admin > 0 && os.Getenv(adminTokenVariable) == "" {
		fmt.Fprintln(os.Stderr, "lotusward: --admin-port needs a token in the environment variable", adminTokenVariable)
		return exitcode.Usage
	}
	if given.Check {
		fmt.Println("no findings")
		return exitcode.OK
	}
	return serve(settings, given, started, through)
}

// serve runs the daemon until a signal or a failure.
func serve(settings platform.Settings, given options, started time.Time, through network) int {
	writer := eventlog.NewWriter(os.Stdout)
	defer writer.Stop(logFlushTime)
	logger, err := eventlog.NewLogger(writer)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lotusward:", err)
		return exitcode.Failure
	}
	log := logging.Part(logger, "daemon").WithField("node", settings.NodeName)
	made := daemon.New(settings, daemon.Options{
		MetricsPort: given.Metrics, OpenAIPort: given.OpenAI, AdminPort: given.Admin, AdminToken: os.Getenv(adminTokenVariable),
		Logger: logger, Writer: writer, Started: started, Dial: through.dial, Listen: through.listen,
	})

	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	addReload(&group, given.Settings, logging.Part(logger, "settings"))
	made.AddTo(&group)
	log.WithField("version", version.String()).Info("The daemon starts.")
	err = group.Run()
	if err != nil && !errors.Is(err, run.ErrSignal) {
		log.WithError(err).Error("The daemon failed.")
		return exitcode.Failure
	}
	log.Info("The daemon has stopped.")
	return exitcode.OK
}

// addReload checks the settings file again at SIGHUP. What a process has started
// with stays; the check tells early of a file that the next start would refuse.
func addReload(group *run.Group, path string, log interface{ Info(...any) }) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	group.Add(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				_, err := platform.LoadSettings(path)
				log.Info(reloadSentence(err))
			}
		}
	}, func(error) { cancel() })
}

func reloadSentence(err error) string {
	var findings *finding.Error
	switch {
	case errors.As(err, &findings):
		return "The settings file was read again and is invalid: " + findings.Error()
	case err != nil:
		return "The settings file cannot be read again: " + err.Error()
	default:
		return "The settings file was read again and is valid."
	}
}
