package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstLoadTime is within what time of its naming the first back end is ordered to load a version of the weights.
const firstLoadTime = 1500 * time.Millisecond

// TestNamedWhileMostDaemonsLeave names weights just after most daemons were told to end, or killed. Those that stay once refused
// requests for seconds: nobody took the lease or read the store, since those whose turn it was were gone.
func TestNamedWhileMostDaemonsLeave(t *testing.T) {
	for _, example := range []struct {
		daemons, leaving int
		killed           bool
	}{{14, 11, false}, {14, 11, true}, {20, 17, false}, {20, 17, true}} {
		t.Run(fmt.Sprintf("%d of %d, killed %t", example.leaving, example.daemons, example.killed), func(t *testing.T) {
			made := &noticed{deployment: newDeployment(t), callers: newCallers()}
			made.bothKinds(upgradeBackends)
			var daemons []*process
			for number := range example.daemons {
				daemons = append(daemons, made.daemon(fmt.Sprint("d", number), true))
			}
			staying := daemons[example.leaving:]
			made.askAll(staying...)
			time.Sleep(2 * time.Second)
			for _, daemon := range daemons[:example.leaving] {
				if example.killed {
					assert.NilError(t, daemon.command.Process.Kill())
				} else {
					daemon.stop(t)
				}
			}
			named := time.Now()
			made.name(2)
			made.awaitLoads(2)
			time.Sleep(time.Second)
			made.stopAsking()
			made.checkServed(t)
			took := made.firstLoad(2).Sub(named)
			t.Logf("the first load took %d ms", took.Milliseconds())
			assert.Check(t, took < firstLoadTime, "the first load was ordered after %s", took)
		})
	}
}

// firstLoad is when the first order of a version was taken.
func (d *deployment) firstLoad(version uint64) time.Time {
	var first time.Time
	for _, runner := range d.runners {
		for _, order := range runner.Orders() {
			if order.Version == version && (first.IsZero() || order.At.Before(first)) {
				first = order.At
			}
		}
	}
	return first
}
