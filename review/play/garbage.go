package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	garbagePath = "/place/"
	garbageKey  = "key-of-runners"
	// garbageRequestInterval is between two requests of a daemon's clients.
	garbageRequestInterval = 60 * time.Millisecond
	// garbageDeadline is that of the clients and the time limit of the route, as of the kind placing-ask of foulee-results.
	garbageDeadline = 15 * time.Second
	garbageTime     = 60 * time.Second
	// garbageEvery is the number of answers of the faulty runner to a daemon of which one is spoilt: two in a hundred.
	garbageEvery = 50
	// endsCounted is how often the processes of a machine must end in a day for the rule.
	endsCounted = 3
)

// playGarbage sends requests to three runners of which one, unless trouble is unset, answers two in a hundred with bytes that
// form no answer. A daemon whose memory exceeds its machine's is killed and starts again, as the platform has it.
func playGarbage(d *deployment, trouble bool) (held bool, err error) {
	d.configure([]any{route(garbagePath, int(garbageDeadline.Milliseconds()), 1, false, false)}, []any{tenant("club", garbageKey, false)})
	for number := range 3 {
		runner, err := d.startRunner(fmt.Sprintf("i-%d", number), "v1", 5, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		if number == 0 && trouble {
			runner.garblesEvery = garbageEvery
		}
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	until := time.Now().Add(garbageTime)
	var running sync.WaitGroup
	ends := make([]int, len(d.daemons))
	for index, each := range d.daemons {
		running.Go(func() { ends[index] = each.watchMemory(until) })
		running.Go(func() {
			for number := 0; time.Now().Before(until.Add(-garbageDeadline)); number++ {
				asked := ask{
					daemon: each, path: garbagePath + "x", id: fmt.Sprintf("ask-%d-%d", index, number), key: garbageKey,
					prefix: fmt.Sprintf("%08x:119,%08x:20", number, number+1), deadline: garbageDeadline,
				}
				running.Go(func() { d.send(asked) })
				time.Sleep(garbageRequestInterval)
			}
		})
	}
	running.Wait()
	often := 0
	for _, count := range ends {
		if count >= endsCounted {
			often++
		}
	}
	d.record.conclude("Processes that went over %d MB, by daemon: %v.", memoryMb, ends)
	return often < 2, nil
}

// watchMemory kills and restarts the daemon whenever its memory exceeds its machine's, and returns how often that was.
func (d *daemon) watchMemory(until time.Time) int {
	ends := 0
	for time.Now().Before(until) {
		time.Sleep(25 * time.Millisecond)
		held := residentMegabytes(d.process())
		d.peakMegabytes = max(d.peakMegabytes, held)
		if held <= memoryMb {
			continue
		}
		ends++
		d.deployment.record.note("%s: its memory is %d MB, of %d: it is killed, as the platform does", d.name, held, memoryMb)
		d.kill()
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			d.deployment.record.note("%s: can't be started: %v", d.name, err)
			return ends
		}
	}
	return ends
}

// residentMegabytes returns the memory of a process, or zero if it has ended.
func residentMegabytes(process int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
		return kilobytes >> 10
	}
	return 0
}
