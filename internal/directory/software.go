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

// OrderNews tells of an order.
type OrderNews struct {
	Order rollout.Order
	// Since is a time of the store's clock at which the order was not there yet. Where that
	// is not known, it is Guessed: when the order was first seen.
	Since   time.Duration
	Guessed bool
}

// SoftwareNews tells all that is known of the software versions of services: 851 bytes for eight
// services with an order each (TestNewsOfSoftwareIsSmall).
type SoftwareNews struct {
	Orders    []OrderNews
	Standings []rollout.Standing
}

// softwareState is what this daemon knows of the software versions of services. Of each order
// the one with the highest number stays, and of each standing the furthest one, whoever told it,
// also where the store has come back from a copy without it. It belongs to the goroutine of Run.
type softwareState struct {
	orders    map[identity.ServiceName]keptOrder
	standings map[identity.ServiceName]keptStanding
	// readAt is the position of the last reading.
	readAt uint64
	// noted is told how what is kept of a service's standing changed.
	noted func(before, after keptStanding)
}

func newSoftwareState(noted func(before, after keptStanding)) *softwareState {
	return &softwareState{
		noted:     noted,
		orders:    map[identity.ServiceName]keptOrder{},
		standings: map[identity.ServiceName]keptStanding{},
	}
}

// news tells all that is known, by service.
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

// services are what requests are decided on.
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

// AddStanding takes in a standing that a daemon has written. It waits for the goroutine of
// Run. One that is no newer than the known one changes nothing.
func (d *Directory) AddStanding(ctx context.Context, standing rollout.Standing) {
	d.post(ctx, message{standing: &standing})
}

// StoreClock is what the store's clock has at least reached at a time, and about what it
// shows; false while that is not known.
func (d *Directory) StoreClock(now time.Time) (time.Duration, bool) {
	shown := d.published.Load()
	return shown.clock.now(now)
}

// readSoftware takes in what a reading of the store showed of orders and standings.
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

// readOrder takes in an order that a reading showed; before is the position of the one before it. It returns true when that
// changed anything.
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

// absentSince is the newest time of the store's clock at which an order that has just been read
// was certainly not there; false where no such time is known. What was last confirmed was
// confirmed of all services of the configuration.
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

// mergeSoftware takes in what another daemon told as of a position of the store, and publishes it. Nil
// is what a daemon tells that doesn't know of software versions.
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

// mergeOrder takes in an order as of a position of the store. It returns true when that changed anything.
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

// noteStanding logs how the belief in a standing changed.
func (d *Directory) noteStanding(before, after keptStanding) {
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

// applyStanding takes in a standing that a daemon has written.
func (d *Directory) applyStanding(standing rollout.Standing) {
	d.mergeSoftware(&SoftwareNews{Standings: []rollout.Standing{standing}}, 0)
}

// publishSoftware puts what is known of software versions in force, if there is a
// configuration, and lets other daemons see it.
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

// softwareNews is what bulletins tell of software versions; nil where roll-outs are off.
func (d *Directory) softwareNews() *SoftwareNews {
	if !d.options.Software {
		return nil
	}
	return d.software.news()
}

// softwareInForce is what requests are decided on; nil where roll-outs are off.
func (d *Directory) softwareInForce() map[identity.ServiceName]rollout.Service {
	if !d.options.Software {
		return nil
	}
	return d.software.services()
}

// tellsSoftware tells whether what another daemon told can confirm this one's belief: a daemon
// without roll-outs doesn't notice that an order has come.
func (d *Directory) tellsSoftware(told *SoftwareNews) bool { return told != nil || !d.options.Software }
