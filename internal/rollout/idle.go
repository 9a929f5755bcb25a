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
	// bounds a question, and askedTogether how many there are at a time.
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
// said so of themselves they need not be asked.
func (c *Coordinator) idle(ctx context.Context, now time.Time, believed rollout.Service, found *collector, counted progress) bool {
	if counted.silent == 0 && counted.missing == 0 {
		return true
	}
	standing := believed.Standing
	driver := c.driver(standing.Service)
	if driver.idleness.row != standing.Row {
		driver.idleness = idleness{row: standing.Row}
	}
	asked := &driver.idleness
	// Only once nobody may send there any more an answer holds for good.
	if counted.missing == 0 && !asked.idle && !asked.asking && now.Sub(asked.askedAt) >= askInterval {
		asked.asking, asked.askedAt = true, now
		// What can't be asked has ended once the longest timeout has passed since the last
		// daemon refused.
		waited := now.Sub(found.shiftSince) > c.options.ConfirmationLimit+silenceMargin+c.options.Belief.LongestTimeout(standing.Service)
		go c.askBackends(ctx, standing, waited)
	}
	return counted.missing == 0 && asked.idle
}

// askBackends asks the back ends of other versions than the target for what is under way there.
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
