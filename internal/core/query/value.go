package query

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Value is one typed value of a table.
type Value struct {
	Type ColumnType
	Text string
	// Number is the value of a number, the seconds of a duration, the
	// microseconds since the Unix epoch of a time, and 1 or 0 for a boolean.
	Number float64
}

// TextValue makes a text.
func TextValue(text string) Value { return Value{Type: TypeText, Text: text} }

// NumberValue makes a number. What is no finite number becomes 0.
func NumberValue(number float64) Value {
	if math.IsInf(number, 0) || math.IsNaN(number) {
		number = 0
	}
	return Value{Type: TypeNumber, Number: number}
}

// BooleanValue makes a boolean.
func BooleanValue(truth bool) Value {
	value := Value{Type: TypeBoolean}
	if truth {
		value.Number = 1
	}
	return value
}

// DurationValue makes a duration.
func DurationValue(duration time.Duration) Value {
	return Value{Type: TypeDuration, Number: duration.Seconds()}
}

// TimeValue makes a time, to the microsecond. The zero time is an empty value.
func TimeValue(moment time.Time) Value {
	if moment.IsZero() {
		return Value{Type: TypeTime}
	}
	return Value{Type: TypeTime, Number: float64(moment.UnixMicro())}
}

// Time returns the moment of a time value.
func (v Value) Time() time.Time {
	if v.Number == 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(v.Number)).UTC()
}

// shownTime is how times are shown to a person, to the millisecond.
const shownTime = "2006-01-02T15:04:05.999Z07:00"

// String renders the value for a person.
func (v Value) String() string {
	switch v.Type {
	case TypeNumber:
		return strconv.FormatFloat(math.Round(v.Number*1000)/1000, 'f', -1, 64)
	case TypeBoolean:
		return strconv.FormatBool(v.Number != 0)
	case TypeDuration:
		return time.Duration(v.Number * float64(time.Second)).Round(time.Microsecond).String()
	case TypeTime:
		if v.Number == 0 {
			return ""
		}
		return v.Time().Format(shownTime)
	default:
		return v.Text
	}
}

// MarshalJSON implements json.Marshaler with the JSON type that fits; an empty
// time is null, and a duration is its number of seconds.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.Type {
	case TypeNumber, TypeDuration:
		return json.Marshal(v.Number)
	case TypeBoolean:
		return json.Marshal(v.Number != 0)
	case TypeTime:
		if v.Number == 0 {
			return []byte("null"), nil
		}
		return json.Marshal(v.Time().Format(time.RFC3339Nano))
	default:
		return json.Marshal(v.Text)
	}
}

// UnmarshalJSON implements json.Unmarshaler. A table's JSON carries the types in
// its columns only.
func (t *Table) UnmarshalJSON(encoded []byte) error {
	var raw struct {
		Columns []Column            `json:"columns"`
		Rows    [][]json.RawMessage `json:"rows"`
	}
	if err := json.Unmarshal(encoded, &raw); err != nil {
		return err
	}
	table := Table{Columns: raw.Columns, Rows: make([]Row, 0, len(raw.Rows))}
	for number, cells := range raw.Rows {
		if len(cells) != len(raw.Columns) {
			return fmt.Errorf("row %d has %d values for %d columns", number, len(cells), len(raw.Columns))
		}
		row := make(Row, len(cells))
		for index, cell := range cells {
			value, err := valueFromJSON(raw.Columns[index].Type, cell)
			if err != nil {
				return fmt.Errorf("row %d, column %q: %w", number, raw.Columns[index].Name, err)
			}
			row[index] = value
		}
		table.Rows = append(table.Rows, row)
	}
	*t = table
	return nil
}

func valueFromJSON(columnType ColumnType, cell json.RawMessage) (Value, error) {
	value := Value{Type: columnType}
	switch columnType {
	case TypeNumber, TypeDuration:
		return value, json.Unmarshal(cell, &value.Number)
	case TypeBoolean:
		var truth bool
		err := json.Unmarshal(cell, &truth)
		return BooleanValue(truth), err
	case TypeTime:
		if bytes.Equal(cell, []byte("null")) {
			return value, nil
		}
		var moment time.Time
		err := json.Unmarshal(cell, &moment)
		return TimeValue(moment), err
	default:
		return value, json.Unmarshal(cell, &value.Text)
	}
}

// compare orders two values of one type.
func (v Value) compare(other Value) int {
	return cmp.Or(cmp.Compare(v.Number, other.Number), strings.Compare(v.Text, other.Text))
}

// parseValue reads what an operator wrote as a value of a type. The second
// result says what was expected when it is no such value.
func parseValue(columnType ColumnType, text string) (Value, string) {
	switch columnType {
	case TypeNumber:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
			return Value{}, "a number"
		}
		return NumberValue(number), ""
	case TypeBoolean:
		truth, err := strconv.ParseBool(strings.ToLower(text))
		if err != nil {
			return Value{}, "true or false"
		}
		return BooleanValue(truth), ""
	case TypeDuration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return Value{}, "a duration such as 250ms or 10s"
		}
		return DurationValue(duration), ""
	case TypeTime:
		moment, err := parseInstant(text)
		if err != nil {
			return Value{}, "a time such as 2026-05-01T17:00:00Z"
		}
		return TimeValue(moment), ""
	default:
		return TextValue(text), ""
	}
}
