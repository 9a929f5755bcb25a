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
	SourceHotPrefixes     Source = "hot prefixes"
	SourceWaitingRequests Source = "waiting requests"
	SourceLeavingBackends Source = "leaving backends"
	SourceEngines         Source = "engines"
	SourceBackends        Source = "backends"
	SourceDaemons         Source = "daemons"
	SourceTenants         Source = "tenants"
	SourceEvents          Source = "events"
	SourceModels          Source = "models"
	SourceRevisions       Source = "revisions"
	SourceAudit           Source = "audit"
	SourceInForce         Source = "in-force"
)

// Capture implements participle.Capture.
func (s *Source) Capture(words []string) error {
	*s = Source(strings.ToLower(strings.Join(words, " ")))
	return nil
}

// Scope says which daemons have to be asked about a source.
type Scope int

// The scopes.
const (
	// ScopeFleet means that every daemon knows a part.
	ScopeFleet Scope = iota
	// ScopeDocument means that the configuration document says it all.
	ScopeDocument
	// ScopeInForce means that the revisions of all daemons are compared.
	ScopeInForce
)

// Scope returns which daemons have to be asked about the source.
func (s Source) Scope() Scope {
	switch s {
	case SourceEvents, SourceModels, SourceRevisions, SourceAudit:
		return ScopeDocument
	case SourceInForce:
		return ScopeInForce
	default:
		return ScopeFleet
	}
}

// schemas holds the columns of each source, from the tags of its row type.
var schemas = map[Source][]Column{
	SourceHotPrefixes:     columnsOf(reflect.TypeFor[HotPrefix]()),
	SourceWaitingRequests: columnsOf(reflect.TypeFor[WaitingRequest]()),
	SourceLeavingBackends: columnsOf(reflect.TypeFor[Backend]()),
	SourceEngines:         columnsOf(reflect.TypeFor[Engine]()),
	SourceBackends:        columnsOf(reflect.TypeFor[Backend]()),
	SourceDaemons:         columnsOf(reflect.TypeFor[Daemon]()),
	SourceTenants:         columnsOf(reflect.TypeFor[Tenant]()),
	SourceEvents:          columnsOf(reflect.TypeFor[Event]()),
	SourceModels:          columnsOf(reflect.TypeFor[Model]()),
	SourceRevisions:       columnsOf(reflect.TypeFor[Revision]()),
	SourceAudit:           columnsOf(reflect.TypeFor[Audit]()),
	SourceInForce:         columnsOf(reflect.TypeFor[InForce]()),
}

// Columns returns the columns of the source, or nil for an unknown source.
func (s Source) Columns() []Column {
	return slices.Clone(schemas[s])
}
