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
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	perToken   *hdrhistogram.Histogram
	tokens     int
	bytes      int
	answers    int
	failures   map[string]int
	// daemonCPU is the daemon's processor time in the rounds, and took their length.
	daemonCPU time.Duration
	took      time.Duration
}

func newFigures() *figures {
	return &figures{
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
	Options         Options
	Direct, Relayed *figures
	// LoadBefore and LoadAfter are the machine's load averages.
	LoadBefore, LoadAfter string
}

// idleCPU is the daemon's processor time per second while the load goes past it.
func (r Report) idleCPU() float64 {
	return share(r.Direct.daemonCPU, r.Direct.took)
}

// cpuPerToken is the daemon's processor time per relayed token, without what it
// uses when it relays nothing.
func (r Report) cpuPerToken() time.Duration {
	if r.Relayed.tokens == 0 {
		return 0
	}
	idle := time.Duration(r.idleCPU() * float64(r.Relayed.took))
	return (r.Relayed.daemonCPU - idle) / time.Duration(r.Relayed.tokens)
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
	writer.AppendRow(r.Direct.row("direct"))
	writer.AppendRow(r.Relayed.row("through the daemon"))
	writer.AppendRow(table.Row{
		"added",
		difference(r.Relayed.firstToken, r.Direct.firstToken, medianPercent),
		difference(r.Relayed.firstToken, r.Direct.firstToken, tailPercent),
		difference(r.Relayed.perToken, r.Direct.perToken, medianPercent),
		difference(r.Relayed.perToken, r.Direct.perToken, tailPercent),
	})
	writer.Render()
	fmt.Fprintf(output, "daemon's processor time: %s per relayed token, %.2f cores while relaying, %.3f cores while idle\n",
		r.cpuPerToken(), share(r.Relayed.daemonCPU, r.Relayed.took), r.idleCPU())
	fmt.Fprintf(output, "load average of the machine: %s before, %s after\n", r.LoadBefore, r.LoadAfter)
	for _, side := range []*figures{r.Direct, r.Relayed} {
		for cause, count := range side.failures {
			fmt.Fprintf(output, "failed %d times: %s\n", count, cause)
		}
	}
}

func (f *figures) row(name string) table.Row {
	failed := 0
	for _, count := range f.failures {
		failed += count
	}
	return table.Row{
		name,
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
