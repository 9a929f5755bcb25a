package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// columns are the headers of the table and of the CSV file.
var columns = []string{
	"deployment", "scenario", "policy", "hit rate", "recomputed", "held elsewhere",
	"first p50 ms", "first p95 ms", "first p99 ms", "tag p99 ms", "page p99 ms", "idle page p99 ms",
	"refused", "late", "fairness", "requests", "seeds",
}

// cells renders a summary in the order of columns.
func (s Summary) cells() []string {
	return []string{
		s.Deployment, s.Scenario, s.Policy, percent(s.HitRate),
		fmt.Sprintf("%.0f", s.RecomputedTokens), fmt.Sprintf("%.0f", s.HeldTokens),
		tenths(s.FirstTokenP50), tenths(s.FirstTokenP95), tenths(s.FirstTokenP99),
		tenths(s.TagP99), tenths(s.PageP99), tenths(s.IdlePageP99),
		percent(s.RefusedShare), percent(s.LateShare), fmt.Sprintf("%.3f", s.Fairness),
		fmt.Sprint(s.Requests), fmt.Sprint(s.Seeds),
	}
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func tenths(value float64) string { return fmt.Sprintf("%.1f", value) }

// WriteTable writes a table for people.
func WriteTable(output io.Writer, summaries []Summary) {
	writer := table.NewWriter()
	writer.SetOutputMirror(output)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(row(columns))
	for index, summary := range summaries {
		if index > 0 && (summary.Scenario != summaries[index-1].Scenario || summary.Deployment != summaries[index-1].Deployment) {
			writer.AppendSeparator()
		}
		writer.AppendRow(row(summary.cells()))
	}
	writer.Render()
}

func row(cells []string) table.Row {
	made := make(table.Row, len(cells))
	for index, cell := range cells {
		made[index] = cell
	}
	return made
}

// WriteCSV writes the same columns as comma-separated values.
func WriteCSV(output io.Writer, summaries []Summary) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(columns); err != nil {
		return err
	}
	for _, summary := range summaries {
		if err := writer.Write(summary.cells()); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// WriteJSON writes the summaries as a JSON array.
func WriteJSON(output io.Writer, summaries []Summary) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summaries)
}
