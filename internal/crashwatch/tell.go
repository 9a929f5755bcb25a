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
	// tellInterval is how often it is looked whether there is something to tell.
	tellInterval = 100 * time.Millisecond
	// tellTimes is how often evidence is told to all, and repeatInterval lies in between: with
	// three in a hundred datagrams lost, one daemon in 37,000 misses all three.
	tellTimes      = 3
	repeatInterval = 400 * time.Millisecond
	// gossipInterval is how often evidence against quarantined requests is told to
	// gossipTargets daemons: each hears it some four times a second, so that one in 160,000
	// that missed all else has not heard it after 3 s.
	gossipInterval = 500 * time.Millisecond
	gossipTargets  = 2
	// maximumEvidence bounds the evidence in one datagram, of 24 bytes each, and
	// maximumGossip the requests that are told of on and on.
	maximumEvidence = 200
	maximumGossip   = 64
	// maximumRequests bounds the requests that a starting daemon is told of, and of the row.
	maximumRequests = 256
	// maximumNews bounds what waits to be told.
	maximumNews = 2048
	// bytesPerSecond bounds what is told. A mass crash is told late rather than at the cost of
	// other datagrams: a request that ended two back ends is then found out by the next end.
	bytesPerSecond = 64 << 10
	burstBytes     = 64 << 10
)

// Evidence is a back end's end under a request, as daemons tell each other.
type Evidence struct {
	Fingerprint uint64
	// Backend is the hash of the back end's ID; zero is an acquittal.
	Backend uint64
	AgeMs   uint32
}

func (e Evidence) crash(now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: quarantine.Fingerprint(e.Fingerprint), Backend: e.Backend,
		At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
	}
}

func newEvidence(now time.Time, crashes []quarantine.Crash) []Evidence {
	var told []Evidence
	for _, each := range crashes {
		age := max(now.Sub(each.At), 0)
		told = append(told, Evidence{Fingerprint: uint64(each.Fingerprint), Backend: each.Backend, AgeMs: uint32(age.Milliseconds())})
	}
	return told
}

// message is one datagram's body.
type message struct {
	Crashes   []Evidence
	Acquitted []Evidence
}

// news is evidence or an acquittal that is to be told to all.
type news struct {
	crash, acquitted *quarantine.Crash
	// told is how often it was, and dueAt when it is to be told again.
	told  int
	dueAt time.Time
}

// tellAll leaves news to be told to all. The caller holds the mutex.
func (w *Watcher) tellAll(added news) {
	if len(w.news) < maximumNews {
		w.news = append(w.news, added)
	}
}

// Run tells other daemons until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	var gossipedAt time.Time
	pause.Every(ctx, tellInterval, func(now time.Time) {
		w.sweep(now)
		w.tellNews(now)
		if now.Sub(gossipedAt) >= gossipInterval {
			gossipedAt = now
			w.gossip(now)
		}
	})
	return nil
}

// tellNews tells all others what is due.
func (w *Watcher) tellNews(now time.Time) {
	for told := w.due(now); len(told.Crashes)+len(told.Acquitted) > 0; told = w.due(now) {
		w.send(&told, w.options.Others())
	}
}

// due takes some of the news that are due.
func (w *Watcher) due(now time.Time) message {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var crashes, acquitted []quarantine.Crash
	var kept []news
	for _, each := range w.news {
		if each.dueAt.After(now) || len(crashes)+len(acquitted) >= maximumEvidence {
			kept = append(kept, each)
			continue
		}
		if each.crash != nil {
			crashes = append(crashes, *each.crash)
		} else {
			acquitted = append(acquitted, *each.acquitted)
		}
		each.told++
		each.dueAt = now.Add(repeatInterval)
		if each.told < tellTimes {
			kept = append(kept, each)
		}
	}
	w.news = kept
	return message{Crashes: newEvidence(now, crashes), Acquitted: newEvidence(now, acquitted)}
}

// gossip tells some others, drawn at random, of the quarantined requests.
func (w *Watcher) gossip(now time.Time) {
	held, others := w.quarantined(now, maximumGossip), w.options.Others()
	if len(held) == 0 || len(others) == 0 {
		return
	}
	var targets []string
	for range min(gossipTargets, len(others)) {
		targets = append(targets, others[rand.IntN(len(others))])
	}
	w.send(&message{Crashes: newEvidence(now, held)}, targets)
}

// send sends a message within the bound on bytes.
func (w *Watcher) send(told *message, targets []string) {
	datagram, fits := w.options.Link.Encode(peerlink.KindCrashes, told)
	if !fits {
		w.options.Log.WithField("evidence", len(told.Crashes)).Error("Evidence doesn't fit one datagram.")
		return
	}
	start := 0
	if len(targets) > 0 {
		start = rand.IntN(len(targets))
	}
	for offset := range targets {
		if !w.limiter.AllowN(clock.Now(), len(datagram)) {
			return
		}
		w.options.Link.Send(targets[(start+offset)%len(targets)], datagram)
	}
}

// hear takes in what another daemon tells.
func (w *Watcher) hear(from string, told message) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range told.Acquitted {
		w.acquit(now, each.crash(now))
	}
	for _, each := range told.Crashes {
		w.add(now, each.crash(now), from)
	}
}
