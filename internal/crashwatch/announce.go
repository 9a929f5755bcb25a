package crashwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// announceInterval is how often it is looked whether there is something to announce.
	announceInterval = 100 * time.Millisecond
	// announceTimes is how often evidence is sent to all, and repeatInterval lies in between: with
	// three in a hundred datagrams lost, one daemon in 37,000 misses all three.
	announceTimes  = 3
	repeatInterval = 400 * time.Millisecond
	// gossipInterval is how often evidence against quarantined requests is sent to
	// gossipTargets daemons: each gets it some four times a second, so that one in 160,000
	// that missed all else has not got it after 3 s. Of a region about one daemon in each
	// interval sends it to one of each other region.
	gossipInterval = 500 * time.Millisecond
	gossipTargets  = 2
	// maximumEvidence bounds the evidence in one datagram, of 24 bytes each, and
	// maximumGossip the requests that are gossiped of.
	maximumEvidence = 200
	maximumGossip   = 64
	// maximumRequests bounds the requests that a starting daemon is given, and of the row.
	maximumRequests = 256
	// maximumReports bounds what waits to be announced.
	maximumReports = 2048
	// bytesPerSecond bounds what is sent. A mass crash is announced late rather than at the cost of
	// other datagrams: a request that ended two back ends is then found out by the next end.
	bytesPerSecond = 64 << 10
	burstBytes     = 64 << 10
)

// Evidence is a back end's end under a request, as daemons send it to each other.
type Evidence struct {
	Fingerprint uint64
	// Backend is the hash of the back end's ID; zero is an acquittal.
	Backend uint64
	// AgeMs has partFlag set if the fingerprint is that of a shared part of prompts.
	AgeMs uint32
}

// partFlag marks evidence against parts. Earlier builds take it for too old to count.
const partFlag = 1 << 31

func (e Evidence) crash(now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: quarantine.Fingerprint(e.Fingerprint), Backend: e.Backend,
		At: now.Add(-time.Duration(e.AgeMs&^partFlag) * time.Millisecond), Part: e.AgeMs&partFlag != 0,
	}
}

func newEvidence(now time.Time, crashes []quarantine.Crash) []Evidence {
	var evidence []Evidence
	for _, each := range crashes {
		age := uint32(max(now.Sub(each.At), 0).Milliseconds())
		if each.Part {
			age |= partFlag
		}
		evidence = append(evidence, Evidence{Fingerprint: uint64(each.Fingerprint), Backend: each.Backend, AgeMs: age})
	}
	return evidence
}

// message is one datagram's body.
type message struct {
	Crashes   []Evidence
	Acquitted []Evidence
}

// report is evidence or an acquittal that is to be announced to all daemons.
type report struct {
	crash, acquitted *quarantine.Crash
	// sent is how often it was, and dueAt when it is due again.
	sent  int
	dueAt time.Time
}

// enqueue leaves a report to be announced. The caller holds the mutex.
func (w *Watcher) enqueue(added report) {
	if len(w.reports) < maximumReports {
		w.reports = append(w.reports, added)
	}
	select {
	case w.announceNow <- struct{}{}:
	default: // it is woken already
	}
}

// Run announces and gossips until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	go w.runWoken(ctx)
	var gossipedAt time.Time
	pause.Every(ctx, announceInterval, func(now time.Time) {
		w.sweep(now)
		w.announce(now)
		if now.Sub(gossipedAt) >= gossipInterval {
			gossipedAt = now
			w.gossip(now)
		}
	})
	return nil
}

// runWoken announces new evidence at once until the context ends.
func (w *Watcher) runWoken(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.announceNow:
			w.announce(clock.Now())
		}
	}
}

// announce sends all others what is due.
func (w *Watcher) announce(now time.Time) {
	for due := w.due(now); len(due.Crashes)+len(due.Acquitted) > 0; due = w.due(now) {
		w.tell(&due)
	}
}

// due takes some of the reports that are due.
func (w *Watcher) due(now time.Time) message {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var crashes, acquitted []quarantine.Crash
	var kept []report
	for _, each := range w.reports {
		if each.dueAt.After(now) || len(crashes)+len(acquitted) >= maximumEvidence {
			kept = append(kept, each)
			continue
		}
		if each.crash != nil {
			crashes = append(crashes, *each.crash)
		} else {
			acquitted = append(acquitted, *each.acquitted)
		}
		each.sent++
		each.dueAt = now.Add(repeatInterval)
		if each.sent < announceTimes {
			kept = append(kept, each)
		}
	}
	w.reports = kept
	return message{Crashes: newEvidence(now, crashes), Acquitted: newEvidence(now, acquitted)}
}

// gossip sends the evidence against quarantined requests to some others, drawn at random.
func (w *Watcher) gossip(now time.Time) {
	held := w.quarantined(now, maximumGossip)
	if len(held) == 0 {
		return
	}
	if datagram, fits := w.encode(&message{Crashes: newEvidence(now, held)}); fits {
		peerlink.SendWithin(w.options.Link, w.limiter, w.gossipTargets(), datagram)
	}
}

// gossipTargets are some daemons that are near and, of each other region, one from time to time: of
// all the daemons of this region about one in each interval.
func (w *Watcher) gossipTargets() []string {
	self := w.options.Link.Address()
	near := w.options.Topology.Near(self)
	var targets []string
	for range min(gossipTargets, len(near)) {
		targets = append(targets, near[rand.IntN(len(near))])
	}
	for _, there := range w.options.Topology.Far(self) {
		if rand.IntN(len(near)+1) == 0 {
			targets = append(targets, there[rand.IntN(len(there))])
		}
	}
	return targets
}

// tell tells all other daemons a message, within the bound on bytes.
func (w *Watcher) tell(body *message) {
	datagram, fits := w.encode(body)
	if !fits {
		return
	}
	if w.options.Crossing != nil {
		w.options.Crossing.SendToEach(datagram)
	}
	peerlink.SendWithin(w.options.Link, w.limiter, w.options.Topology.Near(w.options.Link.Address()), datagram)
}

// encode returns a message's datagram; false when it doesn't fit one, which is an error here.
func (w *Watcher) encode(body *message) ([]byte, bool) {
	datagram, fits := w.options.Link.Encode(peerlink.KindCrashes, body)
	if !fits {
		w.options.Log.WithField("evidence", len(body.Crashes)).Error("Evidence doesn't fit one datagram.")
	}
	return datagram, fits
}

// receive takes in what another daemon sends.
func (w *Watcher) receive(from string, got message) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range got.Acquitted {
		w.acquit(now, each.crash(now))
	}
	for _, each := range got.Crashes {
		w.add(now, each.crash(now), from)
	}
}
