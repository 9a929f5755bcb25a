package query

import (
	"slices"
	"strings"
)

// Merge puts the answers of several daemons about one source together. Rows with
// equal keys become one row, column by column after its merge rule. The result
// does not depend on the order of the answers, except for columns without a
// MergeOrder column beside them, where the first answer goes before later ones.
func Merge(source Source, answers ...Table) (Table, error) {
	columns := schemas[source]
	merged := Table{Columns: slices.Clone(columns), Rows: []Row{}}
	positions := map[string]int{}
	for _, answer := range answers {
		if err := answer.Verify(source); err != nil {
			return Table{}, err
		}
		for _, row := range answer.Rows {
			key := keyOf(columns, row)
			position, found := positions[key]
			if !found {
				positions[key] = len(merged.Rows)
				merged.Rows = append(merged.Rows, slices.Clone(row))
				continue
			}
			mergeRow(columns, merged.Rows[position], row)
		}
	}
	sortByKeys(columns, merged.Rows)
	return merged, nil
}

// keyOf joins the key columns; the separator can't be part of a name.
func keyOf(columns []Column, row Row) string {
	var key strings.Builder
	for index, column := range columns {
		if column.Merge == MergeKey {
			key.WriteString(row[index].String())
			key.WriteByte(0)
		}
	}
	return key.String()
}

// mergeRow merges another row with equal keys into a row.
func mergeRow(columns []Column, into, other Row) {
	newer := isNewer(columns, into, other)
	for index, column := range columns {
		switch column.Merge {
		case MergeSum:
			into[index].Number += other[index].Number
		case MergeMaximum, MergeOrder:
			if other[index].compare(into[index]) > 0 {
				into[index] = other[index]
			}
		case MergeNewest:
			if newer {
				into[index] = other[index]
			}
		}
	}
}

// isNewer tells whether the other row is newer. Of equally new rows, the one
// with the greater values is taken, so that the order of answers doesn't matter.
func isNewer(columns []Column, into, other Row) bool {
	ordered := false
	for index, column := range columns {
		if column.Merge != MergeOrder {
			continue
		}
		ordered = true
		if order := other[index].compare(into[index]); order != 0 {
			return order > 0
		}
	}
	if !ordered {
		return false
	}
	for index, column := range columns {
		if column.Merge != MergeNewest {
			continue
		}
		if order := other[index].compare(into[index]); order != 0 {
			return order > 0
		}
	}
	return false
}

// DropUnobserved leaves out the rows of engines or back ends that a daemon has no
// report of and no work on. The daemon that asks has them from its own view, so
// that the answers of many daemons stay small.
func DropUnobserved(table Table) Table {
	observed := columnIndex(table.Columns, "observed")
	rows := slices.DeleteFunc(slices.Clone(table.Rows), func(row Row) bool {
		return row[observed].Number == 0 && !hasWork(table.Columns, row)
	})
	return Table{Columns: table.Columns, Rows: rows}
}

// hasWork tells whether a row counts in a sum or says that something leaves.
func hasWork(columns []Column, row Row) bool {
	for index, column := range columns {
		if (column.Merge == MergeSum || column.Merge == MergeMaximum) && row[index].Number != 0 {
			return true
		}
	}
	return false
}

// OnlyLeaving keeps the leaving ones of a whole table of back ends.
func OnlyLeaving(backends Table) Table {
	leaving := columnIndex(backends.Columns, "leaving")
	rows := slices.DeleteFunc(slices.Clone(backends.Rows), func(row Row) bool { return row[leaving].Number == 0 })
	return Table{Columns: backends.Columns, Rows: rows}
}
