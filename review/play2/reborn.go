package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	rebornTime    = 16 * time.Second
	rebornClients = 40
	rebornRest    = 150 * time.Millisecond
	rebornRunners = 4
	// calmTime is how long nothing happens at first. The runner is down for downTime, and ends again secondLife after it is back, before
	// its next heartbeat tells the store of its new life and software.
	calmTime   = 6 * time.Second
	downTime   = 1500 * time.Millisecond
	secondLife = 600 * time.Millisecond
	// mixedAllowed is how many streams with events of two versions the rule lets pass.
	mixedAllowed = 2
)

// playReborn plays a runner that crashes, is back under its id with another version of the service's software, and crashes again soon after,
// as one whose new release crashes does. No stream may hold events of two versions.
func playReborn(written *record, trouble bool) int {
	store := standin.NewStore()
	defer store.Close()
	all := &runs{byID: map[string][]run{}}
	var runners []*runner
	for number := range rebornRunners {
		started, err := newRunner(fmt.Sprintf("i-%08x", 0x7f3a91c2+number), streamShape{events: 20, pause: 50 * time.Millisecond}, 12, 0, written, all)
		if err != nil {
			written.note("the case couldn't run: %v", err)
			return exitNotRun
		}
		store.Put(names.Servers, started.id, started.row())
		runners = append(runners, started)
	}
	declare(store, true)
	made, err := startDeployment(store, 2, written.folder)
	defer made.stop()
	if err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	if trouble {
		go restartOnce(written, runners[0])
	}
	ended := sendAll(written, made, rebornClients, 1, rebornTime, rebornRest)
	if err := made.checkRunning(); err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	return judgeStreams(written, ended)
}

// restartOnce makes a runner crash, start again as another version, and crash again before it has written its row.
func restartOnce(written *record, failing *runner) {
	time.Sleep(calmTime)
	written.note("runner %s crashes", failing.id)
	failing.crash()
	time.Sleep(downTime)
	if err := failing.start("v2"); err != nil {
		written.note("runner %s can't start again: %v", failing.id, err)
		return
	}
	written.note("runner %s is back under its id, with software v2; its row tells that with its next heartbeat", failing.id)
	time.Sleep(secondLife)
	written.note("runner %s crashes again", failing.id)
	failing.crash()
}

// judgeStreams counts the streams that hold events of two versions (rule ORDER).
func judgeStreams(written *record, ended []answered) int {
	whole, mixed := 0, 0
	for _, each := range ended {
		if each.status == http.StatusOK && each.err == nil {
			whole++
		}
		if strings.Contains(each.body, "data: v1\n") && strings.Contains(each.body, "data: v2\n") {
			mixed++
			written.note("ORDER: the answer to request %s holds %d events of v1 and %d of v2; status %d, error %v", each.id,
				strings.Count(each.body, "data: v1\n"), strings.Count(each.body, "data: v2\n"), each.status, each.err)
		}
	}
	written.note("%d streams, %d whole, %d with events of two versions (more than %d break the rule)", len(ended), whole, mixed, mixedAllowed)
	switch {
	case mixed > mixedAllowed:
		return exitBroken
	case whole == 0:
		return exitNotRun
	}
	return exitHeld
}
