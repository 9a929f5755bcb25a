package dynamic

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/finding"
)

// ConflictError says that a change was based on a revision since when what it
// touches has changed. It shows both sides; nothing was changed.
type ConflictError struct {
	// Item is what the refused change would have touched.
	Item Item `json:"item"`
	// Base is the revision that the operator had read.
	Base identity.Revision `json:"base"`
	// BasedOn is the item in JSON as it was at Base; empty when there was none,
	// or when it is not known.
	BasedOn json.RawMessage `json:"based_on,omitempty"`
	// Current is the item in JSON as it is; empty when there is none.
	Current json.RawMessage `json:"current,omitempty"`
	// CurrentRevision is the document's revision.
	CurrentRevision identity.Revision `json:"current_revision"`
	// ChangedBy and ChangedAt tell who changed the item last, and when; empty
	// when the history does not reach back to Base.
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
	// ChangeRevision is the revision that the last change of the item made.
	ChangeRevision identity.Revision `json:"change_revision,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.ChangedBy == "" {
		return fmt.Sprintf("conflict on %s: revision %d is too old to compare with revision %d",
			e.Item, e.Base, e.CurrentRevision)
	}
	return fmt.Sprintf("conflict on %s: based on revision %d, changed since by %s at %s in revision %d (was %s, is %s)",
		e.Item, e.Base, e.ChangedBy, e.ChangedAt.Format(time.RFC3339), e.ChangeRevision,
		orNone(e.BasedOn), orNone(e.Current))
}

func orNone(value json.RawMessage) string {
	if len(value) == 0 {
		return "none"
	}
	return string(value)
}

// checkBase refuses a change whose item was touched after its base.
func checkBase(document *Document, change Change) error {
	if change.Base == nil || *change.Base == document.Revision {
		return nil
	}
	base := *change.Base
	if base > document.Revision {
		var list finding.List
		list.Add("base", "revision %d is newer than the present revision %d", base, document.Revision)
		return list.Err()
	}
	item := change.Operation.item()
	conflict := &ConflictError{Item: item, Base: base, CurrentRevision: document.Revision}
	if len(document.History) == 0 || document.History[0].Revision > base+1 {
		conflict.Current = document.itemJSON(change.Operation)
		return conflict
	}
	touched := false
	for _, touch := range document.History {
		if touch.Revision <= base || !touch.Item.overlaps(item) {
			continue
		}
		if !touched && touch.Item == item {
			conflict.BasedOn = showJSON(touch.Before)
		}
		touched = true
		conflict.ChangedBy = touch.Operator
		conflict.ChangedAt = touch.At
		conflict.ChangeRevision = touch.Revision
	}
	if !touched {
		return nil
	}
	conflict.Current = document.itemJSON(change.Operation)
	return conflict
}

// itemJSON gives the present state of what an operation touches, or nil.
func (d *Document) itemJSON(operation Operation) json.RawMessage {
	switch {
	case operation.PutService != nil:
		return entryJSON(d.Services, *operation.PutService, compareServices)
	case operation.PutModel != nil:
		return entryJSON(d.Models, *operation.PutModel, compareModels)
	case operation.PutTenant != nil:
		return entryJSON(d.Tenants, *operation.PutTenant, compareTenants)
	case operation.RemoveTenant != nil:
		return entryJSON(d.Tenants, Tenant{Name: *operation.RemoveTenant}, compareTenants)
	case operation.SetLimits != nil:
		return entryJSON(d.Tenants, Tenant{Name: operation.SetLimits.Tenant}, compareTenants)
	case operation.PutEvent != nil:
		return entryJSON(d.Events, *operation.PutEvent, compareEvents)
	case operation.CancelEvent != nil:
		return entryJSON(d.Events, Event{Name: *operation.CancelEvent}, compareEvents)
	case operation.DrainBackend != nil:
		return entryJSON(d.Drains, Drain{Backend: *operation.DrainBackend}, compareDrains)
	case operation.ReturnBackend != nil:
		return entryJSON(d.Drains, Drain{Backend: *operation.ReturnBackend}, compareDrains)
	case operation.PutOrder != nil:
		return entryJSON(d.Orders, *operation.PutOrder, compareOrders)
	default:
		return nil
	}
}

func entryJSON[T any](list []T, entry T, compare func(a, b T) int) json.RawMessage {
	index, found := slices.BinarySearchFunc(list, entry, compare)
	if !found {
		return nil
	}
	encoded, err := encodeCompact(list[index])
	if err != nil {
		return nil
	}
	return showJSON(encoded)
}

// showJSON turns an encoded item into JSON for people to read.
func showJSON(encoded []byte) json.RawMessage {
	if len(encoded) == 0 {
		return nil
	}
	var item any
	if err := msgpack.Unmarshal(encoded, &item); err != nil {
		return nil
	}
	shown, err := json.Marshal(item)
	if err != nil {
		return nil
	}
	return shown
}
