package operator

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/lotusward/lotusward/internal/core/query"
)

// Format is how answers are printed.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// printer writes answers.
type printer struct {
	format Format
	output io.Writer
}

func (p printer) answer(answer query.Table) {
	if p.format == FormatJSON {
		p.json(answer)
		return
	}
	p.table(answer)
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
