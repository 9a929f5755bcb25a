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

// String writes the command in its canonical form.
func (c *Command) String() string {
	text := c.Action.String()
	if c.Base != nil {
		text += fmt.Sprintf(" if revision %d", *c.Base)
	}
	if c.ChangeID != "" {
		text += " as " + c.ChangeID.String()
	}
	return text
}

// String writes the action in its canonical form.
func (a DeclareEvent) String() string {
	return "declare event " + a.Name.String() + " from " + a.From.String() + " to " + a.To.String() +
		list("tenants", a.Tenants) + list("models", a.Models) +
		list("not-repeatable", a.NotRepeatable) + list("prefixes", a.Prefixes)
}

// String writes the action in its canonical form.
func (a ChangeEvent) String() string {
	return "change event " + a.Name.String() + optional("from", a.From) + optional("to", a.To) +
		list("tenants", a.Tenants) + list("models", a.Models) +
		list("not-repeatable", a.NotRepeatable) + list("prefixes", a.Prefixes)
}

// String writes the need in its canonical form.
func (m ModelNeed) String() string {
	return fmt.Sprintf("%s/%s@%s x %d", m.Service, m.Model, m.Version, m.Engines)
}

// String writes the prefix in its canonical form.
func (p PromptPrefix) String() string {
	return fmt.Sprintf("%s/%s at %s", p.Tenant, p.Model, p.ObjectKey)
}

// String writes the action in its canonical form.
func (a CancelEvent) String() string { return "cancel event " + a.Name.String() }

// String writes the action in its canonical form.
func (a DrainBackend) String() string { return "drain backend " + a.Backend.String() }

// String writes the action in its canonical form.
func (a ReturnBackend) String() string { return "return backend " + a.Backend.String() }

// String writes the action in its canonical form.
func (a LoadModel) String() string {
	return fmt.Sprintf("load model %s@%s on %s", a.Model, a.Version, a.Engine)
}

// String writes the action in its canonical form.
func (a UnloadModel) String() string {
	return fmt.Sprintf("unload model %s@%s from %s", a.Model, a.Version, a.Engine)
}

// String writes the action in its canonical form.
func (a LoadAdapter) String() string {
	return fmt.Sprintf("load adapter %s of %s on %s", a.Adapter, a.Model, a.Engine)
}

// String writes the action in its canonical form.
func (a UnloadAdapter) String() string {
	return fmt.Sprintf("unload adapter %s of %s from %s", a.Adapter, a.Model, a.Engine)
}

// String writes the action in its canonical form.
func (a SetRole) String() string { return fmt.Sprintf("set role %s on %s", a.Role, a.Engine) }

// String writes the action in its canonical form.
func (a SetLimits) String() string {
	return "set limits of " + a.Tenant.String() + optional("tokens-per-second", a.TokensPerSecond) +
		optional("concurrent", a.Concurrent) + optional("weight", a.Weight)
}

// String writes the action in its canonical form.
func (a SetVersion) String() string {
	return fmt.Sprintf("set version of %s to %s", a.Model, a.Version)
}

func list[T any](keyword string, items []T) string {
	if len(items) == 0 {
		return ""
	}
	texts := make([]string, 0, len(items))
	for _, item := range items {
		texts = append(texts, fmt.Sprint(item))
	}
	return " " + keyword + " " + strings.Join(texts, ", ")
}

func optional[T any](keyword string, value *T) string {
	if value == nil {
		return ""
	}
	return " " + keyword + " " + fmt.Sprint(*value)
}
