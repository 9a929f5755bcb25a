package query

import (
	"cmp"
	"slices"
	"strings"
)

// checkShow finds unknown fields, values of the wrong type and comparisons that
// a field doesn't have.
func checkShow(text string, show *Show) *ParseError {
	columns := schemas[show.Source]
	for _, condition := range show.Where {
		if failure := checkCondition(text, columns, condition); failure != nil {
			return failure
		}
	}
	if show.Order != nil {
		if failure := checkField(text, columns, show.Order.Field); failure != nil {
			return failure
		}
	}
	return nil
}

func checkField(text string, columns []Column, field Operand) *ParseError {
	if columnIndex(columns, field.Text) >= 0 {
		return nil
	}
	failure := newParseError(text, field.offset, "there is no field %q", field.Text)
	failure.Expected = columnNames(columns)
	failure.Suggestion = nearest(field.Text, failure.Expected)
	return failure
}

func checkCondition(text string, columns []Column, condition Condition) *ParseError {
	if failure := checkField(text, columns, condition.Field); failure != nil {
		return failure
	}
	column := columns[columnIndex(columns, condition.Field.Text)]
	if condition.Operator == Contains && column.Type != TypeText {
		return newParseError(text, condition.Field.offset, "%s is a %s, and ~ compares texts only", column.Name, column.Type)
	}
	if _, expected := parseValue(column.Type, condition.Value.Text); expected != "" {
		failure := newParseError(text, condition.Value.offset, "%s is a %s, not %q", column.Name, column.Type, condition.Value.Text)
		failure.Expected = []string{expected}
		return failure
	}
	return nil
}

// Evaluate filters, orders and limits the rows of a whole table of the query's
// source. Without an order, rows go by their keys.
func Evaluate(show *Show, table Table) (Table, error) {
	if err := table.Verify(show.Source); err != nil {
		return Table{}, err
	}
	rows := make([]Row, 0, len(table.Rows))
	for _, row := range table.Rows {
		if holdsAll(show.Where, table.Columns, row) {
			rows = append(rows, row)
		}
	}
	sortByKeys(table.Columns, rows)
	if show.Order != nil {
		sortBy(columnIndex(table.Columns, show.Order.Field.Text), show.Order.Descending, rows)
	}
	if show.Limit != nil && uint64(*show.Limit) < uint64(len(rows)) {
		rows = rows[:*show.Limit]
	}
	return Table{Columns: table.Columns, Rows: rows}, nil
}

func holdsAll(conditions []Condition, columns []Column, row Row) bool {
	for _, condition := range conditions {
		index := columnIndex(columns, condition.Field.Text)
		if index < 0 || !condition.holds(row[index]) {
			return false
		}
	}
	return true
}

func (c Condition) holds(value Value) bool {
	if c.Operator == Contains {
		return strings.Contains(strings.ToLower(value.Text), strings.ToLower(c.Value.Text))
	}
	wanted, _ := parseValue(value.Type, c.Value.Text)
	order := value.compare(wanted)
	switch c.Operator {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	default:
		return order >= 0
	}
}

func sortBy(index int, descending bool, rows []Row) {
	if index < 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		if descending {
			a, b = b, a
		}
		return a[index].compare(b[index])
	})
}

func sortByKeys(columns []Column, rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		for index, column := range columns {
			if !column.Key {
				continue
			}
			if order := a[index].compare(b[index]); order != 0 {
				return order
			}
		}
		return cmp.Compare(len(a), len(b))
	})
}
