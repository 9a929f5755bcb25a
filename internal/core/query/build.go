package query

import (
	"fmt"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// RefusedError says that a command can't be a change of the configuration at hand.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Proposal is who proposes a change, under which ID and when.
type Proposal struct {
	ChangeID string
	Operator string
	At       time.Time
}

// Change turns the command into a change of a document. It fails with
// *RefusedError when the command needs something that the document does not have.
//
// A command that keeps parts of what is there (change event, set limits, set
// version), or needs that nothing is there (declare event), is based on the
// document's revision even if the operator named none: without it, the loser of
// a race would silently undo the winner's change.
func (c *Command) Change(document *dynamic.Document, proposal Proposal) (dynamic.Change, error) {
	change := dynamic.Change{
		ID:        proposal.ChangeID,
		Operator:  proposal.Operator,
		At:        proposal.At,
		Base:      c.BaseRevision(),
		Statement: c.Statement(),
	}
	operation, dependsOnPresent, err := operationOf(c.Action, document)
	if err != nil {
		return dynamic.Change{}, err
	}
	if dependsOnPresent && change.Base == nil {
		revision := document.Revision
		change.Base = &revision
	}
	change.Operation = operation
	return change, nil
}

// Statement is the command's canonical text without its change ID.
func (c *Command) Statement() string {
	unnamed := *c
	unnamed.ChangeID = ""
	return unnamed.String()
}

// Rebuilds tells whether the command, refused since what it touches has changed,
// should be made again on the present document: it keeps what it doesn't name,
// and the operator named no base revision.
func (c *Command) Rebuilds() bool {
	if c.Base != nil {
		return false
	}
	switch c.Action.(type) {
	case ChangeEvent, SetLimits, SetVersion:
		return true
	default:
		return false
	}
}

// operationOf also tells whether the operation depends on the present document.
func operationOf(action Action, document *dynamic.Document) (dynamic.Operation, bool, error) {
	switch action := action.(type) {
	case DeclareEvent:
		event, err := declared(action, document)
		return dynamic.Operation{PutEvent: event}, true, err
	case ChangeEvent:
		event, err := changed(action, document)
		return dynamic.Operation{PutEvent: event}, true, err
	case SetLimits:
		limits, err := limited(action, document)
		return dynamic.Operation{SetLimits: limits}, true, err
	case SetVersion:
		model, err := versioned(action, document)
		return dynamic.Operation{PutModel: model}, true, err
	default:
		operation, err := plainOperation(action)
		return operation, false, err
	}
}

// plainOperation makes the operations that need nothing of the document.
func plainOperation(action Action) (dynamic.Operation, error) {
	switch action := action.(type) {
	case CancelEvent:
		name := string(action.Name)
		return dynamic.Operation{CancelEvent: &name}, nil
	case DrainBackend:
		backend := identity.BackendID(action.Backend)
		return dynamic.Operation{DrainBackend: &backend}, nil
	case ReturnBackend:
		backend := identity.BackendID(action.Backend)
		return dynamic.Operation{ReturnBackend: &backend}, nil
	default:
		order, err := standingOrder(action)
		return dynamic.Operation{PutOrder: order}, err
	}
}

func standingOrder(action Action) (*dynamic.StandingOrder, error) {
	switch action := action.(type) {
	case LoadModel:
		return modelOrder(action.Engine, action.Model, action.Version, false), nil
	case UnloadModel:
		return modelOrder(action.Engine, action.Model, action.Version, true), nil
	case LoadAdapter:
		return adapterOrder(action.Engine, action.Model, action.Adapter, false), nil
	case UnloadAdapter:
		return adapterOrder(action.Engine, action.Model, action.Adapter, true), nil
	case SetRole:
		return &dynamic.StandingOrder{Backend: identity.BackendID(action.Engine), Role: string(action.Role)}, nil
	default:
		return nil, &RefusedError{Reason: fmt.Sprintf("the command %T is not known here", action)}
	}
}

func modelOrder(engine Name, model SlashedName, version Name, unload bool) *dynamic.StandingOrder {
	return &dynamic.StandingOrder{
		Backend: identity.BackendID(engine),
		Model:   identity.ModelName(model),
		Version: identity.WeightsVersion(version),
		Unload:  unload,
	}
}

func adapterOrder(engine Name, model, adapter SlashedName, unload bool) *dynamic.StandingOrder {
	return &dynamic.StandingOrder{
		Backend: identity.BackendID(engine),
		Model:   identity.ModelName(model),
		Adapter: identity.AdapterName(adapter),
		Unload:  unload,
	}
}

func declared(action DeclareEvent, document *dynamic.Document) (*dynamic.Event, error) {
	name := string(action.Name)
	if findEvent(document, name) != nil {
		return nil, &RefusedError{Reason: fmt.Sprintf("event %q is declared already; use change event", name)}
	}
	return &dynamic.Event{
		Name:          name,
		Start:         action.From.Time,
		End:           action.To.Time,
		Tenants:       namesAs[identity.TenantName](action.Tenants),
		Models:        eventModels(action.Models),
		NotRepeatable: eventRoutes(action.NotRepeatable),
		Prefixes:      eventPrefixes(action.Prefixes),
	}, nil
}

func changed(action ChangeEvent, document *dynamic.Document) (*dynamic.Event, error) {
	present := findEvent(document, string(action.Name))
	if present == nil {
		return nil, notFound("event", string(action.Name), eventNames(document))
	}
	event := *present
	if action.From != nil {
		event.Start = action.From.Time
	}
	if action.To != nil {
		event.End = action.To.Time
	}
	if action.Tenants != nil {
		event.Tenants = namesAs[identity.TenantName](action.Tenants)
	}
	if action.Models != nil {
		event.Models = eventModels(action.Models)
	}
	if action.NotRepeatable != nil {
		event.NotRepeatable = eventRoutes(action.NotRepeatable)
	}
	if action.Prefixes != nil {
		event.Prefixes = eventPrefixes(action.Prefixes)
	}
	return &event, nil
}

func limited(action SetLimits, document *dynamic.Document) (*dynamic.SetLimits, error) {
	name := identity.TenantName(action.Tenant)
	index := slices.IndexFunc(document.Tenants, func(tenant dynamic.Tenant) bool { return tenant.Name == name })
	if index < 0 {
		return nil, notFound("tenant", string(name), tenantNames(document))
	}
	limits := document.Tenants[index].Limits
	if action.TokensPerSecond != nil {
		limits.TokensPerSecond = float64(*action.TokensPerSecond)
	}
	if action.Concurrent != nil {
		limits.ConcurrentRequests = int(*action.Concurrent)
	}
	if action.Weight != nil {
		limits.Weight = float64(*action.Weight)
	}
	return &dynamic.SetLimits{Tenant: name, Limits: limits}, nil
}

func versioned(action SetVersion, document *dynamic.Document) (*dynamic.Model, error) {
	name := identity.ModelName(action.Model)
	index := slices.IndexFunc(document.Models, func(model dynamic.Model) bool { return model.Name == name })
	if index < 0 {
		return nil, notFound("model", string(name), modelNames(document))
	}
	model := document.Models[index]
	model.Version = identity.WeightsVersion(action.Version)
	return &model, nil
}
