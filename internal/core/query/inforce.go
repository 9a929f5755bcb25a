package query

import (
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// CompareRevisions adds rows for the daemons that did not answer to a whole
// table of in-force, and marks the rows that are behind the newest revision.
func CompareRevisions(inForce Table, missing []identity.DaemonID) Table {
	var newest float64
	revision := columnIndex(inForce.Columns, "revision")
	behind := columnIndex(inForce.Columns, "behind")
	for _, row := range inForce.Rows {
		newest = max(newest, row[revision].Number)
	}
	silent := make([]InForce, 0, len(missing))
	for _, daemon := range missing {
		silent = append(silent, InForce{Daemon: daemon})
	}
	rows := append(slices.Clone(inForce.Rows), TableOf(silent).Rows...)
	for _, row := range rows {
		row[behind] = BooleanValue(row[revision].Number < newest)
	}
	sortByKeys(inForce.Columns, rows)
	return Table{Columns: inForce.Columns, Rows: rows}
}

// CountInForce counts the daemons of a table of in-force that have a revision or
// a newer one, and names the others.
func CountInForce(inForce Table, wanted identity.Revision) (int, []identity.DaemonID) {
	daemon := columnIndex(inForce.Columns, "daemon")
	revision := columnIndex(inForce.Columns, "revision")
	var behind []identity.DaemonID
	for _, row := range inForce.Rows {
		if identity.Revision(row[revision].Number) < wanted {
			behind = append(behind, identity.DaemonID(row[daemon].Text))
		}
	}
	return len(inForce.Rows) - len(behind), behind
}
