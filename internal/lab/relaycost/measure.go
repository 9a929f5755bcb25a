package relaycost

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// Bounds of the histograms, in nanoseconds, and their precision.
const (
	leastDelay    = 1
	mostDelay     = int64(time.Minute)
	digits        = 3
	medianPercent = 50
	tailPercent   = 99
)

// figures are the sums of one path over its rounds. They are safe for use by any
// goroutine.
type figures struct {
	name       string
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	perToken   *hdrhistogram.Histogram
	tokens     int
	bytes      int
	answers    int
	failures   map[string]int
	// ran and waited are of the threads of the process that carries the path:
	// processor time, and time without a processor while they could run.
	ran, waited time.Duration
	// stalled is the time in which any task of the machine waited for a processor,
	// and took the length of the rounds.
	stalled, took time.Duration
}

func newFigures(name string) *figures {
	return &figures{
		name:       name,
		firstToken: hdrhistogram.New(leastDelay, mostDelay, digits),
		perToken:   hdrhistogram.New(leastDelay, mostDelay, digits),
		failures:   make(map[string]int),
	}
}

// add takes one answer in. It fails when a time is out of the histogram's bounds.
func (f *figures) add(answer sample) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answers++
	f.tokens += 1 + len(answer.tokenDelays)
	f.bytes += answer.bytes
	if err := f.firstToken.RecordValue(answer.firstAdded); err != nil {
		return err
	}
	for _, delay := range answer.tokenDelays {
		if err := f.perToken.RecordValue(delay); err != nil {
			return err
		}
	}
	return nil
}

func (f *figures) fail(cause error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures[cause.Error()]++
}

// Report is what a run gave.
type Report struct {
	Direct, Hop, Relayed *figures
	// LoadBefore and LoadAfter are the machine's load averages.
	LoadBefore, LoadAfter string
}

func perToken(whole time.Duration, tokens int) time.Duration {
	return (whole / time.Duration(max(tokens, 1))).Round(100 * time.Nanosecond)
}

func share(part, whole time.Duration) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Write prints the report for people.
func (r Report) Write(output io.Writer) {
	writer := table.NewWriter()
	writer.SetOutputMirror(output)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(table.Row{
		"path", "first token p50 ms", "first token p99 ms", "per token p50 ms", "per token p99 ms",
		"tokens/s", "bytes/token", "answers", "failed",
	})
	for _, way := range r.paths() {
		writer.AppendRow(way.row())
	}
	writer.AppendSeparator()
	writer.AppendRow(added("added by a bare hop", r.Hop, r.Direct))
	writer.AppendRow(added("added by the daemon", r.Relayed, r.Direct))
	writer.AppendRow(added("daemon over bare hop", r.Relayed, r.Hop))
	writer.Render()
	for _, way := range []*figures{r.Hop, r.Relayed} {
		fmt.Fprintf(output, "%s: processor time %s per token, %.2f cores; its threads waited %s per token for a processor\n",
			way.name, perToken(way.ran, way.tokens), share(way.ran, way.took), perToken(way.waited, way.tokens))
	}
	for _, way := range r.paths() {
		fmt.Fprintf(output, "%s: some task of the machine waited for a processor in %.0f%% of the time\n",
			way.name, 100*share(way.stalled, way.took))
		for cause, count := range way.failures {
			fmt.Fprintf(output, "%s: failed %d times: %s\n", way.name, count, cause)
		}
	}
	fmt.Fprintf(output, "load average of the machine: %s before, %s after\n", r.LoadBefore, r.LoadAfter)
}

func (r Report) paths() []*figures { return []*figures{r.Direct, r.Hop, r.Relayed} }

// added is the row of what one path takes longer than another, quantile by quantile.
func added(name string, of, from *figures) table.Row {
	return table.Row{
		name,
		difference(of.firstToken, from.firstToken, medianPercent), difference(of.firstToken, from.firstToken, tailPercent),
		difference(of.perToken, from.perToken, medianPercent), difference(of.perToken, from.perToken, tailPercent),
	}
}

func (f *figures) row() table.Row {
	failed := 0
	for _, count := range f.failures {
		failed += count
	}
	return table.Row{
		f.name,
		milliseconds(f.firstToken.ValueAtPercentile(medianPercent)), milliseconds(f.firstToken.ValueAtPercentile(tailPercent)),
		milliseconds(f.perToken.ValueAtPercentile(medianPercent)), milliseconds(f.perToken.ValueAtPercentile(tailPercent)),
		fmt.Sprintf("%.0f", float64(f.tokens)/max(f.took.Seconds(), 1e-9)),
		f.bytes / max(f.tokens, 1), f.answers, failed,
	}
}

func milliseconds(nanoseconds int64) string {
	return fmt.Sprintf("%.3f", float64(nanoseconds)/float64(time.Millisecond))
}

func difference(of, from *hdrhistogram.Histogram, percent float64) string {
	return milliseconds(of.ValueAtPercentile(percent) - from.ValueAtPercentile(percent))
}
