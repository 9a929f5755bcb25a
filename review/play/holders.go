package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	holdersPath    = "/triage/"
	holdersKey     = "key-of-officers"
	holdersRunners = 6
	holdersDaemons = 5
	// holdersDeadline is that of clients, which send a request in each holdersInterval: about as many as on the site's sheet.
	holdersDeadline = 4 * time.Second
	holdersInterval = 12 * time.Millisecond
	// holdersCalm is how long all machines are in touch before weights are named.
	holdersCalm = 4 * time.Second
	// freezeLimit is the longest time in the site file for which the machine that gave the last order stands still.
	freezeLimit = 7900 * time.Millisecond
	// marginOfFreeze is what the freeze stays below that.
	marginOfFreeze = 100 * time.Millisecond
	// freezeAfter is how long after the first order that is.
	freezeAfter = 250 * time.Millisecond
	// copiedAfter is how long after the freeze the store makes the copy from which it comes back. It goes away awayAfter after
	// the next holder's first order, or as late as the freeze allows, for awayTime. The frozen machine wakes thawAfter later, and
	// other weights are named nextAfter after the store's return. What was written since the copy is written again writtenAfter
	// after it.
	copiedAfter  = 1500 * time.Millisecond
	awayAfter    = 1500 * time.Millisecond
	awayTime     = 200 * time.Millisecond
	thawAfter    = 700 * time.Millisecond
	nextAfter    = 30 * time.Millisecond
	writtenAfter = 200 * time.Millisecond
	// takeoverTime is when the store goes away where nobody is frozen, and so nobody takes over.
	takeoverTime = 6500 * time.Millisecond
	holdersTime  = 15 * time.Second
	// holdersLease must lie between the orders of two holders to a runner, and orders within holdersThaw after their sender was
	// thawed do not count.
	holdersLease = 3 * time.Second
	holdersThaw  = 300 * time.Millisecond
)

// csfaBounds are those of the site csfa-lotusward.
const csfaBounds = `
  contactMs: 3000
  drainMs: 2000
  graceS: 8
  configApplyMs: 2000
  revokeFailClosed: true
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 56
  fencingRequired: false
  leaseMs: 3000
  versionMs: 10000
`

// Reasons why the case can't be judged.
var (
	errNoOrder    = errors.New("no order was given")
	errLongFreeze = errors.New("nobody took over while the machine could be frozen")
)

// playHolders names weights while, unless trouble is unset, the machine that gives the orders is frozen for some seconds, and
// the store comes back from a copy that was made before another one took over from it. With the variable ONLY one of the two
// is played: freeze or return.
func playHolders(d *deployment, trouble bool) (held bool, err error) {
	d.useCsfa()
	d.configure([]any{route(holdersPath, int(holdersDeadline.Milliseconds()), 2, true, false)}, []any{tenant("club", holdersKey, false)})
	for number := range holdersRunners {
		if _, err := d.startRunner(fmt.Sprintf("i-%d", number+1), "v1", 9, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(holdersDaemons); err != nil {
		return false, err
	}
	until := time.Now().Add(holdersCalm + holdersTime)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { d.load(&running, until) })
	time.Sleep(holdersCalm)
	d.name(2)
	giver := d.awaitGiver(until, nil)
	if giver == nil {
		return false, errNoOrder
	}
	only := os.Getenv("ONLY")
	freezes, returns := trouble && only != "return", trouble && only != "freeze"
	time.Sleep(freezeAfter)
	first := time.Now()
	if freezes {
		giver.signal(syscall.SIGSTOP, "frozen")
	}
	latestAway := first.Add(freezeLimit - awayTime - thawAfter - marginOfFreeze)
	time.Sleep(copiedAfter)
	if returns {
		d.store.Copy()
	}
	if !freezes {
		time.Sleep(time.Until(first.Add(takeoverTime)))
	} else if d.awaitGiver(latestAway, giver) == nil {
		return false, errLongFreeze
	}
	time.Sleep(min(awayAfter, time.Until(latestAway)))
	if returns {
		d.record.note("store: away, it answers 503")
		d.store.SetTrouble(standin.TroubleBusy)
	}
	time.Sleep(awayTime)
	back := time.Now()
	if returns {
		d.returnToCopy()
		d.store.SetTrouble(standin.TroubleNone)
		d.record.note("store: back from a copy that is %.1f s old, in its next era", back.Sub(first.Add(copiedAfter)).Seconds())
	}
	time.Sleep(time.Until(back.Add(nextAfter)))
	d.name(3)
	time.Sleep(time.Until(back.Add(writtenAfter)))
	if returns {
		d.store.WriteAgain()
		d.record.note("store: what the operator and the runners wrote since the copy is written again")
	}
	time.Sleep(time.Until(back.Add(thawAfter)))
	var thawed time.Time
	if freezes {
		thawed = time.Now()
		giver.signal(syscall.SIGCONT, fmt.Sprintf("thawed after %.2f s", thawed.Sub(first).Seconds()))
	}
	time.Sleep(time.Until(until))
	return d.judgeHolders(giver.name, thawed)
}

// load has clients send requests.
func (d *deployment) load(running *sync.WaitGroup, until time.Time) {
	for number := 0; time.Now().Before(until); number++ {
		running.Go(func() {
			d.send(ask{
				daemon: d.entry(number), path: holdersPath + "x", id: fmt.Sprintf("ask-%d", number), key: holdersKey,
				prefix: triagePrefix(number), deadline: holdersDeadline,
			})
		})
		time.Sleep(holdersInterval)
	}
}

// triagePrefix returns the parts of a prompt: instructions, a station's log in some parts, and the request's own part.
func triagePrefix(number int) string {
	parts := []string{fmt.Sprintf("%08x:119", number%4)}
	for part := range 18 {
		parts = append(parts, fmt.Sprintf("%08x:20", 0x100000+number%97*32+part))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:20", 0x200000+number)), ",")
}

// name names a version of the weights, as the operator does.
func (d *deployment) name(version int) {
	d.store.Put(names.TableOperator, "version/"+modelName, map[string]any{"model": modelName, "version": version})
	d.record.note("operator: version %d of the weights is named and acknowledged", version)
}

// awaitGiver waits until a daemon other than the given one, which may be nil, has given an order, and returns it; nil if none
// has by a time.
func (d *deployment) awaitGiver(until time.Time, except *daemon) *daemon {
	for time.Now().Before(until) {
		time.Sleep(2 * time.Millisecond)
		for _, each := range d.daemons {
			if each != except && d.hasOrdered(each) {
				return each
			}
		}
	}
	return nil
}

// hasOrdered reports whether a daemon has given an order.
func (d *deployment) hasOrdered(giver *daemon) bool {
	return slices.ContainsFunc(d.runners, func(runner *runner) bool {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		return slices.ContainsFunc(runner.weights.orders, func(order givenOrder) bool { return order.from == giver.name })
	})
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(sent syscall.Signal, what string) {
	d.deployment.record.note("%s: %s", d.name, what)
	_ = syscall.Kill(d.process(), sent) // it has not ended
}

// judgeHolders returns whether the orders came from one holder at a time: none of two holders with one fencing token, and to
// each runner none of two holders within the time of a lease and none with a lower token after a higher one.
func (d *deployment) judgeHolders(frozen string, thawed time.Time) (held bool, err error) {
	count, turns, lower, shared := 0, 0, 0, 0
	holderOf := map[uint64]string{}
	for _, runner := range d.runners {
		runner.mutex.Lock()
		orders := runner.weights.orders
		runner.mutex.Unlock()
		var before *givenOrder
		highest := uint64(0)
		for index := range orders {
			order := &orders[index]
			since := order.at.Sub(thawed)
			if order.from == frozen && !thawed.IsZero() && since >= 0 && since < holdersThaw {
				d.record.note("%s: the order of %s %.3f s after its thaw doesn't count", runner.id, order.from, since.Seconds())
				continue
			}
			count++
			if before != nil && before.from != order.from && order.at.Sub(before.at) < holdersLease {
				turns++
				d.record.note("ONE: %s had an order of %s %.3f s after one of %s", runner.id, order.from, order.at.Sub(before.at).Seconds(), before.from)
			}
			if order.token < highest {
				lower++
				d.record.note("ONE: %s had an order of %s with token %d after one with token %d", runner.id, order.from, order.token, highest)
			}
			if holder, known := holderOf[order.token]; known && holder != order.from {
				shared++
				d.record.note("ONE: %s had an order of %s with token %d, with which %s gave orders too", runner.id, order.from, order.token, holder)
			} else {
				holderOf[order.token] = order.from
			}
			highest = max(highest, order.token)
			before = order
		}
	}
	if count == 0 {
		return false, errNoOrder
	}
	d.record.conclude("Of %d orders, %d came with the token of another holder, %d to a runner within %s of another holder's order, %d with a lower token after a higher one.",
		count, shared, turns, holdersLease, lower)
	return turns+lower+shared == 0, nil
}
