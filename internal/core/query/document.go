package query

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// The states of an event in a table.
const (
	eventDeclared = "declared"
	eventOn       = "on"
	eventOver     = "over"
)

// EventTable lists the declared events at a time.
func EventTable(document *dynamic.Document, now time.Time) Table {
	rows := make([]Event, 0, len(document.Events))
	for _, event := range document.Events {
		rows = append(rows, Event{
			Event:         event.Name,
			State:         eventState(event, now),
			Start:         event.Start,
			End:           event.End,
			Tenants:       joined(event.Tenants),
			Models:        joinedModels(event.Models),
			NotRepeatable: joinedRoutes(event.NotRepeatable),
		})
	}
	return TableOf(rows)
}

func eventState(event dynamic.Event, now time.Time) string {
	switch {
	case now.Before(event.Start):
		return eventDeclared
	case now.Before(event.End):
		return eventOn
	default:
		return eventOver
	}
}

// ModelTable lists the configured models.
func ModelTable(document *dynamic.Document) Table {
	rows := make([]Model, 0, len(document.Models))
	for _, model := range document.Models {
		rows = append(rows, Model{
			Model:         model.Name,
			Version:       model.Version,
			Adapters:      joined(model.Adapters),
			ContextTokens: model.ContextTokens,
		})
	}
	return TableOf(rows)
}

// RevisionTable lists the latest revisions that the document remembers.
func RevisionTable(document *dynamic.Document) Table {
	rows := make([]Revision, 0, len(document.History))
	for _, touch := range document.History {
		rows = append(rows, Revision{
			Revision: touch.Revision,
			At:       touch.At,
			Operator: touch.Operator,
			Item:     string(touch.Item),
			Change:   touch.ChangeID,
		})
	}
	return TableOf(rows)
}

// AcceptedChange is a change with the revision that it made.
type AcceptedChange struct {
	Revision identity.Revision
	Change   dynamic.Change
}

// AuditTable lists accepted changes.
func AuditTable(changes []AcceptedChange) Table {
	rows := make([]Audit, 0, len(changes))
	for _, accepted := range changes {
		operation, detail := describeOperation(accepted.Change.Operation)
		rows = append(rows, Audit{
			Revision:  accepted.Revision,
			At:        accepted.Change.At,
			Operator:  accepted.Change.Operator,
			Change:    accepted.Change.ID,
			Statement: accepted.Change.Statement,
			Operation: operation,
			Detail:    detail,
		})
	}
	return TableOf(rows)
}

// describeOperation gives the name of an operation and its content in JSON. Of
// a replaced document only the sizes are given, and of a tenant no key hashes.
func describeOperation(operation dynamic.Operation) (string, string) {
	if operation.Replace != nil {
		return "replace", fmt.Sprintf("%d services, %d models, %d tenants, %d events",
			len(operation.Replace.Services), len(operation.Replace.Models),
			len(operation.Replace.Tenants), len(operation.Replace.Events))
	}
	if operation.PutTenant != nil {
		tenant := *operation.PutTenant
		tenant.KeyHashes = nil
		operation.PutTenant = &tenant
	}
	var byName map[string]json.RawMessage
	encoded, err := json.Marshal(operation)
	if err != nil || json.Unmarshal(encoded, &byName) != nil {
		return "unknown", ""
	}
	for name, content := range byName {
		return name, string(content) // an operation has exactly one field
	}
	return "none", ""
}

func joined[N ~string](names []N) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}

func joinedModels(models []dynamic.EventModel) string {
	texts := make([]string, 0, len(models))
	for _, model := range models {
		texts = append(texts, fmt.Sprintf("%s/%s@%s x %d", model.Service, model.Model, model.Version, model.Engines))
	}
	return strings.Join(texts, ", ")
}

func joinedRoutes(routes []dynamic.Route) string {
	texts := make([]string, 0, len(routes))
	for _, route := range routes {
		texts = append(texts, string(route.Service)+":"+route.Prefix)
	}
	return strings.Join(texts, ", ")
}
