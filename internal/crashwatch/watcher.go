// Package crashwatch finds out under which requests back ends ended, announces it to the other
// daemons, and says which requests no back end gets any more (package core/quarantine decides). It is
// for requests that end whoever runs them and come again at any daemon, where each try looks
// new.
//
// A request is suspected once its connection is lost, and held to account once the back end
// turns out to be gone. Evidence is announced to all daemons in datagrams, three times; evidence
// against quarantined requests is gossiped to a few, drawn at random, so that one that was out
// of reach has it within moments; a daemon that starts takes it over with a snapshot;
// and the daemon that reads the store for all keeps it in one row, for when all are gone.
package crashwatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/storedrow"
)

const (
	// cutTime is how long after a lost connection the back end may turn out to be gone: its
	// address is given to another one, or its row goes after three heartbeats.
	cutTime = 5 * time.Second
	// maximumCuts bounds the lost connections that wait for that.
	maximumCuts = 16384
)

// Options are what a Watcher works with.
type Options struct {
	Link peerlink.Carrier
	// Topology is where the other daemons are, and Crossing tells other regions; nil tells none.
	Topology peerlink.Topology
	Crossing *peerlink.Crossing
	Table    port.TableService
	// Reads tells whether this daemon reads the store for all.
	Reads func() bool
	Log   logrus.FieldLogger
	// Era counts how often the store has come back from a copy of before; nil is never.
	Era port.EraSource
}

// Watcher is safe for use by several goroutines. Make it with New.
type Watcher struct {
	options Options
	limiter *rate.Limiter
	row     row
	// informed is set once another daemon told what it knows, or the row was tried.
	informed atomic.Bool
	// changed is set when a quarantine began or ended since the row was last compared.
	changed atomic.Bool

	mutex  sync.Mutex
	ledger *quarantine.Tracker
	// cuts are the connections that were lost lately, by back end; count is how many.
	cuts  map[identity.BackendID][]cut
	count int
	// reports wait to be announced.
	reports []report
	// trying are the parts of the ambiguous prompts that this daemon has in flight, and retrials when blamed parts are tried.
	trying   map[quarantine.Fingerprint]bool
	retrials map[quarantine.Fingerprint]retrial
	// announceNow has a value when there is something to announce at once.
	announceNow chan struct{}
}

// cut is a connection that was lost with a request under way.
type cut struct {
	fingerprint quarantine.Fingerprint
	// part is set if the fingerprint is that of a shared part.
	part bool
	at   time.Time
	// answers is set once the back end accepted a connection after it.
	answers bool
}

// New makes a Watcher that takes in what others send at once, and sends once it runs.
func New(options Options) *Watcher {
	made := &Watcher{
		options: options, limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		ledger: quarantine.NewTracker(), cuts: map[identity.BackendID][]cut{},
		trying: map[quarantine.Fingerprint]bool{}, retrials: map[quarantine.Fingerprint]retrial{}, announceNow: make(chan struct{}, 1),
		row: row{Row: storedrow.New(storedrow.Options{Key: RowKey, Table: options.Table, Era: options.Era})},
	}
	peerlink.HandleDecoded(options.Link, peerlink.KindCrashes, made.receive)
	return made
}

// Verdict tells what is believed of a request, and whether it may soon be quarantined.
func (w *Watcher) Verdict(fingerprint quarantine.Fingerprint) quarantine.Status {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	verdict := w.ledger.Status(now, fingerprint)
	if verdict.Quarantined || w.count == 0 {
		return verdict
	}
	verdict.Uncertain = verdict.Crashes+w.suspected(fingerprint) >= quarantine.CrashLimit
	return verdict
}

// suspected counts the back ends that may have ended under a request. The caller holds the
// mutex.
func (w *Watcher) suspected(fingerprint quarantine.Fingerprint) int {
	count := 0
	for _, lost := range w.cuts {
		if slices.ContainsFunc(lost, func(each cut) bool { return each.fingerprint == fingerprint && !each.answers }) {
			count++
		}
	}
	return count
}

// Lost notes that the connection to a back end was lost with a request under way.
func (w *Watcher) Lost(fingerprint quarantine.Fingerprint, backend identity.BackendID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lose(backend, cut{fingerprint: fingerprint, at: clock.Now()})
}

// lose notes a lost connection. The caller holds the mutex.
func (w *Watcher) lose(backend identity.BackendID, lost cut) {
	if w.count >= maximumCuts {
		return
	}
	w.cuts[backend] = append(w.cuts[backend], lost)
	w.count++
}

// HasLost reports whether connections to a back end were lost with requests under way, and it was not checked since.
func (w *Watcher) HasLost(backend identity.BackendID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.cuts[backend]) > 0
}

// Checked notes whether a back end can be reached. One that can't is taken to have ended, with
// all requests that lost their connection to it.
func (w *Watcher) Checked(backend identity.BackendID, reached bool) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lost := w.cuts[backend]
	if reached {
		for index := range lost {
			lost[index].answers = true
		}
		return
	}
	delete(w.cuts, backend)
	w.count -= len(lost)
	for _, each := range lost {
		crash := quarantine.Crash{Fingerprint: each.fingerprint, Backend: rendezvous.Key(string(backend)), At: each.at, Part: each.part}
		if w.add(now, crash, string(backend)) {
			w.enqueue(report{crash: &crash})
		}
	}
}

// Served notes that a request had a whole answer.
func (w *Watcher) Served(fingerprint quarantine.Fingerprint) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.acquit(now, quarantine.Crash{Fingerprint: fingerprint, At: now}) {
		w.enqueue(report{acquitted: &quarantine.Crash{Fingerprint: fingerprint, At: now}})
	}
}

// add takes evidence in, and logs it where it changes what is believed. The caller holds the
// mutex. Source is the back end, where this daemon saw it end, or else the daemon that sent it.
func (w *Watcher) add(now time.Time, crash quarantine.Crash, source string) bool {
	before := w.ledger.Status(now, crash.Fingerprint)
	if !w.ledger.Add(now, crash) {
		return false
	}
	after := w.ledger.Status(now, crash.Fingerprint)
	log := w.options.Log.WithFields(logrus.Fields{
		"fingerprint": crash.Fingerprint.String(), "crashes": after.Crashes, "source": source,
		"age_ms": now.Sub(crash.At).Milliseconds(), "left_ms": after.Remaining.Milliseconds(),
	})
	if crash.Part {
		w.noteBlame(now, crash.Fingerprint, log)
	} else if after.Quarantined && !before.Quarantined {
		w.changed.Store(true)
		log.Warn("A request is quarantined: back ends ended while they ran it.")
	} else if after.Crashes > 1 {
		log.Info("A back end ended under a request that is quarantined already.")
	}
	return true
}

// acquit drops the evidence against a request up to a time. The caller holds the mutex.
func (w *Watcher) acquit(now time.Time, acquittal quarantine.Crash) bool {
	before := w.ledger.Status(now, acquittal.Fingerprint)
	if acquittal.Part {
		before = w.ledger.StatusOfParts(now, []quarantine.Fingerprint{acquittal.Fingerprint})
	}
	if !w.ledger.RecordSuccess(acquittal.Fingerprint, acquittal.At) {
		return false
	}
	if before.IsBlamed() {
		w.changed.Store(true)
		w.options.Log.WithFields(logrus.Fields{"fingerprint": acquittal.Fingerprint.String(), "shared_part": acquittal.Part}).
			Info("A request is quarantined no longer: it had a whole answer.")
	}
	return true
}

// sweep forgets what is past.
func (w *Watcher) sweep(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ledger.Sweep(now)
	w.sweepRetrials(now)
	for backend, lost := range w.cuts {
		if now.Sub(lost[len(lost)-1].at) > cutTime {
			delete(w.cuts, backend)
			w.count -= len(lost)
		}
	}
}

// Quarantined returns the evidence against quarantined requests, for a daemon that starts.
func (w *Watcher) Quarantined() []Evidence {
	now := clock.Now()
	return newEvidence(now, w.quarantined(now, maximumRequests))
}

// Blamed returns what is blamed for ends of back ends, for operators.
func (w *Watcher) Blamed() []quarantine.Blamed {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ledger.Blamed(now)
}

func (w *Watcher) quarantined(now time.Time, most int) []quarantine.Crash {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ledger.Quarantined(now, most)
}

// Adopt takes evidence in that another daemon or the store had.
func (w *Watcher) Adopt(source string, evidence []Evidence) {
	w.informed.Store(true)
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range evidence {
		w.add(now, each.crash(now), source)
	}
}
