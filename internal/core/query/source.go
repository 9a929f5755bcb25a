package query

import (
	"reflect"
	"slices"
	"strings"
)

// Source names what a query asks about.
type Source string

// The sources.
const (
	SourceBackends        Source = "backends"
	SourceLeavingBackends Source = "leaving backends"
	SourceDaemons         Source = "daemons"
	SourceModels          Source = "models"
	SourceQuarantines     Source = "quarantines"
	SourceRollouts        Source = "rollouts"
	SourceRoutes          Source = "routes"
	SourceServices        Source = "services"
	SourceTenants         Source = "tenants"
)

// Capture implements participle.Capture.
func (s *Source) Capture(words []string) error {
	*s = Source(strings.ToLower(strings.Join(words, " ")))
	return nil
}

// schemas holds the columns of each source, from the tags of its row type.
var schemas = map[Source][]Column{
	SourceBackends:        columnsOf(reflect.TypeFor[Backend]()),
	SourceLeavingBackends: columnsOf(reflect.TypeFor[Backend]()),
	SourceDaemons:         columnsOf(reflect.TypeFor[Daemon]()),
	SourceModels:          columnsOf(reflect.TypeFor[Model]()),
	SourceQuarantines:     columnsOf(reflect.TypeFor[Quarantine]()),
	SourceRollouts:        columnsOf(reflect.TypeFor[Rollout]()),
	SourceRoutes:          columnsOf(reflect.TypeFor[Route]()),
	SourceServices:        columnsOf(reflect.TypeFor[Service]()),
	SourceTenants:         columnsOf(reflect.TypeFor[Tenant]()),
}

// Columns returns the columns of the source, or nil for an unknown source.
func (s Source) Columns() []Column {
	return slices.Clone(schemas[s])
}
