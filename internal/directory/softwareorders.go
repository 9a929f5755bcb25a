package directory

import (
	"cmp"
	"slices"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/port"
)

// maxFormerOrders is how many orders before the newest one of a service are remembered.
const maxFormerOrders = 4

// knownOrder is the newest known order of a service.
type knownOrder struct {
	OrderNews
	// at is the position of the store as of which the order was first known here.
	at uint64
	// former are earlier orders, which a store restored from a backup may hold.
	former []rollout.Order
}

// sameOrder reports whether two orders come from the same row of the store.
func sameOrder(left, right rollout.Order) bool {
	return port.VersionOf(left.Number) == port.VersionOf(right.Number) && left.Target == right.Target
}

// sameContent reports whether two orders have the same target and duration.
func sameContent(left, right rollout.Order) bool {
	return left.Target == right.Target && left.Duration == right.Duration
}

// mergeOrder adds an order known as of a position of the store, as the newest one or a former one. It returns true
// if anything changed.
func (b *softwareState) mergeOrder(told OrderNews, at uint64) bool {
	known, found := b.orders[told.Order.Service]
	switch {
	case !found:
		known = knownOrder{OrderNews: told, at: at}
	case sameOrder(told.Order, known.Order):
		return b.mergeSameOrder(known, told)
	case told.Order.Number > known.Order.Number:
		known = knownOrder{OrderNews: told, at: at, former: known.withFormer(known.Order)}
	case known.isFormer(told.Order):
		return false
	default:
		former := known.withFormer(told.Order)
		if slices.Equal(former, known.former) {
			return false
		}
		known.former = former
	}
	b.orders[told.Order.Service] = known
	return true
}

// hasBetterSince reports whether the Since of one order is more precise than another's: a known time is better than
// a guess, of known times the latest is closest, and of guesses the first.
func (n OrderNews) hasBetterSince(than OrderNews) bool {
	switch {
	case n.Guessed != than.Guessed:
		return !n.Guessed
	case n.Guessed:
		return n.Since < than.Since
	default:
		return n.Since > than.Since
	}
}

// mergeSameOrder merges a report on the newest known order. It returns true if anything changed.
func (b *softwareState) mergeSameOrder(known knownOrder, told OrderNews) bool {
	better, higher := told.hasBetterSince(known.OrderNews), told.Order.Number > known.Order.Number
	if better {
		known.Since, known.Guessed = told.Since, told.Guessed
	}
	if higher {
		known.Order.Number = told.Order.Number
	}
	b.orders[told.Order.Service] = known
	return better || higher
}

func (k knownOrder) isFormer(order rollout.Order) bool {
	return slices.ContainsFunc(k.former, func(former rollout.Order) bool { return sameOrder(order, former) })
}

// withFormer returns the former orders with another one added, ordered by number.
func (k knownOrder) withFormer(order rollout.Order) []rollout.Order {
	former := append(slices.Clone(k.former), order)
	slices.SortFunc(former, func(left, right rollout.Order) int { return cmp.Compare(left.Number, right.Number) })
	return former[max(len(former)-maxFormerOrders, 0):]
}

// news returns the newest order and the former ones.
func (k knownOrder) news() []OrderNews {
	told := []OrderNews{k.OrderNews}
	for _, former := range k.former {
		told = append(told, OrderNews{Order: former, Guessed: true})
	}
	return told
}

// newestOrder returns the newest known order of a service, and the position of the store as of which it is known:
// that of a standing that was read, or the kept one. Its number is zero if there is none.
func (b *softwareState) newestOrder(service identity.ServiceName, read []rollout.Standing) (newest rollout.Order, at uint64) {
	known := b.orders[service]
	newest, at = known.Order, known.at
	for _, standing := range read {
		if standing.Service == service && standing.Order > newest.Number {
			newest = rollout.Order{Service: service, Target: standing.Target, Number: standing.Order, Duration: standing.Deadline - standing.BeganAt}
			at = standing.Row
		}
	}
	return newest, at
}

// assignNumber assigns a number to an order found by a read of the store. A store restored from a backup assigns
// versions again, so the row may be an earlier one, or a later one with a lower version. newer is false for an
// earlier one. lost is the number under which the order was known if the backup lacked it and the operator has
// written it again, else zero. before is the position of the previous read.
func (b *softwareState) assignNumber(read rollout.Order, before uint64, declared *Declared) (order rollout.Order, lost uint64, newer bool) {
	newest, at := b.newestOrder(read.Service, declared.Standings)
	era := port.EraOf(declared.Version)
	raised := read
	raised.Number = port.PositionOf(era, read.Number)
	switch {
	case newest.Number == 0:
		return read, 0, true
	case sameOrder(read, newest):
		read.Number = newest.Number
		return read, 0, true
	case port.EraOf(newest.Number) == era: // versions have not been reused since it got its number
		return raised, 0, raised.Number > newest.Number
	case b.isRestoredFormer(read, newest, before, era):
		return read, 0, false
	case read.Number > newest.Number:
		return read, rewrittenNumber(read, newest, port.EraOf(at) < era), true
	default:
		return raised, rewrittenNumber(read, newest, true), isLater(read, at, declared.Version)
	}
}

// isRestoredFormer reports whether a row holds an earlier order than the newest one, restored from a backup. A row
// written after the previous read of the same era doesn't, even if its version and target are the same.
func (b *softwareState) isRestoredFormer(read, newest rollout.Order, before, era uint64) bool {
	writtenSince := port.EraOf(before) == era && read.Number > port.VersionOf(before)
	return !writtenSince && read.Number < port.VersionOf(newest.Number) && b.orders[read.Service].isFormer(read)
}

// rewrittenNumber returns the number of the newest known order if a row of a later era has the same content; zero if
// it is another order.
func rewrittenNumber(read, newest rollout.Order, laterEra bool) uint64 {
	if laterEra && sameContent(read, newest) {
		return newest.Number
	}
	return 0
}

// isLater reports whether a row with a lower version than the newest order's, read as of a position, was written
// after the position at, as of which that order was the newest.
func isLater(read rollout.Order, at, position uint64) bool {
	if port.EraOf(at) < port.EraOf(position) {
		return true
	}
	return position > at && read.Number > port.VersionOf(at)
}

// renumber assigns another number to the newest known order, as of a position of the store, and to its standing.
func (b *softwareState) renumber(order rollout.Order, lost, at uint64) {
	known := b.orders[order.Service]
	kept := b.standings[order.Service]
	if known.Order.Number != lost {
		known.Since, known.Guessed = kept.BeganAt, true
	}
	known.Order, known.at = order, at
	b.orders[order.Service] = known
	if kept.Order == lost {
		kept.Order, kept.changed = order.Number, true
		b.storeStanding(kept)
	}
}
