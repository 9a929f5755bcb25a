package main

import (
	"fmt"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	lateTime     = 36 * time.Second
	lateClients  = 30
	latePrefixes = 10000
	lateRunners  = 10
	// lateFailing runners leave one order unanswered, and carry it out lateDelay later.
	lateFailing = 3
	lateDelay   = 12 * time.Second
	// The weights are named, and the runners crash, at these times after the start of the traffic.
	secondNamed = 3 * time.Second
	thirdNamed  = 6 * time.Second
	lateCrash   = 11 * time.Second
	lateDown    = time.Second
	newest      = 3
)

// playLateOrder plays runners that leave an order unanswered, get newer weights by later orders, crash and are back under their ids, and
// carry the unanswered order out then.
func playLateOrder(written *record, trouble bool) int {
	store := standin.NewStore()
	defer store.Close()
	all := &runs{byID: map[string][]run{}}
	var runners []*runner
	for number := range lateRunners {
		started, err := newRunner(fmt.Sprintf("i-%08x", 0x7f3a91c2+number), streamShape{events: 6, pause: 30 * time.Millisecond}, 12, 0, written, all)
		if err != nil {
			written.note("the case couldn't run: %v", err)
			return exitNotRun
		}
		started.list = func() { store.Put(names.Servers, started.id, started.row()) }
		started.list()
		runners = append(runners, started)
	}
	declare(store, true)
	made, err := startDeployment(store, 2, written.folder)
	defer made.stop()
	if err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	name := func(version int) {
		store.Put(names.Operator, "version/"+model, map[string]any{"model": model, "version": version})
		written.note("version %d is named", version)
	}
	time.AfterFunc(secondNamed, func() { name(2) })
	time.AfterFunc(thirdNamed, func() { name(newest) })
	if trouble {
		for _, failing := range runners[:lateFailing] {
			failing.leaveUnanswered(1, lateDelay)
			time.AfterFunc(lateCrash, func() { restart(written, failing) })
		}
	}
	ended := sendAll(written, made, lateClients, latePrefixes, lateTime, rebornRest)
	if err := made.checkRunning(); err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	return judgeWeights(written, runners, ended)
}

// restart makes a runner crash and come back with the weights that it had.
func restart(written *record, failing *runner) {
	failing.crash()
	written.note("runner %s crashes, holding version %d", failing.id, failing.state().version)
	time.Sleep(lateDown)
	if err := failing.start("v1"); err != nil {
		written.note("runner %s can't start again: %v", failing.id, err)
		return
	}
	failing.list()
	written.note("runner %s is back under its id, holding version %d", failing.id, failing.state().version)
}

// judgeWeights counts the runners that hold an older version when the traffic has ended (rule VERSION).
func judgeWeights(written *record, runners []*runner, ended []answered) int {
	served, old := 0, 0
	for _, each := range ended {
		if each.status == 200 && each.err == nil {
			served++
		}
	}
	for _, each := range runners {
		if held := each.state().version; held < newest {
			old++
			written.note("VERSION: runner %s still holds version %d", each.id, held)
		}
	}
	written.note("%d requests, %d served whole, %d of %d runners hold an older version than %d", len(ended), served, old, len(runners), newest)
	switch {
	case old > 1 && old*10 > len(runners):
		return exitBroken
	case served == 0:
		return exitNotRun
	}
	return exitHeld
}
