package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	versionsPath    = "/recap/"
	versionsKey     = "key-of-recaps"
	versionsStreams = 8
	// versionsEvents and versionsPause make a stream last three seconds.
	versionsEvents = 20
	versionsPause  = 150 * time.Millisecond
	// versionsDeadline is that of a client for all its attempts, and the time limit of the route, as of the kind duty-summary
	// of csfa-lotusward; its clients retry once.
	versionsDeadline = 12 * time.Second
	versionsAttempts = 2
	// listedAfter is how long after the streams began the new runners are listed, goneAfter how long later the row of the old
	// one goes, and killedAfter how long later the daemons are killed; they start again after downTime.
	listedAfter = 200 * time.Millisecond
	goneAfter   = 300 * time.Millisecond
	killedAfter = 400 * time.Millisecond
	downTime    = 700 * time.Millisecond
	// mixedAllowed is how many streams may hold events of two software versions.
	mixedAllowed = 2
)

// errNoStream is returned if streams don't begin.
var errNoStream = errors.New("streams did not begin")

// playVersions has clients receive streams while their service is moved to another software version and, unless trouble is
// unset, all daemons are killed at the same moment and start again.
func playVersions(d *deployment, trouble bool) (held bool, err error) {
	d.useCsfa()
	d.configure([]any{route(versionsPath, int(versionsDeadline.Milliseconds()), 2, true, false)}, []any{tenant("club", versionsKey, false)})
	if _, err := d.startRunner("i-old", "v1", versionsEvents, versionsPause); err != nil {
		return false, err
	}
	if err := d.startDaemons(3); err != nil {
		return false, err
	}
	streams := make([]*resumedStream, versionsStreams)
	var running sync.WaitGroup
	for number := range streams {
		streams[number] = &resumedStream{
			deployment: d, number: number, path: versionsPath + "season", key: versionsKey, length: versionsEvents,
			deadline: versionsDeadline, entry: func(attempt int) *daemon { return d.entry(number + attempt) },
		}
		running.Go(streams[number].take)
	}
	time.Sleep(listedAfter)
	// The planned work: the new runners start first. The old one never says that it leaves: its row goes, and it serves on.
	for _, id := range []string{"i-new-1", "i-new-2"} {
		if _, err := d.startRunner(id, "v2", versionsEvents, versionsPause); err != nil {
			return false, err
		}
	}
	time.Sleep(goneAfter)
	d.remove(names.TableServers, "i-old")
	d.record.note("i-old: its row is gone, and it serves on")
	time.Sleep(killedAfter)
	if trouble {
		if err := d.restartAll(); err != nil {
			return false, err
		}
	}
	running.Wait()
	return d.judgeVersions(streams)
}

// judgeVersions returns whether no more streams than allowed hold events of two software versions.
func (d *deployment) judgeVersions(streams []*resumedStream) (held bool, err error) {
	mixed := 0
	for _, stream := range streams {
		versions := stream.versions()
		d.record.note("client: stream %d holds %d events, of software %v, in %d attempts", stream.number, len(stream.events), versions, stream.attempts)
		if len(versions) == 0 {
			return false, errNoStream
		}
		if len(versions) > 1 {
			mixed++
		}
	}
	d.record.conclude("%d of %d streams hold events of two software versions; %d may.", mixed, len(streams), mixedAllowed)
	return mixed <= mixedAllowed, nil
}

// restartAll kills all daemons at the same moment and starts them again.
func (d *deployment) restartAll() error {
	d.record.note("all daemons are killed at the same moment")
	var killed sync.WaitGroup
	for _, each := range d.daemons {
		killed.Go(each.kill)
	}
	killed.Wait()
	time.Sleep(downTime)
	for _, each := range d.daemons {
		if err := each.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, each := range d.daemons {
		if err := each.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// resumedStream is a stream that its client takes up again where it broke off.
type resumedStream struct {
	deployment *deployment
	number     int
	path, key  string
	// length is the number of events of the whole stream, and deadline the client's for all its attempts.
	length   int
	deadline time.Duration
	// entry returns the daemon that the connection of an attempt is passed to; the first is attempt zero.
	entry    func(attempt int) *daemon
	attempts int
	events   []event
}

// take receives the stream, in as many attempts as clients make.
func (s *resumedStream) take() {
	until := time.Now().Add(s.deadline)
	began := ""
	for len(s.events) < s.length && s.attempts < versionsAttempts && time.Now().Before(until) {
		id := fmt.Sprintf("stream-%d-attempt-%d", s.number, s.attempts+1)
		got := s.deployment.send(ask{
			daemon: s.entry(s.attempts), path: s.path, id: id, key: s.key,
			prefix: fmt.Sprintf("5c1e07a2:400,%08x:20", s.number+1), deadline: time.Until(until), lastEvent: len(s.events), resumes: began,
		})
		s.attempts++
		if began == "" && len(got.events) > 0 {
			began = id
		}
		s.events = append(s.events, got.events...)
	}
}

// entry returns the daemon that a new connection is passed to: the one of a number, or else the next one that is ready. It
// waits while none is.
func (d *deployment) entry(number int) *daemon {
	for ; ; number++ {
		if chosen := d.daemons[number%len(d.daemons)]; chosen.ready() {
			return chosen
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// versions returns the software versions of the stream's events, in their order.
func (s *resumedStream) versions() []string {
	var found []string
	for _, each := range s.events {
		if len(found) == 0 || found[len(found)-1] != each.data {
			found = append(found, each.data)
		}
	}
	return found
}
