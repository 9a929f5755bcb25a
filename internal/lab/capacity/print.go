package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

// namedSlope is a slope with the name under which docs/CAPACITY.md cites it.
type namedSlope struct {
	name  string
	slope projection.Slope
}

func namedSlopes(s projection.Slopes) []namedSlope {
	return []namedSlope{
		{"idle daemon, processor time", s.Idle.Core},
		{"idle daemon, resident memory", s.Idle.ResidentBytes},
		{"peer call, both ends", s.Call.PeerSeconds},
		{"peer call, HTTP bytes", s.Call.PeerBytes},
		{"kept connection, one end", s.Call.ConnectionBytes},
		{"datagram, both ends", s.Call.DatagramSeconds},
		{"status question, both ends", s.Backends.PollSeconds},
		{"status question, HTTP bytes", s.Backends.PollBytes},
		{"registry merge of a status", s.Backends.MergeSeconds},
		{"look for silence", s.Backends.RefreshSeconds},
		{"change of back ends that shows", s.Backends.ChangeSeconds},
		{"assignment of watched back ends", s.Backends.AssignSeconds},
		{"machine list, decode and merge", s.Backends.ListSeconds},
		{"machine list, JSON", s.Backends.ListBytes},
		{"knowledge for a daemon that starts, encoded", s.Backends.KnowledgeBytes},
		{"registry, scheduler and view", s.Backends.MemoryBytes},
		{"apply a change, with digest", s.Configuration.ApplySeconds},
		{"compile the view", s.Configuration.ViewSeconds},
		{"document, heap", s.Configuration.DocumentBytes},
		{"document, encoded", s.Configuration.EncodedBytes},
		{"change, encoded", s.Configuration.ChangeBytes},
		{"view, heap", s.Configuration.ViewBytes},
		{"tick in which a share changes", s.Limits.TickSeconds},
		{"limits, shares and scheduler, heap", s.Limits.MemoryBytes},
		{"asks for shares at a daemon's part of the requests", s.Limits.AsksPerSecond},
		{"shares at a daemon's part of the requests", s.Limits.AskingCore},
		{"ask for a share, encoded", s.Limits.AskBytes},
		{"request in the scheduler", s.Placement.RequestSeconds},
		{"tick of the scheduler", s.Placement.TickSeconds},
		{"belief, heap of an entry", s.Placement.EntryBytes},
		{"cache event, decode and apply", s.Placement.EventSeconds},
		{"cache event, encoded", s.Placement.EventBytes},
		{"notice, decode and apply", s.Placement.NoticeSeconds},
		{"notice, encoded", s.Placement.NoticeBytes},
		{"claim, decisions of all four", s.Claims.DecisionSeconds},
		{"claim, heap at a replica", s.Claims.MemoryBytes},
		{"replica groups of a roster", s.Claims.GroupsSeconds},
		{"controller's plan", s.Controller.PlanSeconds},
		{"membership, core (hollow)", s.Membership.Core},
		{"membership, sent datagrams (hollow)", s.Membership.SentPerSecond},
		{"membership, bytes both ways (hollow)", s.Membership.BytesPerSecond},
		{"membership, heap (hollow)", s.Membership.MemoryBytes},
		{"the same with 20 times the restarts, bytes", s.StressedMembership.BytesPerSecond},
		{"sightings, core (hollow)", s.Sightings.Core},
		{"sightings, sent messages (hollow)", s.Sightings.SentPerSecond},
		{"sightings, bytes both ways (hollow)", s.Sightings.BytesPerSecond},
		{"sightings, heap (hollow)", s.Sightings.MemoryBytes},
	}
}

// printer writes a result for people: as tables, or as Markdown for the page.
type printer struct {
	output   io.Writer
	markdown bool
}

func (p printer) write(result Result) {
	machine := result.Machine
	fmt.Fprintf(p.output, "%d cores shared with other work, %d used; %s; load average %s before, %s after; took %.0f s.\n",
		machine.Cores, machine.Workers, machine.GoVersion, machine.LoadAverage, result.LoadEnd, result.Duration.Seconds())
	for _, remark := range result.Remarks {
		p.heading("Remark: " + remark)
	}
	p.heading("Slopes:")
	p.writeSlopes(result.Slopes)
	p.heading("One daemon at the target size (live heap; the sums count the heap twice, for the collector):")
	p.writeLines(result.Report)
	p.heading("Lines to be changed, which the last sum leaves out:")
	for _, line := range result.Report.Lines {
		if line.Change != "" {
			fmt.Fprintf(p.output, "- %s, %s: %s.\n", line.Role, line.What, line.Change)
		}
	}
	p.heading("Verdicts:")
	p.writeVerdicts(result.Report)
}

func (p printer) heading(text string) {
	if p.markdown {
		text = "\n" + text + "\n"
	}
	fmt.Fprintln(p.output, text)
}

func newTable(header ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(header)
	return writer
}

func (p printer) render(writer table.Writer) {
	if p.markdown {
		fmt.Fprintln(p.output, writer.RenderMarkdown())
		return
	}
	fmt.Fprintln(p.output, writer.Render())
}

func (p printer) writeSlopes(slopes projection.Slopes) {
	writer := newTable("slope", "measured", "of", "growth")
	for _, named := range namedSlopes(slopes) {
		var points []string
		for _, point := range named.slope.Points {
			value := quantity(named.slope.Unit, point.Value)
			if named.slope.Of != "" {
				value = fmt.Sprintf("%s: %s", sizeText(point.Size), value)
			}
			points = append(points, value)
		}
		growth := ""
		if len(points) > 1 && named.slope.Points[0].Size > 0 {
			growth = fmt.Sprintf("^%.2f", named.slope.Growth())
		}
		writer.AppendRow(table.Row{named.name, strings.Join(points, "; "), named.slope.Of, growth})
	}
	p.render(writer)
}

func sizeText(size float64) string {
	if size != 0 && size < 1 {
		return fmt.Sprintf("%.3f", size)
	}
	return fmt.Sprintf("%.0f", size)
}

// quantity renders a value with a unit that suits its size.
func quantity(unit string, value float64) string {
	switch {
	case unit == coreUnit:
		return fmt.Sprintf("%.3f%%", 100*value)
	case unit == seconds && value >= 1e-3:
		return fmt.Sprintf("%.2f ms", 1e3*value)
	case unit == seconds && value >= 1e-6:
		return fmt.Sprintf("%.1f µs", 1e6*value)
	case unit == seconds:
		return fmt.Sprintf("%.0f ns", 1e9*value)
	case unit == perSecond:
		return fmt.Sprintf("%.1f/s", value)
	case value >= 1e6:
		return fmt.Sprintf("%.2f M%s", value/1e6, unit)
	case value >= 1e4:
		return fmt.Sprintf("%.1f k%s", value/1e3, unit)
	default:
		return fmt.Sprintf("%.0f %s", value, unit)
	}
}

func costCells(cost projection.Cost) []any {
	return []any{fmt.Sprintf("%.3f", 100*cost.Core), fmt.Sprintf("%.2f", cost.MemoryBytes/1e6), fmt.Sprintf("%.2f", cost.BytesPerSecond/1e3)}
}

func (p printer) writeLines(report projection.Report) {
	writer := newTable("role", "what", "mechanism", "group", "rate/s", "core %", "MB", "kB/s")
	for _, line := range report.Lines {
		rate := ""
		if line.Rate > 0 {
			rate = fmt.Sprintf("%.4g", line.Rate)
		}
		row := table.Row{line.Role, line.What, line.Mechanism, line.Group, rate}
		row = append(row, costCells(line.Cost)...)
		writer.AppendRow(row)
	}
	p.render(writer)
}

func (p printer) writeVerdicts(report projection.Report) {
	writer := newTable("sum", "core %", "MB", "kB/s", "core", "memory", "bytes")
	budget := report.Budget
	limits := costCells(projection.Cost(budget))
	writer.AppendRow(append(table.Row{"budget"}, limits...))
	for _, verdict := range report.Verdicts {
		row := append(table.Row{verdict.Name}, costCells(verdict.Cost)...)
		writer.AppendRow(append(row, word(verdict.CoreHolds), word(verdict.MemoryHolds), word(verdict.BytesHold)))
	}
	p.render(writer)
}

func word(holds bool) string {
	if holds {
		return "pass"
	}
	return "over"
}
