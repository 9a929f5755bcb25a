package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
)

const (
	// askInterval is how often back ends are asked for what is under way there, askTimeout
	// bounds one call, and askedTogether is how many calls run at a time.
	askInterval   = 500 * time.Millisecond
	askTimeout    = time.Second
	askedTogether = 16
)

// idleness is what back ends of other versions than the target report, while daemons are silent.
type idleness struct {
	// row is the shift's; asking is set while back ends are asked.
	row     uint64
	asking  bool
	askedAt time.Time
	idle    bool
}

// idle tells whether nothing is under way at back ends of other versions. Where all daemons have
// reported that themselves, back ends need not be asked; else it asks them in the background, and
// returns what they answered last.
func (c *Coordinator) idle(ctx context.Context, now time.Time, believed rollout.Service, found *collector, counted progress) bool {
	if counted.silent == 0 && counted.missing == 0 {
		return true
	}
	asked := c.idlenessOf(believed.Standing)
	if counted.missing > 0 { // an answer holds for good only once nobody may send there any more
		return false
	}
	if !asked.idle && !asked.asking && now.Sub(asked.askedAt) >= askInterval {
		asked.asking, asked.askedAt = true, now
		go c.askBackends(ctx, believed.Standing, c.timeoutsPassed(now, believed.Standing.Service, found))
	}
	return asked.idle
}

// idlenessOf returns what is known for a shift, nothing where its standing is a new one.
func (c *Coordinator) idlenessOf(standing rollout.Standing) *idleness {
	driver := c.driver(standing.Service)
	if driver.idleness.row != standing.Row {
		driver.idleness = idleness{row: standing.Row}
	}
	return &driver.idleness
}

// timeoutsPassed tells whether the longest timeout has passed since the last daemon must have
// refused requests: what was sent before to a back end that doesn't answer has ended then.
func (c *Coordinator) timeoutsPassed(now time.Time, service identity.ServiceName, found *collector) bool {
	longest := c.options.ConfirmationLimit + silenceMargin + c.options.Directory.LongestTimeout(service)
	return now.Sub(found.shiftSince) > longest
}

// askBackends asks the back ends of other versions than the target for what is under way there.
// waited is set where back ends that don't answer count as idle.
func (c *Coordinator) askBackends(ctx context.Context, standing rollout.Standing, waited bool) {
	asked := c.olderBackends(standing.Service, standing.Target)
	busy, failed := c.countUnderWay(ctx, asked)
	idle := busy == 0 && (failed == 0 || waited)
	c.options.Log.WithFields(logrus.Fields{
		"service": standing.Service, "order": standing.Order, "back_ends": len(asked), "under_way": busy,
		"failed": failed, "timeouts_passed": waited, "idle": idle,
	}).Info("Back ends of other versions were asked for what is under way.")
	c.post(ctx, func(context.Context, time.Time) {
		asked := &c.driver(standing.Service).idleness
		if asked.row == standing.Row {
			asked.asking, asked.idle = false, idle
		}
	})
}

// countUnderWay adds up what back ends have under way, and counts those that don't tell.
func (c *Coordinator) countUnderWay(ctx context.Context, backends []backendpool.Backend) (busy, failed int64) {
	var sum, failures atomic.Int64
	var asking sync.WaitGroup
	room := make(chan struct{}, askedTogether)
	for _, backend := range backends {
		room <- struct{}{}
		asking.Go(func() {
			defer func() { <-room }()
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			underWay, err := c.options.Reports.UnderWay(bounded, backend)
			if err != nil {
				failures.Add(1) // told with the others'
			}
			sum.Add(int64(underWay))
		})
	}
	asking.Wait()
	return sum.Load(), failures.Load()
}

// olderBackends are the listed back ends of a service of other versions than one.
func (c *Coordinator) olderBackends(service identity.ServiceName, except identity.SoftwareVersion) []backendpool.Backend {
	var found []backendpool.Backend
	for _, backend := range c.options.Backends.Backends() {
		if backend.Service == service && backend.Software != except {
			found = append(found, backend)
		}
	}
	return found
}
