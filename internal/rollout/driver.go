package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/port"
)

const (
	// takeoverDelay is how much later than its predecessor in the ranking each daemon writes a stage that is due:
	// a call of the store takes a few milliseconds, or half a second and more while it is slow.
	takeoverDelay = time.Second
	// writeTimeout bounds the calls that write one standing, and writePause is how long nothing is written after
	// them.
	writeTimeout = 1200 * time.Millisecond
	writePause   = 250 * time.Millisecond
	// storeCallTime is the part of a promotion's time that is reserved for calls of the store.
	storeCallTime = 2 * time.Second
	// promotionShare bounds the share of an order's duration that is reserved for the promotion. Long timeouts of
	// routes would otherwise leave no time for the trial.
	promotionShare = 0.5
)

// waitsClockOrMembers is why a daemon that has just started writes nothing.
const waitsClockOrMembers = "the store's clock or the other daemons are not known"

// driver holds the state for writing the stages of a service's orders.
type driver struct {
	// due is the stage that is due and the row that it replaces, and dueSince is since when.
	due      stageDue
	dueSince time.Time
	writing  bool
	// writtenRow is the row that was written last, and zero after a call that failed. Nothing more is written
	// until this daemon has learned of that row, or until pausedUntil.
	pausedUntil time.Time
	writtenRow  uint64
	failing     bool
	idleness    idleState
	// waitReason is the last logged reason why the active order can't proceed; it is empty if it can.
	waitReason string
}

type stageDue struct {
	row, order uint64
	stage      rollout.Stage
}

func (c *Coordinator) driver(service identity.ServiceName) *driver {
	if c.drivers[service] == nil {
		c.drivers[service] = &driver{}
	}
	return c.drivers[service]
}

// advance writes the next standing of a service if one is due and it is this daemon's turn.
func (c *Coordinator) advance(ctx context.Context, now time.Time, service identity.ServiceName, state rollout.Service) {
	driver := c.driver(service)
	turn, mayDrive := c.writeDelay(now, service, state)
	if !mayDrive || driver.writing || driver.pausing(now, state.Standing.Row) {
		return
	}
	state.Standing.Service, state.Standing.Stable = service, c.stableVersion(service, state, c.traffic(service))
	storeTime, known := c.options.Directory.StoreClock(now)
	if !known || !c.membersKnown() {
		c.logWaitReason(state, progress{}, waitsClockOrMembers)
		return
	}
	facts, counted := c.facts(ctx, now, storeTime, state)
	next, due := rollout.Next(facts)
	c.logWaitReason(state, counted, facts.WaitReason())
	if !due {
		driver.due = stageDue{}
		return
	}
	wanted := stageDue{row: state.ReplacedRow(), order: next.Order, stage: next.Stage}
	if driver.due != wanted {
		driver.due, driver.dueSince = wanted, now
	}
	if now.Sub(driver.dueSince) < turn {
		return
	}
	driver.writing = true
	go c.write(ctx, next, facts, counted)
}

// logWaitReason logs why the active order can't proceed, if the reason has changed.
func (c *Coordinator) logWaitReason(state rollout.Service, counted progress, reason string) {
	driver := c.driver(state.Standing.Service)
	if _, active := activeOrder(state); !active || driver.waitReason == reason {
		return
	}
	driver.waitReason = reason
	c.options.Log.WithFields(logrus.Fields{
		"service": state.Standing.Service, "order": state.Standing.Order, "stage": state.Standing.Stage, "reason": reason,
		"daemons": counted.daemons, "heard": counted.heard, "acknowledged": counted.acknowledged, "silent": counted.silent, "missing": counted.missing,
	}).Info("What an order waits for has changed.")
}

// pausing reports whether to write nothing yet, because a call has just failed, or because this daemon hasn't
// learned of the last written row yet.
func (d *driver) pausing(now time.Time, state uint64) bool {
	return now.Before(d.pausedUntil) && (d.writtenRow == 0 || state < d.writtenRow)
}

// writeDelay returns how long this daemon waits before it writes a stage that is due; false if it doesn't write.
// While an order is active its collectors write: first the one that reads the store on behalf of all, since its
// calls are known to succeed, then the others by rank. Without an active order only the reader writes.
func (c *Coordinator) writeDelay(now time.Time, service identity.ServiceName, state rollout.Service) (time.Duration, bool) {
	number, active := activeOrder(state)
	reads := c.options.Directory.Reads()
	if !active {
		return 0, reads
	}
	found := c.activeCollector(service, number)
	judging := !state.Standing.Stage.Ended()
	if found == nil || (judging && now.Before(found.readyAt)) {
		return 0, false
	}
	if reads {
		return 0, true
	}
	ranking := c.collectorsOf(service, number)
	rank := slices.Index(ranking, c.self)
	if found.readerHeard(now, ranking) {
		rank++
	}
	return time.Duration(rank) * takeoverDelay, true
}

// readerHeard reports whether one of the collectors reads the store on behalf of all.
func (c *collector) readerHeard(now time.Time, ranking []string) bool {
	return slices.ContainsFunc(ranking, func(address string) bool {
		last := c.daemons[address]
		return last != nil && last.reads && now.Sub(last.heardAt) <= maximumReportAge
	})
}

// facts returns the inputs for the next standing, and the progress of the daemons. During a shift it may start to
// query back ends, see idle.
func (c *Coordinator) facts(ctx context.Context, now time.Time, storeTime time.Duration, state rollout.Service) (rollout.Facts, progress) {
	service := state.Standing.Service
	facts := rollout.Facts{
		Now: storeTime, Service: state, Listed: c.options.Backends.SoftwareVersions(service),
		PromotionTime: c.promotionTime(state),
	}
	number, active := activeOrder(state)
	if !active {
		return facts, progress{}
	}
	found, stop := c.collectors[service], c.stops[service]
	facts.Verdict, facts.Stopped = found.verdict, stop != nil && stop.order == number
	facts.Covered = now.Sub(found.began) >= (storeTime-state.Standing.BeganAt)/2
	counted := c.progress(now, state, found)
	facts.Quorum = counted.quorum()
	if state.Standing.Stage == rollout.StageShift {
		facts.Acknowledged = counted.missing == 0
		facts.Idle = c.idle(ctx, now, state, found, counted)
	}
	return facts, counted
}

// promotionTime is the longest time that it takes to complete an order: a daemon falls silent, and the requests
// that it sent run into their timeouts.
func (c *Coordinator) promotionTime(state rollout.Service) time.Duration {
	worst := c.options.ConfirmationLimit + silenceMargin + c.options.Directory.LongestTimeout(state.Standing.Service) + storeCallTime
	standing := state.Standing
	return min(worst, time.Duration(promotionShare*float64(standing.Deadline-standing.BeganAt)))
}

// write writes a standing and broadcasts it, or the one that another daemon wrote first.
func (c *Coordinator) write(ctx context.Context, next rollout.Standing, facts rollout.Facts, counted progress) {
	began, over := c.options.Now(), facts.Service.ReplacedRow()
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := c.put(bounded, next, over)
	log := c.options.Log.WithFields(logrus.Fields{
		"service": next.Service, "stage": next.Stage, "from": facts.Service.Standing.Stage, "stable": next.Stable, "target": next.Target,
		"order": next.Order, "over": over, "lost": facts.Service.Lost, "reason": next.Reason, "left_ms": (next.Deadline - facts.Now).Milliseconds(),
		"answers": facts.Verdict.Answers, "bad_answers": facts.Verdict.BadAnswers, "stopped": facts.Stopped,
		"daemons": counted.daemons, "heard": counted.heard, "acknowledged": counted.acknowledged, "silent": counted.silent,
		"took_ms": c.options.Now().Sub(began).Milliseconds(),
	})
	if written.Row > over {
		c.learn(ctx, written)
		c.broadcastStanding(written)
	}
	c.post(ctx, func(_ context.Context, now time.Time) {
		driver := c.driver(next.Service)
		driver.writing = false
		switch {
		case err == nil && written.Order == next.Order && written.Stage == next.Stage:
			log.WithField("row", written.Row).Info("A new stage of a service's versions was written.")
		case err == nil:
			log.WithField("row", written.Row).Info("Stage not written: another daemon has already written one.")
		case !driver.failing:
			log.WithError(err).Warn("A stage can't be written. It is tried again.")
		}
		driver.failing = err != nil
		driver.pausedUntil, driver.writtenRow = now.Add(writePause), written.Row
	})
}

// put replaces a row by a standing. It returns the standing that the store holds afterwards, which another daemon
// may have written.
func (c *Coordinator) put(ctx context.Context, next rollout.Standing, over uint64) (rollout.Standing, error) {
	row, err := c.options.Standings.Put(ctx, next, over)
	if err == nil {
		next.Row = row
		return next, nil
	}
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
		return rollout.Standing{}, err
	}
	found, there, readErr := c.options.Standings.Get(ctx, next.Service)
	if readErr != nil {
		return rollout.Standing{}, errors.Join(err, readErr)
	}
	if !there || found.Row <= over {
		return rollout.Standing{}, err
	}
	return found, nil
}
