package query

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// ColumnType is the type of the values of a column.
type ColumnType string

// The column types.
const (
	TypeText    ColumnType = "text"
	TypeNumber  ColumnType = "number"
	TypeBoolean ColumnType = "boolean"
	TypeTime    ColumnType = "time"
	// TypeDuration values are numbers of seconds in JSON.
	TypeDuration ColumnType = "duration"
)

// Column describes one column of a table.
type Column struct {
	Name string     `json:"name"`
	Type ColumnType `json:"type"`
	// Key columns together identify a row.
	Key bool `json:"-"`
}

// Row holds one value for each column of its table.
type Row []Value

// Table is the answer to a query.
type Table struct {
	Columns []Column `json:"columns"`
	Rows    []Row    `json:"rows"`
}

var (
	timeType     = reflect.TypeFor[time.Time]()
	durationType = reflect.TypeFor[time.Duration]()
)

// columnsOf derives the columns from the tags of a row type. Each field needs a
// tag `column:"name[,key]"`; that it has one is checked by a test.
func columnsOf(rowType reflect.Type) []Column {
	columns := make([]Column, 0, rowType.NumField())
	for index := range rowType.NumField() {
		field := rowType.Field(index)
		name, rule, _ := strings.Cut(field.Tag.Get("column"), ",")
		columns = append(columns, Column{Name: name, Type: columnTypeOf(field.Type), Key: rule == "key"})
	}
	return columns
}

func columnTypeOf(fieldType reflect.Type) ColumnType {
	switch {
	case fieldType == timeType:
		return TypeTime
	case fieldType == durationType:
		return TypeDuration
	case fieldType.Kind() == reflect.Bool:
		return TypeBoolean
	case fieldType.Kind() == reflect.String:
		return TypeText
	default:
		return TypeNumber
	}
}

// TableOf makes a table of rows of one of the row types of this package.
func TableOf[R any](rows []R) Table {
	table := Table{Columns: columnsOf(reflect.TypeFor[R]()), Rows: make([]Row, 0, len(rows))}
	for _, row := range rows {
		table.Rows = append(table.Rows, rowOf(table.Columns, reflect.ValueOf(row)))
	}
	return table
}

func rowOf(columns []Column, fields reflect.Value) Row {
	row := make(Row, len(columns))
	for index, column := range columns {
		row[index] = valueOf(column.Type, fields.Field(index))
	}
	return row
}

func valueOf(columnType ColumnType, field reflect.Value) Value {
	switch columnType {
	case TypeText:
		return TextValue(field.String())
	case TypeTime:
		return TimeValue(field.Interface().(time.Time))
	case TypeDuration:
		return DurationValue(time.Duration(field.Int()))
	case TypeBoolean:
		return BooleanValue(field.Bool())
	}
	switch {
	case field.CanInt():
		return NumberValue(float64(field.Int()))
	case field.CanUint():
		return NumberValue(float64(field.Uint()))
	default:
		return NumberValue(field.Float())
	}
}

// MismatchError says that a table does not have the columns of its source, or a
// row not the values of its table.
type MismatchError struct {
	Source Source
	Reason string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("table of %s: %s", e.Source, e.Reason)
}

// Verify checks a table against the schema of its source.
func (t Table) Verify(source Source) error {
	schema := schemas[source]
	if len(t.Columns) != len(schema) {
		return &MismatchError{source, fmt.Sprintf("%d columns in place of %d", len(t.Columns), len(schema))}
	}
	for index, column := range schema {
		if t.Columns[index] != column {
			return &MismatchError{source, fmt.Sprintf("column %q in place of %q", t.Columns[index].Name, column.Name)}
		}
	}
	for number, row := range t.Rows {
		if len(row) != len(schema) {
			return &MismatchError{source, fmt.Sprintf("row %d has %d values", number, len(row))}
		}
		for index, value := range row {
			if value.Type != schema[index].Type {
				return &MismatchError{source, fmt.Sprintf("row %d has a %q in column %q", number, value.Type, schema[index].Name)}
			}
		}
	}
	return nil
}

func columnNames(columns []Column) []string {
	names := make([]string, 0, len(columns))
	for _, column := range columns {
		names = append(names, column.Name)
	}
	return names
}

func columnIndex(columns []Column, name string) int {
	for index, column := range columns {
		if strings.EqualFold(column.Name, name) {
			return index
		}
	}
	return -1
}
