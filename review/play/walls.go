package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	wallsPath = "/ask/"
	openKey   = "key-of-open-tenant"
	walledKey = "key-of-isolated-tenant"
	// wallsInterval is between two requests, in turn of the two tenants.
	wallsInterval = 40 * time.Millisecond
	wallsDeadline = 5 * time.Second
	// wallsBefore, silence and wallsAfter are how long the store answers, is silent and answers again. The site file has
	// this for 4.5 and 6.6 s.
	wallsBefore = 2 * time.Second
	silence     = 4500 * time.Millisecond
	wallsAfter  = 1500 * time.Millisecond
)

// playWalls sends requests of an isolated tenant and of another one that share a part of their prompts while, unless trouble
// is unset, the store is silent for some seconds.
func playWalls(d *deployment, trouble bool) (held bool, err error) {
	d.useCsfa()
	d.configure([]any{route(wallsPath, int(wallsDeadline.Milliseconds()), 1, false, true)},
		[]any{tenant("open", openKey, false), tenant("walled", walledKey, true)})
	runner, err := d.startRunner("i-1", "v1", 3, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	if trouble {
		go func() {
			time.Sleep(wallsBefore)
			d.record.note("store: silent from now on")
			d.store.SetTrouble(standin.TroubleSilent)
			time.Sleep(silence)
			d.store.SetTrouble(standin.TroubleNone)
			d.record.note("store: answers again")
		}()
	}
	tenantOf := map[string]string{}
	var running sync.WaitGroup
	until := time.Now().Add(wallsBefore + silence + wallsAfter)
	for number := 0; time.Now().Before(until); number++ {
		owner, key := "open", openKey
		if number%2 == 1 {
			owner, key = "walled", walledKey
		}
		asked := ask{
			daemon: d.daemons[number/2%len(d.daemons)], path: wallsPath + "x", id: fmt.Sprintf("%s-%d", owner, number), key: key,
			prefix: fmt.Sprintf("5c1e07a2:400,%08x:20", number+1), deadline: wallsDeadline,
		}
		tenantOf[asked.id] = owner
		running.Go(func() { d.send(asked) })
		time.Sleep(wallsInterval)
	}
	running.Wait()
	if !runner.hasRun() {
		return false, errNoRun
	}
	return d.judgeWalls(runner, tenantOf), nil
}

// errNoRun is returned if no request ran, so that nothing can be judged.
var errNoRun = errors.New("no request ran")

// hasRun reports whether the runner ran any request.
func (r *runner) hasRun() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs) > 0
}

// judgeWalls returns whether each request ran under its key's tenant and on no memory of beyond the wall.
func (d *deployment) judgeWalls(runner *runner, tenantOf map[string]string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	crossed, unnamed := 0, 0
	for _, each := range runner.runs {
		owner := tenantOf[each.request]
		if each.tenant != owner {
			unnamed++
		}
		for part, maker := range each.used {
			if other := tenantOf[maker]; other != owner && (owner == "walled" || other == "walled") {
				crossed++
				d.record.note("WALL: %s of tenant %s ran on part %s, which %s of tenant %s had made", each.request, owner, part, maker, other)
				break
			}
		}
	}
	d.record.conclude("%d of %d runs used memory of beyond the wall (WALL); %d did not carry the tenant of the client's key (UNASKED).", crossed, len(runner.runs), unnamed)
	return crossed == 0
}
