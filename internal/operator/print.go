package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// Format is how answers are printed.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// printer writes answers to output, and what is beside them to notes.
type printer struct {
	format Format
	output io.Writer
	notes  io.Writer
}

func (p printer) response(response adminwire.Response) {
	if p.format == FormatJSON {
		p.json(response)
		return
	}
	switch {
	case response.Table != nil:
		p.table(*response.Table)
	case response.Accepted != nil:
		fmt.Fprintln(p.output, describeAccepted(*response.Accepted))
	}
	if response.Partial != nil {
		fmt.Fprintf(p.notes, "Partial answer: no answer from %s.\n", joined(response.Partial.Missing))
	}
}

func (p printer) json(value any) {
	encoder := json.NewEncoder(p.output)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // a reader that went away needs no answer
}

func (p printer) table(answer query.Table) {
	writer := table.NewWriter()
	writer.SetStyle(table.StyleLight)
	writer.Style().Format.Header = text.FormatDefault
	header := make(table.Row, 0, len(answer.Columns))
	var configs []table.ColumnConfig
	for index, column := range answer.Columns {
		header = append(header, column.Name)
		if column.Type == query.TypeNumber || column.Type == query.TypeDuration {
			configs = append(configs, table.ColumnConfig{Number: index + 1, Align: text.AlignRight})
		}
	}
	writer.AppendHeader(header)
	writer.SetColumnConfigs(configs)
	for _, values := range answer.Rows {
		row := make(table.Row, 0, len(values))
		for _, value := range values {
			row = append(row, value.String())
		}
		writer.AppendRow(row)
	}
	fmt.Fprintln(p.output, writer.Render())
	fmt.Fprintln(p.output, countRows(len(answer.Rows)))
}

func countRows(count int) string {
	if count == 1 {
		return "1 row"
	}
	return fmt.Sprintf("%d rows", count)
}

func describeAccepted(accepted adminwire.Accepted) string {
	verb := "Accepted"
	if accepted.Repeated {
		verb = "Accepted before"
	}
	return fmt.Sprintf("%s as revision %d, change %s; %s.", verb, accepted.Revision, accepted.ChangeID, describeInForce(accepted.InForce))
}

func describeInForce(report adminwire.InForce) string {
	description := fmt.Sprintf("in force on %d of %d daemons", report.Confirmed, report.Total)
	if len(report.Behind) > 0 {
		description += ", behind: " + joined(report.Behind)
	}
	return description
}

func joined(daemons []identity.DaemonID) string {
	names := make([]string, 0, len(daemons))
	for _, daemon := range daemons {
		names = append(names, string(daemon))
	}
	return strings.Join(names, ", ")
}
