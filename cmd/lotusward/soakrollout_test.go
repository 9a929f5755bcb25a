package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

// The soak with roll-outs of the pages' software, good and bad ones, beside all other faults. By
// hand:
//
//	go test ./cmd/lotusward -run TestSoakRollOuts -soakrollouts.seeds 50 -soakrollouts.first 1000 -timeout 30m
var (
	soakRolloutSeeds = flag.Int("soakrollouts.seeds", 2, "how many seeds the soak with roll-outs plays, one after the other")
	soakRolloutFirst = flag.Uint64("soakrollouts.first", 1, "the first seed")
)

const (
	// soakExposureShare and soakExposureSlack bound the requests of a bad version.
	soakExposureShare, soakExposureSlack = 0.1, 20
	soakRollback                         = 1500 * time.Millisecond
	// soakOrderSeconds is the time of an order, and soakOrderEnd within which it must have ended
	// after that, faults or not.
	soakOrderSeconds = 5
	soakOrderEnd     = 15 * time.Second
	// soakVersionRunners is how many back ends each version has.
	soakVersionRunners = 3
	// soakFailing is one in how many answers of a bad version are sound.
	soakFailing = 3
	// wokenTime is after a daemon was frozen for how long a request that it was about to send
	// may still arrive: nothing can stop a process between its last look and the sending.
	wokenTime = 3 * time.Second
)

// soakOrder is one order of the soak's operator.
type soakOrder struct {
	target    string
	bad       bool
	runners   []*standin.Runner
	replaced  []*standin.Runner
	orderedAt time.Time
	// state and endedAt are of the order's end; empty while it is under way.
	state   string
	endedAt time.Time
}

// soakOperator orders roll-outs one after the other, and starts and ends back ends as the
// platform does.
type soakOperator struct {
	*soak
	luck *rand.Rand
	// version is the stable one, and stable its back ends.
	version string
	stable  []*standin.Runner
	count   int
	orders  []*soakOrder
	// unordered is a back end of a version that no order ever names.
	unordered *standin.Runner

	watching sync.Mutex
}

// TestSoakRollOuts plays seeds one after the other.
func TestSoakRollOuts(t *testing.T) {
	for seed := *soakRolloutFirst; seed < *soakRolloutFirst+uint64(*soakRolloutSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playSoakRollOuts(t, seed) })
	}
}

// TestServiceReturnsWithItsCompletedVersion guards against a service that nobody serves after the last back end of its
// completed version was replaced. The soak ends or drains all of them by this seed.
func TestServiceReturnsWithItsCompletedVersion(t *testing.T) { playSoakRollOuts(t, 57319) }

func playSoakRollOuts(t *testing.T, seed uint64) {
	operator := &soakOperator{luck: rand.New(rand.NewPCG(seed, 9)), count: 1}
	playSoakWith(t, seed, soakExtra{
		bounds: defaultBounds + fmt.Sprintf("\n  exposureShare: %g\n  exposureSlack: %d\n  rollbackMs: %d\n",
			soakExposureShare, soakExposureSlack, soakRollback.Milliseconds()),
		begin: func(s *soak) {
			operator.soak = s
			s.addPage = operator.addStable
			operator.version, operator.stable = "v1", operator.startVersion("v1", false)
			operator.unordered = s.keep(standin.NewRunner(s.store, "a-unordered", "pages", "", 0, 0, standin.WithSoftware("v0")))
		},
		step:  operator.step,
		end:   operator.end,
		check: operator.check,
	})
}

// startVersion starts the back ends of a version.
func (o *soakOperator) startVersion(version string, bad bool) []*standin.Runner {
	var started []*standin.Runner
	for number := range soakVersionRunners {
		runner := o.keep(standin.NewRunner(o.store, fmt.Sprintf("%s-%d", version, number), "pages", "", 0, 0, standin.WithSoftware(version)))
		if bad {
			runner.Script(o.failing()...)
		}
		started = append(started, runner)
	}
	return started
}

// addStable starts one more back end of the stable version.
func (o *soakOperator) addStable(id string) {
	runner := o.keep(standin.NewRunner(o.store, id, "pages", "", 0, 0, standin.WithSoftware(o.version)))
	o.stable = append(o.stable, runner)
}

// failing is what a back end of a bad version does.
func (o *soakOperator) failing() []standin.Behaviour {
	script := make([]standin.Behaviour, 4000)
	for index := range script {
		script[index] = standin.BehaveFail
		if o.luck.IntN(soakFailing) == 0 {
			script[index] = standin.BehaveServe
		}
	}
	return script
}

// step orders a roll-out if none is under way, and does what the platform does at the end of one.
func (o *soakOperator) step() {
	if len(o.orders) > 0 {
		last := o.orders[len(o.orders)-1]
		if !o.finish(last) {
			return
		}
	}
	o.count++
	order := &soakOrder{target: fmt.Sprint("v", o.count), bad: o.luck.IntN(2) == 0, replaced: o.stable, orderedAt: time.Now()}
	order.runners = o.startVersion(order.target, order.bad)
	o.note(fmt.Sprintf("%s roll-out of %s, bad: %t", order.orderedAt.Format("05.000"), order.target, order.bad))
	o.store.Put("op", "rollout/pages", map[string]any{"service": "pages", "targetVersion": order.target, "durationS": soakOrderSeconds})
	o.orders = append(o.orders, order)
	go o.watch(order)
}

// watch notes when operators are told of the order's end.
func (o *soakOperator) watch(order *soakOrder) {
	for {
		select {
		case <-o.ending:
			return
		case <-time.After(5 * time.Millisecond):
		}
		value, found := o.store.Value("status", "rollout/pages")
		var status struct{ TargetVersion, State string }
		if !found || json.Unmarshal(value, &status) != nil || status.TargetVersion != order.target || status.State == "running" {
			continue
		}
		o.watching.Lock()
		order.state, order.endedAt = status.State, time.Now()
		o.watching.Unlock()
		o.note(fmt.Sprintf("%s %s is %s", order.endedAt.Format("05.000"), order.target, status.State))
		return
	}
}

// ended is an order's end, as operators were told; empty while it is under way.
func (o *soakOperator) ended(order *soakOrder) (string, time.Time) {
	o.watching.Lock()
	defer o.watching.Unlock()
	return order.state, order.endedAt
}

// finish ends the back ends that the platform ends after an order. It returns false while the
// order is under way.
func (o *soakOperator) finish(order *soakOrder) bool {
	state, endedAt := o.ended(order)
	switch {
	case state == "" || time.Since(endedAt) < time.Second:
		return false
	case state == "completed":
		o.version, o.stable = order.target, order.runners
		o.leave(order.replaced, (*standin.Runner).Close)
	default:
		o.leave(order.runners, (*standin.Runner).Drain)
	}
	return true
}

// leave lets back ends leave, and removes their rows.
func (o *soakOperator) leave(runners []*standin.Runner, how func(*standin.Runner)) {
	for _, runner := range runners {
		how(runner)
		o.store.Remove("servers", runner.ID)
	}
}

// end waits until the last order has ended, and starts a back end of its target if the soak has ended them all.
func (o *soakOperator) end() {
	if len(o.orders) == 0 {
		return
	}
	last := o.orders[len(o.orders)-1]
	until := time.Until(last.orderedAt.Add(soakOrderSeconds*time.Second + soakOrderEnd))
	poll.WaitOn(o.t, func(poll.LogT) poll.Result {
		if state, _ := o.ended(last); state != "" {
			return poll.Success()
		}
		return poll.Continue("the roll-out of %s is under way", last.target)
	}, poll.WithTimeout(until))
	o.restore(last)
}

// restore starts a back end of a completed order's target if none is left that serves: until then nobody may serve
// its requests, since back ends of other versions get none.
func (o *soakOperator) restore(order *soakOrder) {
	state, _ := o.ended(order)
	if state != "completed" || slices.ContainsFunc(order.runners, (*standin.Runner).Serves) {
		return
	}
	o.t.Logf("no back end of %s is left, another one starts", order.target)
	restored := o.keep(standin.NewRunner(o.store, order.target+"-restored", "pages", "", 0, 0, standin.WithSoftware(order.target)))
	order.runners = append(order.runners, restored)
}

// check holds orders against what arrived at back ends.
func (o *soakOperator) check() {
	outcomes := map[string]int{}
	for _, order := range o.orders {
		state, endedAt := o.ended(order)
		outcomes[fmt.Sprintf("bad %t: %s", order.bad, state)]++
		if order.bad {
			assert.Check(o.t, state != "completed", "a bad version, %s, was completed", order.target)
			o.checkExposure(order)
		}
		if state == "completed" {
			o.checkNoneAfter(order, "completed", order.replaced, endedAt)
		} else if state != "" {
			o.checkNoneAfter(order, "rolled back", order.runners, endedAt.Add(soakRollback))
		}
	}
	assert.Check(o.t, len(o.unordered.Arrivals()) == 0, "%d requests to a version that no order names", len(o.unordered.Arrivals()))
	o.t.Logf("roll-outs: %v", outcomes)
}

// checkExposure holds the requests that a bad version got against those of all.
func (o *soakOperator) checkExposure(order *soakOrder) {
	deadline := order.orderedAt.Add(soakOrderSeconds * time.Second)
	within := func(runners []*standin.Runner) (count int) {
		for _, runner := range runners {
			for _, arrival := range runner.Arrivals() {
				if arrival.At.After(order.orderedAt) && arrival.At.Before(deadline) {
					count++
				}
			}
		}
		return count
	}
	var pages []*standin.Runner
	for _, runner := range o.runners {
		if runner.Service == "pages" {
			pages = append(pages, runner)
		}
	}
	all, exposed := within(pages), within(order.runners)
	assert.Check(o.t, float64(exposed) <= soakExposureShare*float64(all)+soakExposureSlack, "%d of %d requests to %s", exposed, all, order.target)
}

// checkNoneAfter holds that nothing arrives at back ends after a time.
func (o *soakOperator) checkNoneAfter(order *soakOrder, why string, runners []*standin.Runner, after time.Time) {
	for _, runner := range runners {
		for _, arrival := range runner.Arrivals() {
			if arrival.At.After(after) && !o.wokeBefore(arrival.At) {
				assert.Check(o.t, false, "%s at %s, %s after %s was %s: %s", arrival.ID, runner.ID, arrival.At.Sub(after), order.target, why, arrival.At.Format("05.000"))
			}
		}
	}
}

// wokeBefore tells whether a daemon was frozen within wokenTime before a time.
func (o *soakOperator) wokeBefore(at time.Time) bool {
	for _, frozen := range o.freezes {
		if at.After(frozen) && at.Sub(frozen) < wokenTime {
			return true
		}
	}
	return false
}
