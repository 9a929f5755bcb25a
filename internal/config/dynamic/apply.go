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
	entries, err := document.knownSum()
	if err != nil {
		return nil, err
	}
	next := *document
	next.Revision = document.Revision + 1
	edit := &editor{document: &next, entries: entries}
	before, err := edit.perform(change)
	if err != nil {
		return nil, err
	}
	err = edit.extendHistory(Touch{
		Item:     change.Operation.item(),
		Revision: next.Revision,
		ChangeID: change.ID,
		Operator: change.Operator,
		At:       change.At.UTC().Round(0),
		Before:   before,
	})
	if err != nil {
		return nil, err
	}
	next.entries = &edit.entries
	return &next, nil
}

// perform does the operation on a fresh copy of the document's head, and returns
// the touched item as it was.
func (e *editor) perform(change Change) ([]byte, error) {
	operation, d := change.Operation, e.document
	switch {
	case operation.PutService != nil:
		return put(e, listServices, &d.Services, *operation.PutService, compareServices)
	case operation.PutModel != nil:
		return put(e, listModels, &d.Models, *operation.PutModel, compareModels)
	case operation.PutTenant != nil:
		return put(e, listTenants, &d.Tenants, *operation.PutTenant, compareTenants)
	case operation.RemoveTenant != nil:
		return remove(e, listTenants, &d.Tenants, Tenant{Name: *operation.RemoveTenant}, compareTenants, "remove_tenant")
	case operation.SetLimits != nil:
		return e.setLimits(*operation.SetLimits)
	case operation.PutEvent != nil:
		return put(e, listEvents, &d.Events, *operation.PutEvent, compareEvents)
	case operation.CancelEvent != nil:
		return remove(e, listEvents, &d.Events, Event{Name: *operation.CancelEvent}, compareEvents, "cancel_event")
	case operation.DrainBackend != nil:
		drain := Drain{Backend: *operation.DrainBackend, Since: change.At.UTC().Round(0)}
		return put(e, listDrains, &d.Drains, drain, compareDrains)
	case operation.ReturnBackend != nil:
		return remove(e, listDrains, &d.Drains, Drain{Backend: *operation.ReturnBackend}, compareDrains, "return_backend")
	case operation.PutOrder != nil:
		return put(e, listOrders, &d.Orders, *operation.PutOrder, compareOrders)
	case operation.PutRoster != nil:
		return nil, e.putRoster(*operation.PutRoster)
	default:
		return nil, e.replace(operation.Replace)
	}
}

func (e *editor) setLimits(change SetLimits) ([]byte, error) {
	tenants := &e.document.Tenants
	index, found := slices.BinarySearchFunc(*tenants, Tenant{Name: change.Tenant}, compareTenants)
	if !found {
		return nil, notFound("set_limits")
	}
	tenant := (*tenants)[index]
	tenant.Limits = change.Limits
	return put(e, listTenants, tenants, tenant, compareTenants)
}

// putRoster adds a roster of a newer epoch and drops those that no replica
// catches up from any more.
func (e *editor) putRoster(roster Roster) error {
	rosters := e.document.Rosters
	count := len(rosters)
	if count > 0 && roster.Epoch <= rosters[count-1].Epoch {
		var list finding.List
		list.Add("put_roster.epoch", "%d is not newer than the present epoch %d", roster.Epoch, rosters[count-1].Epoch)
		return list.Err()
	}
	dropped := max(0, count+1-rostersKept)
	for index := range dropped {
		if err := e.exchange(listRosters, &rosters[index], nil); err != nil {
			return err
		}
	}
	e.document.Rosters = append(slices.Clone(rosters[dropped:]), roster)
	return e.exchange(listRosters, nil, &roster)
}

// replace takes all lists of another document, and adds them up anew. The
// history stays, and so do rosters: claims rely on epochs that never go back and
// on the roster before the newest. An import can only bring the first ones.
func (e *editor) replace(other *Document) error {
	rosters := e.document.Rosters
	e.document.replaceLists(other)
	if len(rosters) > 0 {
		e.document.Rosters = rosters
	}
	var err error
	e.entries, err = fullSum(e.document)
	return err
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
