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
	// queryInterval is how often back ends are queried for their requests in progress, queryTimeout bounds one call,
	// and maximumConcurrentCalls the number of concurrent calls.
	queryInterval          = 500 * time.Millisecond
	queryTimeout           = time.Second
	maximumConcurrentCalls = 16
)

// idleState is what back ends of other versions than the target have reported, while some daemons are silent.
type idleState struct {
	// row is the row of the shift's standing; asking is set while back ends are being queried.
	row       uint64
	querying  bool
	queriedAt time.Time
	idle      bool
}

// idle reports whether back ends of other versions have no requests in progress. If all daemons have reported so,
// no back end has to be queried; otherwise idle queries them in the background, and returns their last answer.
func (c *Coordinator) idle(ctx context.Context, now time.Time, state rollout.Service, found *collector, counted progress) bool {
	if counted.silent == 0 && counted.missing == 0 {
		return true
	}
	asked := c.idlenessOf(state.Standing)
	if counted.missing > 0 { // an answer is only final once no daemon may send there any more
		return false
	}
	if !asked.idle && !asked.querying && now.Sub(asked.queriedAt) >= queryInterval {
		asked.querying, asked.queriedAt = true, now
		go c.queryBackends(ctx, state.Standing, c.timeoutsPassed(now, state.Standing.Service, found))
	}
	return asked.idle
}

// idlenessOf returns the state for a shift, which is reset if its standing is a new one.
func (c *Coordinator) idlenessOf(standing rollout.Standing) *idleState {
	driver := c.driver(standing.Service)
	if driver.idleness.row != standing.Row {
		driver.idleness = idleState{row: standing.Row}
	}
	return &driver.idleness
}

// timeoutsPassed reports whether the longest timeout has passed since the last daemon must have refused requests.
// Requests that were sent before to a back end that doesn't answer have ended by then.
func (c *Coordinator) timeoutsPassed(now time.Time, service identity.ServiceName, found *collector) bool {
	longest := c.options.ConfirmationLimit + silenceMargin + c.options.Directory.LongestTimeout(service)
	return now.Sub(found.shiftSince) > longest
}

// queryBackends queries the back ends of other versions than the target for their requests in progress. If waited
// is set, back ends that don't answer count as idle.
func (c *Coordinator) queryBackends(ctx context.Context, standing rollout.Standing, waited bool) {
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
			asked.querying, asked.idle = false, idle
		}
	})
}

// countUnderWay sums the requests in progress at back ends, and counts the back ends that don't answer.
func (c *Coordinator) countUnderWay(ctx context.Context, backends []backendpool.Backend) (busy, failed int64) {
	var sum, failures atomic.Int64
	var asking sync.WaitGroup
	room := make(chan struct{}, maximumConcurrentCalls)
	for _, backend := range backends {
		room <- struct{}{}
		asking.Go(func() {
			defer func() { <-room }()
			bounded, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			underWay, err := c.options.Reports.UnderWay(bounded, backend)
			if err != nil {
				failures.Add(1) // the caller logs the number of failures
			}
			sum.Add(int64(underWay))
		})
	}
	asking.Wait()
	return sum.Load(), failures.Load()
}

// olderBackends returns the listed back ends of a service that run other versions than except.
func (c *Coordinator) olderBackends(service identity.ServiceName, except identity.SoftwareVersion) []backendpool.Backend {
	var found []backendpool.Backend
	for _, backend := range c.options.Backends.Backends() {
		if backend.Service == service && backend.Software != except {
			found = append(found, backend)
		}
	}
	return found
}
