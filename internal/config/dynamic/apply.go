package dynamic

import (
	"slices"

	"github.com/lotusward/lotusward/internal/finding"
)

// rostersKept is how many rosters a document keeps.
const rostersKept = 2

// Apply makes the document that follows when a change is accepted. It never
// modifies its arguments, and the result shares every list that the change does
// not touch. A nil document counts as empty at revision 0. The result is the
// same on every daemon, so that equal revisions are equal documents.
//
// It fails with *finding.Error when the change is malformed or names what does
// not exist, and with *ConflictError when what it touches has changed since the
// revision it is based on. It doesn't validate the resulting document: that is
// done once, by Validate, where a change is proposed.
func Apply(document *Document, change Change) (*Document, error) {
	if document == nil {
		document = &Document{}
	}
	if err := checkChange(change); err != nil {
		return nil, err
	}
	if err := checkBase(document, change); err != nil {
		return nil, err
	}
	next := *document
	next.Revision = document.Revision + 1
	before, err := next.perform(change)
	if err != nil {
		return nil, err
	}
	next.History = extendHistory(document.History, Touch{
		Item:     change.Operation.item(),
		Revision: next.Revision,
		ChangeID: change.ID,
		Operator: change.Operator,
		At:       change.At.UTC().Round(0),
		Before:   before,
	})
	return &next, nil
}

// perform does the operation on a fresh copy of the document's head, and returns
// the touched item as it was.
func (d *Document) perform(change Change) ([]byte, error) {
	operation := change.Operation
	switch {
	case operation.PutService != nil:
		return put(&d.Services, *operation.PutService, compareServices)
	case operation.PutModel != nil:
		return put(&d.Models, *operation.PutModel, compareModels)
	case operation.PutTenant != nil:
		return put(&d.Tenants, *operation.PutTenant, compareTenants)
	case operation.RemoveTenant != nil:
		return remove(&d.Tenants, Tenant{Name: *operation.RemoveTenant}, compareTenants, "remove_tenant")
	case operation.SetLimits != nil:
		return d.setLimits(*operation.SetLimits)
	case operation.PutEvent != nil:
		return put(&d.Events, *operation.PutEvent, compareEvents)
	case operation.CancelEvent != nil:
		return remove(&d.Events, Event{Name: *operation.CancelEvent}, compareEvents, "cancel_event")
	case operation.DrainBackend != nil:
		drain := Drain{Backend: *operation.DrainBackend, Since: change.At.UTC().Round(0)}
		return put(&d.Drains, drain, compareDrains)
	case operation.ReturnBackend != nil:
		return remove(&d.Drains, Drain{Backend: *operation.ReturnBackend}, compareDrains, "return_backend")
	case operation.PutOrder != nil:
		return put(&d.Orders, *operation.PutOrder, compareOrders)
	case operation.PutRoster != nil:
		return d.putRoster(*operation.PutRoster)
	default:
		d.replaceLists(operation.Replace)
		return nil, nil
	}
}

func (d *Document) setLimits(change SetLimits) ([]byte, error) {
	index, found := slices.BinarySearchFunc(d.Tenants, Tenant{Name: change.Tenant}, compareTenants)
	if !found {
		return nil, notFound("set_limits")
	}
	tenant := d.Tenants[index]
	tenant.Limits = change.Limits
	return put(&d.Tenants, tenant, compareTenants)
}

// putRoster adds a roster of a newer epoch and drops those that no replica
// catches up from any more.
func (d *Document) putRoster(roster Roster) ([]byte, error) {
	count := len(d.Rosters)
	if count > 0 && roster.Epoch <= d.Rosters[count-1].Epoch {
		var list finding.List
		list.Add("put_roster.epoch", "%d is not newer than the present epoch %d", roster.Epoch, d.Rosters[count-1].Epoch)
		return nil, list.Err()
	}
	before, err := put(&d.Rosters, roster, compareRosters)
	d.Rosters = d.Rosters[max(0, len(d.Rosters)-rostersKept):]
	return before, err
}

// replaceLists takes all lists of another document, each in its order.
func (d *Document) replaceLists(other *Document) {
	d.Services = sorted(other.Services, compareServices)
	d.Models = sorted(other.Models, compareModels)
	d.Tenants = sorted(other.Tenants, compareTenants)
	d.Events = sorted(other.Events, compareEvents)
	d.Drains = sorted(other.Drains, compareDrains)
	d.Orders = sorted(other.Orders, compareOrders)
	d.Rosters = sorted(other.Rosters, compareRosters)
}

// normalized returns a copy with all lists in their order.
func (d *Document) normalized() *Document {
	copied := *d
	copied.replaceLists(d)
	return &copied
}

func sorted[T any](list []T, compare func(a, b T) int) []T {
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compare)
	return list
}

// put sets an entry of a sorted list in a copy of the list.
func put[T any](list *[]T, entry T, compare func(a, b T) int) ([]byte, error) {
	old := *list
	index, found := slices.BinarySearchFunc(old, entry, compare)
	if found {
		before, err := encodeCompact(old[index])
		*list = slices.Clone(old)
		(*list)[index] = entry
		return before, err
	}
	changed := make([]T, 0, len(old)+1)
	changed = append(changed, old[:index]...)
	changed = append(changed, entry)
	*list = append(changed, old[index:]...)
	return nil, nil
}

// remove takes an entry out of a sorted list in a copy of the list.
func remove[T any](list *[]T, entry T, compare func(a, b T) int, path string) ([]byte, error) {
	old := *list
	index, found := slices.BinarySearchFunc(old, entry, compare)
	if !found {
		return nil, notFound(path)
	}
	before, err := encodeCompact(old[index])
	changed := make([]T, 0, len(old)-1)
	changed = append(changed, old[:index]...)
	*list = append(changed, old[index+1:]...)
	return before, err
}

// extendHistory copies the history, since two changes may be tried on one document.
func extendHistory(history []Touch, touch Touch) []Touch {
	kept := history[max(0, len(history)+1-HistoryLength):]
	extended := make([]Touch, 0, len(kept)+1)
	extended = append(extended, kept...)
	return append(extended, touch)
}
