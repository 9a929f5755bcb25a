package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/lab/baseline"
	"github.com/lotusward/lotusward/internal/lab/cluster"
	"github.com/lotusward/lotusward/internal/lab/credential"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/report"
	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/logging"
)

// startTimeout bounds the start of one deployment.
const startTimeout = 20 * time.Second

// Command is the demo's command line, for go-flags.
type Command struct {
	Serve bool   `long:"serve" description:"Keep a deployment up in place of the comparison and print a curl and a lotusctl line for it"`
	Seed  uint64 `long:"seed" default:"1" description:"Seed of the workload"`
	Log   string `long:"log-level" default:"error" description:"Level of the daemons' logs on standard error"`
}

// compared are the policies of the closing table, ours first.
var compared = []struct {
	name string
	make cluster.PolicyMaker
}{
	{"lotusward", nil},
	{"round-robin", roundRobin},
	{"least-outstanding", leastOutstanding},
}

func roundRobin(index int, _ identity.Zone) scheduler.Policy {
	return baseline.NewRoundRobin(uint64(index + 1))
}

func leastOutstanding(index int, _ identity.Zone) scheduler.Policy {
	return baseline.NewLeastOutstanding(uint64(index + 1))
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger, err := logging.New(os.Stderr, logging.FormatText, c.Log)
	if err != nil {
		return err
	}
	if c.Serve {
		return c.serve(ctx, os.Stdout, logger)
	}
	return c.compare(ctx, os.Stdout, logger)
}

// compare plays each event start under each policy and prints the table.
func (c *Command) compare(ctx context.Context, output io.Writer, logger *logrus.Logger) error {
	fmt.Fprintf(output, "Each run: platform, %d engines, %d web-app runners and %d daemons in this process,\n"+
		"an event start after %s, %s in all.\n\n", demoEngines, demoAppRunners, demoDaemons, demoEventAt, demoDuration)
	var summaries []report.Summary
	wrong := 0
	for _, run := range scenarios() {
		for _, policy := range compared {
			played, err := c.play(ctx, output, run, policy.name, policy.make, logger)
			if err != nil {
				return err
			}
			for _, finding := range played.Wrong {
				fmt.Fprintln(output, "  wrong:", finding)
			}
			wrong += len(played.Wrong)
			summaries = append(summaries, report.Summarize([]report.Run{{
				Scenario: run, Policy: policy.name, Seed: c.Seed, Result: played.Result,
			}}))
		}
	}
	fmt.Fprintln(output)
	report.WriteTable(output, summaries)
	fmt.Fprintf(output, "Answers compared to the byte; wrong or cut: %d\n", wrong)
	if wrong > 0 {
		return fmt.Errorf("%d answers were wrong or cut", wrong)
	}
	return nil
}

// play runs one scenario under one policy on a fresh deployment.
func (c *Command) play(ctx context.Context, output io.Writer, run *scenario.Scenario, name string, makePolicy cluster.PolicyMaker, logger *logrus.Logger) (load.Report, error) {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	running, err := cluster.Start(startContext, cluster.OptionsOf(run, makePolicy, logger))
	if err != nil {
		return load.Report{}, fmt.Errorf("demo: %w", err)
	}
	defer running.Close()
	title := fmt.Sprintf("%s, %s, %s", run.Deployment.Name, run.Name, name)
	played := load.Play(ctx, load.Options{
		Scenario: run, Seed: c.Seed, Daemons: running.CallerAddresses(),
		OnProgress: func(progress load.Progress) {
			fmt.Fprintf(output, "\r%-50s %4.0f s  sent %5d  answered %5d  unanswered %4d",
				title, progress.At.Seconds(), progress.Sent, progress.Answered, progress.Unanswered)
		},
	})
	fmt.Fprintln(output)
	return played, ctx.Err()
}

// serve keeps one deployment up until a signal.
func (c *Command) serve(ctx context.Context, output io.Writer, logger *logrus.Logger) error {
	run := scenarios()[0]
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	running, err := cluster.Start(startContext, cluster.OptionsOf(run, nil, logger))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer running.Close()
	deployment := run.Deployment
	fmt.Fprintf(output, "Serving %d daemons: %v\nTry:\n\n", len(running.Daemons), running.CallerAddresses())
	fmt.Fprintf(output, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Where did I place?\"}]}'\n\n",
		running.CallerAddresses()[0], load.KeyOf(deployment.Tenants[0].Name), deployment.Model)
	fmt.Fprintf(output, "  LOTUSCTL_TOKEN=%s go run ./cmd/lotusctl -a %s 'show engines'\n\n",
		credential.OperatorToken, strings.Join(running.AdminURLs(), ","))
	fmt.Fprintln(output, "Ctrl-C stops it.")
	<-ctx.Done()
	return nil
}
