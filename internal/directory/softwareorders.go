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

// keptOrder is the newest known order of a service.
type keptOrder struct {
	OrderNews
	// at is the position of the store as of which the order was first known here.
	at uint64
	// former are orders of before, which a copy of the store may hold.
	former []rollout.Order
}

// sameOrder tells whether two orders are of the same row of the store.
func sameOrder(left, right rollout.Order) bool {
	return port.VersionOf(left.Number) == port.VersionOf(right.Number) && left.Target == right.Target
}

// sameContent tells whether two orders say the same.
func sameContent(left, right rollout.Order) bool {
	return left.Target == right.Target && left.Duration == right.Duration
}

// mergeOrder keeps an order that was known as of a position of the store, as the newest one or as a former one. It returns
// true when that changed anything.
func (b *softwareState) mergeOrder(told OrderNews, at uint64) bool {
	known, found := b.orders[told.Order.Service]
	switch {
	case !found:
		known = keptOrder{OrderNews: told, at: at}
	case sameOrder(told.Order, known.Order):
		return b.mergeSameOrder(known, told)
	case told.Order.Number > known.Order.Number:
		known = keptOrder{OrderNews: told, at: at, former: known.withFormer(known.Order)}
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

// hasBetterSince tells whether the time of one order is closer to when it came than another
// one's: a time at which it was not there is better than a guess, and the latest of these the
// closest; of guesses the first.
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

// mergeSameOrder takes in what is told of the newest known order. It returns true when that changed anything.
func (b *softwareState) mergeSameOrder(known keptOrder, told OrderNews) bool {
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

func (k keptOrder) isFormer(order rollout.Order) bool {
	return slices.ContainsFunc(k.former, func(former rollout.Order) bool { return sameOrder(order, former) })
}

// withFormer are the former orders and another one, by number.
func (k keptOrder) withFormer(order rollout.Order) []rollout.Order {
	former := append(slices.Clone(k.former), order)
	slices.SortFunc(former, func(left, right rollout.Order) int { return cmp.Compare(left.Number, right.Number) })
	return former[max(len(former)-maxFormerOrders, 0):]
}

// news tells the newest order and the former ones.
func (k keptOrder) news() []OrderNews {
	told := []OrderNews{k.OrderNews}
	for _, former := range k.former {
		told = append(told, OrderNews{Order: former, Guessed: true})
	}
	return told
}

// newestOrder is the newest known order of a service, and the position of the store as of which it is known: that of a standing
// that was read, or the kept one. Its number is zero where there is none.
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

// assignNumber gives an order that a reading of the store showed its number. A store that came back from a copy gives versions out
// again: the row may be of before, or a later one with a lower version. Newer is false for one of before. Lost is the number under
// which the order was known where the copy lacked it and the operator has written it again, else zero. Before is the position of the
// reading before this one.
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
	case port.EraOf(newest.Number) == era: // no versions were given out again since it got its number
		return raised, 0, raised.Number > newest.Number
	case b.copyHoldsFormer(read, newest, before, era):
		return read, 0, false
	case read.Number > newest.Number:
		return read, writtenAgain(read, newest, port.EraOf(at) < era), true
	default:
		return raised, writtenAgain(read, newest, true), isLater(read, at, declared.Version)
	}
}

// copyHoldsFormer tells whether a row that was read is of an order before the newest one, which a copy holds. One that was written
// after the reading before in the same era isn't, though the version and the target are the same.
func (b *softwareState) copyHoldsFormer(read, newest rollout.Order, before, era uint64) bool {
	writtenSince := port.EraOf(before) == era && read.Number > port.VersionOf(before)
	return !writtenSince && read.Number < port.VersionOf(newest.Number) && b.orders[read.Service].isFormer(read)
}

// writtenAgain is the number of the newest known order where a row in an era after it says the same; zero where it is another order.
func writtenAgain(read, newest rollout.Order, laterEra bool) uint64 {
	if laterEra && sameContent(read, newest) {
		return newest.Number
	}
	return 0
}

// isLater tells whether a row with a lower version than the newest order's, read as of a position, was written after another position,
// as of which that order was the newest.
func isLater(read rollout.Order, at, position uint64) bool {
	if port.EraOf(at) < port.EraOf(position) {
		return true
	}
	return position > at && read.Number > port.VersionOf(at)
}

// renumber gives the newest known order another number, as of a position of the store, and a standing of it too.
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
