package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"

	"github.com/lotusward/lotusward/internal/lab/report"
)

// Format is a form of printed results.
type Format string

// The forms of printed results.
const (
	FormatTable Format = "table"
	FormatCSV   Format = "csv"
	FormatJSON  Format = "json"
)

// UnmarshalFlag implements flags.Unmarshaler.
func (f *Format) UnmarshalFlag(value string) error {
	*f = Format(value)
	if !slices.Contains([]Format{FormatTable, FormatCSV, FormatJSON}, *f) {
		return &UnknownNameError{Kind: "format", Name: value}
	}
	return nil
}

// Command is the command line of an experiment, for go-flags.
type Command struct {
	Deployments []string     `long:"deployment" description:"Run only the scenarios of this deployment, foulee or kalahari-pot; may be given several times"`
	Scenarios   []string     `long:"scenario" description:"Run only this scenario; may be given several times"`
	Policies    []PolicyName `long:"policy" description:"Run only this policy; may be given several times"`
	Seeds       int          `long:"seeds" default:"3" description:"Number of seeds; figures are medians over them"`
	Workers     int          `long:"workers" default:"3" description:"Number of runs at once"`
	RateFactor  float64      `long:"rate-factor" default:"1" description:"Multiply the requests a second"`
	EventGaps   *float64     `long:"event-gap-probability" description:"Lose this share of the cache event batches in place of what the scenario says; 1 loses all"`
	Format      Format       `long:"format" default:"table" description:"Form of the printed results: table, csv or json"`
	Output      string       `long:"output-directory" description:"Also write results.csv, results.json and the plots into this directory"`
}

// aimReference says which policies the aims compare.
var aimReference = report.Reference{
	Judged:           string(PolicyLotusward),
	Clairvoyant:      string(PolicyClairvoyant),
	LeastOutstanding: string(PolicyLeastOutstanding),
	Rendezvous:       string(PolicyRendezvous),
}

// directoryMode is the mode of a directory that Command makes.
const directoryMode = 0o755

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return c.run(ctx, os.Stdout)
}

func (c *Command) run(ctx context.Context, output io.Writer) error {
	results, err := Run(ctx, Options{
		Deployments: c.Deployments, Scenarios: c.Scenarios, Policies: c.Policies,
		Seeds: c.Seeds, Workers: c.Workers, RateFactor: c.RateFactor, EventGapProbability: c.EventGaps,
	})
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if c.Output != "" {
		if err := c.writeFiles(results); err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
	}
	switch c.Format {
	case FormatCSV:
		return report.WriteCSV(output, results.Summaries)
	case FormatJSON:
		return report.WriteJSON(output, results.Summaries)
	default:
		report.WriteTable(output, results.Summaries)
		if aims := report.Aims(results.Summaries, aimReference); len(aims) > 0 {
			report.WriteAims(output, aims)
		}
		return nil
	}
}

func (c *Command) writeFiles(results Results) error {
	if err := os.MkdirAll(c.Output, directoryMode); err != nil {
		return err
	}
	err := writeFile(filepath.Join(c.Output, "results.csv"), func(file io.Writer) error {
		return report.WriteCSV(file, results.Summaries)
	})
	if err != nil {
		return err
	}
	err = writeFile(filepath.Join(c.Output, "results.json"), func(file io.Writer) error {
		return report.WriteJSON(file, results.Summaries)
	})
	if err != nil {
		return err
	}
	for _, runs := range results.FirstRuns {
		if _, err := report.WritePlots(c.Output, runs); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
