package hollow

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Command is the command line of a hollow run, for go-flags.
type Command struct {
	Daemons  []int         `long:"daemons" description:"Numbers of daemons, one run each (50, 100, 200, 340 when not given)"`
	Zones    int           `long:"zones" default:"6" description:"Zones that the daemons are spread over"`
	Loss     float64       `long:"loss" default:"0.05" description:"Share of datagrams that are lost"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the run; the same seed gives the same run"`
	Duration time.Duration `long:"duration" default:"60s" description:"Simulated time of each measurement of cost"`
	Facts    int           `long:"facts" default:"10" description:"Facts of each kind whose spread is measured"`
	Restarts float64       `long:"restart-factor" default:"20" description:"How much faster than on an ordinary day daemons restart in the last measurement of cost"`
}

// tables are what a run prints, one row for each size.
type tables struct {
	cost, spread, faults table.Writer
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	return c.run(os.Stdout)
}

func (c *Command) run(output io.Writer) error {
	sizes := c.Daemons
	if len(sizes) == 0 {
		sizes = []int{50, 100, 200, 340}
	}
	printed := newTables(output)
	for _, size := range sizes {
		if size <= seedCount || c.Zones < 2 {
			return fmt.Errorf("hollow: needs more than %d daemons and at least 2 zones", seedCount)
		}
		if err := c.runSize(printed, size); err != nil {
			return err
		}
	}
	fmt.Fprintf(output, "Hollow daemons in simulated time: %d zones, %.0f%% loss, seed %d.\n", c.Zones, c.Loss*100, c.Seed)
	fmt.Fprintln(output, "Cost of one daemon (kB/s with IP and UDP headers; core without system calls):")
	printed.cost.Render()
	fmt.Fprintln(output, "Time for a fact to come to each daemon, seconds:")
	printed.spread.Render()
	fmt.Fprintln(output, "Faults:")
	printed.faults.Render()
	return nil
}

func newTables(output io.Writer) *tables {
	made := &tables{cost: table.NewWriter(), spread: table.NewWriter(), faults: table.NewWriter()}
	for _, writer := range []table.Writer{made.cost, made.spread, made.faults} {
		writer.SetOutputMirror(output)
	}
	made.cost.AppendHeader(table.Row{"daemons", "state", "sent kB/s", "received kB/s", "both", "peak second", "messages/s", "core %", "false deaths"})
	made.spread.AppendHeader(table.Row{"daemons", "fact", "p50", "p99", "max", "incomplete"})
	made.faults.AppendHeader(table.Row{"daemons", "fault", "result"})
	return made
}

func (c *Command) runSize(printed *tables, size int) error {
	conditions := LocalConditions()
	conditions.Loss = c.Loss
	heapBefore := heapInUse()
	run, err := newFleet(size, c.Zones, c.Seed, conditions)
	if err != nil {
		return err
	}
	took, joined := run.join(2 * time.Minute)
	startTraffic := run.traffic()
	printed.faults.AppendRow(table.Row{size, "start of all at once", fmt.Sprintf(
		"all know all after %.1f s (%t), %.0f kB each both ways, %d false deaths", took.Seconds(), joined,
		float64(startTraffic.SentBytes+startTraffic.ReceivedBytes)/1000/float64(size), run.deaths)})

	run.network.Run(30 * time.Second)
	printed.cost.AppendRow(row(size, "idle", run.idle(c.Duration).columns()))
	memory := (heapInUse() - heapBefore) / uint64(size)
	printed.cost.AppendRow(row(size, "ordinary day", run.busy(c.Duration, 1).columns()))
	hastened := fmt.Sprintf("restarts x %g", c.Restarts)
	printed.cost.AppendRow(row(size, hastened, run.busy(c.Duration, c.Restarts).columns()))
	run.network.Run(30 * time.Second)
	run.returnRestarted()
	run.network.Run(30 * time.Second)

	c.measureSpread(printed, run, size)
	c.measureFaults(printed, run, size)
	printed.faults.AppendRow(table.Row{size, "heap of a daemon", fmt.Sprintf("%d kB", memory/1000)})
	if run.codec.Oversized+run.codec.Failed > 0 {
		return fmt.Errorf("hollow: %d messages were too large and %d were not decoded", run.codec.Oversized, run.codec.Failed)
	}
	return nil
}

func (c *Command) measureSpread(printed *tables, run *fleet, size int) {
	heard, confirmed := run.revisions(c.Facts)
	printed.spread.AppendRow(row(size, "revision heard of", heard.columns()))
	printed.spread.AppendRow(row(size, "revision known in force on all", confirmed.columns()))
	printed.spread.AppendRow(row(size, "leave of a back end", run.leaves(c.Facts).columns()))
	printed.spread.AppendRow(row(size, "death of a daemon", run.failures(c.Facts).columns()))
}

func (c *Command) measureFaults(printed *tables, run *fleet, size int) {
	pauses := 10 * c.Facts
	run.network.Run(20 * time.Second)
	printed.faults.AppendRow(table.Row{size, "pauses of a second", fmt.Sprintf("%d pauses, %d false deaths", pauses, run.pauses(pauses))})
	zone := run.network.Hosts()[0].Zone
	printed.faults.AppendRow(table.Row{size, "a zone cut off", run.cut(func(host *Host) bool { return host.Zone == zone }).text()})
	run.network.Run(30 * time.Second)
	half := map[*Host]bool{}
	for index, host := range run.network.Hosts() {
		half[host] = index%c.Zones >= (c.Zones+1)/2
	}
	printed.faults.AppendRow(table.Row{size, "the smaller half of the zones cut off", run.cut(func(host *Host) bool { return half[host] }).text()})
}

func (c Cut) text() string {
	return fmt.Sprintf("cut off without contact after %.1f s, wrong contact %d, oldest contact of the rest %.1f s, all agree %.1f s after (%t)",
		c.Isolated.Seconds(), c.WrongContact, c.WorstAge.Seconds(), c.Healed.Seconds(), c.Agreed)
}

func row(size int, label string, columns []string) table.Row {
	made := table.Row{size, label}
	for _, column := range columns {
		made = append(made, column)
	}
	return made
}
