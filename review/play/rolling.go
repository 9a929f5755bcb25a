package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	rollingPath    = "/summary/"
	rollingKey     = "key-of-officers"
	rollingStreams = 8
	// rollingEvents and rollingPause make a stream last ten seconds, with pauses below those on the site's sheet.
	rollingEvents = 25
	rollingPause  = 400 * time.Millisecond
	// rollingDeadline is that of a client for all its attempts, and the time limit of the route, as of the kind duty-summary of
	// csfa-lotusward, whose streams may be resumed.
	rollingDeadline = 12 * time.Second
	// rollingFrom is when the first daemon is told to end, after the streams began, and rollingGap is the time until the next one
	// is, as in the site file's roll_term of all machines while they answer requests.
	rollingFrom = 500 * time.Millisecond
	rollingGap  = time.Second
	// rollingListed and rollingGone are when the runners of the next software version are listed and the row of the former
	// one goes.
	rollingListed = time.Second
	rollingGone   = 3 * time.Second
	// besideStreams is the number of streams while two versions serve side by side. Their clients lose their connections
	// besideLeaves after they began: about when the daemon that was told to end first breaks them off.
	besideStreams = 24
	besideLeaves  = 7900 * time.Millisecond
	// rollingGrace is the bound graceS, after which the platform kills a daemon.
	rollingGrace = 8 * time.Second
)

// playRolling has clients of one zone receive streams while their service is moved to another software version and, unless
// trouble is unset, all daemons are stopped and started in turn. There is planned work alone. It is no case of the review.
func playRolling(d *deployment, trouble bool) (held bool, err error) {
	d.bounds, d.zones = csfaBounds, []string{"rosehill", "ebene", "curepipe"}
	d.configure([]any{route(rollingPath, int(rollingDeadline.Milliseconds()), 2, true, false)}, []any{tenant("club", rollingKey, false)})
	if _, err := d.startRunner("i-old", "v1", rollingEvents, rollingPause); err != nil {
		return false, err
	}
	if err := d.startDaemons(3); err != nil {
		return false, err
	}
	const zone = 2 // the clients' zone has the third daemon alone; while it is out, the others take their connections
	began := time.Now()
	streams := make([]*resumedStream, rollingStreams)
	var running sync.WaitGroup
	defer running.Wait()
	for number := range streams {
		streams[number] = &resumedStream{
			deployment: d, number: number, path: rollingPath + "duty", key: rollingKey, length: rollingEvents, deadline: rollingDeadline,
			entry: func(attempt int) *daemon { return d.entry(zone + attempt*(1+number%2)) },
		}
		running.Go(streams[number].take)
	}
	if trouble {
		d.restartInTurn(&running, began.Add(rollingFrom), zone)
	}
	time.Sleep(time.Until(began.Add(rollingListed)))
	// The new runners start first. The old one never says that it leaves: its row goes, and it serves on.
	for _, id := range []string{"i-new-1", "i-new-2"} {
		if _, err := d.startRunner(id, "v2", rollingEvents, rollingPause); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(rollingGone)))
	d.remove(names.TableServers, "i-old")
	d.record.note("i-old: its row is gone, and it serves on")
	running.Wait()
	return d.judgeVersions(streams)
}

// restartInTurn stops and starts all three daemons in turn, from a time on, the first of them first.
func (d *deployment) restartInTurn(running *sync.WaitGroup, from time.Time, first int) {
	for turn := range d.daemons {
		running.Go(func() {
			time.Sleep(time.Until(from.Add(time.Duration(turn) * rollingGap)))
			d.daemons[(first+turn)%len(d.daemons)].restart(rollingGrace)
		})
	}
}

// playBeside has clients of one zone receive streams while runners of two software versions serve side by side and all daemons
// are stopped and started in turn or, if trouble is unset, the clients lose their connections. The clients take their streams up at
// the daemon that was started first. There is planned work alone. It is no case of the review.
func playBeside(d *deployment, trouble bool) (held bool, err error) {
	d.bounds, d.zones = csfaBounds, []string{"rosehill", "ebene", "curepipe"}
	d.configure([]any{route(rollingPath, int(rollingDeadline.Milliseconds()), 2, true, false)}, []any{tenant("club", rollingKey, false)})
	for number := range 4 {
		if _, err := d.startRunner(fmt.Sprintf("i-%d", number), fmt.Sprintf("v%d", 1+number%2), rollingEvents, rollingPause); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(herdCalm)
	began := time.Now()
	streams := make([]*herdStream, besideStreams)
	var running sync.WaitGroup
	defer running.Wait()
	for number := range streams {
		streams[number] = &herdStream{
			deployment: d, number: number, path: rollingPath + "duty", key: rollingKey, length: rollingEvents,
			until: began.Add(rollingDeadline), leavesAfter: besideLeaves,
		}
		running.Go(func() { streams[number].take(d.daemons[2], d.daemons[0], trouble) })
	}
	if trouble {
		d.restartInTurn(&running, began.Add(rollingFrom), 2)
	}
	time.Sleep(time.Until(began.Add(besideLeaves)))
	begun := d.beginAnew(d.daemons[0], rollingPath+"duty", rollingKey, rollingDeadline)
	running.Wait()
	return d.judgeTakenUp(streams, d.daemons[0], begun)
}

// restart tells the process to end, kills it if it is still there after a time, and starts it again.
func (d *daemon) restart(grace time.Duration) {
	d.mutex.Lock()
	command, ended := d.command, d.ended
	d.mutex.Unlock()
	if command == nil {
		return
	}
	told := time.Now()
	d.deployment.record.note("%s: told to end (SIGTERM)", d.name)
	_ = command.Process.Signal(syscall.SIGTERM) // it has not ended
	select {
	case <-ended:
		d.deployment.record.note("%s: process ended after %.2f s", d.name, time.Since(told).Seconds())
	case <-time.After(grace):
		d.kill()
	}
	if err := d.start(); err != nil {
		d.deployment.record.note("%s: can't be started: %v", d.name, err)
	}
}
