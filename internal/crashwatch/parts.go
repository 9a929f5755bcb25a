package crashwatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/core/rendezvous"
)

const (
	// firstRetrial is how long after a part was blamed one prompt with it is dispatched, since the back ends may handle it now, or
	// it was blamed by mistake. Each further wait is retrialFactor times as long.
	firstRetrial  = 30 * time.Second
	retrialFactor = 4
	// ambiguousRetryAfter is when the caller of an ambiguous prompt should retry.
	ambiguousRetryAfter = 500 * time.Millisecond
)

// VerdictOfParts tells what is believed of a prompt with some shared parts.
func (w *Watcher) VerdictOfParts(parts []quarantine.Fingerprint) quarantine.Status {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	verdict := w.ledger.StatusOfParts(now, parts)
	if verdict.Ambiguous && !verdict.Quarantined {
		verdict.Remaining = ambiguousRetryAfter
	}
	if verdict.Quarantined || w.count == 0 {
		return verdict
	}
	verdict.Uncertain = slices.ContainsFunc(parts, func(part quarantine.Fingerprint) bool {
		suspected := w.suspected(part)
		return suspected > 0 && suspected+w.ledger.CrashesOfPart(now, part) >= quarantine.CrashLimit
	})
	return verdict
}

// LostParts notes that the connection to a back end was lost with a prompt under way.
func (w *Watcher) LostParts(parts []quarantine.Fingerprint, backend identity.BackendID) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, part := range parts {
		w.lose(backend, cut{fingerprint: part, part: true, at: now})
	}
}

// SuspectsParts reports whether there is evidence against any of some parts.
func (w *Watcher) SuspectsParts(parts []quarantine.Fingerprint) bool {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(parts, func(part quarantine.Fingerprint) bool {
		return w.ledger.CrashesOfPart(now, part) > 0 || w.suspected(part) > 0
	})
}

// ServedParts notes that a prompt had a whole answer: none of its parts ends back ends.
func (w *Watcher) ServedParts(parts []quarantine.Fingerprint) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, part := range parts {
		delete(w.retrials, part)
		if w.acquit(now, quarantine.Crash{Fingerprint: part, At: now, Part: true}) {
			w.enqueue(report{acquitted: &quarantine.Crash{Fingerprint: part, At: now, Part: true}})
		}
	}
}

// TryParts allows one ambiguous prompt at a time to be dispatched, and now and then one with a blamed part. Ended must be called
// for an allowed one.
func (w *Watcher) TryParts(parts []quarantine.Fingerprint) (ended func(), allowed bool) {
	now := clock.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	verdict := w.ledger.StatusOfParts(now, parts)
	busy := slices.ContainsFunc(parts, func(part quarantine.Fingerprint) bool { return w.trying[part] })
	if busy || (verdict.Quarantined && !w.dueForRetrial(now, parts)) {
		return nil, false
	}
	for _, part := range parts {
		w.trying[part] = true
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, part := range parts {
			delete(w.trying, part)
		}
	}, true
}

// retrial is when a blamed part may be tried again.
type retrial struct {
	at   time.Time
	wait time.Duration
}

// dueForRetrial reports whether one prompt with blamed parts may be dispatched now, which is then noted. Of all daemons the first
// one in the ranking of a part decides. The caller holds the mutex.
func (w *Watcher) dueForRetrial(now time.Time, parts []quarantine.Fingerprint) bool {
	for _, part := range parts {
		if !w.ledger.StatusOfParts(now, []quarantine.Fingerprint{part}).IsBlamed() {
			continue
		}
		if !rendezvous.AmongTop(uint64(part), w.options.Link.Address(), w.options.Topology.Others(), 1) {
			return false
		}
		last, known := w.retrials[part]
		if !known {
			last = retrial{at: now, wait: firstRetrial}
			w.retrials[part] = last
		}
		if now.Sub(last.at) < last.wait {
			return false
		}
		w.retrials[part] = retrial{at: now, wait: retrialFactor * last.wait}
	}
	return true
}

// sweepRetrials forgets when parts were tried whose evidence has ended. The caller holds the mutex.
func (w *Watcher) sweepRetrials(now time.Time) {
	maps.DeleteFunc(w.retrials, func(part quarantine.Fingerprint, _ retrial) bool { return w.ledger.CrashesOfPart(now, part) == 0 })
}

// noteBlame logs the evidence against a part. The caller holds the mutex.
func (w *Watcher) noteBlame(now time.Time, part quarantine.Fingerprint, log logrus.FieldLogger) {
	verdict := w.ledger.StatusOfParts(now, []quarantine.Fingerprint{part})
	if verdict.IsBlamed() {
		w.changed.Store(true)
		log.WithFields(logrus.Fields{"prompt_part": part.String(), "ambiguous": verdict.Ambiguous}).
			Warn("A shared part of prompts is quarantined: back ends ended while they ran prompts with it.")
	}
}
