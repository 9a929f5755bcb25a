package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

// OrderNews describes an order.
type OrderNews struct {
	Order rollout.Order
	// Since is a time of the store's clock at which the order did not exist yet. If no such time is known, Guessed
	// is set and Since is when the order was first seen.
	Since   time.Duration
	Guessed bool
}

// SoftwareNews holds all that is known of the software versions of services: 851 bytes for eight services with an
// order each (TestNewsOfSoftwareIsSmall).
type SoftwareNews struct {
	Orders    []OrderNews
	Standings []rollout.Standing
}

// softwareState holds the software versions of services as known here. Of a service's orders the one with the
// highest number is kept, and of its standings the furthest one, whichever daemon reported them, even if a store
// restored from a backup lacks them. It is owned by the goroutine of Run.
type softwareState struct {
	orders    map[identity.ServiceName]knownOrder
	standings map[identity.ServiceName]knownStanding
	// readAt is the position of the last read.
	readAt uint64
	// noted is called when a service's standing changes.
	noted func(before, after knownStanding)
}

func newSoftwareState(noted func(before, after knownStanding)) *softwareState {
	return &softwareState{
		noted:     noted,
		orders:    map[identity.ServiceName]knownOrder{},
		standings: map[identity.ServiceName]knownStanding{},
	}
}

// news returns everything known, ordered by service.
func (b *softwareState) news() *SoftwareNews {
	told := &SoftwareNews{}
	for _, service := range slices.Sorted(maps.Keys(b.orders)) {
		told.Orders = append(told.Orders, b.orders[service].news()...)
	}
	for _, service := range slices.Sorted(maps.Keys(b.standings)) {
		told.Standings = append(told.Standings, b.standings[service].Standing)
	}
	return told
}

// services returns the state that decisions on requests use.
func (b *softwareState) services() map[identity.ServiceName]rollout.Service {
	known := make(map[identity.ServiceName]rollout.Service, len(b.standings))
	for name, kept := range b.standings {
		known[name] = rollout.Service{Standing: kept.Standing, Lost: kept.lost(), Stored: kept.stored}
	}
	for name, told := range b.orders {
		service := known[name]
		order := told.Order
		service.Order, service.OrderSince = &order, told.Since
		known[name] = service
	}
	return known
}

// AddStanding adds a standing that a daemon has written. It blocks until the goroutine of Run receives it. A
// standing no newer than the known one has no effect.
func (d *Directory) AddStanding(ctx context.Context, standing rollout.Standing) {
	d.post(ctx, message{standing: &standing})
}

// StoreClock estimates the store's clock at a time; false while that is unknown.
func (d *Directory) StoreClock(now time.Time) (time.Duration, bool) {
	shown := d.published.Load()
	return shown.clock.now(now)
}

// readSoftware applies the orders and standings found by a read of the store.
func (d *Directory) readSoftware(declared *Declared) {
	if !d.options.Software {
		return
	}
	before := d.software.readAt
	changed := d.software.readStandings(declared.Version, declared.Standings)
	for _, read := range declared.Orders {
		changed = d.readOrder(before, declared, read) || changed
	}
	if changed {
		d.publishSoftware()
	}
}

// readOrder applies an order found by a read; before is the position of the previous read. It returns true if
// anything changed.
func (d *Directory) readOrder(before uint64, declared *Declared, read rollout.Order) bool {
	order, lost, newer := d.software.assignNumber(read, before, declared)
	if !newer {
		return false
	}
	if lost > 0 {
		d.options.Log.WithFields(logrus.Fields{"service": order.Service, "target_version": order.Target, "order": order.Number, "known_order": lost}).
			Warn("An order that the store had lost was written again.")
		d.software.renumber(order, lost, declared.Version)
		return true
	}
	since, known := d.absentSince(order)
	if !known {
		since = declared.Clock
	}
	return d.mergeOrder(OrderNews{Order: order, Since: since, Guessed: !known}, declared.Version)
}

// absentSince returns the latest time of the store's clock at which an order that was just read certainly did not
// exist; false if no such time is known. The last confirmation covered all services of the configuration.
func (d *Directory) absentSince(order rollout.Order) (time.Duration, bool) {
	state := d.state.Load()
	if state == nil || state.Table.Service(order.Service) == nil {
		return 0, false
	}
	if known, found := d.software.orders[order.Service]; found && known.Order.Number >= order.Number {
		return 0, false
	}
	since := d.freshness[tableDeclared].storeTime(d.ConfirmedAt())
	return since, since > 0
}

// mergeSoftware applies what another daemon reported as of a position of the store, and publishes it. Nil comes
// from daemons that don't support software versions.
func (d *Directory) mergeSoftware(told *SoftwareNews, at uint64) {
	if told == nil || !d.options.Software {
		return
	}
	at = max(at, d.positions[tableDeclared].Load())
	changed := false
	for _, order := range told.Orders {
		changed = d.mergeOrder(order, at) || changed
	}
	for _, standing := range told.Standings {
		changed = d.software.mergeStanding(standing) || changed
	}
	if changed {
		d.publishSoftware()
	}
}

// mergeOrder applies an order as of a position of the store. It returns true if anything changed.
func (d *Directory) mergeOrder(told OrderNews, at uint64) bool {
	before := d.software.orders[told.Order.Service].Order.Number
	if !d.software.mergeOrder(told, at) {
		return false
	}
	if told.Order.Number > before {
		d.options.Log.WithFields(logrus.Fields{
			"service": told.Order.Service, "target_version": told.Order.Target, "order": told.Order.Number,
			"duration_ms": told.Order.Duration.Milliseconds(), "since_ms": told.Since.Milliseconds(), "guessed": told.Guessed,
		}).Info("A roll-out is ordered.")
	}
	return true
}

// noteStanding logs a change of a service's standing.
func (d *Directory) noteStanding(before, after knownStanding) {
	log := d.options.Log.WithFields(logrus.Fields{
		"service": after.Service, "stable_version": after.Stable, "target_version": after.Target, "order": after.Order,
		"stage": after.Stage, "reason": after.Reason, "row_version": after.Row, "stored_row": after.stored,
	})
	if after.Standing != before.Standing {
		log.Info("The versions of a service's software are decided.")
	}
	if after.lost() && !before.lost() {
		log.Warn("The store has lost what was decided of a service's versions. It is written again.")
	}
}

// applyStanding applies a standing that a daemon has written.
func (d *Directory) applyStanding(standing rollout.Standing) {
	d.mergeSoftware(&SoftwareNews{Standings: []rollout.Standing{standing}}, 0)
}

// publishSoftware publishes the software versions to other daemons, and puts them in force if there is a
// configuration.
func (d *Directory) publishSoftware() {
	shown := *d.published.Load()
	shown.software = d.software.news()
	d.published.Store(&shown)
	state := d.state.Load()
	if state == nil {
		return
	}
	renewed := *state
	renewed.Software = d.software.services()
	d.state.Store(&renewed)
}

// softwareNews returns the software versions for bulletins; nil if roll-outs are off.
func (d *Directory) softwareNews() *SoftwareNews {
	if !d.options.Software {
		return nil
	}
	return d.software.news()
}

// softwareInForce returns the state that decisions on requests use; nil if roll-outs are off.
func (d *Directory) softwareInForce() map[identity.ServiceName]rollout.Service {
	if !d.options.Software {
		return nil
	}
	return d.software.services()
}

// confirmsSoftware reports whether data from another daemon can confirm the local data: a daemon without roll-outs
// doesn't notice new orders.
func (d *Directory) confirmsSoftware(told *SoftwareNews) bool {
	return told != nil || !d.options.Software
}
