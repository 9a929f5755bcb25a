package admission

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Order is a waiting request's place among others: by class, then by start tag,
// then by arrival.
type Order struct {
	Class    identity.PriorityClass
	Tag      float64
	Sequence uint64
}

// Compare orders two places; the one that goes first is the lesser.
func (o Order) Compare(other Order) int {
	if o.Class != other.Class {
		return cmp.Compare(o.Class, other.Class)
	}
	if o.Tag != other.Tag {
		return cmp.Compare(o.Tag, other.Tag)
	}
	return cmp.Compare(o.Sequence, other.Sequence)
}

// Queue holds waiting requests in their order. Its zero value is empty. Queues
// are bounded to a few thousand requests by their owner, at which size a sorted
// slice is faster than a tree.
type Queue[Item any] struct {
	places []Order
	items  []Item
}

// Len is how many requests wait.
func (q *Queue[Item]) Len() int { return len(q.items) }

// Add puts a request at its place.
func (q *Queue[Item]) Add(order Order, item Item) {
	position := q.Position(order)
	q.places = slices.Insert(q.places, position, order)
	q.items = slices.Insert(q.items, position, item)
}

// Remove takes a request out. It reports whether the request was there.
func (q *Queue[Item]) Remove(order Order) bool {
	position, found := slices.BinarySearchFunc(q.places, order, Order.Compare)
	if !found {
		return false
	}
	q.places = slices.Delete(q.places, position, position+1)
	q.items = slices.Delete(q.items, position, position+1)
	return true
}

// Position is how many requests go before a place.
func (q *Queue[Item]) Position(order Order) int {
	position, _ := slices.BinarySearchFunc(q.places, order, Order.Compare)
	return position
}

// Items returns the requests in their order. The slice is only valid until the
// queue changes.
func (q *Queue[Item]) Items() []Item { return q.items }

// FirstOf returns the first place of a class, if one waits.
func (q *Queue[Item]) FirstOf(class identity.PriorityClass) (Order, bool) {
	position := q.Position(Order{Class: class, Tag: -1})
	if position == len(q.places) || q.places[position].Class != class {
		return Order{}, false
	}
	return q.places[position], true
}
