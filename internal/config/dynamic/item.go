package dynamic

import (
	"cmp"
	"fmt"
	"reflect"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Item names a part of the document that one change touches, such as
// "tenant/kalahari".
type Item string

// The items that are not one entry of a list.
const (
	// ItemAll is touched by the replacement of the whole document.
	ItemAll Item = "all"
	// ItemRosters is touched by every new roster.
	ItemRosters Item = "rosters"
)

// HistoryLength bounds the history of a document. A change based on a revision
// older than the history is refused as a conflict.
const HistoryLength = 512

// Touch records that an accepted change touched an item.
type Touch struct {
	Item     Item              `json:"item" msgpack:"item"`
	Revision identity.Revision `json:"revision" msgpack:"revision"`
	ChangeID string            `json:"change_id" msgpack:"change_id"`
	Operator string            `json:"operator" msgpack:"operator"`
	At       time.Time         `json:"at" msgpack:"at"`
	// Before is the item in msgpack as it was before the change; empty when there
	// was none, and when the whole document was replaced. It isn't JSON since that
	// tells empty lists from missing ones and keeps time zones, which differ
	// between replicas that got the document in different ways.
	Before []byte `json:"before,omitempty" msgpack:"before,omitempty"`
}

// overlaps tells whether two changes of these items touch the same thing.
func (i Item) overlaps(other Item) bool {
	return i == other || i == ItemAll || other == ItemAll
}

// item names what an operation touches. The operation must have been checked.
func (o Operation) item() Item {
	switch {
	case o.PutService != nil:
		return itemOf("service", o.PutService.Name)
	case o.PutModel != nil:
		return itemOf("model", o.PutModel.Name)
	case o.PutTenant != nil:
		return itemOf("tenant", o.PutTenant.Name)
	case o.RemoveTenant != nil:
		return itemOf("tenant", *o.RemoveTenant)
	case o.SetLimits != nil:
		return itemOf("tenant", o.SetLimits.Tenant)
	case o.PutEvent != nil:
		return itemOf("event", o.PutEvent.Name)
	case o.CancelEvent != nil:
		return itemOf("event", *o.CancelEvent)
	case o.DrainBackend != nil:
		return DrainItem(*o.DrainBackend)
	case o.ReturnBackend != nil:
		return DrainItem(*o.ReturnBackend)
	case o.PutOrder != nil:
		return orderItem(*o.PutOrder)
	case o.PutRoster != nil:
		return ItemRosters
	default:
		return ItemAll
	}
}

func itemOf[N ~string](kind string, name N) Item {
	return Item(kind + "/" + string(name))
}

// DrainItem is the item that the drain and the return of a back end touch.
func DrainItem(backend identity.BackendID) Item { return itemOf("drain", backend) }

// orderItem names a standing order by what it is about: an engine has one order
// for its role, and one for each model and adapter.
func orderItem(order StandingOrder) Item {
	return Item(fmt.Sprintf("order/%s/%s/%s", order.Backend, order.Model, order.Adapter))
}

// fieldCount counts the fields of an operation that are set.
func (o Operation) fieldCount() int {
	fields := reflect.ValueOf(o)
	count := 0
	for index := range fields.NumField() {
		if !fields.Field(index).IsNil() {
			count++
		}
	}
	return count
}

// The orders in which the lists of a document are kept.

func compareServices(a, b Service) int { return cmp.Compare(a.Name, b.Name) }

func compareModels(a, b Model) int { return cmp.Compare(a.Name, b.Name) }

func compareTenants(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) }

func compareEvents(a, b Event) int { return cmp.Compare(a.Name, b.Name) }

func compareDrains(a, b Drain) int { return cmp.Compare(a.Backend, b.Backend) }

func compareRosters(a, b Roster) int { return cmp.Compare(a.Epoch, b.Epoch) }

func compareOrders(a, b StandingOrder) int {
	return cmp.Or(
		cmp.Compare(a.Backend, b.Backend),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Adapter, b.Adapter),
	)
}
