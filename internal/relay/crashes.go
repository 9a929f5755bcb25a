package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/quarantine"
	"github.com/lotusward/lotusward/internal/pause"
)

// Crashes tracks which requests were in flight when backends crashed, across all daemons.
type Crashes interface {
	// Verdict returns what is currently believed about a request.
	Verdict(fingerprint quarantine.Fingerprint) quarantine.Status
	// Lost records that the connection to a backend was lost while a request was in flight.
	Lost(fingerprint quarantine.Fingerprint, backend identity.BackendID)
	// Served records that a request received a complete answer.
	Served(fingerprint quarantine.Fingerprint)
	// VerdictOfParts, LostParts and ServedParts do the same for the shared parts of a prompt, and
	// SuspectsParts reports whether there is evidence against any.
	VerdictOfParts(parts []quarantine.Fingerprint) quarantine.Status
	LostParts(parts []quarantine.Fingerprint, backend identity.BackendID)
	ServedParts(parts []quarantine.Fingerprint)
	SuspectsParts(parts []quarantine.Fingerprint) bool
	// TryParts allows an ambiguous prompt to be dispatched, one at a time. The returned function
	// must be called at the end of an allowed one.
	TryParts(parts []quarantine.Fingerprint) (ended func(), allowed bool)
}

// reasonQuarantined is the refusal reason of requests that crash backends. Without quarantine, one
// such request crashed 14 backends in 14 s, and each crash cut four other requests (means over 25
// crashes, from the logs of seven daemons with twelve backends).
const reasonQuarantined = "quarantined"

// reasonBackendFailure is the reason if a backend answered with a failure of its own.
const reasonBackendFailure = "backend_failure"

// noCrashes tracks nothing.
type noCrashes struct{}

func (noCrashes) Verdict(quarantine.Fingerprint) quarantine.Status { return quarantine.Status{} }
func (noCrashes) Lost(quarantine.Fingerprint, identity.BackendID)  {}
func (noCrashes) Served(quarantine.Fingerprint)                    {}

func (noCrashes) VerdictOfParts([]quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{}
}
func (noCrashes) LostParts([]quarantine.Fingerprint, identity.BackendID) {}
func (noCrashes) ServedParts([]quarantine.Fingerprint)                   {}
func (noCrashes) SuspectsParts([]quarantine.Fingerprint) bool            { return false }
func (noCrashes) TryParts([]quarantine.Fingerprint) (func(), bool)       { return func() {}, true }

const (
	// crashVerdictTimeout bounds the wait for the check whether a backend that cut the request has
	// crashed. Between zones, a crashed backend refuses the connection and a running one accepts
	// it within two milliseconds; a silent one is not waited for.
	crashVerdictTimeout = 50 * time.Millisecond
	// crashVerdictPollInterval is the interval at which the verdict is polled meanwhile.
	crashVerdictPollInterval = 2 * time.Millisecond
	// confirmServedTimeout bounds the attempt to reach a backend after an answer without a length.
	confirmServedTimeout = 500 * time.Millisecond
)

// isQuarantined reports whether the request must not be sent to any more backends. If this depends
// on a pending backend check, it waits briefly: faulty backends cut requests and keep running, so
// two cut connections alone don't prove a crash.
func (r *run) isQuarantined(ctx context.Context) bool {
	until := r.now().Add(crashVerdictTimeout)
	r.verdict = r.currentVerdict()
	for (r.verdict.Uncertain || r.verdict.Ambiguous) && !r.verdict.Quarantined && ctx.Err() == nil && r.now().Before(until) {
		pause.For(ctx, crashVerdictPollInterval)
		r.verdict = r.currentVerdict()
	}
	if r.verdict.OfPart && r.verdict.IsBlamed() {
		return !r.mayTry()
	}
	return r.verdict.Quarantined
}

// currentVerdict returns what is believed of the request and of the shared parts of its prompt.
func (r *run) currentVerdict() quarantine.Status {
	crashes := r.relay.options.Crashes
	verdict := crashes.Verdict(r.admitted.fingerprint)
	if verdict.Quarantined || len(r.admitted.parts) == 0 || r.tryEnded != nil && r.attempt.Number == 0 {
		return verdict
	}
	parts := crashes.VerdictOfParts(r.admitted.parts)
	if !parts.IsBlamed() && !parts.Uncertain {
		return verdict
	}
	parts.Crashes = max(parts.Crashes, verdict.Crashes)
	parts.Uncertain = parts.Uncertain || verdict.Uncertain
	return parts
}

// mayTry reports whether an ambiguous prompt may be dispatched, which only its first attempt may.
func (r *run) mayTry() bool {
	if r.attempt.Number > 0 {
		return false
	}
	if r.tryEnded != nil {
		return true
	}
	ended, allowed := r.relay.options.Crashes.TryParts(r.admitted.parts)
	if allowed {
		r.tryEnded = ended
	}
	return allowed
}

// endTry ends the dispatch of an ambiguous prompt.
func (r *run) endTry() {
	if r.tryEnded != nil {
		r.tryEnded()
	}
}

// sharedPartFingerprints returns the fingerprints of the parts that a prompt shares with others. Parts of isolated tenants
// are their own.
func sharedPartFingerprints(prompt *Prompt, sender principal) []quarantine.Fingerprint {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	isolated := string(sender.isolatedTenant())
	var parts []quarantine.Fingerprint
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		parts = append(parts, quarantine.PartFingerprintOf(isolated, part.ID))
	}
	return parts
}

// reportCrash reports how an attempt ended for the backend, as far as the request may have caused
// it.
func (r *run) reportCrash(ticket *backendpool.Ticket, ended failure) {
	fingerprint, crashes := r.admitted.fingerprint, r.relay.options.Crashes
	switch {
	case ended.result == backendpool.ResultConnectionLost:
		crashes.Lost(fingerprint, ticket.Backend.ID)
		crashes.LostParts(r.admitted.parts, ticket.Backend.ID)
	case ended.result == backendpool.ResultServed && !r.progress.delimited && r.progress.status < http.StatusMultipleChoices:
		r.confirmServed(ticket.Backend.Address)
	case ended.result == backendpool.ResultServed, ended.reason == reasonBackendFailure:
		crashes.Served(fingerprint)
		if ended.result == backendpool.ResultServed && r.progress.status < http.StatusMultipleChoices {
			crashes.ServedParts(r.admitted.parts) // a failure may come before the prompt is run
		}
	}
}

// confirmServed records a complete answer once the backend was reached again: an answer that only the end of the connection
// delimits looks complete if the backend crashed.
func (r *run) confirmServed(address string) {
	crashes, fingerprint, parts := r.relay.options.Crashes, r.admitted.fingerprint, r.admitted.parts
	if crashes.Verdict(fingerprint).Crashes == 0 && !crashes.SuspectsParts(parts) {
		return
	}
	backends := r.relay.options.Backends
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmServedTimeout)
		defer cancel()
		if backends.Reach(ctx, address) == backendpool.Connected {
			crashes.Served(fingerprint)
			crashes.ServedParts(parts)
		}
	}()
}
