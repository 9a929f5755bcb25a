package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestListIsFollowedWhileStoreReturnsOften lets the store come back from a copy again and again, and the list change in between: it is
// taken in between two returns, and not only after the last.
func TestListIsFollowedWhileStoreReturnsOften(t *testing.T) {
	const returns, pause = 7, 400 * time.Millisecond
	deployed := newNoticed(t)
	var daemons []*process
	for number := range 3 {
		daemons = append(daemons, deployed.daemon(fmt.Sprint("d", number), true))
	}
	deployed.askAll(daemons...)
	time.Sleep(500 * time.Millisecond)
	var leftAt time.Time
	leaving := deployed.runners[2:]
	for number := range returns {
		deployed.store.Copy()
		deployed.store.ReturnToCopy()
		deployed.store.WriteAgain()
		if number == 0 {
			leaving, _, leftAt = deployed.changeList()
		}
		time.Sleep(pause)
	}
	time.Sleep(drainTime + time.Second)
	deployed.stopAsking()
	late := 0
	last := time.Duration(0)
	for _, runner := range leaving {
		for _, arrival := range runner.Arrivals() {
			if since := arrival.At.Sub(leftAt); !arrival.Misdirected && since > drainTime+returnSlack {
				late++
				last = max(last, since)
			}
		}
	}
	assert.Check(t, late == 0, "%d of %d requests reached back ends that drain, up to %s after their rows said so", late, len(deployed.asked), last)
}
