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

// softwareBelief is what this daemon knows of the software versions of services. Of each order
// and standing the one with the highest row version stays, whoever told it: rows are replaced,
// and never become older. It belongs to the goroutine of Run.
type softwareBelief struct {
	orders    map[identity.ServiceName]OrderNews
	standings map[identity.ServiceName]rollout.Standing
}

func newSoftwareBelief() *softwareBelief {
	return &softwareBelief{
		orders:    map[identity.ServiceName]OrderNews{},
		standings: map[identity.ServiceName]rollout.Standing{},
	}
}

// takeOrder keeps an order unless a newer one is known. It returns true when that changed
// anything.
func (b *softwareBelief) takeOrder(told OrderNews) bool {
	known, found := b.orders[told.Order.Service]
	switch {
	case found && told.Order.Number < known.Order.Number:
		return false
	case found && told.Order.Number == known.Order.Number && !told.tellsSinceBetter(known):
		return false
	}
	b.orders[told.Order.Service] = told
	return true
}

// tellsSinceBetter tells whether the time of one order is closer to when it came than another
// one's: a time at which it was not there is better than a guess, and the latest of these the
// closest; of guesses the first.
func (n OrderNews) tellsSinceBetter(than OrderNews) bool {
	switch {
	case n.Guessed != than.Guessed:
		return !n.Guessed
	case n.Guessed:
		return n.Since < than.Since
	default:
		return n.Since > than.Since
	}
}

// takeStanding keeps a standing unless the known one is as new. It returns true when it did.
func (b *softwareBelief) takeStanding(told rollout.Standing) bool {
	if known, found := b.standings[told.Service]; found && told.Row <= known.Row {
		return false
	}
	b.standings[told.Service] = told
	return true
}

// news tells all that is known, by service.
func (b *softwareBelief) news() *SoftwareNews {
	told := &SoftwareNews{}
	for _, service := range slices.Sorted(maps.Keys(b.orders)) {
		told.Orders = append(told.Orders, b.orders[service])
	}
	for _, service := range slices.Sorted(maps.Keys(b.standings)) {
		told.Standings = append(told.Standings, b.standings[service])
	}
	return told
}

// services are what requests are decided on.
func (b *softwareBelief) services() map[identity.ServiceName]rollout.Service {
	known := make(map[identity.ServiceName]rollout.Service, len(b.standings))
	for name, standing := range b.standings {
		known[name] = rollout.Service{Standing: standing}
	}
	for name, told := range b.orders {
		service := known[name]
		order := told.Order
		service.Order, service.OrderSince = &order, told.Since
		known[name] = service
	}
	return known
}

// LearnStanding takes in a standing that a daemon has written. It waits for the goroutine of
// Run. One that is no newer than the known one changes nothing.
func (d *Directory) LearnStanding(ctx context.Context, standing rollout.Standing) {
	d.post(ctx, message{standing: &standing})
}

// StoreClock is what the store's clock has at least reached at a time, and about what it
// shows; false while that is not known.
func (d *Directory) StoreClock(now time.Time) (time.Duration, bool) {
	shown := d.shown.Load()
	return shown.clock.now(now)
}

// readSoftware takes in what a reading of the store showed of orders and standings.
func (d *Directory) readSoftware(declared *Declared) {
	told := &SoftwareNews{Standings: declared.Standings}
	for _, order := range declared.Orders {
		since, known := d.absentSince(order)
		if !known {
			since = declared.Clock
		}
		told.Orders = append(told.Orders, OrderNews{Order: order, Since: since, Guessed: !known})
	}
	d.takeSoftware(told)
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

// takeSoftware takes in what was read, or told by another daemon, and publishes it. Nil is what a
// daemon tells that doesn't know of software versions.
func (d *Directory) takeSoftware(told *SoftwareNews) {
	if told == nil || !d.options.Software {
		return
	}
	changed := false
	for _, order := range told.Orders {
		changed = d.takeOrder(order) || changed
	}
	for _, standing := range told.Standings {
		changed = d.takeStanding(standing) || changed
	}
	if changed {
		d.publishSoftware()
	}
}

func (d *Directory) takeOrder(told OrderNews) bool {
	before := d.software.orders[told.Order.Service].Order.Number
	if !d.software.takeOrder(told) {
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

func (d *Directory) takeStanding(told rollout.Standing) bool {
	if !d.software.takeStanding(told) {
		return false
	}
	d.options.Log.WithFields(logrus.Fields{
		"service": told.Service, "stable_version": told.Stable, "target_version": told.Target, "order": told.Order,
		"stage": told.Stage, "reason": told.Reason, "row_version": told.Row,
	}).Info("The versions of a service's software are decided.")
	return true
}

// applyStanding takes in a standing that a daemon has written.
func (d *Directory) applyStanding(standing rollout.Standing) {
	d.takeSoftware(&SoftwareNews{Standings: []rollout.Standing{standing}})
}

// publishSoftware puts what is known of software versions in force, if there is a
// configuration, and lets other daemons see it.
func (d *Directory) publishSoftware() {
	shown := *d.shown.Load()
	shown.software = d.software.news()
	d.shown.Store(&shown)
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
