package query

import (
	"fmt"
	"strings"
)

// String writes the query in its canonical form.
func (s *Show) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "show %s", s.Source)
	for index, condition := range s.Where {
		keyword := "and"
		if index == 0 {
			keyword = "where"
		}
		fmt.Fprintf(&text, " %s %s %s %s", keyword, condition.Field, condition.Operator, condition.Value)
	}
	if s.Order != nil {
		fmt.Fprintf(&text, " order by %s", s.Order.Field)
		if s.Order.Descending {
			text.WriteString(" desc")
		}
	}
	if s.Limit != nil {
		fmt.Fprintf(&text, " limit %d", *s.Limit)
	}
	return text.String()
}
