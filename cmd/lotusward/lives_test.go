package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lotusward/lotusward/platform/standin"
)

// TestRequestThatEndsBackEndsThatStartAgainIsStopped has back ends start again at once, under their ids
// and at their addresses, whenever the request ends them: they are reached again by the time that anybody
// looks, and have ended all the same.
func TestRequestThatEndsBackEndsThatStartAgainIsStopped(t *testing.T) {
	deployed := newFatalDeployment(t, 4)
	for _, engine := range deployed.runners {
		engine.StartAgain()
	}
	daemons := []*process{deployed.daemon("d1", true), deployed.daemon("d2", true)}
	for number := range 16 {
		daemons[number%2].askFatally("/once/x", fmt.Sprint("fatal", number))
		time.Sleep(triesInterval)
	}
	ends := 0
	for _, engine := range deployed.runners {
		ends += engine.Lives() - 1
	}
	// The row of one that has started again may be told 0.3 s later, and a try comes meanwhile.
	assert.Assert(t, ends <= mostEnded+1, "%d back ends ended", ends)
}

// TestBackEndThatStartsAgainWhileItLoadsIsOrderedAnew has back ends start again in the middle of their loads:
// their counts of orders start anew, and the loads are lost.
func TestBackEndThatStartsAgainWhileItLoadsIsOrderedAnew(t *testing.T) {
	deployed := newDeployment(t)
	var engines []*standin.Runner
	for number := range 3 {
		engines = append(engines, deployed.engine(fmt.Sprint("e", number), 3, time.Millisecond))
	}
	deployed.configure(testKey)
	deployed.name(1)
	daemon := deployed.daemon("d1", true)
	restarted := time.Now()
	deployed.name(2)
	for _, engine := range engines {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(engine.Orders()) > 0 {
				return poll.Success()
			}
			return poll.Continue("%s has no order", engine.ID)
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		engine.Restart(100 * time.Millisecond)
		restarted = time.Now()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, engine := range engines {
			if engine.Version() != 2 {
				return poll.Continue("%s holds version %d", engine.ID, engine.Version())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, time.Since(restarted) < 3*time.Second, "loaded %s after the last restart", time.Since(restarted))
	got := daemon.ask(call{path: "/stream/x", id: "q1", header: prompt("aa:80,bb:20")})
	assert.Equal(t, got.body, events(1, 3))
}
