package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	herdPath = "/recap/"
	herdKey  = "key-of-recaps"
	// herdDaemons is the number of machines of foulee-results.
	herdDaemons = 7
	herdStreams = 42
	// herdEvents and herdPause make a stream last three seconds.
	herdEvents = 20
	herdPause  = 150 * time.Millisecond
	// herdDeadline is that of a client for all its attempts, and the time limit of the route, as of the kind season-recap.
	herdDeadline = 6 * time.Second
	// herdCalm is longer than contactMs, so that all machines are in touch.
	herdCalm = 4 * time.Second
	// herdKilledAfter is when the daemons are killed, after the streams began; herdDown is how long they are down, as in the plan
	// of foulee-results (for_s).
	herdKilledAfter = 1200 * time.Millisecond
	herdDown        = 3500 * time.Millisecond
	// herdNew is the number of new streams meanwhile.
	herdNew         = 40
	herdNewInterval = 75 * time.Millisecond
	// herdNewLength is after how long a client leaves a new stream, which has begun or not.
	herdNewLength = 3 * time.Second
	// herdAttempts bounds a client's attempts, and herdRetry is the pause before one if the answer names none.
	herdAttempts = 5
	herdRetry    = 300 * time.Millisecond
	// takenUpCounted is the number of streams from which on the rule applies.
	takenUpCounted = 12
)

// playHerd has clients receive streams through six of seven daemons, while runners of two software versions serve side by side.
// The six, or the first KILLED of them, are killed at the same moment or, if trouble is unset, the clients lose their connections
// at that moment. The clients take their streams up at the seventh daemon.
func playHerd(d *deployment, trouble bool) (held bool, err error) {
	d.zones = []string{"rosehill", "ebene", "curepipe"}
	d.configure([]any{route(herdPath, int(herdDeadline.Milliseconds()), 2, true, false)}, []any{tenant("club", herdKey, false)})
	for number := range 4 {
		if _, err := d.startRunner(fmt.Sprintf("i-%d", number), fmt.Sprintf("v%d", 1+number%2), herdEvents, herdPause); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(herdDaemons); err != nil {
		return false, err
	}
	time.Sleep(herdCalm)
	left := d.daemons[herdDaemons-1]
	victims := d.daemons[:herdDaemons-1]
	if count, err := strconv.Atoi(os.Getenv("KILLED")); err == nil {
		victims = victims[:min(max(count, 1), len(victims))]
	}
	began := time.Now()
	streams := make([]*herdStream, herdStreams)
	var running sync.WaitGroup
	for number := range streams {
		streams[number] = &herdStream{
			deployment: d, number: number, path: herdPath + "season", key: herdKey, length: herdEvents,
			until: began.Add(herdDeadline), leavesAfter: herdKilledAfter,
		}
		running.Go(func() { streams[number].take(victims[number%len(victims)], left, trouble) })
	}
	time.Sleep(time.Until(began.Add(herdKilledAfter)))
	if trouble {
		d.record.note("%d of seven daemons are killed at the same moment", len(victims))
		var killed sync.WaitGroup
		for _, each := range victims {
			killed.Go(each.kill)
		}
		killed.Wait()
		running.Go(func() {
			time.Sleep(herdDown)
			for _, each := range victims {
				if err := each.start(); err != nil {
					d.record.note("%s: can't be started: %v", each.name, err)
				}
			}
		})
	}
	begun := d.beginAnew(left, herdPath+"season", herdKey, herdDeadline)
	running.Wait()
	return d.judgeTakenUp(streams, left, begun)
}

// beginAnew has clients send requests for new streams to a daemon, and returns how many begin.
func (d *deployment) beginAnew(entry *daemon, path, key string, deadline time.Duration) int {
	var mutex sync.Mutex
	var running sync.WaitGroup
	begun := 0
	for number := range herdNew {
		running.Go(func() {
			got := d.send(ask{
				daemon: entry, path: path, id: fmt.Sprintf("new-%d", number), key: key,
				prefix: fmt.Sprintf("5c1e07a2:400,%08x:20", 1000+number), deadline: deadline, leavesAfter: herdNewLength,
			})
			mutex.Lock()
			defer mutex.Unlock()
			if len(got.events) > 0 {
				begun++
			}
		})
		time.Sleep(herdNewInterval)
	}
	running.Wait()
	return begun
}

// judgeTakenUp returns whether the share of streams that went on at a daemon is half of that of new ones that began there, or more.
func (d *deployment) judgeTakenUp(streams []*herdStream, entry *daemon, begun int) (held bool, err error) {
	takenUp, wentOn := 0, 0
	for _, stream := range streams {
		if stream.before == 0 || stream.before == stream.length {
			continue
		}
		takenUp++
		if stream.after > 0 {
			wentOn++
		}
	}
	d.record.conclude("%d of %d streams that were taken up at %s went on; %d of %d new streams began there.", wentOn, takenUp, entry.name, begun, herdNew)
	if takenUp < takenUpCounted {
		return false, errNoStream
	}
	return 2*wentOn*herdNew >= begun*takenUp, nil
}

// herdStream is a stream whose client loses its connection and takes it up at another daemon.
type herdStream struct {
	deployment *deployment
	number     int
	path, key  string
	// length is the number of events of the whole stream, and until the client's deadline.
	length int
	until  time.Time
	// leavesAfter is when the client loses its connection where its daemon doesn't break off.
	leavesAfter time.Duration
	// before and after count the events before and after the loss.
	before, after int
}

// take receives the stream. The client leaves by itself unless its daemon ends.
func (s *herdStream) take(first, then *daemon, ends bool) {
	request := ask{
		daemon: first, path: s.path, id: fmt.Sprintf("stream-%d-attempt-1", s.number), key: s.key,
		prefix: fmt.Sprintf("5c1e07a2:400,%08x:20", s.number+1), deadline: time.Until(s.until),
	}
	if !ends {
		request.leavesAfter = s.leavesAfter
	}
	got := s.deployment.send(request)
	s.before = len(got.events)
	if s.before == 0 || s.before == s.length {
		return
	}
	request.daemon, request.lastEvent, request.resumes, request.leavesAfter = then, s.before, request.id, 0
	for attempt := 2; attempt <= 1+herdAttempts && time.Now().Before(s.until); attempt++ {
		request.id, request.deadline = fmt.Sprintf("stream-%d-attempt-%d", s.number, attempt), time.Until(s.until)
		if got = s.deployment.send(request); len(got.events) > 0 {
			s.after = len(got.events)
			return
		}
		time.Sleep(max(herdRetry, got.retryAfter))
	}
}
