package main

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	rowsPath     = "/ask/"
	rowsInterval = 10 * time.Millisecond
	rowsDeadline = 5 * time.Second
	// rowsPause is before each event of an answer, of which the first one follows the reading of the prompt.
	rowsPause = 120 * time.Millisecond
	// rowsBefore and rowsAfter are how long requests come before another writer's entry and after the runner's own one, and
	// restartAfter is when the daemons are restarted after that entry.
	rowsBefore   = 2 * time.Second
	rowsAfter    = 2 * time.Second
	restartAfter = 100 * time.Millisecond
	// heartbeat is how often a runner writes its entry, as in the settings.
	heartbeat = 1200 * time.Millisecond
)

// playRows sends requests of an isolated tenant and of another one that share a part of their prompts, and restarts the daemons.
// Unless trouble is unset, another writer has replaced the entry of the runner by one that lacks a field, until the runner's next
// heartbeat.
func playRows(d *deployment, trouble bool) (held bool, err error) {
	d.configure([]any{route(rowsPath, int(rowsDeadline.Milliseconds()), 1, false, false)},
		[]any{tenant("open", openKey, false), tenant("walled", walledKey, true)})
	runner, err := d.startRunner("i-1", "v1", 3, rowsPause)
	if err != nil {
		return false, err
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(rowsBefore, func() { d.spoilEntry(runner) })
	}
	time.AfterFunc(rowsBefore+restartAfter, func() {
		for _, each := range d.daemons {
			each.kill()
			if err := each.start(); err != nil {
				d.record.note("%s: can't be started: %v", each.name, err)
			}
		}
	})
	tenantOf := map[string]string{}
	var running sync.WaitGroup
	until := time.Now().Add(rowsBefore + heartbeat + rowsAfter)
	for number := 0; time.Now().Before(until); number++ {
		owner, key := "open", openKey
		if number%2 == 1 {
			owner, key = "walled", walledKey
		}
		asked := ask{
			daemon: d.daemons[number/2%len(d.daemons)], path: rowsPath + "x", id: fmt.Sprintf("%s-%d", owner, number), key: key,
			prefix: fmt.Sprintf("5c1e07a2:400,%08x:20", number+1), deadline: rowsDeadline,
		}
		tenantOf[asked.id] = owner
		running.Go(func() { d.send(asked) })
		time.Sleep(rowsInterval)
	}
	running.Wait()
	if !runner.hasRun() {
		return false, errNoRun
	}
	return d.judgeWalls(runner, tenantOf), nil
}

// spoilEntry has another writer replace a runner's entry, until the runner writes it again.
func (d *deployment) spoilEntry(runner *runner) {
	spoilt := maps.Clone(runner.entry)
	delete(spoilt, "models")
	d.store.Put(names.TableServers, runner.id, spoilt)
	d.record.note("store: another writer has replaced the entry of %s by one without models", runner.id)
	time.Sleep(heartbeat)
	d.store.Put(names.TableServers, runner.id, runner.entry)
	d.record.note("%s: has written its entry again", runner.id)
}
