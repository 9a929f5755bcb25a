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
	// standInTime is how much later than the daemon before it each daemon of the ranking writes a
	// stage that is due: a call of the store takes a few milliseconds, or half a second and more
	// while it is slow.
	standInTime = time.Second
	// writeTimeout bounds the calls that write one standing, and writeRest is how long nothing is
	// written after them.
	writeTimeout = 1200 * time.Millisecond
	writeRest    = 250 * time.Millisecond
	// writingTime is how much of a promotion's time is kept for calls of the store.
	writingTime = 2 * time.Second
	// promotionShare of an order's time is the most that is kept for the promotion. With long
	// timeouts of routes it would else leave no time for the trial.
	promotionShare = 0.5
)

// waitsKnown is why nothing is written by a daemon that has just begun.
const waitsKnown = "the store's clock or the other daemons are not known"

// driver writes the stages of a service's orders.
type driver struct {
	// due is the stage that is due, over which row, and since when.
	due      stageDue
	dueSince time.Time
	writing  bool
	// wrote is the version of the row that was written last, zero after a call that failed.
	// Nothing more is written until this daemon believes that row, or until restTill.
	restTill time.Time
	wrote    uint64
	failing  bool
	idleness idleness
	// waiting is why the order under way can't go on, as was logged last; empty where it can.
	waiting string
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

// drive writes the next standing of a service, where one is due and it is this daemon's turn.
func (c *Coordinator) drive(ctx context.Context, now time.Time, service identity.ServiceName, believed rollout.Service) {
	driver := c.driver(service)
	turn, mayDrive := c.turn(now, service, believed)
	if !mayDrive || driver.writing || driver.rests(now, believed.Standing.Row) {
		return
	}
	believed.Standing.Service, believed.Standing.Stable = service, c.stable(service, believed, c.traffic(service))
	storeTime, known := c.options.Directory.StoreClock(now)
	if !known || !c.membersKnown() {
		c.noteWaiting(believed, progress{}, waitsKnown)
		return
	}
	facts, counted := c.facts(ctx, now, storeTime, believed)
	next, due := rollout.Next(facts)
	c.noteWaiting(believed, counted, facts.WaitReason())
	if !due {
		driver.due = stageDue{}
		return
	}
	wanted := stageDue{row: believed.ReplacedRow(), order: next.Order, stage: next.Stage}
	if driver.due != wanted {
		driver.due, driver.dueSince = wanted, now
	}
	if now.Sub(driver.dueSince) < turn {
		return
	}
	driver.writing = true
	go c.write(ctx, next, facts, counted)
}

// noteWaiting logs why the order under way can't go on, where that has changed.
func (c *Coordinator) noteWaiting(believed rollout.Service, counted progress, reason string) {
	driver := c.driver(believed.Standing.Service)
	if _, active := underWay(believed); !active || driver.waiting == reason {
		return
	}
	driver.waiting = reason
	c.options.Log.WithFields(logrus.Fields{
		"service": believed.Standing.Service, "order": believed.Standing.Order, "stage": believed.Standing.Stage, "reason": reason,
		"daemons": counted.daemons, "heard": counted.heard, "acknowledged": counted.acknowledged, "silent": counted.silent, "missing": counted.missing,
	}).Info("What an order waits for has changed.")
}

// rests tells whether nothing is to be written yet: a call has failed just now, or what was written
// is not believed yet.
func (d *driver) rests(now time.Time, believed uint64) bool {
	return now.Before(d.restTill) && (d.wrote == 0 || believed < d.wrote)
}

// turn is after how long this daemon writes a stage that is due; false is never. While an order is
// under way the collectors write: first the one that reads the store for all, since its calls are
// known to succeed, then the others by rank. Without one only the reader writes.
func (c *Coordinator) turn(now time.Time, service identity.ServiceName, believed rollout.Service) (time.Duration, bool) {
	number, active := underWay(believed)
	reads := c.options.Directory.Reads()
	if !active {
		return 0, reads
	}
	found := c.collecting(service, number)
	judging := !believed.Standing.Stage.Ended()
	if found == nil || (judging && now.Before(found.trustedFrom)) {
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
	return time.Duration(rank) * standInTime, true
}

// readerHeard tells whether one of the collectors reads the store for all.
func (c *collector) readerHeard(now time.Time, ranking []string) bool {
	return slices.ContainsFunc(ranking, func(address string) bool {
		last := c.daemons[address]
		return last != nil && last.reads && now.Sub(last.heardAt) <= heardTime
	})
}

// facts returns what the next standing follows from, and how far the daemons have come. During a
// shift it may begin to ask back ends, see idle.
func (c *Coordinator) facts(ctx context.Context, now time.Time, storeTime time.Duration, believed rollout.Service) (rollout.Facts, progress) {
	service := believed.Standing.Service
	facts := rollout.Facts{
		Now: storeTime, Service: believed, Listed: c.options.Backends.SoftwareVersions(service),
		PromotionTime: c.promotionTime(believed),
	}
	number, active := underWay(believed)
	if !active {
		return facts, progress{}
	}
	found, stop := c.collectors[service], c.stops[service]
	facts.Verdict, facts.Stopped = found.verdict, stop != nil && stop.order == number
	facts.Covered = now.Sub(found.began) >= (storeTime-believed.Standing.BeganAt)/2
	counted := c.progress(now, believed, found)
	facts.Quorum = counted.quorum()
	if believed.Standing.Stage == rollout.StageShift {
		facts.Acknowledged = counted.missing == 0
		facts.Idle = c.idle(ctx, now, believed, found, counted)
	}
	return facts, counted
}

// promotionTime is what it takes at worst to complete an order: a daemon is silent, and requests
// that it sent last for as long as their timeout.
func (c *Coordinator) promotionTime(believed rollout.Service) time.Duration {
	worst := c.options.ConfirmationLimit + silenceMargin + c.options.Directory.LongestTimeout(believed.Standing.Service) + writingTime
	standing := believed.Standing
	return min(worst, time.Duration(promotionShare*float64(standing.Deadline-standing.BeganAt)))
}

// write writes a standing, and tells all of it, or of the one that was there before.
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
		c.tellStanding(written)
	}
	c.post(ctx, func(_ context.Context, now time.Time) {
		driver := c.driver(next.Service)
		driver.writing = false
		switch {
		case err == nil && written.Order == next.Order && written.Stage == next.Stage:
			log.WithField("row", written.Row).Info("A new stage of a service's versions was written.")
		case err == nil:
			log.WithField("row", written.Row).Info("A stage was not written: another daemon has written one.")
		case !driver.failing:
			log.WithError(err).Warn("A stage can't be written. It is tried again.")
		}
		driver.failing = err != nil
		driver.restTill, driver.wrote = now.Add(writeRest), written.Row
	})
}

// put writes a standing in place of a row. It returns the one that is in the store then, which
// another daemon may have written.
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
