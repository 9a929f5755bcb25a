package lab

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/chzyer/readline"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/lotusward/lotusward/internal/core/backendpool"
)

// placements are compared, the baselines first.
var placements = []backendpool.Placement{backendpool.PlacementRandom, backendpool.PlacementLeastLoaded, backendpool.PlacementSoonest}

// placementName names a placement in tables.
func placementName(placement backendpool.Placement) string {
	if placement == backendpool.PlacementSoonest {
		return "lotusward"
	}
	return string(placement)
}

// Demo is the command that shows what lotusward does. Tags are those of go-flags.
type Demo struct {
	Seconds float64 `long:"seconds" value-name:"S" default:"4" description:"How long each load is played"`
	Serve   bool    `long:"serve" description:"Keep a deployment up until interrupted, and print how to ask it"`
}

// Execute implements flags.Commander.
func (d *Demo) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if d.Serve {
		return serve(ctx, os.Stdout)
	}
	length := time.Duration(d.Seconds * float64(time.Second))
	results, err := compare(ctx, os.Stdout, Scenarios, 1, length)
	if err != nil {
		return err
	}
	writeTable(os.Stdout, results)
	return failedOf(results)
}

// Experiment is the command that plays scenarios with several seeds.
type Experiment struct {
	Scenario string  `long:"scenario" value-name:"NAME" description:"Only the scenario whose name begins so"`
	Seeds    int     `long:"seeds" value-name:"N" default:"3" description:"How many seeds are played"`
	Seconds  float64 `long:"seconds" value-name:"S" default:"10" description:"How long each load is played"`
	CSV      string  `long:"csv" value-name:"FILE" description:"Also write the rows as comma-separated values"`
}

// Execute implements flags.Commander.
func (e *Experiment) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var chosen []Scenario
	for _, scenario := range Scenarios {
		if strings.HasPrefix(scenario.Name, e.Scenario) {
			chosen = append(chosen, scenario)
		}
	}
	if len(chosen) == 0 {
		return fmt.Errorf("no scenario's name begins with %q", e.Scenario)
	}
	var all []Result
	for seed := range e.Seeds {
		results, err := compare(ctx, os.Stdout, chosen, uint64(seed+1), time.Duration(e.Seconds*float64(time.Second)))
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	writeTable(os.Stdout, all)
	if e.CSV != "" {
		return writeCSV(e.CSV, all)
	}
	return failedOf(all)
}

// compare plays scenarios under all placements with the same load.
func compare(ctx context.Context, output io.Writer, scenarios []Scenario, seed uint64, length time.Duration) ([]Result, error) {
	progress := newProgress(output, len(scenarios)*len(placements))
	defer progress.end()
	var results []Result
	for _, scenario := range scenarios {
		for _, placement := range placements {
			progress.next(fmt.Sprintf("%s, %s", scenario.Name, placementName(placement)))
			result, err := Play(ctx, scenario, placement, seed, length)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", scenario.Name, placementName(placement), err)
			}
			results = append(results, result)
		}
	}
	return results, nil
}

// progress tells what is played: in one line on a terminal, in a line each in a file.
type progress struct {
	output     io.Writer
	terminal   bool
	done, most int
}

func newProgress(output io.Writer, most int) *progress {
	return &progress{output: output, terminal: output == os.Stdout && readline.DefaultIsTerminal(), most: most}
}

func (p *progress) next(name string) {
	p.done++
	if p.terminal {
		fmt.Fprintf(p.output, "\r\x1b[K%d/%d  %s", p.done, p.most, name)
		return
	}
	fmt.Fprintf(p.output, "playing %d of %d: %s\n", p.done, p.most, name)
}

func (p *progress) end() {
	if p.terminal {
		fmt.Fprint(p.output, "\r\x1b[K")
	}
}

// header are the columns of tables and files.
var header = []string{"deployment", "placement", "requests", "served", "late", "wrong", "first p50 ms", "first p95 ms", "shared tokens held"}

func (r Result) cells() []string {
	return []string{
		r.Scenario, placementName(r.Placement), fmt.Sprint(r.Requests), fmt.Sprint(r.Served), fmt.Sprint(r.Late), fmt.Sprint(r.Wrong),
		fmt.Sprint(r.FirstMedian.Milliseconds()), fmt.Sprint(r.First95.Milliseconds()), fmt.Sprintf("%.0f%%", 100*r.HeldShare),
	}
}

func writeTable(output io.Writer, results []Result) {
	writer := table.NewWriter()
	writer.SetOutputMirror(output)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(rowOf(header))
	for index, result := range results {
		if index > 0 && result.Scenario != results[index-1].Scenario {
			writer.AppendSeparator()
		}
		writer.AppendRow(rowOf(result.cells()))
	}
	writer.Render()
}

func rowOf(cells []string) table.Row {
	row := make(table.Row, len(cells))
	for index, cell := range cells {
		row[index] = cell
	}
	return row
}

func writeCSV(path string, results []Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(file)
	rows := [][]string{header}
	for _, result := range results {
		rows = append(rows, result.cells())
	}
	if err := writer.WriteAll(rows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// failedOf returns an error when an answer was wrong.
func failedOf(results []Result) error {
	wrong := 0
	for _, result := range results {
		wrong += result.Wrong
	}
	if wrong > 0 {
		return fmt.Errorf("%d requests got no whole and right answer", wrong)
	}
	return nil
}

// serve keeps a deployment up and prints how to ask it.
func serve(ctx context.Context, output io.Writer) error {
	deployed, err := Start(Scenarios[0], backendpool.PlacementSoonest)
	if err != nil {
		return err
	}
	defer deployed.Stop()
	fmt.Fprintf(output, "%d daemons before %d stand-ins are up. Ask with:\n\n", len(deployed.addresses), len(deployed.runners))
	fmt.Fprintf(output, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n", deployed.openAI, key)
	fmt.Fprintf(output, "    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Who won?\"}]}'\n\n", model)
	fmt.Fprintf(output, "  LOTUSCTL_TOKEN=%s go run ./cmd/lotusctl -a http://%s 'show backends'\n\nInterrupt to stop.\n", AdminToken, deployed.admin)
	<-ctx.Done()
	return nil
}
